//! Whether the upstream falls over again and again.

use std::collections::VecDeque;

/// Time over which starts without a word of leaving count, in microseconds: some cycles of an upstream
/// that is overrun whenever it comes back, each some seconds long.
const WINDOW_US: u64 = 30_000_000;
/// Such starts within that time from which on it falls over again and again: one crash is bad luck, and a
/// second one may have the cause of the first.
const CRASHES_MIN: usize = 3;

/// Starts of the upstream that came without a word of leaving before.
#[derive(Debug, Default)]
pub struct CrashWatch {
    crashes_us: VecDeque<u64>,
}

impl CrashWatch {
    /// Takes a start without a word of leaving before; returns how many there were of late.
    pub fn crashed(&mut self, now_us: u64) -> usize {
        self.forget(now_us);
        self.crashes_us.push_back(now_us);
        self.crashes_us.len()
    }

    /// Returns whether the upstream falls over again and again.
    pub fn is_recurrent(&mut self, now_us: u64) -> bool {
        self.forget(now_us);
        self.crashes_us.len() >= CRASHES_MIN
    }

    fn forget(&mut self, now_us: u64) {
        while self.crashes_us.front().is_some_and(|crash_us| crash_us + WINDOW_US <= now_us) {
            self.crashes_us.pop_front();
        }
    }
}
