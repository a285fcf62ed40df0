//! A token bucket whose tokens are calls.

/// Microseconds in a second.
const SECOND_US: f64 = 1_000_000.0;

/// Lets calls through at a rate, and some at once beyond it.
#[derive(Debug, Clone, Copy)]
pub struct TokenBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    filled_us: u64,
}

impl TokenBucket {
    /// Makes a bucket that holds `level` calls at `now_us`.
    pub fn new(rate_per_s: f64, burst: f64, level: f64, now_us: u64) -> Self {
        Self { rate_per_s, burst, level: level.min(burst), filled_us: now_us }
    }

    /// Sets its rate and burst from `now_us` on; what it holds beyond a lower burst is lost.
    pub fn configure(&mut self, rate_per_s: f64, burst: f64, now_us: u64) {
        self.fill(now_us);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes up to `wanted` calls out of it, whole ones only.
    pub fn take(&mut self, wanted: u32, now_us: u64) -> u32 {
        self.fill(now_us);
        let taken = self.level.floor().min(f64::from(wanted));
        self.level -= taken;
        taken as u32
    }

    /// Returns in what time it holds `calls`, in microseconds; never where it has no rate.
    pub fn wait_us(&self, calls: f64) -> u64 {
        let lacking = (calls - self.level).max(0.0);
        if lacking > 0.0 && self.rate_per_s <= 0.0 {
            return u64::MAX;
        }
        (lacking / self.rate_per_s * SECOND_US) as u64
    }

    fn fill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.filled_us) as f64;
        self.level = (self.level + passed_us * self.rate_per_s / SECOND_US).min(self.burst);
        self.filled_us = self.filled_us.max(now_us);
    }
}
