//! A fake of an upstream: a machine whose speed swings, cold from its start, slower when nearly full.

/// How often a machine's speed is drawn anew, in microseconds.
const SWING_US: u64 = 300_000;
/// Share of these stretches in which it is slow.
const SLOW_SHARE: f64 = 0.25;
/// Factor of a run that begins on a slow machine.
const SLOW_FACTOR: f64 = 4.0;
/// Factor of a run that begins on a cold upstream.
const COLD_FACTOR: f64 = 2.0;
/// Share of its slots from which on an upstream counts as nearly full.
const KNEE: f64 = 0.8;
/// Factor of a run that begins on one.
const KNEE_FACTOR: f64 = 1.7;
/// Spread of runs of one route around their average.
const SPREAD: f64 = 0.3;

/// One upstream with its machine.
#[derive(Debug)]
pub struct Upstream {
    seed: u64,
    slots: u16,
    cold_until_us: u64,
    /// Runs that it works on.
    pub running: u16,
}

impl Upstream {
    /// Makes an upstream that is cold until a moment.
    pub fn new(seed: u64, slots: u16, cold_until_us: u64) -> Self {
        Self { seed, slots, cold_until_us, running: 0 }
    }

    /// Returns when it is warm, in microseconds.
    pub fn cold_until_us(&self) -> u64 {
        self.cold_until_us
    }

    /// Returns the factor by which other work on its machine slows it at a moment.
    fn slowdown(&self, now_us: u64) -> f64 {
        let offset_us = self.seed % SWING_US;
        let stretch = (now_us + offset_us) / SWING_US;
        let mut rng = fastrand::Rng::with_seed(self.seed ^ stretch.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        if rng.f64() < SLOW_SHARE { SLOW_FACTOR } else { 1.0 }
    }

    /// Returns what its machine tells of its speed, in hundredths of the usual time of work: a cold
    /// upstream takes longer as well.
    pub fn told_percent(&self, now_us: u64) -> u16 {
        (self.slowdown(now_us) * self.cold_factor(now_us) * 100.0) as u16
    }

    fn cold_factor(&self, now_us: u64) -> f64 {
        if now_us < self.cold_until_us { COLD_FACTOR } else { 1.0 }
    }

    /// Returns how long a run takes that begins now, in microseconds; it keeps the speed of its start.
    pub fn run_us(&self, work_us: u64, now_us: u64, rng: &mut fastrand::Rng) -> u64 {
        let cold = self.cold_factor(now_us);
        let full = f64::from(self.running) > KNEE * f64::from(self.slots);
        let knee = if full { KNEE_FACTOR } else { 1.0 };
        // The sum of three even draws is close enough to a bell.
        let bell = (rng.f64() + rng.f64() + rng.f64()) * 2.0 - 3.0;
        let spread = (1.0 + SPREAD * bell).max(0.2);
        (work_us as f64 * self.slowdown(now_us) * cold * knee * spread) as u64
    }
}
