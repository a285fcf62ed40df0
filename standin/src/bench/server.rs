//! A fake of a server: stalls by a neighbour, speed, failures.

use super::scenario::{Scenario, Trouble};

/// Longest stall, in microseconds.
const STALL_MAX_US: u64 = 50_000;
/// Shortest stall, in microseconds.
const STALL_MIN_US: u64 = 1_000;
/// Trouble begins here, in microseconds.
pub const TROUBLE_US: u64 = 1_000_000;
/// Trouble that passes ends here, in microseconds.
pub const TROUBLE_END_US: u64 = 2_000_000;
/// Time of a call at a server that fails at once, in microseconds.
const FAIL_US: u64 = 100;

/// One stall.
#[derive(Debug, Clone, Copy)]
struct Stall {
    from_us: u64,
    to_us: u64,
}

/// How one call ends at a server.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// When, in microseconds.
    pub end_us: u64,
    /// Whether with a good answer.
    pub healthy: bool,
}

/// One server with all its stalls drawn ahead, so that every contender meets the same ones.
#[derive(Debug)]
pub struct Server {
    stalls: Vec<Stall>,
    trouble: Trouble,
    number: usize,
}

impl Server {
    /// Draws a server's stalls up to `end_us`.
    pub fn new(scenario: &Scenario, number: usize, end_us: u64, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9));
        let mut stalls = Vec::new();
        let mut at_us = 0;
        while scenario.noise_every_us > 0 && at_us < end_us {
            at_us += exponential(&mut rng, scenario.noise_every_us);
            let to_us = at_us + rng.u64(STALL_MIN_US..=STALL_MAX_US);
            stalls.push(Stall { from_us: at_us, to_us });
            at_us = to_us;
        }
        Self { stalls, trouble: scenario.trouble, number }
    }

    /// Returns the share of time that neighbours leave to a server, on average.
    pub fn free_share(scenario: &Scenario) -> f64 {
        let mean_us = (STALL_MIN_US + STALL_MAX_US) / 2;
        match scenario.noise_every_us {
            0 => 1.0,
            every_us => every_us as f64 / (every_us + mean_us) as f64,
        }
    }

    /// Returns whether the server stands still.
    pub fn stalled(&self, now_us: u64) -> bool {
        let next = self.stalls.partition_point(|stall| stall.to_us <= now_us);
        self.stalls.get(next).is_some_and(|stall| stall.from_us <= now_us)
    }

    /// Works a call off that starts now and needs `work_us`.
    pub fn run(&self, now_us: u64, work_us: u64) -> Run {
        let passing = (TROUBLE_US..TROUBLE_END_US).contains(&now_us);
        let (work_us, healthy) = match self.trouble {
            Trouble::Slow if self.number == 0 && now_us >= TROUBLE_US => (work_us * 10, true),
            Trouble::FailFast if self.number == 0 && now_us >= TROUBLE_US => (FAIL_US, false),
            Trouble::MostFail if self.number > 0 && passing => (FAIL_US, false),
            Trouble::None | Trouble::Slow | Trouble::FailFast | Trouble::MostFail | Trouble::Burst => (work_us, true),
        };
        Run { end_us: self.work(now_us, work_us), healthy }
    }

    /// Returns when work that starts now is done; a stall adds its length.
    fn work(&self, now_us: u64, work_us: u64) -> u64 {
        let mut end_us = now_us + work_us;
        let first = self.stalls.partition_point(|stall| stall.to_us <= now_us);
        for stall in &self.stalls[first..] {
            if stall.from_us >= end_us {
                break;
            }
            end_us += stall.to_us - stall.from_us.max(now_us);
        }
        end_us
    }
}

/// Draws an exponential time, in microseconds.
pub fn exponential(rng: &mut fastrand::Rng, mean_us: u64) -> u64 {
    (-rng.f64().max(1e-12).ln() * mean_us as f64) as u64
}
