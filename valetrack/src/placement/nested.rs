//! Calls that the upstream beside an entry makes while it runs calls itself.
//!
//! Calls of a repeated run count as repeats at the service that they go to. No upstream has to pass
//! a mark on, so where none comes the share of repeats among the runs in progress stands for it.

use std::collections::HashMap;
use std::sync::Arc;

use super::sliding::SlidingSum;
use crate::gate::PERMILLE;

/// Time over which calls for each run are counted, in microseconds: some tens of runs of the
/// slowest upstreams known.
const COUNTED_US: u64 = 10_000_000;
/// Runs after which the calls for each run are known.
const RUNS_MIN: f64 = 10.0;

/// What one upstream runs, and what it calls meanwhile.
#[derive(Debug)]
pub struct NestedCalls {
    /// Runs in progress.
    running: u32,
    /// Their chances of being repeats, added up, in thousandths.
    repeats_permille: u64,
    runs: SlidingSum,
    calls: HashMap<Arc<str>, SlidingSum>,
}

impl Default for NestedCalls {
    fn default() -> Self {
        Self { running: 0, repeats_permille: 0, runs: SlidingSum::new(COUNTED_US), calls: HashMap::new() }
    }
}

impl NestedCalls {
    /// Takes the start of a run that is a repeat by this chance, in thousandths.
    pub fn run_began(&mut self, repeat_permille: u16, now_us: u64) {
        self.running += 1;
        self.repeats_permille += u64::from(repeat_permille);
        self.runs.add(1.0, now_us);
    }

    /// Takes the end of a run with the chance that it began with.
    pub fn run_ended(&mut self, repeat_permille: u16) {
        self.running = self.running.saturating_sub(1);
        self.repeats_permille = self.repeats_permille.saturating_sub(repeat_permille.into());
    }

    /// Returns whether any run is in progress.
    pub fn is_running(&self) -> bool {
        self.running > 0
    }

    /// Takes a call to a service, and returns the chance that a repeated run made it, in thousandths.
    pub fn called(&mut self, service: &Arc<str>, now_us: u64) -> u16 {
        let calls = self.calls.entry(service.clone()).or_insert_with(|| SlidingSum::new(COUNTED_US));
        calls.add(1.0, now_us);
        let running = u64::from(self.running.max(1));
        (self.repeats_permille / running).min(PERMILLE as u64) as u16
    }

    /// Forgets services that are not named any more.
    pub fn retain(&mut self, named: impl Fn(&str) -> bool) {
        self.calls.retain(|service, _| named(service));
    }

    /// Returns whether a repeated run may start: whether each service that it calls has repeats left
    /// for it and for the repeats that run already.
    pub fn admits_repeat(&mut self, mut left: impl FnMut(&str) -> f64, now_us: u64) -> bool {
        let runs = self.runs.within(now_us);
        if runs < RUNS_MIN {
            return true;
        }
        let repeats = self.repeats_permille as f64 / PERMILLE + 1.0;
        self.calls.iter_mut().all(|(service, calls)| {
            let for_each_run = calls.within(now_us) / runs;
            for_each_run == 0.0 || left(service) >= for_each_run * repeats
        })
    }
}
