//! What a call is likely to come to at a server: how fast the server is, and what its answer is worth.

use crate::gate::{LoadReport, SLOWDOWN_LASTS_US, fading, time_worth};

/// What leaving the failure domain costs, as a share of an answer in time. Its bytes are paid for;
/// a platform does not say how dearly, so this is what two kilobytes cost at a middling price.
const FAR_COST: f64 = 0.3;
/// What opening a link to another failure domain costs, as a share of an answer in time: some
/// five kilobytes of handshake, of which half a dozen later calls have their use too.
const FIRST_COST: f64 = 0.15;
/// A server is slow when it takes this many times its average.
const SLOW_FACTOR: f64 = 1.2;

/// How fast a server is now, by a report of some age.
pub(super) struct Pace {
    /// Factor of a run now.
    pub(super) now: f64,
    /// Factor of a run on average.
    pub(super) mean: f64,
    /// How long the present factor is likely to go on, in microseconds.
    pub(super) lasts_us: f64,
    /// What the report still says of the present, from one down to zero.
    pub(super) weight: f64,
}

impl Pace {
    /// Reads a report that came `age_us` ago.
    pub(super) fn of(load: &LoadReport, age_us: u64) -> Self {
        let factor = |percent: u16| if percent == 0 { 1.0 } else { f64::from(percent) / 100.0 };
        let lasts_us = match load.slow_lasts_ms {
            0 => SLOWDOWN_LASTS_US as f64,
            lasts_ms => f64::from(lasts_ms) * 1000.0,
        };
        let mean = 1.0 + (factor(load.mean_percent) - 1.0) * fading(age_us);
        let weight = 0.5_f64.powf(age_us as f64 / lasts_us);
        let now = factor(load.slowdown_percent) * weight + mean * (1.0 - weight);
        Self { now, mean, lasts_us, weight }
    }

    /// Returns whether the server is much slower now than it is on average.
    pub(super) fn is_slow(&self) -> bool {
        self.now > self.mean * SLOW_FACTOR
    }
}

/// Returns what the way to a server costs, as a share of an answer in time.
pub(super) fn way_cost(far: bool) -> f64 {
    if far { FAR_COST } else { 0.0 }
}

/// Returns what a call is worth that should take `expected_us` where `left_us` are left, as a share
/// of an answer in time: the chance that it is in time, less what the way there costs.
pub(super) fn worth(expected_us: f64, left_us: f64, far: bool, never_asked: bool) -> f64 {
    // A server that was never asked has no link yet, and opening one crosses as bytes too.
    let first = if far && never_asked { FIRST_COST } else { 0.0 };
    time_worth(expected_us, left_us) - way_cost(far) - first
}
