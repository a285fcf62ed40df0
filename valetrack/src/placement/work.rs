//! How long the runs of a route usually take, as one entry learns it.

use super::message::Demand;
use super::quantile::{Quantile, QuantileRule};

/// The usual time lies below the middle of all, since noise only ever slows.
const RULE: QuantileRule = QuantileRule { quantile: 0.4, step: 0.06, first_step: 0.6 };
/// Until a run was seen, a route's runs are taken to need this part of its objective, as a divisor:
/// operators set objectives with room above the usual time, and a guess lets first calls be weighed.
/// With the quick first steps of a server's speed the mean worth of three played fleets (13 VMs, five
/// days, two seeds each) went from 0.694, 0.453 and 0.390 to 0.695, 0.462 and 0.401.
const UNSEEN_DIVISOR: u64 = 3;

/// Usual time of the runs of one route, without noise.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkEstimate {
    work_us: Quantile,
}

impl WorkEstimate {
    /// Takes the time of one run, in microseconds.
    pub fn ran(&mut self, ran_us: u32) {
        self.work_us.take(f64::from(ran_us), &RULE);
    }

    /// Returns what a call of the route asks for that has `objective_ms` to its objective.
    pub fn demand(&self, objective_ms: u32) -> Demand {
        let left_us = u64::from(objective_ms) * 1000;
        let work_us = match self.work_us.count {
            0 => (left_us / UNSEEN_DIVISOR).min(u64::from(u32::MAX)) as u32,
            _ => self.work_us.value as u32,
        };
        Demand { work_us, left_us }
    }
}
