//! How fast one server is: learned from the runs at its gate, and told by its machine.

use super::message::{LoadReport, RunTimes};

/// Time that a machine's slowdown is taken to go on until episodes were seen to end, in
/// microseconds: neighbours' load changes several times a second.
pub const SLOWDOWN_LASTS_US: u64 = 200_000;
/// What was seen of a server loses half its weight in this time without news, in microseconds: a
/// call in some seconds finds out whether a slow server is well again, and few are lost to one that
/// is not.
const HISTORY_HALF_LIFE_US: u64 = 2_000_000;
/// A machine is in a slow episode from this factor on.
const EPISODE_FACTOR: f64 = 1.5;
/// Longest episode that counts as one, in microseconds: what lasts longer is the usual speed.
const EPISODE_MAX_US: u64 = 3_000_000;
/// Step of the usual speed towards a new sample, as a share of itself.
const BASE_STEP: f64 = 0.06;
/// Place of the usual speed among the samples: below the middle, since noise only ever slows.
const BASE_QUANTILE: f64 = 0.4;
/// Weight of a new sample in the averages.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;
/// Bounds of one sample, so that a single run cannot turn the averages over.
const SAMPLE_MIN: f64 = 0.1;
const SAMPLE_MAX: f64 = 20.0;
/// Spread of a call's time around what is expected, as a share of it: runs of one route differ by
/// a third, and calls that a server makes on its own come on top.
const EXPECTED_SPREAD: f64 = 0.18;
/// What an answer at its objective is worth less than one at once, so that of servers that are all
/// in time the faster one is taken.
const SOONER_VALUE: f64 = 0.05;
/// What the machine told is too old to start a run on after this time, in microseconds: a tenth of
/// a usual slow episode, so that few begin unseen.
const FRESH_US: u64 = 25_000;
/// A machine counts as swinging for this long after a slow episode, in microseconds.
const SWINGING_US: u64 = 10_000_000;
/// Shortest run that is worth asking the machine for, in microseconds: the question takes about a
/// millisecond.
const ASK_WORK_MIN_US: u64 = 10_000;
/// What a share or factor of one is in a report.
const PERCENT: f64 = 100.0;

/// Speed of one server, as factors of the time that a run is expected to take.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Factor of a run without noise.
    base: f64,
    /// Factor of a run on average, noise included.
    mean: f64,
    /// Share of runs that failed.
    failing: f64,
    /// Factor that the machine told last.
    slowdown: f64,
    /// When it was told, in microseconds.
    told_us: u64,
    /// Until when the machine counts as swinging between fast and slow, in microseconds.
    swings_until_us: u64,
    /// When the present slow episode began, in microseconds.
    episode_us: Option<u64>,
    /// How much longer an episode goes on at any moment in it, on average, in microseconds.
    lasts_us: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            base: 1.0,
            mean: 1.0,
            failing: 0.0,
            slowdown: 1.0,
            told_us: 0,
            swings_until_us: 0,
            episode_us: None,
            lasts_us: SLOWDOWN_LASTS_US as f64,
        }
    }
}

impl Speed {
    /// Takes how long a run took.
    pub fn ran(&mut self, times: RunTimes, healthy: bool) {
        let RunTimes { ran_us, unslowed_us, work_us } = times;
        self.failing += (f64::from(u8::from(!healthy)) - self.failing) * MEAN_WEIGHT;
        // A failure may come at once; only whole runs tell of speed.
        if work_us == 0 || !healthy {
            return;
        }
        let sample = (ran_us as f64 / work_us as f64).clamp(SAMPLE_MIN, SAMPLE_MAX);
        self.mean += (sample - self.mean) * MEAN_WEIGHT;
        let unslowed = (unslowed_us as f64 / work_us as f64).clamp(SAMPLE_MIN, SAMPLE_MAX);
        let up = if unslowed > self.base { BASE_QUANTILE } else { BASE_QUANTILE - 1.0 };
        self.base = (self.base * (1.0 + BASE_STEP * up)).clamp(SAMPLE_MIN, SAMPLE_MAX);
    }

    /// Takes what the machine told at `now_us`.
    pub fn told(&mut self, slowdown_percent: u16, now_us: u64) {
        self.slowdown = f64::from(slowdown_percent) / PERCENT;
        self.told_us = now_us;
        if self.slowdown >= EPISODE_FACTOR {
            self.swings_until_us = now_us + SWINGING_US;
            self.episode_us.get_or_insert(now_us);
            return;
        }
        if let Some(began_us) = self.episode_us.take() {
            let length_us = now_us.saturating_sub(began_us).min(EPISODE_MAX_US);
            // Seen from a moment within it, half of an episode is still to come.
            self.lasts_us += (length_us as f64 / 2.0 - self.lasts_us) * MEAN_WEIGHT;
        }
    }

    /// Returns whether the machine should be asked before a run of `work_us` starts: its speed
    /// swings, and what it told last is old.
    pub fn wants_news(&self, work_us: u64, now_us: u64) -> bool {
        work_us >= ASK_WORK_MIN_US && now_us < self.swings_until_us && now_us > self.told_us + FRESH_US
    }

    /// Returns the factor that the machine told last, or one when that was too long ago.
    pub fn slowdown(&self, now_us: u64) -> f64 {
        let over = now_us.saturating_sub(self.told_us) as f64 > self.lasts_us;
        if over { 1.0 } else { self.slowdown }
    }

    /// Returns the factor of a run that starts now, before the present slowdown ends.
    pub fn now(&self, now_us: u64) -> f64 {
        let age_us = now_us.saturating_sub(self.told_us);
        let weight = 0.5_f64.powf(age_us as f64 / self.lasts_us);
        self.base * self.slowdown * weight + self.mean.max(self.base) * (1.0 - weight)
    }

    /// Returns how long a run of `work_us` takes that starts now, in microseconds.
    pub fn expected_us(&self, work_us: u64, now_us: u64) -> u64 {
        expected_run_us(work_us, self.now(now_us), self.mean.max(self.base), self.lasts_us)
    }

    /// Writes what is known into a report of a server on which nothing has run for `idle_us`.
    pub fn report(&self, load: &mut LoadReport, now_us: u64, idle_us: u64) {
        let percent = |factor: f64| (factor * PERCENT).min(f64::from(u16::MAX)) as u16;
        let fresh = fading(idle_us);
        let faded = |factor: f64| 1.0 + (factor - 1.0) * fresh;
        load.slowdown_percent = percent(faded(self.now(now_us)));
        load.mean_percent = percent(faded(self.mean.max(self.base)));
        load.slow_lasts_ms = (self.lasts_us / 1000.0) as u16;
        load.failing_percent = percent(self.failing * fresh) as u8;
    }
}

/// Returns what a call is worth that should take `expected_us` where `left_us` are left, as a share
/// of an answer in time.
pub fn time_worth(expected_us: f64, left_us: f64) -> f64 {
    let in_time = 1.0 / (1.0 + ((expected_us - left_us) / (expected_us * EXPECTED_SPREAD)).exp());
    in_time - SOONER_VALUE * expected_us / left_us.max(1.0)
}

/// Returns what a server's history still says after `age_us` without news, from one down to zero.
pub fn fading(age_us: u64) -> f64 {
    0.5_f64.powf(age_us as f64 / HISTORY_HALF_LIFE_US as f64)
}

/// Returns how long `work_us` take when each microsecond of work takes `now` for `lasts_us`, and
/// `mean` from then on.
pub fn expected_run_us(work_us: u64, now: f64, mean: f64, lasts_us: f64) -> u64 {
    let work = work_us as f64;
    let done_in_time = lasts_us / now.max(SAMPLE_MIN);
    if work <= done_in_time {
        return (work * now) as u64;
    }
    (lasts_us + (work - done_in_time) * mean) as u64
}
