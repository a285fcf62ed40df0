//! Speed of one server, learned from the runs at its gate and from the reports of its machine.

use super::kept::KeptSpeedShare;
use super::message::{LoadReport, RunTimes};
use super::speed_estimate::{SLOWDOWN_DURATION_US, SpeedEstimate, history_weight};

/// Slowdown from which on a machine is in a slow episode.
const EPISODE_FACTOR_MIN: f64 = 1.5;
/// Largest slowdown that is attributed to a cold start. Cold servers took twice as long, and four to five times as long
/// in a slow episode, so a cold start during an episode can be recognized.
const COLD_FACTOR_MAX: f64 = 2.5;
/// Unanswered requests after which a machine that never reported its speed is not asked again: each request may delay a
/// call by some milliseconds.
const UNANSWERED_MAX: u32 = 10;
/// Longest slow episode; a slowdown that lasts longer is the machine's usual speed.
const EPISODE_MAX_US: u64 = 3_000_000;
/// Step of the usual speed towards a new sample, as a share of itself.
const BASE_STEP: f64 = 0.06;
/// The first steps are larger: this share divided by the number of samples. A cold server is then recognized as slow
/// after eight runs instead of some thirty.
const FIRST_STEP: f64 = 0.6;
/// Quantile of the samples that counts as the usual speed: below the median, since noise only slows runs down.
const BASE_QUANTILE: f64 = 0.4;
/// Weight of a new sample in the averages.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;
/// Bounds of one sample, so that a single run cannot dominate the averages.
const SAMPLE_MIN: f64 = 0.1;
const SAMPLE_MAX: f64 = 20.0;
/// Age up to which a report may decide about a start: a tenth of a usual slow episode, so that few episodes begin
/// unnoticed.
const REPORT_AGE_MAX_US: u64 = 25_000;
/// How long a machine's speed counts as variable after a slow episode.
const VARIABLE_US: u64 = 10_000_000;
/// Shortest run that justifies a request to the machine, which takes about a millisecond.
const REQUEST_WORK_MIN_US: u64 = 10_000;
/// Age up to which a report may defer runs; it spans several unanswered requests.
const DEFER_REPORT_AGE_MAX_US: u64 = 60_000;
/// Interval between requests to the machine while runs are deferred: a tenth of the shortest episodes.
const DEFER_REQUEST_INTERVAL_US: u64 = 10_000;
/// Time over which the share of slow time is averaged: some dozens of episodes.
const SHARE_WINDOW_US: f64 = 10_000_000.0;
/// Longest time for which a reported speed is assumed to have continued.
const SHARE_STEP_MAX_US: f64 = 100_000.0;
/// Scale of percentages in a report.
const PERCENT: f64 = 100.0;

/// Speed of one server, as factors of the expected duration of a run.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Factor of a run without noise.
    base: f64,
    /// Number of runs behind `base`.
    samples: u32,
    /// Average factor of a run, including noise.
    mean: f64,
    /// Share of runs that failed.
    failing: f64,
    /// Time until which the server is cold.
    cold_until_us: u64,
    /// Slowdown that the machine reports while only the cold start slows its server.
    cold_factor: f64,
    /// Last reported slowdown, without the effect of the cold start; `None` before the first report.
    reported: Option<f64>,
    /// Time of the last report.
    reported_us: u64,
    /// Time of the last request to the machine.
    requested_us: u64,
    /// Unanswered requests since the last report.
    unanswered: u32,
    /// Time until which the machine's speed counts as variable.
    variable_until_us: u64,
    /// Start of the present slow episode.
    episode_us: Option<u64>,
    /// Average remaining duration of an episode, seen from any moment in it.
    lasts_us: f64,
    /// Average slowdown that the machine reports in slow episodes.
    slow_factor: f64,
    /// Share of time in slow episodes.
    slow_share: f64,
    /// Time over which that share was observed.
    observed_us: f64,
    /// Whether runs keep the speed of their start.
    kept: KeptSpeedShare,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            base: 1.0,
            samples: 0,
            mean: 1.0,
            failing: 0.0,
            cold_until_us: 0,
            cold_factor: 1.0,
            reported: None,
            reported_us: 0,
            requested_us: 0,
            unanswered: 0,
            variable_until_us: 0,
            episode_us: None,
            lasts_us: SLOWDOWN_DURATION_US as f64,
            slow_factor: EPISODE_FACTOR_MIN,
            slow_share: 0.0,
            observed_us: 0.0,
            kept: KeptSpeedShare::default(),
        }
    }
}

impl Speed {
    /// Records the duration of a run.
    pub fn record_run(&mut self, times: RunTimes, healthy: bool) {
        let RunTimes { ran_us, unslowed_us, work_us, start_percent, end_percent } = times;
        self.failing += (f64::from(u8::from(!healthy)) - self.failing) * MEAN_WEIGHT;
        // A failure may come at once, so only complete runs count as samples of the speed.
        if work_us == 0 || !healthy {
            return;
        }
        let sample = (ran_us as f64 / work_us as f64).clamp(SAMPLE_MIN, SAMPLE_MAX);
        self.mean += (sample - self.mean) * MEAN_WEIGHT;
        if start_percent > 0 && end_percent > 0 {
            let (start, end) = (f64::from(start_percent) / PERCENT, f64::from(end_percent) / PERCENT);
            self.kept.record_run(sample / self.base, start, end);
        }
        let unslowed = (unslowed_us as f64 / work_us as f64).clamp(SAMPLE_MIN, SAMPLE_MAX);
        let up = if unslowed > self.base { BASE_QUANTILE } else { BASE_QUANTILE - 1.0 };
        self.samples = self.samples.saturating_add(1);
        let step = BASE_STEP.max(FIRST_STEP / f64::from(self.samples));
        self.base = (self.base * (1.0 + step * up)).clamp(SAMPLE_MIN, SAMPLE_MAX);
    }

    /// Discards the speed that was learned while the server was cold, but keeps the machine's reports.
    pub fn warmed_up(&mut self) {
        self.base = 1.0;
        self.mean = 1.0;
        self.samples = 0;
    }

    /// Records the slowdown that the machine reported at `now_us`.
    pub fn record_slowdown(&mut self, slowdown_percent: u16, now_us: u64) {
        self.unanswered = 0;
        self.update_slow_share(now_us);
        let slowdown = self.without_cold_factor(f64::from(slowdown_percent) / PERCENT, now_us);
        self.reported = Some(slowdown);
        self.reported_us = now_us;
        if slowdown >= EPISODE_FACTOR_MIN {
            let weight = if self.has_seen_no_episode() { 1.0 } else { MEAN_WEIGHT };
            self.slow_factor += (slowdown - self.slow_factor) * weight;
            self.variable_until_us = now_us + VARIABLE_US;
            self.episode_us.get_or_insert(now_us);
            return;
        }
        if let Some(episode_start_us) = self.episode_us.take() {
            let length_us = now_us.saturating_sub(episode_start_us).min(EPISODE_MAX_US);
            // Seen from an average moment within it, half of an episode remains.
            self.lasts_us += (length_us as f64 / 2.0 - self.lasts_us) * MEAN_WEIGHT;
        }
    }

    /// Sets the time until which the server is cold.
    pub fn set_cold_until(&mut self, until_us: u64, now_us: u64) {
        if now_us >= self.cold_until_us && now_us < until_us {
            self.cold_factor = COLD_FACTOR_MAX;
            // Earlier reports may have included the cold start.
            self.slow_factor = EPISODE_FACTOR_MIN;
        }
        self.cold_until_us = until_us;
    }

    /// Returns the reported slowdown divided by the effect of the cold start. That effect is estimated as the lowest
    /// slowdown reported since the start.
    ///
    /// The machine of a cold server reports that work takes twice as long. While that counted as an unending slow
    /// episode, calls avoided cold servers, and idle ones for seconds longer, and flooded the other servers, as seen on
    /// a fleet of 195 VMs that started cold under load.
    fn without_cold_factor(&mut self, slowdown: f64, now_us: u64) -> f64 {
        if now_us >= self.cold_until_us {
            return slowdown;
        }
        let factor = self.cold_factor.min(slowdown).max(1.0);
        if !self.has_seen_no_episode() {
            self.slow_factor *= self.cold_factor / factor;
        }
        self.cold_factor = factor;
        slowdown / factor
    }

    /// Treats the machine's speed as variable when the server begins to accept work, so that the machine is asked until
    /// more is known. Otherwise, the first runs would start on slow machines unnoticed.
    pub fn assume_variable(&mut self, now_us: u64) {
        self.variable_until_us = self.variable_until_us.max(now_us + VARIABLE_US);
    }

    /// Records that a request to the machine got no answer in time; a machine that never answers is not asked for long.
    ///
    /// A node that is short of processor time misses answers in its first seconds. When the first missed answer ended
    /// the requests, runs started on slow machines unnoticed.
    pub fn record_no_answer(&mut self) {
        self.unanswered += 1;
        if self.unanswered >= UNANSWERED_MAX {
            self.record_no_load();
        }
    }

    /// Records that the machine answered without reporting its speed. One that has never reported a speed is not asked
    /// again.
    pub fn record_no_load(&mut self) {
        if self.reported.is_none() {
            self.variable_until_us = 0;
        }
    }

    fn has_seen_no_episode(&self) -> bool {
        self.slow_factor <= EPISODE_FACTOR_MIN
    }

    /// Counts the time since the last report as slow or not slow, according to that report.
    fn update_slow_share(&mut self, now_us: u64) {
        let Some(slowdown) = self.reported else {
            return;
        };
        let passed_us = (now_us.saturating_sub(self.reported_us) as f64).min(SHARE_STEP_MAX_US);
        self.observed_us = (self.observed_us + passed_us).min(SHARE_WINDOW_US);
        if self.observed_us > 0.0 {
            let slow = f64::from(u8::from(slowdown >= EPISODE_FACTOR_MIN));
            self.slow_share += (slow - self.slow_share) * passed_us / self.observed_us;
        }
    }

    /// Returns whether the machine should be asked before a run of `work_us` starts, because its speed varies and its
    /// last report is old.
    pub fn needs_report(&self, work_us: u64, now_us: u64) -> bool {
        work_us >= REQUEST_WORK_MIN_US
            && now_us < self.variable_until_us
            && now_us > self.reported_us + REPORT_AGE_MAX_US
    }

    /// Returns the expected remaining duration of the present speed. An episode that has lasted long is expected to
    /// last as long again.
    fn remaining_us(&self, now_us: u64) -> f64 {
        let lasted_us = self.episode_us.map_or(0, |episode_start_us| now_us.saturating_sub(episode_start_us));
        self.lasts_us.max(lasted_us as f64)
    }

    /// Returns whether a run of `work_us` should be deferred until the present slow episode ends.
    ///
    /// A run that keeps the speed of a slow machine occupies a slot for several times its usual duration. If it starts
    /// after the episode, it ends sooner, and other runs can use the slot until then. Without this rule, a fleet whose
    /// machines were slowed five times for a quarter of the time lost much utility.
    pub fn is_better_deferred(&self, work_us: u64, now_us: u64) -> bool {
        let is_slow = self.episode_us.is_some() && now_us <= self.reported_us + DEFER_REPORT_AGE_MAX_US;
        is_slow && work_us > 0 && self.estimate(now_us).is_better_later(work_us)
    }

    /// Returns the time of the next request to the machine while runs are deferred.
    pub fn next_request_us(&self) -> u64 {
        self.reported_us.max(self.requested_us) + DEFER_REQUEST_INTERVAL_US
    }

    /// Records that the machine was asked.
    pub fn record_request(&mut self, now_us: u64) {
        self.requested_us = now_us;
    }

    /// Returns the reported slowdown in hundredths; zero if there is no recent report.
    pub fn recent_slowdown_percent(&self, now_us: u64) -> u16 {
        match self.reported {
            Some(slowdown) if now_us <= self.reported_us + REPORT_AGE_MAX_US => to_percent(slowdown),
            Some(_) | None => 0,
        }
    }

    /// Returns the last reported slowdown, or one if that report is too old.
    pub fn slowdown(&self, now_us: u64) -> f64 {
        let is_outdated = now_us.saturating_sub(self.reported_us) as f64 > self.lasts_us;
        if is_outdated { 1.0 } else { self.reported.unwrap_or(1.0) }
    }

    /// Returns how long a run would have taken on a machine at full speed, given the machine's slowdown at its start
    /// and its end.
    pub fn unslowed_us(&self, ran_us: u64, start: f64, end: f64) -> u64 {
        (ran_us as f64 / self.kept.slowed_by(start, end)) as u64
    }

    /// Returns the estimated speed of the server at `now_us`.
    pub fn estimate(&self, now_us: u64) -> SpeedEstimate {
        let Some(slowdown) = self.reported else {
            return self.estimate_from_runs();
        };
        let weight = 0.5_f64.powf(now_us.saturating_sub(self.reported_us) as f64 / self.lasts_us);
        let is_slow = slowdown >= EPISODE_FACTOR_MIN;
        let reported_chance = f64::from(u8::from(is_slow));
        SpeedEstimate {
            fast: self.base,
            slow: self.base * if is_slow { slowdown } else { self.slow_factor },
            slow_chance: reported_chance * weight + self.slow_share * (1.0 - weight),
            slow_share: self.slow_share,
            lasts_us: self.remaining_us(now_us),
            kept: self.kept.share(),
        }
    }

    /// Returns the estimate for a server whose machine reports no speed, from its runs alone.
    fn estimate_from_runs(&self) -> SpeedEstimate {
        let usual = self.mean.max(self.base);
        SpeedEstimate {
            fast: usual,
            slow: usual,
            slow_chance: 0.0,
            slow_share: 0.0,
            lasts_us: self.lasts_us,
            kept: self.kept.share(),
        }
    }

    /// Writes the estimate into the report of a server on which nothing has run for `idle_us`.
    pub fn report(&self, load: &mut LoadReport, now_us: u64, idle_us: u64) {
        let estimate = self.estimate(now_us);
        let weight = history_weight(idle_us);
        let fade = |factor: f64| to_percent(1.0 + (factor - 1.0) * weight);
        load.fast_percent = fade(estimate.fast);
        load.slow_percent = fade(estimate.slow);
        load.slow_chance_percent = to_percent(estimate.slow_chance) as u8;
        load.slow_share_percent = to_percent(estimate.slow_share) as u8;
        load.slow_lasts_ms = (estimate.lasts_us / 1000.0) as u16;
        load.kept_percent = to_percent(estimate.kept) as u8;
        load.failing_percent = to_percent(self.failing * weight) as u8;
    }
}

fn to_percent(factor: f64) -> u16 {
    (factor * PERCENT).round().min(f64::from(u16::MAX)) as u16
}
