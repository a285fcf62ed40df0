//! The only module that reads clocks; pure decisions receive `now_us` as an argument instead.
//!
//! There are three clocks, which differ when a VM is suspended: the steady clock (`CLOCK_MONOTONIC`, and all timers of
//! the runtime) is paused, `CLOCK_BOOTTIME` continues, and the wall clock continues and may jump. Times that are shared
//! with other nodes (leases, deadlines, the age of updates) use [`now_us`]. Times of things that are paused with the
//! VM, such as its upstream, use [`steady_us`]. `docs/INVARIANTS.md` has a row for each.

#[cfg(test)]
mod tests;

use std::ops::Add;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Minimum growth of the difference between both clocks that counts as a suspension. It exceeds the error of readings by
/// a thread that is short of processor time.
const SUSPENSION_MIN_US: u64 = 150_000;
/// Longest time between two readings of the steady clock with one of the other clock in between for which the three are
/// used. A thread that loses the processor meanwhile would take the time until it continues for a suspension.
const READING_MAX_US: u64 = 1_000;
/// Most attempts to read both clocks that quickly; the quickest one is used if none is quick enough.
const READINGS_MAX: usize = 8;

/// Time by which simulated suspensions have advanced [`now_us`].
static AHEAD_US: AtomicU64 = AtomicU64::new(0);

/// Readings of both clocks at their first use in the process.
struct Start {
    steady: Instant,
    boot: Duration,
}

static START: OnceLock<Start> = OnceLock::new();

fn boot_time() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    Duration::new(at.tv_sec.unsigned_abs(), at.tv_nsec as u32)
}

fn start() -> &'static Start {
    START.get_or_init(|| Start { steady: Instant::now(), boot: boot_time() })
}

#[cfg(test)]
thread_local! {
    /// Start of the paused clock of the runtime that replaces both clocks in this thread.
    static PAUSED_START: std::cell::Cell<Option<tokio::time::Instant>> = const { std::cell::Cell::new(None) };
}

/// Replaces both clocks of this thread by the paused clock of its runtime, for tests in virtual time.
#[cfg(test)]
pub fn use_paused_clock() {
    PAUSED_START.set(Some(tokio::time::Instant::now()));
}

#[cfg(test)]
fn paused_us() -> Option<u64> {
    PAUSED_START.get().map(|start| start.elapsed().as_micros() as u64)
}

#[cfg(not(test))]
const fn paused_us() -> Option<u64> {
    None
}

/// Returns microseconds since the first use of the clocks, suspensions of the VM included.
pub fn now_us() -> u64 {
    if let Some(paused_us) = paused_us() {
        return paused_us;
    }
    let since = boot_time().saturating_sub(start().boot);
    since.as_micros() as u64 + AHEAD_US.load(Ordering::Relaxed)
}

/// Returns microseconds since the first use of the clocks, suspensions of the VM excluded.
pub fn steady_us() -> u64 {
    if let Some(paused_us) = paused_us() {
        return paused_us;
    }
    start().steady.elapsed().as_micros() as u64
}

/// Returns for how many microseconds the VM was suspended since the first use of the clocks. A result below the minimum
/// of [`SuspensionWatch`] may be a reading error.
pub fn suspended_us() -> u64 {
    let reading = |_| Reading { before_us: steady_us(), now_us: now_us(), after_us: steady_us() };
    suspended_by((0..READINGS_MAX).map(reading))
}

/// Reading of the clock that continues during a suspension, between two of the steady clock.
#[derive(Debug, Clone, Copy)]
struct Reading {
    before_us: u64,
    now_us: u64,
    after_us: u64,
}

impl Reading {
    const fn width_us(&self) -> u64 {
        self.after_us.saturating_sub(self.before_us)
    }
}

/// Returns the suspended time by the first reading that is quick enough, or by the quickest one.
fn suspended_by(readings: impl Iterator<Item = Reading>) -> u64 {
    let mut quickest: Option<Reading> = None;
    for reading in readings {
        if quickest.is_none_or(|quickest| reading.width_us() < quickest.width_us()) {
            quickest = Some(reading);
        }
        if reading.width_us() <= READING_MAX_US {
            break;
        }
    }
    quickest.map_or(0, |reading| reading.now_us.saturating_sub(reading.before_us))
}

/// Returns microseconds since 1970 by the wall clock, which may jump.
pub fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Simulates a suspension of the VM that has just ended, for tests: advances [`now_us`], but not [`steady_us`].
pub fn simulate_suspension(by: Duration) {
    AHEAD_US.fetch_add(by.as_micros() as u64, Ordering::Relaxed);
}

/// A point in time by [`now_us`], the clock that continues during a suspension.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment {
    us: u64,
}

impl Moment {
    /// Returns the current time.
    pub fn now() -> Self {
        Self { us: now_us() }
    }

    /// Returns the time since the moment, or zero if it lies in the future.
    pub fn elapsed(self) -> Duration {
        Duration::from_micros(now_us().saturating_sub(self.us))
    }

    /// Returns the time until the moment, or zero if it has passed.
    pub fn left(self) -> Duration {
        Duration::from_micros(self.us.saturating_sub(now_us()))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, after: Duration) -> Self {
        Self { us: self.us.saturating_add(after.as_micros() as u64) }
    }
}

/// Detects suspensions and reports each of them once.
#[derive(Debug, Clone, Copy, Default)]
pub struct SuspensionWatch {
    seen_us: u64,
}

impl SuspensionWatch {
    /// Creates a watch that reports later suspensions only.
    pub fn from_now() -> Self {
        Self { seen_us: suspended_us() }
    }

    /// Records the total suspended time so far; returns the time that was added since the last report, if it is long
    /// enough to be a suspension.
    pub fn take(&mut self, suspended_us: u64) -> Option<Duration> {
        let since_us = suspended_us.saturating_sub(self.seen_us);
        if since_us < SUSPENSION_MIN_US {
            return None;
        }
        self.seen_us = suspended_us;
        Some(Duration::from_micros(since_us))
    }
}
