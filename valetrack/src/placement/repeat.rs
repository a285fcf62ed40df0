//! Budget of the repeats of one service's calls at one entry.
//!
//! A repeat is an attempt that may arrive at an upstream after the first one of its call: a retry, a hedge, or another
//! attempt after a rejection. A fleet guarantees that in no window more repeats arrive than a share of the calls plus a
//! reserve. The entries keep this guarantee without coordination, since each one keeps it for its own calls and for its
//! part of the reserve.

use super::sliding::SlidingSum;

/// Window of a budget without a fleet's guarantee; the known platforms use the same length.
const WINDOW_US: u64 = 10_000_000;
/// Part of a fleet's share of calls that its entries spend. An attempt that waits for a slot arrives some tenths of a
/// second after it was granted, a few hundredths of a window. The rest is left for calls of repeated runs, of which
/// only the average number is known beforehand.
const SHARE_SPENT_PERCENT: f64 = 90.0;
/// Part of a fleet's reserve that its entries spend: half of the figure for the share, since two incarnations of one
/// node may each spend theirs within one window.
const RESERVE_SPENT_PERCENT: f64 = SHARE_SPENT_PERCENT / 2.0;

/// Upper limit of the repeats that may arrive at a service, over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryGuarantee {
    /// Repeats per hundred calls.
    pub percent: u32,
    /// Repeats beyond that share in any window.
    pub reserve: u32,
    /// Length of the windows.
    pub window_us: u64,
}

/// Budget of repeats that holds in every window, whenever calls and repeats arrive.
///
/// It counts recent calls and repeats instead of accumulating tokens. With tokens, a node that was idle spends the
/// tokens of earlier windows in one window, and a restarted node has a full bucket again: ten nodes that restarted one
/// after the other made 245 repeats of 600 calls in ten seconds, where 178 are allowed.
///
/// An entry has no part of the fleet's reserve before its list of members is complete: an entry that knows few members
/// would take too large a part. From then on the part grows to its full size over one window, since an earlier
/// incarnation of the node may have spent it.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    share: f64,
    /// This entry's part of the reserve.
    reserve: f64,
    /// Whether no other node is known, so that this part is the whole reserve.
    is_alone: bool,
    reserve_phase: ReservePhase,
    window_us: u64,
    calls: SlidingSum,
    repeats: SlidingSum,
}

/// How much of an entry's part of the reserve may be spent.
#[derive(Debug, Clone, Copy)]
enum ReservePhase {
    /// All of it: the entry is no part of a fleet.
    Full,
    /// Nothing: the list of members has not been read since the start of the entry.
    Incomplete { started_us: u64 },
    /// A share that grows over one window.
    Growing { since_us: u64 },
}

impl RetryBudget {
    /// Creates the budget of a single entry: `percent` repeats per hundred calls, and `reserve` repeats beyond that.
    pub fn new(percent: u32, reserve: u32) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            reserve: reserve.into(),
            is_alone: false,
            reserve_phase: ReservePhase::Full,
            window_us: WINDOW_US,
            calls: SlidingSum::new(WINDOW_US),
            repeats: SlidingSum::new(WINDOW_US),
        }
    }

    /// Creates an entry's part of a fleet's guarantee at the start of the entry. It has no reserve until
    /// [`configure`](Self::configure) is called with a complete list of members.
    pub fn of_fleet(guarantee: RetryGuarantee, now_us: u64) -> Self {
        Self {
            share: spent_share(guarantee),
            reserve: 0.0,
            is_alone: true,
            reserve_phase: ReservePhase::Incomplete { started_us: now_us },
            window_us: guarantee.window_us.max(1),
            calls: SlidingSum::new(guarantee.window_us),
            repeats: SlidingSum::new(guarantee.window_us),
        }
    }

    /// Applies a guarantee to an entry of a fleet.
    pub fn configure(&mut self, guarantee: RetryGuarantee, fleet: KnownFleet) {
        self.share = spent_share(guarantee);
        self.reserve = f64::from(guarantee.reserve) * RESERVE_SPENT_PERCENT / 100.0 / f64::from(fleet.members.max(1));
        self.is_alone = fleet.members <= 1;
        if let (ReservePhase::Incomplete { started_us }, Some(since_us)) = (self.reserve_phase, fleet.complete_since_us)
        {
            self.reserve_phase = ReservePhase::Growing { since_us: since_us.max(started_us) };
        }
    }

    /// Returns the length of its windows.
    pub fn window_us(&self) -> u64 {
        self.window_us
    }

    /// Records a call with the chance (0 to 1) that the call is itself a repeat, because a repeated run made it. Such a
    /// call earns nothing and is charged, since its caller can't be refused.
    pub fn begin(&mut self, repeat: f64, now_us: u64) {
        self.calls.add((1.0 - repeat) as f32, now_us);
        if repeat > 0.0 {
            self.repeats.add(repeat as f32, now_us);
        }
    }

    /// Charges one repeat to the budget and returns true if there is one left.
    pub fn take(&mut self, now_us: u64) -> bool {
        let granted = self.has_left(now_us);
        if granted {
            self.charge(now_us);
        }
        granted
    }

    /// Returns whether a whole repeat is left.
    pub fn has_left(&mut self, now_us: u64) -> bool {
        self.left(now_us) >= 1.0
    }

    /// Charges one repeat.
    pub fn charge(&mut self, now_us: u64) {
        self.repeats.add(1.0, now_us);
    }

    /// Returns the number of repeats left; negative if calls of repeated runs have exceeded the budget.
    pub fn left(&mut self, now_us: u64) -> f64 {
        self.share * self.calls.lower_bound(now_us) + self.reserve_at(now_us) - self.repeats.upper_bound(now_us)
    }

    /// Returns this entry's part of the reserve at its full size; zero as long as the list of members is incomplete.
    pub fn reserve(&self) -> f64 {
        match self.reserve_phase {
            ReservePhase::Full | ReservePhase::Growing { .. } => self.reserve,
            ReservePhase::Incomplete { .. } => 0.0,
        }
    }

    fn reserve_at(&self, now_us: u64) -> f64 {
        let since_us = match self.reserve_phase {
            ReservePhase::Full => return self.reserve,
            ReservePhase::Incomplete { .. } => return 0.0,
            ReservePhase::Growing { since_us } => since_us,
        };
        let age_us = now_us.saturating_sub(since_us).min(self.window_us);
        if self.is_alone && age_us < self.window_us {
            // Other nodes may be about to write their entries again, and they rely on their parts.
            return 0.0;
        }
        self.reserve * age_us as f64 / self.window_us as f64
    }
}

/// Returns the repeats that entries spend per call.
fn spent_share(guarantee: RetryGuarantee) -> f64 {
    f64::from(guarantee.percent) / 100.0 * SHARE_SPENT_PERCENT / 100.0
}

/// How long a fleet counts as larger than its known members suggest: entries that expire in an outage of the store, or
/// a view that has just started, do not make the fleet smaller. Outages of some tens of seconds are usual, and a fleet
/// that shrinks for good only spends less during this time.
const SHRINK_DELAY_US: u64 = 60_000_000;

/// Nodes that share a fleet's guarantees, as one entry knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownFleet {
    /// Number of nodes, this one included.
    pub members: u32,
    /// Since when the list of members is complete; none if it never was.
    pub complete_since_us: Option<u64>,
}

/// Number of nodes that share a fleet's guarantees.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetSize {
    members: u32,
    /// Since when fewer members are known.
    fewer_since_us: Option<u64>,
    complete_since_us: Option<u64>,
}

impl FleetSize {
    /// Records the number of known members and whether the whole list was ever read, and returns the nodes that share
    /// the guarantees.
    pub fn update(&mut self, members: u32, is_complete: bool, now_us: u64) -> KnownFleet {
        if is_complete {
            self.complete_since_us.get_or_insert(now_us);
        }
        self.update_members(members, now_us);
        KnownFleet { members: self.members, complete_since_us: self.complete_since_us }
    }

    fn update_members(&mut self, members: u32, now_us: u64) {
        if members >= self.members {
            self.members = members;
            self.fewer_since_us = None;
            return;
        }
        let since_us = *self.fewer_since_us.get_or_insert(now_us);
        if now_us.saturating_sub(since_us) >= SHRINK_DELAY_US {
            self.members = members;
            self.fewer_since_us = None;
        }
    }
}
