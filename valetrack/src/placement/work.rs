//! Estimate of the usual run time of a route, learned by one entry.

use super::message::Demand;
use super::quantile::{Quantile, QuantileRule};

/// The usual time is a quantile below the median, because noise only lengthens runs.
const RULE: QuantileRule = QuantileRule { quantile: 0.4, step: 0.06, first_step: 0.6 };
/// Divisor of a route's objective that gives the run time assumed before the first run. Operators set objectives with
/// room above the usual time, and with an assumed time the first calls can be compared across servers too.
const ASSUMED_WORK_DIVISOR: u64 = 3;

/// Usual run time of one route, without noise.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkEstimate {
    work_us: Quantile,
}

impl WorkEstimate {
    /// Records the duration of one run.
    pub fn ran(&mut self, ran_us: u32) {
        self.work_us.record(f64::from(ran_us), &RULE);
    }

    /// Returns the demand of a call of the route that has `objective_ms` left to its objective.
    pub fn demand(&self, objective_ms: u32) -> Demand {
        let left_us = u64::from(objective_ms) * 1000;
        let work_us = match self.work_us.count {
            0 => (left_us / ASSUMED_WORK_DIVISOR).min(u64::from(u32::MAX)) as u32,
            _ => self.work_us.value as u32,
        };
        Demand { work_us, left_us }
    }
}
