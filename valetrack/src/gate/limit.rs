//! Learns how many calls a server should run at once, which is fewer than its slots if it slows down when full.
//!
//! Some servers take much longer when nearly all their slots are busy, and then complete less work than with some slots
//! free. At first, a few slots are therefore left free. All slots are used briefly at intervals, and if a full server
//! completes more runs per second, all slots are used from then on. Samples of both kinds come from the same seconds,
//! so that changes of the load or of the mix of calls are not mistaken for an effect of fullness.

/// Share of the slots that is used at first: a server that slows down when nearly full does so in its last fifth.
const REDUCED_PERCENT: u16 = 80;
/// Servers with fewer slots use all of them, since one free slot would be too large a share.
const SLOTS_MIN: u16 = 5;
/// Runs of either kind that are required for a comparison.
const RUNS_MIN: u32 = 20;
/// Step of the usual duration towards a new run, as a share of itself.
const STEP: f64 = 0.05;
/// Quantile of the runs that counts as the usual duration: below the median, since noise of the machine slows some runs
/// at any fullness.
const QUANTILE: f64 = 0.4;
/// All slots are used permanently only if they give this many times the throughput, since the estimates are rough and a
/// full server has no reserve for a burst.
const GAIN_MIN: f64 = 1.05;
/// Time between two probes with all slots.
const PROBE_INTERVAL_US: u64 = 4_000_000;
/// Length of a probe: a tenth of the time, and several runs long.
const PROBE_US: u64 = 400_000;

/// Runs at one level of fullness.
#[derive(Debug, Clone, Copy, Default)]
struct Runs {
    /// Usual duration of a run, as a factor of the expected duration.
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

/// Measured effect of fullness on the runs of one server.
#[derive(Debug, Clone, Default)]
pub struct ConcurrencyLimit {
    /// Runs at the reduced number of slots.
    reduced: Runs,
    /// Runs with more busy slots.
    full: Runs,
}

impl ConcurrencyLimit {
    /// Records a run that took `factor` times its expected duration while `busy` of `slots` were in use.
    pub fn record_run(&mut self, factor: f64, busy: u16, slots: u16) {
        let reduced = reduced(slots);
        if busy > reduced {
            self.full.add(factor);
        } else if busy + 2 >= reduced {
            self.reduced.add(factor);
        }
    }

    /// Returns how many of `slots` may be used at `now_us`.
    pub fn limit(&self, slots: u16, now_us: u64) -> u16 {
        let probing = now_us % PROBE_INTERVAL_US < PROBE_US;
        if probing || self.full_is_better(slots) { slots } else { reduced(slots) }
    }

    fn full_is_better(&self, slots: u16) -> bool {
        if self.full.count < RUNS_MIN || self.reduced.count < RUNS_MIN {
            return false;
        }
        let full_throughput = f64::from(slots) / self.full.factor;
        let reduced_throughput = f64::from(reduced(slots)) / self.reduced.factor;
        full_throughput > reduced_throughput * GAIN_MIN
    }
}

/// Returns how many slots are used before enough runs were measured.
fn reduced(slots: u16) -> u16 {
    if slots < SLOTS_MIN { slots } else { (u32::from(slots) * u32::from(REDUCED_PERCENT) / 100) as u16 }
}
