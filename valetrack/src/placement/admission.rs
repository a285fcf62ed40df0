//! Admission of callers' calls by the chance that their runs get answers to the nested calls that they make.
//!
//! A run whose nested calls are declined is lost after it has held a slot. The owner beside the upstream is the entry
//! of these calls: it knows from its own runs how often runs of a route make them, to which services, and which of them
//! were served lately, by priority.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::root::EndedRun;
use super::sliding::SlidingSum;

/// Time over which runs and arrivals are counted: a route with one run per second at this upstream has enough.
const COUNT_WINDOW_US: u64 = 10_000_000;
/// Runs of a route after which its nested calls are used. A cold upstream starts a few runs a second, and all nodes
/// know nothing after a power loss.
const RUNS_MIN: f64 = 3.0;
/// Arrivals of a route after which its calls count as waiting for slots.
const ARRIVALS_MIN: f64 = 3.0;
/// Time in which the weight of an outcome of a nested call halves: the room of a service changes with its runs, which
/// take some tenths of a second.
const NESTED_HALF_LIFE_US: f64 = 500_000.0;
/// The same for callers' calls, of which an entry sends one or two a second to a service.
const CALLER_HALF_LIFE_US: f64 = 2_000_000.0;
/// Largest weight of outcomes, in units of one outcome, so that those of busy services fade as soon as others.
const OUTCOMES_MAX: f64 = 10.0;
/// Weight of the assumption about nested calls without recent outcomes, in units of one outcome. It lets calls through
/// again once there are none.
const NESTED_PRIOR_WEIGHT: f64 = 1.0;
/// The same for callers' calls: an entry has outcomes of a few of them, and a single decline says little.
const CALLER_PRIOR_WEIGHT: f64 = 3.0;
/// Smallest weight of a run when a call is attributed, so that a route that begins to make calls is noticed.
const ATTRIBUTION_MIN: f64 = 0.01;
/// Worth of a call relative to a less urgent one, at least: operators give more urgent calls more worth, but state no
/// factor.
const URGENT_WORTH: f64 = 2.0;
/// Factor on the chance of calls of other routes that could use the slot. They are not more urgent, or they would start
/// first, and a small difference between two chances is uncertain.
const OTHERS_FACTOR: f64 = 0.5;
/// Time in which the admitted share of a route halves or doubles. An outcome of a call that was admitted or declined
/// shows after a run, which takes some tenths of a second.
const SHARE_HALF_TIME_US: f64 = 200_000.0;
/// Smallest admitted share, so that outcomes of nested calls remain known.
const SHARE_MIN: f64 = 0.05;
/// Chance from which on a run probably gets its answers. Such a run is admitted whatever others lose, since gates
/// order calls by rank, and a declined caller would probably have been served.
const PROBABLE_CHANCE: f64 = 0.5;

/// Recent outcomes of calls of one priority to one service.
#[derive(Debug, Clone, Copy)]
struct Outcomes {
    half_life_us: f64,
    served: f64,
    total: f64,
    updated_us: u64,
}

impl Outcomes {
    const fn new(half_life_us: f64) -> Self {
        Self { half_life_us, served: 0.0, total: 0.0, updated_us: 0 }
    }

    fn record(&mut self, is_served: bool, now_us: u64) {
        let weight = self.weight(now_us).min((OUTCOMES_MAX - 1.0) / self.total.max(1.0));
        self.served = self.served * weight + f64::from(u8::from(is_served));
        self.total = self.total * weight + 1.0;
        self.updated_us = now_us;
    }

    /// Returns the chance of a call, with an assumption and its weight.
    fn chance(&self, assumed: f64, assumed_weight: f64, now_us: u64) -> f64 {
        let weight = self.weight(now_us);
        (self.served * weight + assumed * assumed_weight) / (self.total * weight + assumed_weight)
    }

    fn weight(&self, now_us: u64) -> f64 {
        0.5_f64.powf(now_us.saturating_sub(self.updated_us) as f64 / self.half_life_us)
    }
}

/// Recent outcomes of an entry's calls to one service, by priority.
#[derive(Debug, Clone, Default)]
struct ServiceOutcomes {
    /// Nested calls, which may wait longer than callers' calls.
    nested: BTreeMap<u8, Outcomes>,
    callers: BTreeMap<u8, Outcomes>,
}

impl ServiceOutcomes {
    /// Returns the chance of a nested call: at most that of each more urgent one, since it waits behind them.
    fn chance(&self, priority: u8, room_share: f64, now_us: u64) -> f64 {
        let outcomes = self.nested.range(..=priority);
        outcomes.map(|(_, outcomes)| outcomes.chance(room_share, NESTED_PRIOR_WEIGHT, now_us)).fold(1.0, f64::min)
    }

    /// Returns the share of more urgent calls that were not served: a nested call would take a slot from such a call.
    fn urgent_declined(&self, priority: u8, now_us: u64) -> f64 {
        let outcomes = self.callers.range(..priority).chain(self.nested.range(..priority));
        let chances = outcomes.map(|(_, outcomes)| outcomes.chance(1.0, CALLER_PRIOR_WEIGHT, now_us));
        1.0 - chances.fold(1.0, f64::min)
    }
}

/// Nested calls of the runs of one route to one service.
#[derive(Debug, Clone, Copy)]
struct NestedCounts {
    /// Runs that made at least one call.
    calling_runs: SlidingSum,
    calls: SlidingSum,
}

/// Share of the calls of one route and priority that is admitted.
#[derive(Debug, Clone, Copy)]
struct AdmittedShare {
    share: f64,
    updated_us: u64,
    /// Part of the next call that may be admitted, below one.
    admitted: f64,
}

impl AdmittedShare {
    const fn new() -> Self {
        Self { share: 1.0, updated_us: 0, admitted: 0.0 }
    }

    /// Lowers the share while calls cost others more than they give their callers, and raises it otherwise. The calls
    /// of one route compete with each other, so the loss by a single one does not show how many to admit.
    fn update(&mut self, is_loss: bool, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.updated_us) as f64;
        let factor = 2.0_f64.powf((passed_us / SHARE_HALF_TIME_US).min(1.0));
        self.share = if is_loss { (self.share / factor).max(SHARE_MIN) } else { (self.share * factor).min(1.0) };
        self.updated_us = now_us;
    }

    /// Returns whether the next call belongs to the share.
    fn admits_next(&mut self) -> bool {
        self.admitted += self.share;
        let is_admitted = self.admitted >= 1.0;
        self.admitted -= f64::from(u8::from(is_admitted));
        is_admitted
    }
}

/// Arrivals and runs of one route at this upstream.
#[derive(Debug, Clone)]
struct RouteCounts {
    /// Priority of the latest call.
    priority: u8,
    arrivals: SlidingSum,
    runs: SlidingSum,
    nested: HashMap<Arc<str>, NestedCounts>,
    /// Admitted shares by priority: the calls of one route may belong to accounts of several priorities.
    shares: BTreeMap<u8, AdmittedShare>,
}

impl RouteCounts {
    fn new() -> Self {
        let sum = SlidingSum::new(COUNT_WINDOW_US);
        Self { priority: 0, arrivals: sum, runs: sum, nested: HashMap::new(), shares: BTreeMap::new() }
    }

    /// Returns what a run is expected to need and to get at other services.
    fn prospect(&mut self, outcomes: &HashMap<Arc<str>, ServiceOutcomes>, cx: &Deeper<'_>) -> Prospect {
        let mut prospect = Prospect { chance: 1.0, calling_share: 0.0, displaced: 0.0 };
        let runs = self.runs.lower_bound(cx.now_us);
        if runs < RUNS_MIN {
            return prospect;
        }
        for (service, counts) in &mut self.nested {
            let Some(outcomes) = outcomes.get(service) else {
                continue;
            };
            let calls = counts.calls.lower_bound(cx.now_us);
            let calling_runs = counts.calling_runs.lower_bound(cx.now_us);
            let calling_share = (calling_runs / runs).min(1.0);
            let chance = outcomes.chance(self.priority, (cx.room_share)(service), cx.now_us);
            let all_served = chance.powf((calls / calling_runs.max(1.0)).max(1.0));
            prospect.chance *= 1.0 - calling_share + calling_share * all_served;
            prospect.calling_share = prospect.calling_share.max(calling_share);
            prospect.displaced += calls / runs * chance * outcomes.urgent_declined(self.priority, cx.now_us);
        }
        prospect
    }
}

/// What the entry knows of the services that runs call.
struct Deeper<'a> {
    /// Share of a service's owners that had room lately.
    room_share: &'a dyn Fn(&str) -> f64,
    now_us: u64,
}

/// What a run is expected to need and to get at the services that it calls.
#[derive(Debug, Clone, Copy)]
struct Prospect {
    /// Chance that it gets all the answers it needs.
    chance: f64,
    /// Chance that it makes nested calls.
    calling_share: f64,
    /// More urgent calls that its nested calls take slots from.
    displaced: f64,
}

/// Decision on one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RootVerdict {
    /// Whether the call may take a slot.
    pub is_admitted: bool,
    /// Chance that its run gets all the answers it needs.
    pub chance: f64,
    /// What others lose, in calls of its worth.
    pub lost: f64,
    /// Share of the calls of its route and priority that is admitted.
    pub share: f64,
}

/// Decision on callers' calls at the owner beside an upstream.
#[derive(Debug, Default)]
pub struct RootAdmission {
    routes: HashMap<Arc<str>, RouteCounts>,
    /// Outcomes of this entry's calls by service.
    outcomes: HashMap<Arc<str>, ServiceOutcomes>,
}

impl RootAdmission {
    /// Records the end of a run with the nested calls that it made.
    pub fn run_ended(&mut self, run: &EndedRun, now_us: u64) {
        let counts = self.routes.entry(run.route.clone()).or_insert_with(RouteCounts::new);
        counts.runs.add(1.0, now_us);
        for (service, calls) in &run.calls {
            let sum = SlidingSum::new(COUNT_WINDOW_US);
            let new = NestedCounts { calling_runs: sum, calls: sum };
            let nested = counts.nested.entry(service.clone()).or_insert(new);
            nested.calling_runs.add(calls.min(1.0), now_us);
            nested.calls.add(*calls, now_us);
        }
    }

    /// Returns the weight of a run of a route among the runs that could have made a call to a service: the calls that
    /// runs of the route make on average, and one with too few runs.
    pub fn attribution_weight(&mut self, route: &str, service: &str, now_us: u64) -> f64 {
        let Some(counts) = self.routes.get_mut(route) else {
            return 1.0;
        };
        let runs = counts.runs.lower_bound(now_us);
        let calls = counts.nested.get_mut(service).map_or(0.0, |nested| nested.calls.lower_bound(now_us));
        if runs < RUNS_MIN { 1.0 } else { (calls / runs).max(ATTRIBUTION_MIN) }
    }

    /// Records whether a call of this entry to a service was served in time, with the priority of the call at its root.
    pub fn record_outcome(&mut self, service: &Arc<str>, is_nested: bool, priority: u8, is_served: bool, now_us: u64) {
        let outcomes = self.outcomes.entry(service.clone()).or_default();
        let (outcomes, half_life_us) = match is_nested {
            true => (&mut outcomes.nested, NESTED_HALF_LIFE_US),
            false => (&mut outcomes.callers, CALLER_HALF_LIFE_US),
        };
        outcomes.entry(priority).or_insert(Outcomes::new(half_life_us)).record(is_served, now_us);
    }

    /// Removes the routes and services for which the functions return false.
    pub fn retain(&mut self, is_route: impl Fn(&str) -> bool, is_service: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_route(route));
        self.outcomes.retain(|service, _| is_service(service));
    }

    /// Decides whether a caller's call may take a slot or wait for one.
    ///
    /// While a slot is free the admitted share grows, since callers would lose answers for nothing: runs may need no
    /// nested call, and deeper down the gates order calls by rank. Otherwise the chance of an answer is compared with
    /// what others lose: calls of another route with a better chance here, and more urgent calls deeper down.
    /// `room_share` returns the share of a service's owners that had room lately.
    pub fn admits(
        &mut self,
        route: &Arc<str>,
        priority: u8,
        has_room: bool,
        room_share: &dyn Fn(&str) -> f64,
        now_us: u64,
    ) -> RootVerdict {
        let Self { routes, outcomes } = self;
        let cx = Deeper { room_share, now_us };
        let counts = routes.entry(route.clone()).or_insert_with(RouteCounts::new);
        counts.priority = priority;
        counts.arrivals.add(1.0, now_us);
        let Prospect { chance, calling_share, displaced } = counts.prospect(outcomes, &cx);
        if calling_share == 0.0 {
            return RootVerdict { is_admitted: true, chance, lost: 0.0, share: 1.0 };
        }
        let lost = match has_room || chance >= PROBABLE_CHANCE {
            true => 0.0,
            false => displaced * URGENT_WORTH + best_other_chance(routes, outcomes, route, &cx) * OTHERS_FACTOR,
        };
        let counts = routes.entry(route.clone()).or_insert_with(RouteCounts::new);
        let share = counts.shares.entry(priority).or_insert(AdmittedShare::new());
        share.update(chance < lost, now_us);
        RootVerdict { is_admitted: share.admits_next(), chance, lost, share: share.share }
    }
}

/// Returns the best chance among the other routes that have callers here.
fn best_other_chance(
    routes: &mut HashMap<Arc<str>, RouteCounts>,
    outcomes: &HashMap<Arc<str>, ServiceOutcomes>,
    route: &str,
    cx: &Deeper<'_>,
) -> f64 {
    let others = routes.iter_mut().filter(|(other, _)| ***other != *route);
    let chances = others.map(|(_, counts)| {
        let is_called = counts.arrivals.lower_bound(cx.now_us) >= ARRIVALS_MIN;
        if is_called { counts.prospect(outcomes, cx).chance } else { 0.0 }
    });
    chances.fold(0.0, f64::max)
}
