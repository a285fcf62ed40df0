//! Token bucket that limits a rate.

/// A token bucket in units per second.
///
/// In any window of `w` seconds it grants at most `rate * w + burst`.
#[derive(Debug, Clone, Copy)]
pub struct RateBudget {
    rate_per_s: u64,
    burst: u64,
    /// Tokens in millionths, so that rounding never adds any.
    micro_tokens: u64,
    filled_us: u64,
}

/// Millionths in one token.
const MICRO: u64 = 1_000_000;

impl RateBudget {
    /// Creates a full bucket.
    pub fn new(rate_per_s: u64, burst: u64, now_us: u64) -> Self {
        Self { rate_per_s, burst, micro_tokens: burst.saturating_mul(MICRO), filled_us: now_us }
    }

    /// Applies a new rate and burst. Tokens above the new burst are discarded.
    pub fn configure(&mut self, rate_per_s: u64, burst: u64, now_us: u64) {
        self.fill(now_us);
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.micro_tokens = self.micro_tokens.min(burst.saturating_mul(MICRO));
    }

    /// Removes `cost` tokens and returns true if the bucket holds them. A clock that goes back adds no tokens.
    pub fn take(&mut self, cost: u64, now_us: u64) -> bool {
        self.fill(now_us);
        let Some(left) = self.micro_tokens.checked_sub(cost.saturating_mul(MICRO)) else {
            return false;
        };
        self.micro_tokens = left;
        true
    }

    fn fill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.filled_us);
        self.filled_us = self.filled_us.max(now_us);
        let earned = elapsed_us.saturating_mul(self.rate_per_s);
        self.micro_tokens = self.micro_tokens.saturating_add(earned).min(self.burst.saturating_mul(MICRO));
    }
}
