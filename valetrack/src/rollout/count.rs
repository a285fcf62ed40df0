//! Counts of the runs since the current start of an upstream.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::message::RouteRuns;

/// A run counts as slow if it takes more than this many times the usual time of its route.
const SLOW_FACTOR: u64 = 4;
/// Most routes with counts; runs of further routes are not counted.
const ROUTES_MAX: usize = 64;

/// Runs by route, since the upstream started.
#[derive(Debug, Default)]
pub struct RunCounter {
    start: u64,
    routes: BTreeMap<Arc<str>, RouteRuns>,
}

impl RunCounter {
    /// Sets the start of the upstream that runs calls from now on; a new one resets the counts.
    pub fn set_start(&mut self, start: u64) {
        if self.start != start {
            *self = Self { start, routes: BTreeMap::new() };
        }
    }

    /// Records a run that took `ran_us`; `usual_us` is the usual time of its route, zero if unknown.
    pub fn ran(&mut self, route: &Arc<str>, healthy: bool, ran_us: u64, usual_us: u64) {
        if self.routes.len() >= ROUTES_MAX && !self.routes.contains_key(route) {
            return;
        }
        let runs = self
            .routes
            .entry(route.clone())
            .or_insert_with(|| RouteRuns { route: route.clone(), ..RouteRuns::default() });
        runs.runs += 1;
        runs.failed += u32::from(!healthy);
        runs.slow += u32::from(usual_us > 0 && ran_us > usual_us * SLOW_FACTOR);
    }

    /// Returns the counts by route.
    pub fn routes(&self) -> Vec<RouteRuns> {
        self.routes.values().cloned().collect()
    }
}
