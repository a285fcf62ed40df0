//! Limits the calls that a cold upstream receives.
//!
//! An upstream that has just started supports few calls per second and crashes under more. It then restarts cold and is
//! overloaded again, so a service with few upstreams never recovers. On a fleet that had lost its power, one service
//! answered a tenth of its calls for the rest of the day. With limited starts, an upstream is warm within seconds.

use std::collections::VecDeque;

use serde::Serialize;

use super::cold_rank::RankedStarts;

/// Window of the limit: one second, plus a tenth because a node that is short of processor time sends a call to the
/// upstream some tens of milliseconds after its start.
const WINDOW_US: u64 = 1_100_000;

/// If an upstream started at most this long before its node, it is new to every incarnation of that node, since
/// restarting a process that has ended takes longer.
const NEW_START_US: u64 = 100_000;

/// How many calls a cold upstream supports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct ColdRule {
    /// Most starts within any second while the upstream is cold; `None` if there is no special limit.
    pub starts_per_s: Option<u32>,
    /// Most starts within the first second after the node's start, since an earlier incarnation of the node may have
    /// used a part of that second's starts.
    pub first_second: u32,
    /// How long an upstream is cold after a start; `None` if unknown.
    pub length_ms: Option<u32>,
    /// Whether starts that more urgent calls need are kept for them.
    pub by_rank: bool,
}

/// Limit on the calls that a cold upstream receives, over a sliding window.
#[derive(Debug, Clone)]
pub struct ColdBound {
    rule: ColdRule,
    /// Time until which the upstream is cold.
    until_us: u64,
    /// Start time of the node.
    node_start_us: u64,
    /// Starts within the last window, oldest first.
    starts_us: VecDeque<u64>,
    /// Arrivals and starts by rank; empty unless the rule shares starts by rank.
    ranked: RankedStarts,
}

impl ColdBound {
    /// Creates the limit of a node that starts at `now_us`; nothing is limited yet.
    pub fn new(now_us: u64) -> Self {
        Self {
            rule: ColdRule::default(),
            until_us: 0,
            node_start_us: now_us,
            starts_us: VecDeque::with_capacity(64),
            ranked: RankedStarts::default(),
        }
    }

    /// Sets how many calls a cold upstream of the service supports.
    pub fn configure(&mut self, rule: ColdRule) {
        self.rule = rule;
    }

    /// Sets the time until which the upstream is cold; a time in the past means that it is warm.
    pub fn set_until(&mut self, until_us: u64) {
        self.until_us = until_us;
    }

    /// Returns the time until which the upstream is cold.
    pub fn until_us(&self) -> u64 {
        self.until_us
    }

    /// Returns how many calls may start at `now_us`; `None` if starts are not limited.
    pub fn remaining(&self, now_us: u64) -> Option<usize> {
        let starts_max = self.starts_max(now_us)?;
        Some(starts_max.saturating_sub(self.recent_starts(now_us).count()))
    }

    /// Returns how many calls of `rank` may start at `now_us`; `None` if starts are not limited.
    pub fn remaining_for(&self, rank: u8, now_us: u64) -> Option<usize> {
        let remaining = self.remaining(now_us)?;
        match (self.rule.by_rank, self.starts_max(now_us)) {
            (true, Some(starts_max)) => Some(remaining.min(self.ranked.remaining(rank, starts_max, WINDOW_US, now_us))),
            (true, None) | (false, _) => Some(remaining),
        }
    }

    /// Returns how long the call of `rank` behind `ahead` others waits for its start.
    pub fn wait_for_us(&self, rank: u8, ahead: usize, now_us: u64) -> u64 {
        let wait_us = self.wait_us(ahead, now_us);
        match self.starts_max(now_us).filter(|_| self.rule.by_rank) {
            Some(starts_max) => {
                let share_us = self.ranked.wait_us(rank, ahead, starts_max, WINDOW_US, now_us);
                wait_us.max(share_us.min(self.until_us.saturating_sub(now_us)))
            }
            None => wait_us,
        }
    }

    /// Records the arrival of a call of `rank`.
    pub fn record_arrival(&mut self, rank: u8, now_us: u64) {
        match self.rule.by_rank && self.starts_max(now_us).is_some() {
            true => self.ranked.record_arrival(rank, now_us),
            false => self.ranked.clear(),
        }
    }

    /// Returns how long the call behind `ahead` others waits for its start.
    pub fn wait_us(&self, ahead: usize, now_us: u64) -> u64 {
        let Some(starts_max) = self.starts_max(now_us) else {
            return 0;
        };
        let recent = self.recent_starts(now_us).count();
        let excess = (recent + ahead + 1).saturating_sub(starts_max);
        if excess == 0 {
            return 0;
        }
        let warm_us = self.until_us.saturating_sub(now_us);
        // The starts that have left the window by then make room. If that is not enough, the calls ahead leave the
        // window one length later.
        let free_us = match self.recent_starts(now_us).nth(excess - 1) {
            Some(start_us) => (start_us + WINDOW_US).saturating_sub(now_us),
            None => WINDOW_US,
        };
        free_us.min(warm_us)
    }

    /// Records that a call of `rank` is declined; it counts as needing a start if none is left for it.
    pub fn record_decline(&mut self, rank: u8, now_us: u64) {
        if self.rule.by_rank && self.remaining_for(rank, now_us) == Some(0) {
            self.ranked.record_demand(rank, WINDOW_US, now_us);
        }
    }

    /// Records the start of a call of `rank`.
    pub fn record_ranked_start(&mut self, rank: u8, now_us: u64) {
        if self.rule.by_rank && self.starts_max(now_us).is_some() {
            self.ranked.record_start(rank, WINDOW_US, now_us);
        }
        self.record_start(now_us);
    }

    /// Records a start.
    pub fn record_start(&mut self, now_us: u64) {
        while self.starts_us.front().is_some_and(|start_us| start_us + WINDOW_US <= now_us) {
            self.starts_us.pop_front();
        }
        self.starts_us.push_back(now_us);
    }

    /// Returns the most starts within the window before `now_us`; `None` if they are not limited.
    fn starts_max(&self, now_us: u64) -> Option<usize> {
        let starts_per_s = self.rule.starts_per_s.filter(|_| now_us < self.until_us)?;
        let node_is_new = now_us < self.node_start_us + WINDOW_US && !self.is_new_start();
        let starts_max = if node_is_new { starts_per_s.min(self.rule.first_second) } else { starts_per_s };
        Some(starts_max as usize)
    }

    /// Returns whether the upstream began its present start too late for an earlier incarnation of the node to have
    /// sent it any call. After a power loss, all nodes and all upstreams are new.
    pub fn is_new_start(&self) -> bool {
        let length_us = self.rule.length_ms.map(|length_ms| u64::from(length_ms) * 1000);
        length_us.is_some_and(|length_us| self.until_us + NEW_START_US >= self.node_start_us + length_us)
    }

    fn recent_starts(&self, now_us: u64) -> impl Iterator<Item = u64> + '_ {
        self.starts_us.iter().copied().filter(move |start_us| start_us + WINDOW_US > now_us)
    }
}
