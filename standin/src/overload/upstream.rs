//! A fake of an upstream: a machine whose speed swings, cold from its start, slower when nearly full, and
//! down for a while when it gets more than it bears while it is cold.

use std::collections::VecDeque;

/// How often a machine's speed is drawn anew, in microseconds.
const SWING_US: u64 = 300_000;
/// Share of these stretches in which it is slow.
const SLOW_SHARE: f64 = 0.25;
/// Factor of a run that begins on a slow machine.
const SLOW_FACTOR: f64 = 4.0;
/// Factor of a run that begins on a cold upstream.
const COLD_FACTOR: f64 = 2.0;
/// Share of its slots from which on an upstream counts as nearly full.
const KNEE: f64 = 0.8;
/// Factor of a run that begins on one.
const KNEE_FACTOR: f64 = 1.7;
/// Spread of runs of one route around their average.
const SPREAD: f64 = 0.3;

/// Time for which an upstream that fell over is down, in microseconds.
const DOWN_US: u64 = 1_000_000;
/// Span in which calls to a cold upstream count, in microseconds.
const BEARS_WINDOW_US: u64 = 1_000_000;

/// What an upstream does with a call that reaches it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reception {
    /// It runs it.
    Runs,
    /// It falls over, with all that it runs.
    FallsOver,
    /// It is down and takes no connection.
    Refuses,
}

/// One upstream with its machine.
#[derive(Debug)]
pub struct Upstream {
    seed: u64,
    slots: u16,
    cold_until_us: u64,
    /// For how long it is cold after a start, in microseconds.
    cold_us: u64,
    /// Calls within a second above which it falls over while it is cold.
    cold_bears: Option<usize>,
    /// When calls reached it while it was cold, within the last second.
    reached_us: VecDeque<u64>,
    down_until_us: u64,
    /// Runs that it works on.
    pub running: u16,
}

impl Upstream {
    /// Makes an upstream that is cold for a while from its start on.
    pub fn new(seed: u64, slots: u16, cold_us: u64, cold_bears: Option<usize>) -> Self {
        Self {
            seed,
            slots,
            cold_until_us: cold_us,
            cold_us,
            cold_bears,
            reached_us: VecDeque::new(),
            down_until_us: 0,
            running: 0,
        }
    }

    /// Takes a call that reaches it.
    pub fn receive(&mut self, now_us: u64) -> Reception {
        if now_us < self.down_until_us {
            return Reception::Refuses;
        }
        if now_us >= self.cold_until_us {
            return Reception::Runs;
        }
        self.reached_us.push_back(now_us);
        while self.reached_us.front().is_some_and(|at_us| at_us + BEARS_WINDOW_US <= now_us) {
            self.reached_us.pop_front();
        }
        if self.cold_bears.is_none_or(|bears| self.reached_us.len() <= bears) {
            return Reception::Runs;
        }
        self.reached_us.clear();
        self.down_until_us = now_us + DOWN_US;
        self.running = 0;
        Reception::FallsOver
    }

    /// Starts again after it fell over; returns until when it is cold then, in microseconds.
    pub fn start_again(&mut self, now_us: u64) -> u64 {
        self.cold_until_us = now_us + self.cold_us;
        self.cold_until_us
    }

    /// Returns when it takes connections again after it fell over, in microseconds.
    pub fn down_until_us(&self) -> u64 {
        self.down_until_us
    }

    /// Returns when it is warm, in microseconds.
    pub fn cold_until_us(&self) -> u64 {
        self.cold_until_us
    }

    /// Returns the factor by which other work on its machine slows it at a moment.
    fn slowdown(&self, now_us: u64) -> f64 {
        let offset_us = self.seed % SWING_US;
        let stretch = (now_us + offset_us) / SWING_US;
        let mut rng = fastrand::Rng::with_seed(self.seed ^ stretch.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        if rng.f64() < SLOW_SHARE { SLOW_FACTOR } else { 1.0 }
    }

    /// Returns what its machine tells of its speed, in hundredths of the usual time of work: a cold
    /// upstream takes longer as well.
    pub fn told_percent(&self, now_us: u64) -> u16 {
        (self.slowdown(now_us) * self.cold_factor(now_us) * 100.0) as u16
    }

    fn cold_factor(&self, now_us: u64) -> f64 {
        if now_us < self.cold_until_us { COLD_FACTOR } else { 1.0 }
    }

    /// Returns how long a run takes that begins now, in microseconds; it keeps the speed of its start.
    pub fn run_us(&self, work_us: u64, now_us: u64, rng: &mut fastrand::Rng) -> u64 {
        let cold = self.cold_factor(now_us);
        let full = f64::from(self.running) > KNEE * f64::from(self.slots);
        let knee = if full { KNEE_FACTOR } else { 1.0 };
        // The sum of three even draws is close enough to a bell.
        let bell = (rng.f64() + rng.f64() + rng.f64()) * 2.0 - 3.0;
        let spread = (1.0 + SPREAD * bell).max(0.2);
        (work_us as f64 * self.slowdown(now_us) * cold * knee * spread) as u64
    }
}
