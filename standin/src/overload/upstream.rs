//! Model of an upstream: its machine varies in speed, it is cold after a start, slower when nearly full, and
//! crashes and is down for a while when it receives too many calls while it is cold.

use std::collections::VecDeque;

/// Period for which a machine keeps its speed.
const SPEED_PERIOD_US: u64 = 300_000;
/// Share of these periods in which the machine is slow.
const SLOW_SHARE: f64 = 0.25;
/// Factor on the time of a run that begins on a slow machine.
const SLOW_FACTOR: f64 = 4.0;
/// Factor on the time of a run that begins on a cold upstream.
const COLD_FACTOR: f64 = 2.0;
/// Share of occupied slots above which an upstream is nearly full.
const NEARLY_FULL_SHARE: f64 = 0.8;
/// Factor on the time of a run that begins on a nearly full upstream.
const NEARLY_FULL_FACTOR: f64 = 1.7;
/// Spread of the times of a route's runs, relative to their mean.
const SPREAD: f64 = 0.3;

/// Time for which a crashed upstream is down.
const DOWN_US: u64 = 1_000_000;
/// Window in which calls to a cold upstream are counted.
const COLD_WINDOW_US: u64 = 1_000_000;

/// Response of an upstream to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reception {
    /// The upstream runs the call.
    Runs,
    /// The upstream crashes, with all its runs.
    Crashes,
    /// The upstream is down and refuses the connection.
    Refuses,
}

/// An upstream and its machine.
#[derive(Debug)]
pub struct Upstream {
    seed: u64,
    slots: u16,
    cold_until_us: u64,
    /// Time for which it is cold after a start.
    cold_us: u64,
    /// Calls in a second above which it crashes while it is cold.
    cold_calls_max: Option<usize>,
    /// Arrivals of the calls of the last second, while it is cold.
    cold_calls_us: VecDeque<u64>,
    down_until_us: u64,
    /// Current number of runs.
    pub running: u16,
}

impl Upstream {
    /// Creates an upstream that is cold for `cold_us` from the start of the run.
    pub fn new(seed: u64, slots: u16, cold_us: u64, cold_calls_max: Option<usize>) -> Self {
        Self {
            seed,
            slots,
            cold_until_us: cold_us,
            cold_us,
            cold_calls_max,
            cold_calls_us: VecDeque::new(),
            down_until_us: 0,
            running: 0,
        }
    }

    /// Receives a call, and crashes if the upstream is cold and above its limit of calls.
    pub fn receive(&mut self, now_us: u64) -> Reception {
        if now_us < self.down_until_us {
            return Reception::Refuses;
        }
        if now_us >= self.cold_until_us {
            return Reception::Runs;
        }
        self.cold_calls_us.push_back(now_us);
        while self.cold_calls_us.front().is_some_and(|at_us| at_us + COLD_WINDOW_US <= now_us) {
            self.cold_calls_us.pop_front();
        }
        if self.cold_calls_max.is_none_or(|calls_max| self.cold_calls_us.len() <= calls_max) {
            return Reception::Runs;
        }
        self.cold_calls_us.clear();
        self.down_until_us = now_us + DOWN_US;
        self.running = 0;
        Reception::Crashes
    }

    /// Restarts the upstream after a crash; returns the time at which it will be warm.
    pub fn restart(&mut self, now_us: u64) -> u64 {
        self.cold_until_us = now_us + self.cold_us;
        self.cold_until_us
    }

    /// Returns the time at which it accepts connections again after a crash.
    pub fn down_until_us(&self) -> u64 {
        self.down_until_us
    }

    /// Returns the time at which it is warm.
    pub fn cold_until_us(&self) -> u64 {
        self.cold_until_us
    }

    /// Returns the factor by which other work on the machine slows the upstream at `now_us`.
    fn slowdown(&self, now_us: u64) -> f64 {
        let offset_us = self.seed % SPEED_PERIOD_US;
        let period = (now_us + offset_us) / SPEED_PERIOD_US;
        let mut rng = fastrand::Rng::with_seed(self.seed ^ period.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        if rng.f64() < SLOW_SHARE { SLOW_FACTOR } else { 1.0 }
    }

    /// Returns the measured time of work as a percentage of the usual one; a cold upstream takes longer as well.
    pub fn reported_percent(&self, now_us: u64) -> u16 {
        (self.slowdown(now_us) * self.cold_factor(now_us) * 100.0) as u16
    }

    fn cold_factor(&self, now_us: u64) -> f64 {
        if now_us < self.cold_until_us { COLD_FACTOR } else { 1.0 }
    }

    /// Returns the time of a run that begins now; it keeps the speed of its start.
    pub fn run_us(&self, work_us: u64, now_us: u64, rng: &mut fastrand::Rng) -> u64 {
        let cold = self.cold_factor(now_us);
        let full = f64::from(self.running) > NEARLY_FULL_SHARE * f64::from(self.slots);
        let full_factor = if full { NEARLY_FULL_FACTOR } else { 1.0 };
        // The sum of three uniform draws approximates a normal distribution.
        let deviation = (rng.f64() + rng.f64() + rng.f64()) * 2.0 - 3.0;
        let spread = (1.0 + SPREAD * deviation).max(0.2);
        (work_us as f64 * self.slowdown(now_us) * cold * full_factor * spread) as u64
    }
}
