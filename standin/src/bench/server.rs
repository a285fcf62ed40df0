//! Model of a server: stalls caused by other VMs of its host, speed, failures.

use super::scenario::{Fault, Scenario};

/// Longest stall.
const STALL_MAX_US: u64 = 50_000;
/// Shortest stall.
const STALL_MIN_US: u64 = 1_000;
/// Start of a fault.
pub const FAULT_START_US: u64 = 1_000_000;
/// End of a temporary fault.
pub const FAULT_END_US: u64 = 2_000_000;
/// Time of a run at a server that fails at once.
const FAIL_US: u64 = 100;

/// A period in which a server is paused.
#[derive(Debug, Clone, Copy)]
struct Stall {
    from_us: u64,
    to_us: u64,
}

/// End of one run at a server.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    /// Time of the end.
    pub end_us: u64,
    /// Whether the answer is a success.
    pub healthy: bool,
}

/// A server with all its stalls drawn in advance, so that they are the same for every candidate.
#[derive(Debug)]
pub struct Server {
    stalls: Vec<Stall>,
    fault: Fault,
    number: usize,
}

impl Server {
    /// Creates a server and draws its stalls up to `end_us`.
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
        Self { stalls, fault: scenario.fault, number }
    }

    /// Returns the mean share of time in which a server is not stalled.
    pub fn unstalled_share(scenario: &Scenario) -> f64 {
        let mean_us = (STALL_MIN_US + STALL_MAX_US) / 2;
        match scenario.noise_every_us {
            0 => 1.0,
            every_us => every_us as f64 / (every_us + mean_us) as f64,
        }
    }

    /// Returns whether the server is stalled.
    pub fn stalled(&self, now_us: u64) -> bool {
        let next = self.stalls.partition_point(|stall| stall.to_us <= now_us);
        self.stalls.get(next).is_some_and(|stall| stall.from_us <= now_us)
    }

    /// Returns the end of a run that starts now and needs `work_us`.
    pub fn run(&self, now_us: u64, work_us: u64) -> Run {
        let is_temporary = (FAULT_START_US..FAULT_END_US).contains(&now_us);
        let (work_us, healthy) = match self.fault {
            Fault::Slow if self.number == 0 && now_us >= FAULT_START_US => (work_us * 10, true),
            Fault::FailFast if self.number == 0 && now_us >= FAULT_START_US => (FAIL_US, false),
            Fault::MostFail if self.number > 0 && is_temporary => (FAIL_US, false),
            Fault::None | Fault::Slow | Fault::FailFast | Fault::MostFail | Fault::Burst => (work_us, true),
        };
        Run { end_us: self.work(now_us, work_us), healthy }
    }

    /// Returns the time at which work that starts now is done; a stall adds its length.
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

/// Draws an exponentially distributed time.
pub fn exponential(rng: &mut fastrand::Rng, mean_us: u64) -> u64 {
    (-rng.f64().max(1e-12).ln() * mean_us as f64) as u64
}
