//! How many calls a server should run at once: fewer than its slots where it slows when full.
//!
//! Some servers take much longer when nearly all their slots are busy, and then do less work with
//! all of them than with some left free. A few slots are therefore left free at first. Now and
//! then all of them are used for a moment, and where that shows that a full server ends more runs
//! in a second, they all are from then on. Runs of both kinds come from the same seconds, so that
//! neither the load nor the mix of calls of another hour is taken for an effect of fullness.

/// Part of the slots that is used at first, in hundredths: the last fifth is where "nearly full"
/// begins for a server that slows then.
const CAREFUL_PERCENT: u16 = 80;
/// Servers with fewer slots get them all: one left free would be too much of them.
const SLOTS_MIN: u16 = 5;
/// Runs of either kind before they are compared.
const RUNS_MIN: u32 = 20;
/// Step of the usual time towards a new run, as a share of itself.
const STEP: f64 = 0.05;
/// Place of the usual time among the runs: below the middle, since a machine's noise slows some
/// of them at any fullness.
const QUANTILE: f64 = 0.4;
/// All slots must promise this many times the throughput before they are used for good, since
/// the estimates are rough and a full server leaves nothing for a burst.
const GAIN_MIN: f64 = 1.05;
/// Time between two tries with all slots, in microseconds.
const TRY_EVERY_US: u64 = 4_000_000;
/// Length of a try, in microseconds: a tenth of the time, and some runs long.
const TRY_US: u64 = 400_000;

/// Runs at one fullness.
#[derive(Debug, Clone, Copy, Default)]
struct Runs {
    /// Usual time of a run, as a factor of the expected time.
    factor: f64,
    count: u32,
}

impl Runs {
    fn add(&mut self, factor: f64) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.factor = factor;
            return;
        }
        let up = if factor > self.factor { QUANTILE } else { QUANTILE - 1.0 };
        self.factor *= 1.0 + STEP * up;
    }
}

/// What the runs of one server have shown of its slots.
#[derive(Debug, Clone, Default)]
pub struct ConcurrencyLimit {
    /// Runs with as many calls at once as are let in at first.
    careful: Runs,
    /// Runs with more.
    full: Runs,
}

impl ConcurrencyLimit {
    /// Takes a run that took `factor` times the expected time while `busy` of `slots` were busy.
    pub fn ran(&mut self, factor: f64, busy: u16, slots: u16) {
        let careful = careful(slots);
        if busy > careful {
            self.full.add(factor);
        } else if busy + 2 >= careful {
            self.careful.add(factor);
        }
    }

    /// Returns how many of `slots` are to be used at `now_us`.
    pub fn limit(&self, slots: u16, now_us: u64) -> u16 {
        let trying = now_us % TRY_EVERY_US < TRY_US;
        if trying || self.full_is_better(slots) { slots } else { careful(slots) }
    }

    fn full_is_better(&self, slots: u16) -> bool {
        if self.full.count < RUNS_MIN || self.careful.count < RUNS_MIN {
            return false;
        }
        let full = f64::from(slots) / self.full.factor;
        let some = f64::from(careful(slots)) / self.careful.factor;
        full > some * GAIN_MIN
    }
}

/// Returns how many slots are used until more is known.
fn careful(slots: u16) -> u16 {
    if slots < SLOTS_MIN { slots } else { (u32::from(slots) * u32::from(CAREFUL_PERCENT) / 100) as u16 }
}
