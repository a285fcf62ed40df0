//! Utility of a call at each server, and server selection for calls with an objective.

use super::{ASSUMED_LIMIT, MAX_SERVERS, STALL_PENALTY_US, ServerView, ServiceView, pick_where, wait_us};
use crate::gate::{LoadReport, SpeedEstimate, history_weight};
use crate::placement::message::{Demand, ServerIndex};
use crate::placement::network_cost::network_cost;
use crate::placement::policy::Policy;
use crate::placement::set::ServerSet;

/// Utilities that differ by less count as equal.
const TIE_UTILITY: f64 = 0.01;
/// Delay assumed for a server that fails every run, as a multiple of the time left.
const FAILING_WEIGHT: f64 = 2.0;
/// A cold server without starts left is assumed to start the next call this long after its report: a quarter of the
/// second over which its starts are counted.
const COLD_START_WAIT_US: u64 = 250_000;

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
        self.last_pick_us = Some(now_us);
        let (eligible, count) = self.eligible(excluded, now_us);
        let eligible = &eligible[..count];
        let assumed_report = self.assumed_report();
        let utility = |server| self.utility(server, demand, &assumed_report, now_us);
        pick_highest(eligible, rng, utility).map(|(server, _)| server)
    }

    /// Returns the utility of a call at a server, as a share of the utility of a timely answer: the chance of an answer
    /// within the objective, less the network cost.
    pub(super) fn utility(&self, server: ServerIndex, demand: Demand, assumed_report: &LoadReport, now_us: u64) -> f64 {
        let view = &self.servers[server];
        let timely_chance = self.timely_chance(server, demand, 0.0, assumed_report, now_us);
        timely_chance - network_cost(view.cross_domain, view.last_report.is_some())
    }

    /// Returns the chance that a call is answered by a server within its objective, if it loses `further_us` besides
    /// the time that the server's state lets expect.
    pub(super) fn timely_chance(
        &self,
        server: ServerIndex,
        demand: Demand,
        further_us: f64,
        assumed_report: &LoadReport,
        now_us: u64,
    ) -> f64 {
        let view = &self.servers[server];
        let (load, age_us) = match view.last_report {
            Some(last_report) => (last_report.load, now_us.saturating_sub(last_report.received_us)),
            None => (*assumed_report, 0),
        };
        let speed = SpeedEstimate::of(&load, age_us);
        let weight = 0.5_f64.powf(age_us as f64 / speed.lasts_us);
        let before_us = self.before_run_us(view, &load, demand, age_us, weight) + further_us;
        speed.expected_utility(demand.work_us.into(), before_us, demand.left_us as f64)
    }

    /// Returns the time that a call sent now is expected to lose at a server besides its run, by a report that is
    /// `age_us` old and whose queue still counts by `weight`.
    fn before_run_us(&self, view: &ServerView, load: &LoadReport, demand: Demand, age_us: u64, weight: f64) -> f64 {
        let limit = f64::from(load.limit.max(1));
        let busy = f64::from(view.outstanding) + view.reported_others(load) * weight;
        let wait_us = wait_us(busy, limit, f64::from(load.service_us));
        let failing = view.failure_share.max(f64::from(load.failing_percent) / 100.0) * history_weight(age_us);
        let failure_us = failing * FAILING_WEIGHT * demand.left_us as f64;
        let stall_us = if load.stalled { STALL_PENALTY_US * weight } else { 0.0 };
        // A cold server that has used up its starts looks idle, and would attract all calls.
        let start_us = match (load.limit, load.start_delay_ms) {
            (0, 0) => COLD_START_WAIT_US.saturating_sub(age_us) as f64,
            (0, delay_ms) => (u64::from(delay_ms) * 1000).saturating_sub(age_us) as f64,
            _ => 0.0,
        };
        f64::from(view.network_us) + wait_us + failure_us + stall_us + start_us
    }

    /// Returns the utility of a call at the best server outside `excluded`. The network cost of `server`, at which the
    /// call is now, counts as saved.
    pub fn utility_elsewhere(
        &self,
        server: ServerIndex,
        excluded: ServerSet,
        demand: Demand,
        now_us: u64,
    ) -> Option<f64> {
        let (eligible, count) = self.eligible(excluded, now_us);
        let assumed_report = self.assumed_report();
        let utilities = eligible[..count].iter().map(|&other| self.utility(other, demand, &assumed_report, now_us));
        let best = utilities.reduce(f64::max)?;
        Some(best + network_cost(self.servers[server].cross_domain, true))
    }

    /// Returns the report assumed for servers without one: the average speed of the servers that have reported.
    pub(super) fn assumed_report(&self) -> LoadReport {
        if self.servers.iter().all(|view| view.last_report.is_some() || !view.present) {
            // All servers have reported, so the assumed report is not used.
            return LoadReport::default();
        }
        let reports = || self.servers.iter().filter(|view| view.present).filter_map(|view| view.last_report);
        let count = reports().count() as u64;
        let average = |field: fn(&LoadReport) -> u64| {
            let sum: u64 = reports().map(|last_report| field(&last_report.load)).sum();
            sum.checked_div(count).unwrap_or(0)
        };
        let slow_share_percent = average(|load| load.slow_share_percent.into()) as u8;
        LoadReport {
            limit: ASSUMED_LIMIT,
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
        let last_report = self.servers.get(server).and_then(|view| view.last_report);
        last_report.is_some_and(|last_report| {
            SpeedEstimate::of(&last_report.load, now_us.saturating_sub(last_report.received_us)).is_slow()
        })
    }
}

/// Picks uniformly among the servers whose utility is about the highest one, and returns it with the highest utility;
/// none if `utility` is negative infinity for all of `eligible`.
pub(super) fn pick_highest(
    eligible: &[ServerIndex],
    rng: &mut fastrand::Rng,
    utility: impl Fn(ServerIndex) -> f64,
) -> Option<(ServerIndex, f64)> {
    let mut utilities = [f64::NEG_INFINITY; MAX_SERVERS];
    let mut highest = f64::NEG_INFINITY;
    for (at, &server) in eligible.iter().enumerate() {
        utilities[at] = utility(server);
        highest = highest.max(utilities[at]);
    }
    let is_tie = |at: usize| utilities[at] >= highest - TIE_UTILITY;
    (highest > f64::NEG_INFINITY).then(|| (pick_where(eligible, rng, is_tie), highest))
}
