//! What one simulated run counts.

use super::fleet::{LENGTH_US, SETTLE_US};

/// Window over which starts are counted.
const WINDOW_US: u64 = 4_000_000;
/// Bytes on the wire of a declined attempt or a request for credits, with its reply.
const EXCHANGE_BYTES: u64 = 420;

/// Counts of one run, of the time after the limit has settled.
#[derive(Debug, Default)]
pub struct Report {
    /// Start times at each server.
    pub starts_us: Vec<Vec<u64>>,
    /// Calls that arrived at entries.
    pub calls: u64,
    /// Attempts that an owner declined, and requests for credits.
    pub exchanges: u64,
    /// Calls that were rejected at once by their entry, without an attempt.
    pub rejected_by_entry: u64,
    /// Time from the arrival at the entry to the start, of calls that were served.
    pub delays_us: Vec<u64>,
    /// Retry delays of rejected calls.
    pub retry_after_ms: Vec<u32>,
}

impl Report {
    /// Returns the largest number of starts in one window at any server, as a share of the limit.
    pub fn window_share(&self, rate_per_s: f64) -> f64 {
        self.window_max() as f64 / (rate_per_s * WINDOW_US as f64 / 1e6)
    }

    /// Returns the largest number of starts in one window at any server.
    pub fn window_max(&self) -> usize {
        let most = |starts: &Vec<u64>| {
            let within = |at: usize| starts[at..].iter().take_while(|start| **start < starts[at] + WINDOW_US).count();
            (0..starts.len()).map(within).max().unwrap_or(0)
        };
        self.starts_us.iter().map(most).max().unwrap_or(0)
    }

    /// Returns the served calls as a share of the sum of the limits.
    pub fn served_share(&self, rate_per_s: f64) -> f64 {
        let served: usize = self.starts_us.iter().map(Vec::len).sum();
        served as f64 / (rate_per_s * self.starts_us.len() as f64 * (LENGTH_US - SETTLE_US) as f64 / 1e6)
    }

    /// Returns the declined attempts and requests for credits per call.
    pub fn declines_per_call(&self) -> f64 {
        self.exchanges as f64 / self.calls.max(1) as f64
    }

    /// Returns the mean time from the arrival of a served call to its start.
    pub fn delay_ms(&self) -> f64 {
        self.delays_us.iter().sum::<u64>() as f64 / 1e3 / self.delays_us.len().max(1) as f64
    }

    /// Returns the bytes of declined attempts and requests for credits per call.
    pub fn control_bytes_per_call(&self) -> f64 {
        self.declines_per_call() * EXCHANGE_BYTES as f64
    }
}
