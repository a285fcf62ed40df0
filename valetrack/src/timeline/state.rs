//! Pure logic of the timeline: the hybrid clock, and merging the events of several nodes.

use super::message::Event;

/// Number of low bits of a stamp that hold the counter; the milliseconds are above them.
const COUNTER_BITS: u32 = 16;
/// Maximum time by which a received stamp may be ahead of the wall clock; one that is further ahead is ignored.
pub const AHEAD_MAX_MS: u64 = 60_000;

/// A hybrid logical clock: its next stamp is behind neither the wall clock nor any received stamp that it followed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HybridClock {
    last: u64,
}

impl HybridClock {
    /// Creates a clock that continues after `last`.
    pub const fn at(last: u64) -> Self {
        Self { last }
    }

    /// Returns the latest stamp that was issued or followed.
    pub const fn last(&self) -> u64 {
        self.last
    }

    /// Returns a stamp that is later than all stamps before.
    pub fn tick(&mut self, wall_ms: u64) -> u64 {
        self.last = (self.last + 1).max(wall_ms << COUNTER_BITS);
        self.last
    }

    /// Follows a received stamp; returns `false` if it was ignored because it is too far ahead.
    pub fn observe(&mut self, received: u64, wall_ms: u64) -> bool {
        if received >> COUNTER_BITS > wall_ms + AHEAD_MAX_MS {
            return false;
        }
        self.last = self.last.max(received);
        true
    }
}

/// Returns the milliseconds since 1970 of a stamp.
pub const fn stamp_ms(hlc: u64) -> u64 {
    hlc >> COUNTER_BITS
}

/// Orders the events of several nodes, with each cause before its effect, and drops duplicates. If `call` is given,
/// only its events are returned.
pub fn merge(mut events: Vec<Event>, call: Option<&str>) -> Vec<Event> {
    if let Some(call) = call {
        events.retain(|event| event.call.as_deref() == Some(call));
    }
    events.sort_by(|a, b| (a.hlc, &a.vm).cmp(&(b.hlc, &b.vm)));
    events.dedup();
    events
}
