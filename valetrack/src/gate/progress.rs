//! Tells a server that makes no progress by the runs that should have ended.

/// A stall is at least this long, in microseconds.
const STALL_MIN_US: u64 = 1_000;
/// A server stalls when this many calls should have ended by now and none has. Were the ends
/// independent, the chance of that by luck alone would be e to the minus eight.
const STALL_MISSED_ENDS: u64 = 8;

/// What says how many running calls should have ended since the last one did.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Progress {
    /// When the last call ended, in microseconds.
    pub(super) last_us: u64,
    /// Calls that ran at that moment.
    ran: u64,
    /// Calls that have started since.
    started: u64,
    /// Sum of the moments at which they have, in microseconds.
    started_sum_us: u64,
}

impl Progress {
    /// Makes the progress of a server on which nothing has run.
    pub(super) fn new(now_us: u64) -> Self {
        Self { last_us: now_us, ..Self::default() }
    }

    /// Notes the end of a call, with the number that run on.
    pub(super) fn ended(&mut self, running: usize, now_us: u64) {
        *self = Self { last_us: now_us, ran: running as u64, started: 0, started_sum_us: 0 };
    }

    /// Notes the start of a call.
    pub(super) fn began(&mut self, now_us: u64) {
        self.started += 1;
        self.started_sum_us += now_us;
    }

    /// Returns when [`STALL_MISSED_ENDS`] calls of `service_us` should have ended.
    pub(super) fn stalls_at_us(&self, service_us: u64) -> Option<u64> {
        let running = self.ran + self.started;
        let begun_us = self.ran * self.last_us + self.started_sum_us;
        let at_us = (STALL_MISSED_ENDS * service_us + begun_us).checked_div(running)?;
        Some(at_us.max(self.last_us + STALL_MIN_US))
    }
}
