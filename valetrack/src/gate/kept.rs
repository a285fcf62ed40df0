//! Whether runs keep the speed that their machine had at their start, or follow its changes.
//!
//! Servers of both kinds exist: one that takes its share of the processor when a run begins, and one
//! whose running work speeds up and slows down with the machine. The two forecasts of a run lie far
//! apart, so each server's own finished runs decide between them. Together with the two speeds of
//! [`super::Pace`] this brought the mean worth of a played fleet whose runs keep their speed from
//! 0.487 to 0.578 (13 VMs, five days, two seeds each), and cost nothing on the two others.

/// Weight of one run's vote: with it, twenty runs that agree move the share from a half past 0.85.
const VOTE_WEIGHT: f64 = 1.0 / 16.0;
/// The machine's speeds at the start and at the end of a run must differ by this factor for the run
/// to tell the two kinds apart: less lies within the spread of equal runs.
const TELLING_FACTOR: f64 = 1.5;

/// How far the runs of one server keep the speed of their start.
#[derive(Debug, Clone, Copy)]
pub struct SpeedKept {
    share: f64,
}

impl Default for SpeedKept {
    fn default() -> Self {
        // Nothing is known, so both forecasts count alike.
        Self { share: 0.5 }
    }
}

impl SpeedKept {
    /// Returns the share of runs that keep the speed of their start, from zero to one.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Takes a run that took `factor` times its time at full speed, on a machine that was slowed by
    /// `start` when it began and by `end` when it ended.
    pub fn ran(&mut self, factor: f64, start: f64, end: f64) {
        let apart = (start / end).max(end / start);
        if factor <= 0.0 || apart < TELLING_FACTOR {
            return;
        }
        let off = |forecast: f64| (factor / forecast).ln().abs();
        let kept = off(start) < off(f64::midpoint(start, end));
        self.share += (f64::from(u8::from(kept)) - self.share) * VOTE_WEIGHT;
    }

    /// Returns the factor by which a run was slowed on a machine with these speeds at its start and
    /// its end.
    pub fn slowed_by(&self, start: f64, end: f64) -> f64 {
        start * self.share + f64::midpoint(start, end) * (1.0 - self.share)
    }
}
