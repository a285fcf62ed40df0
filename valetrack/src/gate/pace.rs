//! What a run is likely to take on a machine that is fast or slow by turns, and what it is worth.

use super::message::LoadReport;

/// Spread of a call's time around what is expected, as a share of it: runs of one route differ by
/// a third, and calls that a server makes on its own come on top.
const EXPECTED_SPREAD: f64 = 0.18;
/// What an answer at its objective is worth less than one at once, so that of servers that are all
/// in time the faster one is taken.
const SOONER_VALUE: f64 = 0.05;
/// What was seen of a server loses half its weight in this time without news, in microseconds: a
/// call in some seconds finds out whether a slow server is well again, and few are lost to one that
/// is not.
const HISTORY_HALF_LIFE_US: u64 = 2_000_000;
/// Time that a machine's speed is taken to go on until episodes were seen to end, in microseconds:
/// neighbours' load changes several times a second.
pub const SLOWDOWN_LASTS_US: u64 = 200_000;
/// Smallest factor of a run.
const FACTOR_MIN: f64 = 0.1;
/// What a share or factor of one is in a report.
const PERCENT: f64 = 100.0;

/// How fast one server is now, as factors of the time that a run is expected to take.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Factor of a run that meets the machine at full speed.
    pub fast: f64,
    /// Factor of a run that meets it in a slow episode.
    pub slow: f64,
    /// Chance that it is in a slow episode now.
    pub slow_chance: f64,
    /// Share of the time that it is in one.
    pub slow_share: f64,
    /// How long the present speed is likely to go on, in microseconds.
    pub lasts_us: f64,
    /// Share of runs that keep the speed of their start.
    pub kept: f64,
}

impl Pace {
    /// Reads a report that came `age_us` ago.
    pub fn of(load: &LoadReport, age_us: u64) -> Self {
        let factor = |percent: u16| if percent == 0 { 1.0 } else { f64::from(percent) / PERCENT };
        let lasts_us = match load.slow_lasts_ms {
            0 => SLOWDOWN_LASTS_US as f64,
            lasts_ms => f64::from(lasts_ms) * 1000.0,
        };
        let fresh = fading(age_us);
        let faded = |percent: u16| 1.0 + (factor(percent) - 1.0) * fresh;
        let slow_share = f64::from(load.slow_share_percent) / PERCENT;
        let told = f64::from(load.slow_chance_percent) / PERCENT;
        let weight = 0.5_f64.powf(age_us as f64 / lasts_us);
        Self {
            fast: faded(load.fast_percent),
            slow: faded(load.slow_percent),
            slow_chance: told * weight + slow_share * (1.0 - weight),
            slow_share,
            lasts_us,
            kept: f64::from(load.kept_percent) / PERCENT,
        }
    }

    /// Returns the factor of a run on average.
    pub fn mean(&self) -> f64 {
        self.fast * (1.0 - self.slow_share) + self.slow * self.slow_share
    }

    /// Returns whether the machine is more likely slow than not.
    pub fn is_slow(&self) -> bool {
        self.slow_chance > 0.5
    }

    /// Returns how long a run of `work_us` takes that begins at a factor, in microseconds.
    fn run_us(&self, work_us: f64, factor: f64) -> f64 {
        let kept_us = work_us * factor;
        let done_in_time = self.lasts_us / factor.max(FACTOR_MIN);
        let followed_us = match work_us <= done_in_time {
            true => kept_us,
            false => self.lasts_us + (work_us - done_in_time) * self.mean(),
        };
        kept_us * self.kept + followed_us * (1.0 - self.kept)
    }

    /// Returns how long a run of `work_us` takes on a slow machine, or how long until its end where it
    /// is better begun after the slow episode, in microseconds.
    fn slow_run_us(&self, work_us: f64) -> f64 {
        let at_once_us = self.run_us(work_us, self.slow);
        at_once_us.min(self.lasts_us + self.run_us(work_us, self.fast))
    }

    /// Returns whether a run of `work_us` ends sooner when it begins after the slow episode.
    pub fn is_better_later(&self, work_us: u64) -> bool {
        let work_us = work_us as f64;
        self.lasts_us + self.run_us(work_us, self.fast) < self.run_us(work_us, self.slow)
    }

    /// Returns how long a run of `work_us` takes that begins now, in microseconds.
    pub fn expected_us(&self, work_us: u64) -> f64 {
        let work_us = work_us as f64;
        let fast_us = self.run_us(work_us, self.fast);
        let slow_us = self.slow_run_us(work_us);
        fast_us * (1.0 - self.slow_chance) + slow_us * self.slow_chance
    }

    /// Returns what a call of `work_us` is worth that waits `wait_us` before it runs where `left_us`
    /// are left, as a share of an answer in time.
    ///
    /// The chance to be in time is taken for a fast and for a slow machine each: of the average run
    /// between the two there is none.
    pub fn worth(&self, work_us: u64, wait_us: f64, left_us: f64) -> f64 {
        let work_us = work_us as f64;
        let fast = time_worth(wait_us + self.run_us(work_us, self.fast), left_us);
        let slow = time_worth(wait_us + self.slow_run_us(work_us), left_us);
        fast * (1.0 - self.slow_chance) + slow * self.slow_chance
    }
}

/// Returns what a call is worth that should take `expected_us` where `left_us` are left, as a share
/// of an answer in time.
pub fn time_worth(expected_us: f64, left_us: f64) -> f64 {
    let expected_us = expected_us.max(1.0);
    let in_time = 1.0 / (1.0 + ((expected_us - left_us) / (expected_us * EXPECTED_SPREAD)).exp());
    in_time - SOONER_VALUE * expected_us / left_us.max(1.0)
}

/// Returns what a server's history still says after `age_us` without news, from one down to zero.
pub fn fading(age_us: u64) -> f64 {
    0.5_f64.powf(age_us as f64 / HISTORY_HALF_LIFE_US as f64)
}
