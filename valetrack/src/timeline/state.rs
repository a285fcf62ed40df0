//! Pure decisions of the time line: the hybrid clock, and merging many nodes' events.

use super::message::Event;

/// Bits of the counter below the milliseconds.
const COUNTER_BITS: u32 = 16;
/// A remote clock further ahead than this is not followed, in milliseconds.
pub const AHEAD_MAX_MS: u64 = 60_000;

/// A hybrid logical clock: never behind the wall clock nor behind anything that was heard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HybridClock {
    last: u64,
}

impl HybridClock {
    /// Makes a clock that continues after `last`.
    pub const fn at(last: u64) -> Self {
        Self { last }
    }

    /// Returns the latest stamp given or heard.
    pub const fn last(&self) -> u64 {
        self.last
    }

    /// Returns a stamp that is later than every one before.
    pub fn tick(&mut self, wall_ms: u64) -> u64 {
        self.last = (self.last + 1).max(wall_ms << COUNTER_BITS);
        self.last
    }

    /// Takes a stamp that was heard; returns whether it was followed.
    pub fn observe(&mut self, heard: u64, wall_ms: u64) -> bool {
        if heard >> COUNTER_BITS > wall_ms + AHEAD_MAX_MS {
            return false;
        }
        self.last = self.last.max(heard);
        true
    }
}

/// Returns the milliseconds since 1970 of a stamp.
pub const fn stamp_ms(hlc: u64) -> u64 {
    hlc >> COUNTER_BITS
}

/// Orders the events of many nodes: what caused comes before what it caused.
pub fn merge(mut events: Vec<Event>, call: Option<&str>) -> Vec<Event> {
    if let Some(call) = call {
        events.retain(|event| event.call.as_deref() == Some(call));
    }
    events.sort_by(|a, b| (a.hlc, &a.vm).cmp(&(b.hlc, &b.vm)));
    events.dedup();
    events
}
