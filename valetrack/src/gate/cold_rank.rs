//! Shares the starts of a cold upstream among ranks.
//!
//! After a power loss all callers return at once while every upstream is cold. Whoever arrives in the first
//! milliseconds would use up the starts of a whole second, and a more urgent call that arrives later and cannot wait a
//! second would be refused. The starts that more urgent calls are expected to need are therefore kept for them.

use std::collections::VecDeque;

/// Divisor of an upstream's starts that gives those kept for more urgent calls before any arrival was observed.
const ASSUMED_DIVISOR: f64 = 2.0;

/// Starts of a cold upstream within the last window, and calls that found none left, by rank.
#[derive(Debug, Clone, Default)]
pub struct RankedStarts {
    /// Times and ranks of calls that started or were declined for lack of starts, oldest first.
    demand: VecDeque<(u64, u8)>,
    /// Times and ranks of starts, oldest first.
    starts: VecDeque<(u64, u8)>,
    /// When the first arrival of the present cold period was observed.
    since_us: Option<u64>,
    /// Most urgent rank that ever arrived.
    most_urgent: Option<u8>,
}

impl RankedStarts {
    /// Forgets the observations of a cold period, for an upstream that is not cold.
    pub fn clear(&mut self) {
        self.demand.clear();
        self.starts.clear();
        self.since_us = None;
    }

    /// Records the arrival of a call of `rank`.
    pub fn record_arrival(&mut self, rank: u8, now_us: u64) {
        self.since_us.get_or_insert(now_us);
        self.most_urgent = Some(self.most_urgent.map_or(rank, |most_urgent| most_urgent.min(rank)));
    }

    /// Records a call of `rank` that started or was declined for lack of starts.
    pub fn record_demand(&mut self, rank: u8, window_us: u64, now_us: u64) {
        forget_before(&mut self.demand, window_us, now_us);
        self.demand.push_back((now_us, rank));
    }

    /// Records the start of a call of `rank`.
    pub fn record_start(&mut self, rank: u8, window_us: u64, now_us: u64) {
        forget_before(&mut self.starts, window_us, now_us);
        self.starts.push_back((now_us, rank));
        self.record_demand(rank, window_us, now_us);
    }

    /// Returns how many calls of `rank` may start now without taking a start that more urgent calls need, of
    /// `starts_max` in a window.
    pub fn remaining(&self, rank: u8, starts_max: usize, window_us: u64, now_us: u64) -> usize {
        let used = self.recent_starts(rank, window_us, now_us).count();
        self.share(rank, starts_max, window_us, now_us).saturating_sub(used)
    }

    /// Returns how long the call of `rank` behind `ahead` others waits until starts of its rank have left the window.
    pub fn wait_us(&self, rank: u8, ahead: usize, starts_max: usize, window_us: u64, now_us: u64) -> u64 {
        let used = self.recent_starts(rank, window_us, now_us).count();
        let share = self.share(rank, starts_max, window_us, now_us);
        let Some(excess) = (used + ahead + 1).checked_sub(share).filter(|excess| *excess > 0) else {
            return 0;
        };
        match self.recent_starts(rank, window_us, now_us).nth(excess - 1) {
            Some(start_us) => (start_us + window_us).saturating_sub(now_us),
            None => window_us,
        }
    }

    /// Returns the starts in a window that are left for calls of `rank` and for less urgent ones.
    ///
    /// Nothing is kept for ranks that have never arrived.
    fn share(&self, rank: u8, starts_max: usize, window_us: u64, now_us: u64) -> usize {
        if self.most_urgent.is_none_or(|most_urgent| rank <= most_urgent) {
            return starts_max;
        }
        let is_more_urgent = |(at_us, other): &&(u64, u8)| *other < rank && at_us + window_us > now_us;
        let observed = self.demand.iter().filter(is_more_urgent).count() as f64;
        // The part of the window that was not observed yet counts with the assumed share.
        let observed_us = self.since_us.map_or(0, |since_us| now_us.saturating_sub(since_us).min(window_us));
        let unobserved = 1.0 - observed_us as f64 / window_us as f64;
        let expected = observed + starts_max as f64 / ASSUMED_DIVISOR * unobserved;
        starts_max.saturating_sub(expected.ceil() as usize)
    }

    fn recent_starts(&self, rank: u8, window_us: u64, now_us: u64) -> impl Iterator<Item = u64> + '_ {
        let recent = move |at_us: &u64| at_us + window_us > now_us;
        self.starts.iter().filter(move |(_, other)| *other >= rank).map(|(at_us, _)| *at_us).filter(recent)
    }
}

fn forget_before(times: &mut VecDeque<(u64, u8)>, window_us: u64, now_us: u64) {
    while times.front().is_some_and(|(at_us, _)| at_us + window_us <= now_us) {
        times.pop_front();
    }
}
