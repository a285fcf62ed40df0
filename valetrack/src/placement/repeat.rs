//! Budget of the repeats of one service's calls at one entry.
//!
//! A fleet promises that in no window more attempts arrive past the first of their call than a share
//! of the calls and a reserve. All entries keep that promise together without a word between them,
//! since each keeps it for its own calls and for its part of the reserve.

use super::sliding::SlidingSum;

/// Window of a budget that is no fleet's, in microseconds: as long as the platforms known have it.
const WINDOW_US: u64 = 10_000_000;
/// Part of a fleet's share of calls that its entries spend, in hundredths. An attempt that waits for a
/// slot arrives some tenths of a second after it was granted, a few hundredths of a window; the rest is
/// left for calls of repeated runs, of which only the usual number is known beforehand. Ten nodes in
/// virtual time keep the promise under 40 mixes of troubles with it.
const SHARE_SPENT_PERCENT: f64 = 90.0;
/// Part of a fleet's reserve that its entries spend, in hundredths: half of what the share has, since
/// two lives of one node may spend theirs within one window.
const RESERVE_SPENT_PERCENT: f64 = SHARE_SPENT_PERCENT / 2.0;

/// How many attempts past the first of their call may arrive at a service, over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatPromise {
    /// Repeats for each hundred calls.
    pub percent: u32,
    /// Repeats beyond that in any window.
    pub reserve: u32,
    /// Length of the windows, in microseconds.
    pub window_us: u64,
}

/// Budget of repeats that holds in every window, whenever calls and repeats come.
///
/// It counts what was spent and earned lately instead of saving tokens up: with tokens a node that
/// was quiet spends in one window what it earned in others, and one that starts again has new ones.
/// In virtual time, ten nodes that start again one after the other made 245 repeats of 600 calls in
/// ten seconds by their tokens, where 178 are allowed.
#[derive(Debug, Clone, Copy)]
pub struct RepeatBudget {
    share: f64,
    /// This entry's part of the reserve.
    reserve: f64,
    /// Whether no other node is known, so that the part is the whole.
    alone: bool,
    /// When the entry started, in microseconds; none where no earlier life has spent its part.
    started_us: Option<u64>,
    window_us: u64,
    calls: SlidingSum,
    repeats: SlidingSum,
}

impl RepeatBudget {
    /// Makes a budget of one entry alone: `percent` repeats for each hundred calls, and `reserve`
    /// repeats beyond that.
    pub fn new(percent: u32, reserve: u32) -> Self {
        Self {
            share: f64::from(percent) / 100.0,
            reserve: reserve.into(),
            alone: false,
            started_us: None,
            window_us: WINDOW_US,
            calls: SlidingSum::new(WINDOW_US),
            repeats: SlidingSum::new(WINDOW_US),
        }
    }

    /// Makes an entry's part of a fleet's promise at the entry's start.
    ///
    /// Its earlier life may have spent its part of the reserve, so this one gets to it over a whole
    /// window. Until it is [configured](Self::configure) for the first time it has none.
    pub fn of_fleet(promise: RepeatPromise, now_us: u64) -> Self {
        Self {
            share: spent_share(promise),
            reserve: 0.0,
            alone: true,
            started_us: Some(now_us),
            window_us: promise.window_us.max(1),
            calls: SlidingSum::new(promise.window_us),
            repeats: SlidingSum::new(promise.window_us),
        }
    }

    /// Takes a promise anew, of a fleet of `members` nodes.
    pub fn configure(&mut self, promise: RepeatPromise, members: u32) {
        self.share = spent_share(promise);
        self.alone = members <= 1;
        self.reserve = f64::from(promise.reserve) * RESERVE_SPENT_PERCENT / 100.0 / f64::from(members.max(1));
    }

    /// Counts a call of which `repeat` (0 to 1) is itself a repeat: the chance that the run that made
    /// it is one. Such a call earns nothing and is charged, since its caller can't be refused.
    pub fn begin(&mut self, repeat: f64, now_us: u64) {
        self.calls.add((1.0 - repeat) as f32, now_us);
        if repeat > 0.0 {
            self.repeats.add(repeat as f32, now_us);
        }
    }

    /// Takes one repeat out, if there is one left.
    pub fn take(&mut self, now_us: u64) -> bool {
        let granted = self.left(now_us) >= 1.0;
        if granted {
            self.repeats.add(1.0, now_us);
        }
        granted
    }

    /// Returns how many repeats are left; less than nothing where calls of repeated runs were more.
    pub fn left(&mut self, now_us: u64) -> f64 {
        self.share * self.calls.within(now_us) + self.reserve_at(now_us) - self.repeats.over(now_us)
    }

    /// Returns this entry's part of the reserve, as it is once the entry is a window old.
    pub fn reserve(&self) -> f64 {
        self.reserve
    }

    fn reserve_at(&self, now_us: u64) -> f64 {
        let Some(started_us) = self.started_us else {
            return self.reserve;
        };
        let age_us = now_us.saturating_sub(started_us).min(self.window_us);
        if self.alone && age_us < self.window_us {
            // It has not heard of the others yet, and they count on their parts.
            return 0.0;
        }
        self.reserve * age_us as f64 / self.window_us as f64
    }
}

/// Returns how many repeats entries spend for each call.
fn spent_share(promise: RepeatPromise) -> f64 {
    f64::from(promise.percent) / 100.0 * SHARE_SPENT_PERCENT / 100.0
}

/// How long a fleet is remembered as larger than it seems to be, in microseconds: entries that lapse
/// in an outage of the store, or a view that has just begun, are no smaller fleet. An outage of some
/// tens of seconds is usual; a fleet that shrinks for good spends less for that long.
const REMEMBERED_US: u64 = 60_000_000;

/// The number of nodes that share a fleet's promises.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetSize {
    members: u32,
    /// Since when fewer are known, in microseconds.
    fewer_since_us: Option<u64>,
}

impl FleetSize {
    /// Takes how many nodes are known now, and returns among how many the promises are shared.
    pub fn known(&mut self, members: u32, now_us: u64) -> u32 {
        if members >= self.members {
            *self = Self { members, fewer_since_us: None };
            return members;
        }
        let since_us = *self.fewer_since_us.get_or_insert(now_us);
        if now_us.saturating_sub(since_us) >= REMEMBERED_US {
            *self = Self { members, fewer_since_us: None };
        }
        self.members
    }
}
