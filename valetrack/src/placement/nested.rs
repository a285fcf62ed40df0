//! Calls that the upstream beside an entry makes during its own runs.
//!
//! Calls of a repeated run count as repeats at the service that receives them. Upstreams do not have to pass on the
//! mark of a repeated run; for a call without a mark, the share of repeats among the runs in progress is used.

use std::collections::HashMap;
use std::sync::Arc;

use super::sliding::SlidingSum;
use crate::gate::PERMILLE;

/// Time over which the calls per run are counted: some tens of runs of the slowest known upstreams.
const COUNT_WINDOW_US: u64 = 10_000_000;
/// Runs after which the calls per run are used.
const RUNS_MIN: f64 = 10.0;

/// Runs of one upstream, and the calls that it makes during them.
#[derive(Debug)]
pub struct NestedCalls {
    /// Runs in progress.
    running: u32,
    /// Sum of their chances of being repeats.
    repeats_permille: u64,
    runs: SlidingSum,
    calls: HashMap<Arc<str>, SlidingSum>,
}

impl Default for NestedCalls {
    fn default() -> Self {
        Self { running: 0, repeats_permille: 0, runs: SlidingSum::new(COUNT_WINDOW_US), calls: HashMap::new() }
    }
}

impl NestedCalls {
    /// Records the start of a run with its chance of being a repeat.
    pub fn run_began(&mut self, repeat_permille: u16, now_us: u64) {
        self.running += 1;
        self.repeats_permille += u64::from(repeat_permille);
        self.runs.add(1.0, now_us);
    }

    /// Records the end of a run, with the chance recorded at its start.
    pub fn run_ended(&mut self, repeat_permille: u16) {
        self.running = self.running.saturating_sub(1);
        self.repeats_permille = self.repeats_permille.saturating_sub(repeat_permille.into());
    }

    /// Returns whether any run is in progress.
    pub fn is_running(&self) -> bool {
        self.running > 0
    }

    /// Records a call to a service, and returns the chance that a repeated run made it.
    pub fn record_call(&mut self, service: &Arc<str>, now_us: u64) -> u16 {
        let calls = self.calls.entry(service.clone()).or_insert_with(|| SlidingSum::new(COUNT_WINDOW_US));
        calls.add(1.0, now_us);
        let running = u64::from(self.running.max(1));
        (self.repeats_permille / running).min(PERMILLE as u64) as u16
    }

    /// Removes the services for which `is_configured` returns false, once their calls no longer count.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool, now_us: u64) {
        self.calls.retain(|service, calls| is_configured(service) || calls.upper_bound(now_us) > 0.0);
    }

    /// Returns whether a repeated run may start: each service that it calls must have enough repeats left for this run
    /// and for the repeats in progress.
    pub fn admits_repeat(&mut self, mut repeats_left: impl FnMut(&str) -> f64, now_us: u64) -> bool {
        let runs = self.runs.lower_bound(now_us);
        if runs < RUNS_MIN {
            return true;
        }
        let repeats = self.repeats_permille as f64 / PERMILLE + 1.0;
        self.calls.iter_mut().all(|(service, calls)| {
            let calls_per_run = calls.lower_bound(now_us) / runs;
            calls_per_run == 0.0 || repeats_left(service) >= calls_per_run * repeats
        })
    }
}

/// Routes that upstreams call during their runs, and since when the bundle lacks them.
#[derive(Debug, Default)]
pub struct NestedRoutes(HashMap<Arc<str>, Option<u64>>);

impl NestedRoutes {
    /// Adds a route.
    pub fn insert(&mut self, route: &Arc<str>) {
        self.0.entry(route.clone()).or_default();
    }

    /// Removes a route.
    pub fn remove(&mut self, route: &str) {
        self.0.remove(route);
    }

    /// Returns whether upstreams call a route during their runs.
    pub fn contains(&self, route: &str) -> bool {
        self.0.contains_key(route)
    }

    /// Removes the routes for which `is_configured` has returned false for as long as their calls count.
    pub fn retain(&mut self, is_configured: impl Fn(&str) -> bool, now_us: u64) {
        self.0.retain(|route, removed_us| {
            if is_configured(route) {
                *removed_us = None;
                return true;
            }
            now_us < *removed_us.get_or_insert(now_us) + COUNT_WINDOW_US
        });
    }
}
