//! How many calls a cold upstream gets.
//!
//! An upstream that has just started bears few calls a second and falls over above that. It is down
//! then, comes back cold, is overrun again, and a service of a few of them never serves again: on a
//! played fleet that lost its power one service answered a tenth of its calls for the rest of the day.
//! Let in what it bears, it is warm within seconds.

use std::collections::VecDeque;

use serde::Serialize;

/// Span of the bound, in microseconds: a second, and a tenth for calls that are put to the upstream later
/// than they start, since a node that is short of processor time takes some tens of milliseconds.
const WINDOW_US: u64 = 1_100_000;

/// An upstream that began at most this long before its node is new to every life of that node, in
/// microseconds: a process that has ended takes longer to be started again.
const NEW_START_US: u64 = 100_000;

/// How many calls a cold upstream bears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct ColdRule {
    /// Most starts within any second while the upstream is cold; none where it bears as many as usual.
    pub starts_per_s: Option<u32>,
    /// Most starts within the first second of a node's life: an earlier life of it may have made its
    /// part of that second's starts.
    pub first_second: u32,
    /// How long an upstream is cold after a start, in milliseconds; none where that is not known.
    pub length_ms: Option<u32>,
}

/// Bound on what a cold upstream gets, over every sliding second.
#[derive(Debug, Clone)]
pub struct ColdBound {
    rule: ColdRule,
    /// Until when the upstream is cold, in microseconds.
    until_us: u64,
    /// When this life of the node began, in microseconds.
    born_us: u64,
    /// Starts within the last second, the oldest first.
    starts_us: VecDeque<u64>,
}

impl ColdBound {
    /// Makes the bound of a node whose life begins at `now_us`; nothing is bounded yet.
    pub fn new(now_us: u64) -> Self {
        Self { rule: ColdRule::default(), until_us: 0, born_us: now_us, starts_us: VecDeque::with_capacity(64) }
    }

    /// Takes what a cold upstream of the service bears.
    pub fn configure(&mut self, rule: ColdRule) {
        self.rule = rule;
    }

    /// Takes until when the upstream is cold; a moment that has passed says that it is warm.
    pub fn set_until(&mut self, until_us: u64) {
        self.until_us = until_us;
    }

    /// Returns until when the upstream is cold, in microseconds.
    pub fn until_us(&self) -> u64 {
        self.until_us
    }

    /// Returns how many calls may start at `now_us`; none where starts are not bounded.
    pub fn left(&self, now_us: u64) -> Option<usize> {
        let most = self.most(now_us)?;
        Some(most.saturating_sub(self.recent(now_us).count()))
    }

    /// Returns how long the call behind `ahead` others waits for its start, in microseconds.
    pub fn wait_us(&self, ahead: usize, now_us: u64) -> u64 {
        let Some(most) = self.most(now_us) else {
            return 0;
        };
        let recent = self.recent(now_us).count();
        let over = (recent + ahead + 1).saturating_sub(most);
        if over == 0 {
            return 0;
        }
        let warm_us = self.until_us.saturating_sub(now_us);
        // The starts that are out of the way then make room; those ahead make theirs a second later.
        let free_us = match self.recent(now_us).nth(over - 1) {
            Some(start_us) => (start_us + WINDOW_US).saturating_sub(now_us),
            None => WINDOW_US,
        };
        free_us.min(warm_us)
    }

    /// Notes a start.
    pub fn started(&mut self, now_us: u64) {
        while self.starts_us.front().is_some_and(|start_us| start_us + WINDOW_US <= now_us) {
            self.starts_us.pop_front();
        }
        self.starts_us.push_back(now_us);
    }

    /// Returns the most starts in the second before `now_us`; none where they are not bounded.
    fn most(&self, now_us: u64) -> Option<usize> {
        let starts_per_s = self.rule.starts_per_s.filter(|_| now_us < self.until_us)?;
        let young = now_us < self.born_us + WINDOW_US && !self.is_new_start();
        let most = if young { starts_per_s.min(self.rule.first_second) } else { starts_per_s };
        Some(most as usize)
    }

    /// Returns whether the upstream began its present start too late for an earlier life of the node to
    /// have sent anything to it. After a loss of power of a fleet all nodes are young, and all upstreams too.
    fn is_new_start(&self) -> bool {
        let length_us = self.rule.length_ms.map(|length_ms| u64::from(length_ms) * 1000);
        length_us.is_some_and(|length_us| self.until_us + NEW_START_US >= self.born_us + length_us)
    }

    fn recent(&self, now_us: u64) -> impl Iterator<Item = u64> + '_ {
        self.starts_us.iter().copied().filter(move |start_us| start_us + WINDOW_US > now_us)
    }
}
