//! Estimates how long a run takes on a machine of varying speed, and the utility of its answer.

use super::message::LoadReport;

/// Relative spread of a call's duration around the expected duration: runs of one route differ by a third, and the
/// calls that a server makes itself add to that.
const DURATION_SPREAD: f64 = 0.18;
/// Loss of utility of an answer at its objective compared with an immediate one, so that the fastest of several servers
/// that are all in time is preferred.
const SOONER_VALUE: f64 = 0.05;
/// Time without a report in which a server's history loses half its weight. One call in a few seconds then finds out
/// whether a slow server has recovered, and few calls are lost to one that has not.
const HISTORY_HALF_LIFE_US: u64 = 2_000_000;
/// Assumed duration of a machine's speed until ends of episodes were observed: the load of other VMs on the same
/// machine changes several times a second.
pub const SLOWDOWN_DURATION_US: u64 = 200_000;
/// Smallest factor of a run.
const FACTOR_MIN: f64 = 0.1;
/// Scale of percentages in a report.
const PERCENT: f64 = 100.0;

/// Present speed of one server, as factors of the expected duration of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedEstimate {
    /// Factor of a run at full speed.
    pub fast: f64,
    /// Factor of a run in a slow episode.
    pub slow: f64,
    /// Probability that the machine is in a slow episode now.
    pub slow_chance: f64,
    /// Share of time that the machine spends in slow episodes.
    pub slow_share: f64,
    /// Expected remaining duration of the present speed.
    pub lasts_us: f64,
    /// Share of runs that keep the speed of their start.
    pub kept: f64,
}

impl SpeedEstimate {
    /// Returns the estimate from a report of age `age_us`.
    pub fn of(load: &LoadReport, age_us: u64) -> Self {
        let factor = |percent: u16| if percent == 0 { 1.0 } else { f64::from(percent) / PERCENT };
        let lasts_us = match load.slow_lasts_ms {
            0 => SLOWDOWN_DURATION_US as f64,
            lasts_ms => f64::from(lasts_ms) * 1000.0,
        };
        let history = history_weight(age_us);
        let faded = |percent: u16| 1.0 + (factor(percent) - 1.0) * history;
        let slow_share = f64::from(load.slow_share_percent) / PERCENT;
        let reported = f64::from(load.slow_chance_percent) / PERCENT;
        let weight = 0.5_f64.powf(age_us as f64 / lasts_us);
        Self {
            fast: faded(load.fast_percent),
            slow: faded(load.slow_percent),
            slow_chance: reported * weight + slow_share * (1.0 - weight),
            slow_share,
            lasts_us,
            kept: f64::from(load.kept_percent) / PERCENT,
        }
    }

    /// Returns the average factor of a run.
    pub fn mean(&self) -> f64 {
        self.fast * (1.0 - self.slow_share) + self.slow * self.slow_share
    }

    /// Returns whether the machine is more likely slow than not.
    pub fn is_slow(&self) -> bool {
        self.slow_chance > 0.5
    }

    /// Returns the duration of a run of `work_us` that begins at `factor`.
    fn run_us(&self, work_us: f64, factor: f64) -> f64 {
        let kept_us = work_us * factor;
        let done_in_time = self.lasts_us / factor.max(FACTOR_MIN);
        let followed_us = match work_us <= done_in_time {
            true => kept_us,
            false => self.lasts_us + (work_us - done_in_time) * self.mean(),
        };
        kept_us * self.kept + followed_us * (1.0 - self.kept)
    }

    /// Returns the duration of a run of `work_us` on a slow machine, or the time until its end if it is better started
    /// after the slow episode.
    fn slow_run_us(&self, work_us: f64) -> f64 {
        let at_once_us = self.run_us(work_us, self.slow);
        at_once_us.min(self.lasts_us + self.run_us(work_us, self.fast))
    }

    /// Returns whether a run of `work_us` ends sooner when it starts after the slow episode.
    pub fn is_better_later(&self, work_us: u64) -> bool {
        let work_us = work_us as f64;
        self.lasts_us + self.run_us(work_us, self.fast) < self.run_us(work_us, self.slow)
    }

    /// Returns the expected duration of a run of `work_us` that starts now.
    pub fn expected_us(&self, work_us: u64) -> f64 {
        let work_us = work_us as f64;
        let fast_us = self.run_us(work_us, self.fast);
        let slow_us = self.slow_run_us(work_us);
        fast_us * (1.0 - self.slow_chance) + slow_us * self.slow_chance
    }

    /// Returns the utility of a call of `work_us` that waits `wait_us` before it runs and has `left_us` to its
    /// objective, as a share of the utility of an answer in time.
    ///
    /// The utility is computed separately for a fast and a slow machine. An average of both durations would describe a
    /// run that never occurs.
    pub fn expected_utility(&self, work_us: u64, wait_us: f64, left_us: f64) -> f64 {
        let work_us = work_us as f64;
        let fast = utility_at(wait_us + self.run_us(work_us, self.fast), left_us);
        let slow = utility_at(wait_us + self.slow_run_us(work_us), left_us);
        fast * (1.0 - self.slow_chance) + slow * self.slow_chance
    }
}

/// Returns the utility of a call with an expected duration of `expected_us` and `left_us` to its objective, as a share
/// of the utility of an answer in time.
pub fn utility_at(expected_us: f64, left_us: f64) -> f64 {
    let expected_us = expected_us.max(1.0);
    let in_time = 1.0 / (1.0 + ((expected_us - left_us) / (expected_us * DURATION_SPREAD)).exp());
    in_time - SOONER_VALUE * expected_us / left_us.max(1.0)
}

/// Returns the weight of a server's history after `age_us` without a report, from one down to zero.
pub fn history_weight(age_us: u64) -> f64 {
    0.5_f64.powf(age_us as f64 / HISTORY_HALF_LIFE_US as f64)
}
