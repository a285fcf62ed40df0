//! The one place that reads clocks; decisions get `now_us` as an argument instead.
//!
//! Three clocks, which differ where a VM is suspended: the steady clock (`CLOCK_MONOTONIC`, and every timer of
//! the runtime) stands still meanwhile, `CLOCK_BOOTTIME` goes on, and the time of day goes on and may jump.
//! What is agreed with others (leases, deadlines, the age of news) goes by [`now_us`]; what stands still with
//! the VM, as its upstream does, goes by [`steady_us`]. `docs/INVARIANTS.md` has a row for each.

#[cfg(test)]
mod tests;

use std::ops::Add;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// A gap between both clocks that grows by less is no suspension, in microseconds: reading one after the other
/// takes a thread that is short of processor time some tens of milliseconds.
const SUSPENSION_MIN_US: u64 = 150_000;

/// Microseconds by which tests have put the clock ahead that goes on in a suspension.
static AHEAD_US: AtomicU64 = AtomicU64::new(0);

/// Where both clocks stood when the process first asked.
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

/// Returns microseconds since the process first asked, suspensions of the VM included.
pub fn now_us() -> u64 {
    let since = boot_time().saturating_sub(start().boot);
    since.as_micros() as u64 + AHEAD_US.load(Ordering::Relaxed)
}

/// Returns microseconds since the process first asked during which the VM was not suspended.
pub fn steady_us() -> u64 {
    start().steady.elapsed().as_micros() as u64
}

/// Returns for how long the VM was suspended since the process first asked, in microseconds; less than what
/// [`SuspensionWatch`] takes for one may be an error of reading.
pub fn suspended_us() -> u64 {
    let steady_us = steady_us();
    now_us().saturating_sub(steady_us)
}

/// Returns microseconds of the wall clock since 1970; it may jump.
pub fn wall_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Makes this process believe that its VM was suspended for this long just now, for tests.
pub fn put_ahead(by: Duration) {
    AHEAD_US.fetch_add(by.as_micros() as u64, Ordering::Relaxed);
}

/// A moment of the clock that goes on in a suspension.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment {
    us: u64,
}

impl Moment {
    /// Returns the present moment.
    pub fn now() -> Self {
        Self { us: now_us() }
    }

    /// Returns how long ago the moment was; zero for one to come.
    pub fn elapsed(self) -> Duration {
        Duration::from_micros(now_us().saturating_sub(self.us))
    }

    /// Returns how long it is until the moment; zero for one that has passed.
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

/// Tells of each suspension once.
#[derive(Debug, Clone, Copy, Default)]
pub struct SuspensionWatch {
    seen_us: u64,
}

impl SuspensionWatch {
    /// Makes a watch that tells of later suspensions only.
    pub fn from_now() -> Self {
        Self { seen_us: suspended_us() }
    }

    /// Takes for how long the VM was suspended so far; returns how long it was since the last time, if it was.
    pub fn take(&mut self, suspended_us: u64) -> Option<Duration> {
        let since_us = suspended_us.saturating_sub(self.seen_us);
        if since_us < SUSPENSION_MIN_US {
            return None;
        }
        self.seen_us = suspended_us;
        Some(Duration::from_micros(since_us))
    }
}
