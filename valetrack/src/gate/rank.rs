//! Ranks of calls in the gate's queue.

use serde::Serialize;

/// Rank of calls that upstreams make during their runs, relative to callers' calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum NestedRank {
    /// They go before all callers' calls.
    #[default]
    First,
    /// They have the rank of the call at their root, and go before callers' calls of that rank only.
    Root,
}

/// Rank of calls that runs make, with [`NestedRank::First`].
pub(crate) const INTERNAL_PRIORITY: u8 = 0;
/// Lowest priority that [`NestedRank::Root`] distinguishes, since each priority has two ranks.
const ROOT_PRIORITY_MAX: u8 = 127;

impl NestedRank {
    /// Returns the rank in the queue of a call with this priority; zero goes first.
    pub fn rank(self, priority: u8, is_nested: bool) -> u8 {
        match self {
            Self::First if is_nested => INTERNAL_PRIORITY,
            // Callers' calls rank behind calls that servers wait for.
            Self::First => priority.saturating_add(1),
            // The run that made a nested call already holds a slot.
            Self::Root => priority.min(ROOT_PRIORITY_MAX) * 2 + u8::from(!is_nested),
        }
    }
}
