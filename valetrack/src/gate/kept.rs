//! Learns whether runs keep the speed that their machine had at their start, or follow its changes.
//!
//! Both kinds of servers exist: some take their share of the processor when a run begins, and the work of others speeds
//! up and slows down with the machine. The two predictions for a run differ widely, so each server's finished runs
//! decide between them.

/// Weight of one run: twenty runs that agree move the share from 0.5 past 0.85.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Ratio between the machine's speeds at the start and the end of a run that allows a decision between the two kinds.
/// Smaller ratios lie within the spread of equal runs.
const SPEED_RATIO_MIN: f64 = 1.5;

/// Share of one server's runs that keep the speed of their start.
#[derive(Debug, Clone, Copy)]
pub struct KeptSpeedShare {
    share: f64,
}

impl Default for KeptSpeedShare {
    fn default() -> Self {
        // Before the first sample, both predictions count alike.
        Self { share: 0.5 }
    }
}

impl KeptSpeedShare {
    /// Returns the share of runs that keep the speed of their start, from zero to one.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Records a run that took `factor` times its duration at full speed, on a machine that was slowed by `start` at
    /// its start and by `end` at its end.
    pub fn record_run(&mut self, factor: f64, start: f64, end: f64) {
        let ratio = (start / end).max(end / start);
        if factor <= 0.0 || ratio < SPEED_RATIO_MIN {
            return;
        }
        let error = |prediction: f64| (factor / prediction).ln().abs();
        let kept = error(start) < error(f64::midpoint(start, end));
        self.share += (f64::from(u8::from(kept)) - self.share) * SAMPLE_WEIGHT;
    }

    /// Returns the factor by which a run was slowed, given the machine's slowdown at its start and its end.
    pub fn slowed_by(&self, start: f64, end: f64) -> f64 {
        start * self.share + f64::midpoint(start, end) * (1.0 - self.share)
    }
}
