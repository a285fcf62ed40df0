//! How fast one server is: learned from the runs at its gate, and told by its machine.

use super::kept::SpeedKept;
use super::message::{LoadReport, RunTimes};
use super::pace::{Pace, SLOWDOWN_LASTS_US, fading};

/// A machine is in a slow episode from this factor on.
const EPISODE_FACTOR: f64 = 1.5;
/// Largest factor by which a server is taken to be slow from its start: played servers take twice as
/// long then, and four to five times in a slow episode, so one in which it starts is told apart.
const COLD_FACTOR_MAX: f64 = 2.5;
/// Questions without an answer after which a machine that never told its speed is not asked any more:
/// each may hold a call up for some milliseconds.
const UNANSWERED_MAX: u32 = 10;
/// Longest episode that counts as one, in microseconds: what lasts longer is the usual speed.
const EPISODE_MAX_US: u64 = 3_000_000;
/// Step of the usual speed towards a new sample, as a share of itself.
const BASE_STEP: f64 = 0.06;
/// The first steps are longer: this share divided by the number of samples. A cold server is known as
/// slow after eight runs in place of some thirty.
const FIRST_STEP: f64 = 0.6;
/// Place of the usual speed among the samples: below the middle, since noise only ever slows.
const BASE_QUANTILE: f64 = 0.4;
/// Weight of a new sample in the averages.
const MEAN_WEIGHT: f64 = 1.0 / 16.0;
/// Bounds of one sample, so that a single run cannot turn the averages over.
const SAMPLE_MIN: f64 = 0.1;
const SAMPLE_MAX: f64 = 20.0;
/// What the machine told is too old to start a run on after this time, in microseconds: a tenth of
/// a usual slow episode, so that few begin unseen.
const FRESH_US: u64 = 25_000;
/// A machine counts as swinging for this long after a slow episode, in microseconds.
const SWINGING_US: u64 = 10_000_000;
/// Shortest run that is worth asking the machine for, in microseconds: the question takes about a
/// millisecond.
const ASK_WORK_MIN_US: u64 = 10_000;
/// Runs are held back in a slow episode only on what the machine told within this time, in
/// microseconds: some questions that went unanswered.
const HOLD_BACK_NEWS_US: u64 = 60_000;
/// While runs are held back the machine is asked this often, in microseconds: a tenth of what the
/// shortest episodes last.
const HOLD_BACK_ASK_US: u64 = 10_000;
/// The share of slow time is learned over this time, in microseconds: some dozens of episodes.
const SHARE_OVER_US: f64 = 10_000_000.0;
/// Longest time for which what the machine told last is taken to have gone on, in microseconds.
const SHARE_GAP_US: f64 = 100_000.0;
/// What a share or factor of one is in a report.
const PERCENT: f64 = 100.0;

/// Speed of one server, as factors of the time that a run is expected to take.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Factor of a run without noise.
    base: f64,
    /// Runs from which it was learned.
    samples: u32,
    /// Factor of a run on average, noise included.
    mean: f64,
    /// Share of runs that failed.
    failing: f64,
    /// Until when the server is slow from its start, in microseconds.
    cold_until_us: u64,
    /// Factor that the machine tells while nothing but the cold slows its server.
    cold_factor: f64,
    /// Factor that the machine told last, beside that one; none until it told one.
    told: Option<f64>,
    /// When it was told, in microseconds.
    told_us: u64,
    /// When the machine was last asked, in microseconds.
    asked_us: u64,
    /// Questions without an answer since it told something.
    unanswered: u32,
    /// Until when the machine counts as swinging between fast and slow, in microseconds.
    swings_until_us: u64,
    /// When the present slow episode began, in microseconds.
    episode_us: Option<u64>,
    /// How much longer an episode goes on at any moment in it, on average, in microseconds.
    lasts_us: f64,
    /// Factor that the machine tells in slow episodes, on average.
    slow_factor: f64,
    /// Share of the time in slow episodes.
    slow_share: f64,
    /// Time over which that share was learned, in microseconds.
    watched_us: f64,
    /// Whether runs keep the speed of their start.
    kept: SpeedKept,
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
            told: None,
            told_us: 0,
            asked_us: 0,
            unanswered: 0,
            swings_until_us: 0,
            episode_us: None,
            lasts_us: SLOWDOWN_LASTS_US as f64,
            slow_factor: EPISODE_FACTOR,
            slow_share: 0.0,
            watched_us: 0.0,
            kept: SpeedKept::default(),
        }
    }
}

impl Speed {
    /// Takes how long a run took.
    pub fn ran(&mut self, times: RunTimes, healthy: bool) {
        let RunTimes { ran_us, unslowed_us, work_us, start_percent, end_percent } = times;
        self.failing += (f64::from(u8::from(!healthy)) - self.failing) * MEAN_WEIGHT;
        // A failure may come at once; only whole runs tell of speed.
        if work_us == 0 || !healthy {
            return;
        }
        let sample = (ran_us as f64 / work_us as f64).clamp(SAMPLE_MIN, SAMPLE_MAX);
        self.mean += (sample - self.mean) * MEAN_WEIGHT;
        if start_percent > 0 && end_percent > 0 {
            let (start, end) = (f64::from(start_percent) / PERCENT, f64::from(end_percent) / PERCENT);
            self.kept.ran(sample / self.base, start, end);
        }
        let unslowed = (unslowed_us as f64 / work_us as f64).clamp(SAMPLE_MIN, SAMPLE_MAX);
        let up = if unslowed > self.base { BASE_QUANTILE } else { BASE_QUANTILE - 1.0 };
        self.samples = self.samples.saturating_add(1);
        let step = BASE_STEP.max(FIRST_STEP / f64::from(self.samples));
        self.base = (self.base * (1.0 + step * up)).clamp(SAMPLE_MIN, SAMPLE_MAX);
    }

    /// Forgets how fast the server was while it was cold; what the machine tells stays.
    pub fn warmed_up(&mut self) {
        self.base = 1.0;
        self.mean = 1.0;
        self.samples = 0;
    }

    /// Takes what the machine told at `now_us`.
    pub fn told(&mut self, slowdown_percent: u16, now_us: u64) {
        self.unanswered = 0;
        self.watched(now_us);
        let slowdown = self.beside_cold(f64::from(slowdown_percent) / PERCENT, now_us);
        self.told = Some(slowdown);
        self.told_us = now_us;
        if slowdown >= EPISODE_FACTOR {
            let weight = if self.never_slow() { 1.0 } else { MEAN_WEIGHT };
            self.slow_factor += (slowdown - self.slow_factor) * weight;
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

    /// Takes until when the server is slow from its start.
    pub fn cold(&mut self, until_us: u64, now_us: u64) {
        if now_us >= self.cold_until_us && now_us < until_us {
            self.cold_factor = COLD_FACTOR_MAX;
            // What was told so far may have been the cold.
            self.slow_factor = EPISODE_FACTOR;
        }
        self.cold_until_us = until_us;
    }

    /// Returns the factor that the machine told beside that of a server that is slow from its start:
    /// the lowest one that was told since it started.
    ///
    /// The machine of a cold server tells that work takes twice as long. Taken for a slow episode that
    /// did not end, this kept calls away from cold servers, and for seconds more from those that had
    /// been left idle, while others were flooded. Callers of the first four seconds of a fleet of 195
    /// VMs that starts cold under load, in virtual time, three seeds: 0.583 served by worth, 0.651 so.
    fn beside_cold(&mut self, told: f64, now_us: u64) -> f64 {
        if now_us >= self.cold_until_us {
            return told;
        }
        let factor = self.cold_factor.min(told).max(1.0);
        if !self.never_slow() {
            self.slow_factor *= self.cold_factor / factor;
        }
        self.cold_factor = factor;
        told / factor
    }

    /// Takes note that the server began to take work: its machine is asked until it is known whether
    /// it swings. The first seconds of a life gain by it: on a played fleet whose machines swing the
    /// worth of a quiet day rose from 0.851 to 0.865 (13 VMs, two seeds).
    pub fn opened(&mut self, now_us: u64) {
        self.swings_until_us = self.swings_until_us.max(now_us + SWINGING_US);
    }

    /// Takes note that the machine was asked and did not answer in time; one that never does is not
    /// asked for long.
    ///
    /// Guards the first seconds of a life, in which a node that is short of processor time misses
    /// answers: given up after the first, its runs began on slow machines unseen.
    pub fn unanswered(&mut self) {
        self.unanswered += 1;
        if self.unanswered >= UNANSWERED_MAX {
            self.told_nothing();
        }
    }

    /// Takes note that the machine was asked and told nothing; one that never did is not asked again.
    pub fn told_nothing(&mut self) {
        if self.told.is_none() {
            self.swings_until_us = 0;
        }
    }

    fn never_slow(&self) -> bool {
        self.slow_factor <= EPISODE_FACTOR
    }

    /// Counts the time since the machine told its speed last as slow or not.
    fn watched(&mut self, now_us: u64) {
        let Some(slowdown) = self.told else {
            return;
        };
        let passed_us = (now_us.saturating_sub(self.told_us) as f64).min(SHARE_GAP_US);
        self.watched_us = (self.watched_us + passed_us).min(SHARE_OVER_US);
        if self.watched_us > 0.0 {
            let slow = f64::from(u8::from(slowdown >= EPISODE_FACTOR));
            self.slow_share += (slow - self.slow_share) * passed_us / self.watched_us;
        }
    }

    /// Returns whether the machine should be asked before a run of `work_us` starts: its speed
    /// swings, and what it told last is old.
    pub fn wants_news(&self, work_us: u64, now_us: u64) -> bool {
        work_us >= ASK_WORK_MIN_US && now_us < self.swings_until_us && now_us > self.told_us + FRESH_US
    }

    /// Returns for how long the present speed is likely to go on, in microseconds: an episode that
    /// has lasted long is likely to last as long again.
    fn rest_us(&self, now_us: u64) -> f64 {
        let lasted_us = self.episode_us.map_or(0, |began_us| now_us.saturating_sub(began_us));
        self.lasts_us.max(lasted_us as f64)
    }

    /// Returns whether a run of `work_us` is better held back until the present slow episode ends.
    ///
    /// A run that keeps a slow machine's speed takes a slot for several times its work; begun after
    /// the episode it ends sooner and leaves the slot to others. On a played fleet whose machines are
    /// slowed five times a quarter of the time the mean worth rose from 0.578 to 0.689 (13 VMs, five
    /// days, two seeds each).
    pub fn holds_back(&self, work_us: u64, now_us: u64) -> bool {
        let is_slow = self.episode_us.is_some() && now_us <= self.told_us + HOLD_BACK_NEWS_US;
        is_slow && work_us > 0 && self.pace(now_us).is_better_later(work_us)
    }

    /// Returns when the machine is to be asked again while runs are held back, in microseconds.
    pub fn ask_again_us(&self) -> u64 {
        self.told_us.max(self.asked_us) + HOLD_BACK_ASK_US
    }

    /// Notes that the machine is asked.
    pub fn asked(&mut self, now_us: u64) {
        self.asked_us = now_us;
    }

    /// Returns the factor that the machine told a moment ago, in hundredths; zero when that was too
    /// long ago, or it tells none.
    pub fn told_percent(&self, now_us: u64) -> u16 {
        match self.told {
            Some(slowdown) if now_us <= self.told_us + FRESH_US => in_percent(slowdown),
            Some(_) | None => 0,
        }
    }

    /// Returns the factor that the machine told last, or one when that was too long ago.
    pub fn slowdown(&self, now_us: u64) -> f64 {
        let over = now_us.saturating_sub(self.told_us) as f64 > self.lasts_us;
        if over { 1.0 } else { self.told.unwrap_or(1.0) }
    }

    /// Returns how long a run had taken on a machine at full speed that was slowed by these factors
    /// at its start and its end, in microseconds.
    pub fn unslowed_us(&self, ran_us: u64, start: f64, end: f64) -> u64 {
        (ran_us as f64 / self.kept.slowed_by(start, end)) as u64
    }

    /// Returns how fast the server is at `now_us`.
    pub fn pace(&self, now_us: u64) -> Pace {
        let Some(slowdown) = self.told else {
            return self.untold();
        };
        let weight = 0.5_f64.powf(now_us.saturating_sub(self.told_us) as f64 / self.lasts_us);
        let is_slow = slowdown >= EPISODE_FACTOR;
        let told = f64::from(u8::from(is_slow));
        Pace {
            fast: self.base,
            slow: self.base * if is_slow { slowdown } else { self.slow_factor },
            slow_chance: told * weight + self.slow_share * (1.0 - weight),
            slow_share: self.slow_share,
            lasts_us: self.rest_us(now_us),
            kept: self.kept.share(),
        }
    }

    /// Returns the speed of a server whose machine tells nothing: that of its runs.
    fn untold(&self) -> Pace {
        let usual = self.mean.max(self.base);
        Pace {
            fast: usual,
            slow: usual,
            slow_chance: 0.0,
            slow_share: 0.0,
            lasts_us: self.lasts_us,
            kept: self.kept.share(),
        }
    }

    /// Writes what is known into a report of a server on which nothing has run for `idle_us`.
    pub fn report(&self, load: &mut LoadReport, now_us: u64, idle_us: u64) {
        let pace = self.pace(now_us);
        let fresh = fading(idle_us);
        let faded = |factor: f64| in_percent(1.0 + (factor - 1.0) * fresh);
        load.fast_percent = faded(pace.fast);
        load.slow_percent = faded(pace.slow);
        load.slow_chance_percent = in_percent(pace.slow_chance) as u8;
        load.slow_share_percent = in_percent(pace.slow_share) as u8;
        load.slow_lasts_ms = (pace.lasts_us / 1000.0) as u16;
        load.kept_percent = in_percent(pace.kept) as u8;
        load.failing_percent = in_percent(self.failing * fresh) as u8;
    }
}

fn in_percent(factor: f64) -> u16 {
    (factor * PERCENT).round().min(f64::from(u16::MAX)) as u16
}
