//! Detects a stalled server by the runs that should have ended.

/// Shortest stall.
const STALL_MIN_US: u64 = 1_000;
/// A server is stalled when this many calls should have ended by now and none has. For independent ends, the
/// probability of that by chance is e^-8.
const STALL_MISSED_ENDS: u64 = 8;

/// Counts the running calls that should have ended since the last end.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Progress {
    /// Time of the last end of a call.
    pub(super) last_end_us: u64,
    /// Calls that were running at that time.
    running_at_end: u64,
    /// Calls that have started since.
    started: u64,
    /// Sum of the start times of those calls.
    started_sum_us: u64,
}

impl Progress {
    /// Returns the progress of a server on which nothing has run.
    pub(super) fn new(now_us: u64) -> Self {
        Self { last_end_us: now_us, ..Self::default() }
    }

    /// Records the end of a call, with the number of calls that are still running.
    pub(super) fn record_end(&mut self, running: usize, now_us: u64) {
        *self = Self { last_end_us: now_us, running_at_end: running as u64, started: 0, started_sum_us: 0 };
    }

    /// Records the start of a call.
    pub(super) fn record_start(&mut self, now_us: u64) {
        self.started += 1;
        self.started_sum_us += now_us;
    }

    /// Returns when [`STALL_MISSED_ENDS`] calls of `service_us` should have ended.
    pub(super) fn stalls_at_us(&self, service_us: u64) -> Option<u64> {
        let running = self.running_at_end + self.started;
        let starts_sum_us = self.running_at_end * self.last_end_us + self.started_sum_us;
        let at_us = (STALL_MISSED_ENDS * service_us + starts_sum_us).checked_div(running)?;
        Some(at_us.max(self.last_end_us + STALL_MIN_US))
    }
}
