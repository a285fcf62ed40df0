//! Windows of a fleet's retry guarantee, counted from the calls and repeats of a simulated fleet.

use crate::placement::RetryGuarantee;

/// The repeats of one service within one window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryWindow {
    pub from_us: u64,
    pub repeats: usize,
    pub calls: usize,
    /// Repeats that the guarantee allows.
    pub allowed: usize,
}

impl RetryWindow {
    /// Counts the window that begins at `from_us`; both lists of times are sorted.
    pub fn count(guarantee: RetryGuarantee, from_us: u64, calls_us: &[u64], repeats_us: &[u64]) -> Self {
        let within = |times: &[u64], from_us: u64| {
            let start = times.partition_point(|at_us| *at_us < from_us);
            times[start..].partition_point(|at_us| *at_us < from_us + guarantee.window_us)
        };
        let earlier_us = [0, guarantee.window_us / 2, guarantee.window_us];
        let calls = earlier_us.map(|earlier_us| within(calls_us, from_us.saturating_sub(earlier_us)));
        let calls = calls.into_iter().max().unwrap_or(0);
        let allowed = calls * guarantee.percent as usize / 100 + guarantee.reserve as usize;
        Self { from_us, repeats: within(repeats_us, from_us), calls, allowed }
    }

    /// Returns the repeats beyond what the guarantee allows.
    pub fn excess(&self) -> usize {
        self.repeats.saturating_sub(self.allowed)
    }
}
