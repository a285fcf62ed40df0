//! Detects an upstream that crashes repeatedly.

use std::collections::VecDeque;

/// Period in which crashes are counted: several cycles of an upstream that is overloaded whenever it restarts, each
/// some seconds long.
const WINDOW_US: u64 = 30_000_000;
/// Crashes within the period that count as recurrent: a single crash may be chance, and a second one may have the same
/// cause as the first.
const CRASHES_MIN: usize = 3;

/// Starts of the upstream that were not preceded by an announcement of leaving.
#[derive(Debug, Default)]
pub struct CrashWatch {
    crashes_us: VecDeque<u64>,
}

impl CrashWatch {
    /// Records a start without an announcement of leaving before it; returns the number of recent ones.
    pub fn record_crash(&mut self, now_us: u64) -> usize {
        self.expire(now_us);
        self.crashes_us.push_back(now_us);
        self.crashes_us.len()
    }

    /// Returns whether the upstream crashes repeatedly.
    pub fn is_recurrent(&mut self, now_us: u64) -> bool {
        self.expire(now_us);
        self.crashes_us.len() >= CRASHES_MIN
    }

    fn expire(&mut self, now_us: u64) {
        while self.crashes_us.front().is_some_and(|crash_us| crash_us + WINDOW_US <= now_us) {
            self.crashes_us.pop_front();
        }
    }
}
