//! Utility of a call at each server, and server selection for calls with an objective.

use super::{FIRST_LIMIT, MAX_SERVERS, STALL_PENALTY_US, ServerView, ServiceView, pick_where, wait_us};
use crate::gate::{LoadReport, Pace, fading};
use crate::placement::message::{Demand, ServerIndex};
use crate::placement::policy::Policy;
use crate::placement::set::ServerSet;
use crate::placement::way::way_cost;

/// Utilities that differ by less count as equal.
const TIE_VALUE: f64 = 0.01;
/// Delay assumed for a server that fails every run, as a multiple of the time left.
const FAILING_WEIGHT: f64 = 2.0;
/// A cold server without starts left is assumed to start the next call this long after its report: a quarter of the
/// second over which its starts are counted.
const NO_START_US: u64 = 250_000;

impl ServiceView {
    /// Picks the server with the highest utility for a call: of the servers that are likely to answer within the
    /// objective the least expensive to reach, and the fastest one if there is none.
    ///
    /// An answer has the same utility at any time before the objective, so a faster server in another failure domain is
    /// no gain if a server of the own domain answers within the objective.
    pub fn pick_in_time(
        &mut self,
        excluded: ServerSet,
        demand: Demand,
        now_us: u64,
        rng: &mut fastrand::Rng,
    ) -> Option<ServerIndex> {
        if self.policy != Policy::Valetrack {
            return self.pick(excluded, now_us, rng);
        }
        self.used_us = Some(now_us);
        let (open, count) = self.open(excluded, now_us);
        let open = &open[..count];
        if open.is_empty() {
            return None;
        }
        let usual = self.usual();
        let mut values = [f64::NEG_INFINITY; MAX_SERVERS];
        let mut best = f64::NEG_INFINITY;
        for (at, &server) in open.iter().enumerate() {
            values[at] = self.value(server, demand, &usual, now_us);
            best = best.max(values[at]);
        }
        Some(pick_where(open, rng, |at| values[at] >= best - TIE_VALUE))
    }

    /// Returns the utility of a call at a server, as a share of the utility of a timely answer: the chance of an answer
    /// within the objective, less the network cost.
    fn value(&self, server: ServerIndex, demand: Demand, usual: &LoadReport, now_us: u64) -> f64 {
        let view = &self.servers[server];
        let (load, age_us) = match view.seen {
            Some(seen) => (seen.load, now_us.saturating_sub(seen.seen_us)),
            None => (*usual, 0),
        };
        let pace = Pace::of(&load, age_us);
        let weight = 0.5_f64.powf(age_us as f64 / pace.lasts_us);
        let before_us = self.before_run_us(view, &load, demand, age_us, weight);
        let in_time = pace.worth(demand.work_us.into(), before_us, demand.left_us as f64);
        in_time - way_cost(view.far, view.seen.is_some())
    }

    /// Returns the time that a call sent now is expected to lose at a server besides its run, by a report that is
    /// `age_us` old and whose queue still counts by `weight`.
    fn before_run_us(&self, view: &ServerView, load: &LoadReport, demand: Demand, age_us: u64, weight: f64) -> f64 {
        let limit = f64::from(load.limit.max(1));
        let busy = f64::from(view.outstanding) + view.seen_others(load) * weight;
        let wait_us = wait_us(busy, limit, f64::from(load.service_us));
        let failing = view.failure_share.max(f64::from(load.failing_percent) / 100.0) * fading(age_us);
        let failure_us = failing * FAILING_WEIGHT * demand.left_us as f64;
        let stall_us = if load.stalled { STALL_PENALTY_US * weight } else { 0.0 };
        // A cold server that has used up its starts looks idle, and would attract all calls.
        let cold_us = if load.limit == 0 { NO_START_US.saturating_sub(age_us) as f64 } else { 0.0 };
        f64::from(view.network_us) + wait_us + failure_us + stall_us + cold_us
    }

    /// Returns the utility of a call at the best server outside `excluded`. The network cost of `server`, at which the
    /// call is now, counts as saved.
    pub fn worth_elsewhere(
        &self,
        server: ServerIndex,
        excluded: ServerSet,
        demand: Demand,
        now_us: u64,
    ) -> Option<f64> {
        let (open, count) = self.open(excluded, now_us);
        let usual = self.usual();
        let values = open[..count].iter().map(|&other| self.value(other, demand, &usual, now_us));
        let best = values.reduce(f64::max)?;
        Some(best + way_cost(self.servers[server].far, true))
    }

    /// Returns the report assumed for servers without one: the average speed of the servers that have reported.
    fn usual(&self) -> LoadReport {
        if self.servers.iter().all(|view| view.seen.is_some() || !view.present) {
            // All servers have reported, so the assumed report is not used.
            return LoadReport::default();
        }
        let known = || self.servers.iter().filter(|view| view.present).filter_map(|view| view.seen);
        let count = known().count() as u64;
        let average = |figure: fn(&LoadReport) -> u64| {
            let sum: u64 = known().map(|seen| figure(&seen.load)).sum();
            sum.checked_div(count).unwrap_or(0)
        };
        let slow_share_percent = average(|load| load.slow_share_percent.into()) as u8;
        LoadReport {
            limit: FIRST_LIMIT,
            fast_percent: average(|load| load.fast_percent.into()) as u16,
            slow_percent: average(|load| load.slow_percent.into()) as u16,
            slow_chance_percent: slow_share_percent,
            slow_share_percent,
            kept_percent: average(|load| load.kept_percent.into()) as u8,
            ..LoadReport::default()
        }
    }

    /// Returns whether a server is probably in a slow episode by its last report.
    pub fn is_slow(&self, server: ServerIndex, now_us: u64) -> bool {
        let seen = self.servers.get(server).and_then(|view| view.seen);
        seen.is_some_and(|seen| Pace::of(&seen.load, now_us.saturating_sub(seen.seen_us)).is_slow())
    }
}
