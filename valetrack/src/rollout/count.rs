//! Counts how runs of one start of an upstream end.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::message::RouteRuns;

/// A run is slow that takes this many times what its route usually takes.
const SLOW_FACTOR: u64 = 4;
/// Most routes that are counted apart.
const ROUTES_MAX: usize = 64;

/// Runs by route, since the upstream started.
#[derive(Debug, Default)]
pub struct RunCounter {
    start: u64,
    routes: BTreeMap<Arc<str>, RouteRuns>,
}

impl RunCounter {
    /// Takes which start of the upstream runs calls from now on; another one begins anew.
    pub fn set_start(&mut self, start: u64) {
        if self.start != start {
            *self = Self { start, routes: BTreeMap::new() };
        }
    }

    /// Takes a run that took `ran_us` where `usual_us` is usual for its route, zero where that is unknown.
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

    /// Returns what was counted.
    pub fn routes(&self) -> Vec<RouteRuns> {
        self.routes.values().cloned().collect()
    }
}
