//! Token bucket whose tokens are calls.

/// Microseconds in a second.
const SECOND_US: f64 = 1_000_000.0;

/// Admits calls at a rate, with a burst beyond it.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    filled_us: u64,
}

impl TokenBucket {
    /// Creates a bucket that holds `level` calls at `now_us`.
    pub fn new(rate_per_s: f64, burst: f64, level: f64, now_us: u64) -> Self {
        Self { rate_per_s, burst, level: level.min(burst), filled_us: now_us }
    }

    /// Sets the rate and the burst from `now_us` on; tokens beyond a lower burst are dropped.
    pub fn configure(&mut self, rate_per_s: f64, burst: f64, now_us: u64) {
        self.fill(now_us);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Sets the rate from `now_us` on.
    pub fn set_rate(&mut self, rate_per_s: f64, now_us: u64) {
        self.configure(rate_per_s, self.burst, now_us);
    }

    /// Drops tokens beyond `level`.
    pub fn limit_level(&mut self, level: f64, now_us: u64) {
        self.fill(now_us);
        self.level = self.level.min(level);
    }

    /// Removes up to `wanted` whole tokens and returns their number.
    pub fn take(&mut self, wanted: u32, now_us: u64) -> u32 {
        self.fill(now_us);
        let taken = self.level.floor().min(f64::from(wanted));
        self.level -= taken;
        taken as u32
    }

    /// Returns the number of tokens at `now_us`.
    pub fn level(&self, now_us: u64) -> f64 {
        let passed_us = now_us.saturating_sub(self.filled_us) as f64;
        (self.level + passed_us * self.rate_per_s / SECOND_US).min(self.burst)
    }

    /// Returns whether the bucket holds its whole burst at `now_us`.
    pub fn is_full(&self, now_us: u64) -> bool {
        self.level(now_us) >= self.burst
    }

    /// Returns the time from `now_us` until the bucket would hold `calls` with an unlimited burst, in microseconds;
    /// `u64::MAX` if it never does, for lack of a rate.
    pub fn wait_us(&self, calls: f64, now_us: u64) -> u64 {
        let lacking = (calls - self.level(now_us)).max(0.0);
        if lacking == 0.0 {
            return 0;
        }
        if self.rate_per_s <= 0.0 {
            return u64::MAX;
        }
        (lacking / self.rate_per_s * SECOND_US).ceil() as u64
    }

    fn fill(&mut self, now_us: u64) {
        self.level = self.level(now_us);
        self.filled_us = self.filled_us.max(now_us);
    }
}
