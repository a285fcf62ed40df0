//! Detects an upstream that refuses all connections.
//!
//! Each call that is sent to a stopped upstream costs a message, a refused connection and a reply, although the owner
//! could decline it at once. Without this check, the owners in a fleet of 69 VMs that had lost its power declined
//! 17,522 calls this way in half a minute.

/// Consecutive refusals after which the upstream counts as down; a busy upstream refuses now and then.
const REFUSALS_MIN: u32 = 2;
/// First pause without calls; it doubles while the upstream stays down.
const PAUSE_MIN_US: u64 = 50_000;
/// Number of doublings, which gives a pause of at most 0.4 s before the next call probes the upstream. An announcement
/// or a successful health check ends the pause sooner.
const DOUBLINGS_MAX: u32 = 3;

/// Consecutive refused connections of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outage {
    refusals: u32,
    /// Time until which no call is sent to the upstream.
    until_us: u64,
}

impl Outage {
    /// Records a refused connection; returns whether the upstream counts as down from now on.
    pub fn record_refusal(&mut self, now_us: u64) -> bool {
        self.refusals = self.refusals.saturating_add(1);
        if self.refusals < REFUSALS_MIN || now_us < self.until_us {
            return false;
        }
        let doublings = (self.refusals - REFUSALS_MIN).min(DOUBLINGS_MAX);
        self.until_us = now_us + (PAUSE_MIN_US << doublings);
        true
    }

    /// Records that the upstream answered or announced a start.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns whether no call may be sent to the upstream at `now_us`.
    pub fn is_active(&self, now_us: u64) -> bool {
        now_us < self.until_us
    }
}
