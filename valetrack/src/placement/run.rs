//! I/O shell of placement: the views of servers at an entry, and the tasks that update them. It shares the thread of
//! the caller listener, since the task of each caller drives its own call.

mod ledger;
mod probe;
mod region;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use tokio::sync::{oneshot, watch};

use self::region::RegionLinks;
use super::admission::RootAdmission;
use super::budget::RateBudget;
use super::call::{CallContext, CallRule};
use super::driver::drive;
use super::message::{Demand, Placed, ServerIndex, Verdict, quarantined};
use super::nested::{NestedCalls, NestedRoutes};
use super::never_runs::NeverRuns;
use super::policy::Policy;
use super::repeat::FleetSize;
use super::return_plan::ReturnCounts;
use super::root::RunsInProgress;
use super::service::{EntryPlace, Recipient, ServiceState, call_rule};
use super::services::Services;
use super::traffic::AnswerSize;
use super::view::ServiceView;
use super::waited::CallerTime;
use super::work::WorkEstimate;
use crate::bundle::{InForce, MeasureRule};
use crate::clock::now_us;
use crate::code::Code;
use crate::crash::Quarantine;
use crate::gate::{AttemptId, Departures, LoadReport, NestedRank};
use crate::link::message::{CallHead, PeerRequest};
use crate::link::path::PathTimes;
use crate::link::peer::{self, LinkJob, LinkResult, Target};
use crate::member::{MemberJob, Members};
use crate::metric::Metrics;
use crate::region::Regions;
use crate::timeline::log as events;

/// Time limit of an owner's reply to a cancel or a probe.
const REPLY_LIMIT_MS: u64 = 150;

struct Inner {
    services: Services,
    /// Usual run times by route.
    work_estimates: HashMap<Arc<str>, WorkEstimate>,
    /// Usual time limits of callers by route.
    caller_times: HashMap<Arc<str>, CallerTime>,
    /// Routes that upstreams call during their runs.
    nested_routes: NestedRoutes,
    /// Runs of the upstream beside this entry, and the calls that it makes during them.
    nested_calls: NestedCalls,
    /// Runs of that upstream that are in progress.
    runs: RunsInProgress,
    /// Admission of callers' calls to that upstream.
    admission: RootAdmission,
    fleet: FleetSize,
    /// Links to other regions; empty if the fleet has a single one.
    links: RegionLinks,
    /// Usual sizes of answers by route; empty if the fleet has a single region.
    answer_sizes: HashMap<Arc<str>, AnswerSize>,
    rng: fastrand::Rng,
    next_seq: u64,
    measure: RateBudget,
    probes: RateBudget,
}

/// Places the calls of one entry.
pub struct Placer {
    inner: RefCell<Inner>,
    pub(super) entry: u64,
    vm: Arc<str>,
    domain: Arc<str>,
    domain_cost_us: u32,
    regions: Arc<Regions>,
    region_link_mbps: f64,
    pub(super) to_link: Sender<LinkJob>,
    to_member: Sender<MemberJob>,
    /// The bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    members: watch::Receiver<Arc<Members>>,
    crashes: Rc<Quarantine>,
    paths: Rc<PathTimes>,
    /// Upstreams that are known to leave.
    pub departures: Rc<Departures>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

/// Settings and channels of a placer.
pub struct PlacerParts {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Cost of leaving the failure domain.
    pub domain_cost_us: u32,
    /// Region of each failure domain.
    pub regions: Arc<Regions>,
    /// Capacity of the link between two regions, in Mbit/s; zero if unknown.
    pub region_link_mbps: f64,
    /// Rule of server selection.
    pub policy: Policy,
    /// Seed of random choices.
    pub seed: u64,
    /// Random number of this process's incarnation.
    pub entry: u64,
    /// Channel to the link thread.
    pub to_link: Sender<LinkJob>,
    /// Channel to the member task.
    pub to_member: Sender<MemberJob>,
    /// The bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    /// Known members of the fleet.
    pub members: watch::Receiver<Arc<Members>>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

impl Placer {
    /// Creates a placer without known services; `crashes` is this node's record of calls that crash upstreams, and
    /// `departures` that of upstreams that leave, and `paths` that of round trips to other nodes.
    pub fn new(
        parts: PlacerParts,
        crashes: Rc<Quarantine>,
        departures: Rc<Departures>,
        paths: Rc<PathTimes>,
    ) -> Rc<Self> {
        let inner = Inner {
            services: Services::new(parts.policy),
            work_estimates: HashMap::new(),
            caller_times: HashMap::new(),
            nested_routes: NestedRoutes::default(),
            nested_calls: NestedCalls::default(),
            runs: RunsInProgress::default(),
            admission: RootAdmission::default(),
            fleet: FleetSize::default(),
            links: RegionLinks::default(),
            answer_sizes: HashMap::new(),
            rng: fastrand::Rng::with_seed(parts.seed),
            next_seq: 1,
            measure: RateBudget::new(0, 0, now_us()),
            probes: RateBudget::new(0, 0, now_us()),
        };
        Rc::new(Self {
            inner: RefCell::new(inner),
            entry: parts.entry,
            vm: parts.vm,
            domain: parts.domain,
            domain_cost_us: parts.domain_cost_us,
            regions: parts.regions,
            region_link_mbps: parts.region_link_mbps,
            to_link: parts.to_link,
            to_member: parts.to_member,
            bundle: parts.bundle,
            members: parts.members,
            crashes,
            paths,
            departures,
            metrics: parts.metrics,
        })
    }

    /// Returns the identifier of the next attempt of this entry.
    pub fn next_attempt(&self) -> AttemptId {
        let mut inner = self.inner.borrow_mut();
        let seq = inner.next_seq;
        inner.next_seq += 1;
        AttemptId { entry: self.entry, seq }
    }

    /// Applies changes of the bundle and of the members, until one of their channels closes.
    pub async fn follow(self: Rc<Self>) {
        let mut bundle = self.bundle.clone();
        let mut members = self.members.clone();
        loop {
            let in_force = bundle.borrow_and_update().clone();
            let known = members.borrow_and_update().clone();
            if let Some(in_force) = in_force {
                self.apply_config(&in_force, &known);
            }
            let changed = tokio::select! {
                changed = bundle.changed() => changed,
                changed = members.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    fn apply_config(&self, in_force: &InForce, members: &Members) {
        let inner = &mut *self.inner.borrow_mut();
        let MeasureRule { bytes_per_s, probes_per_s, .. } = in_force.bundle.measure;
        inner.measure.configure(bytes_per_s.into(), bytes_per_s.into(), now_us());
        inner.probes.configure(probes_per_s.into(), probes_per_s.into(), now_us());
        self.metrics.measure_budget.set(bytes_per_s.into());
        inner.services.remove_others(|name| in_force.bundle.service(name).is_some(), now_us());
        inner.work_estimates.retain(|route, _| in_force.bundle.routes.contains(route));
        inner.caller_times.retain(|route, _| in_force.bundle.routes.contains(route));
        inner.nested_routes.retain(|route| in_force.bundle.routes.contains(route), now_us());
        inner.nested_calls.retain(|service| in_force.bundle.service(service).is_some(), now_us());
        let is_route = |route: &str| in_force.bundle.routes.contains(route);
        inner.admission.retain(is_route, |service| in_force.bundle.service(service).is_some());
        inner.answer_sizes.retain(|route, _| in_force.bundle.routes.contains(route));
        let nodes = members.iter().count();
        let place = EntryPlace {
            vm: &self.vm,
            domain: &self.domain,
            domain_cost_us: self.domain_cost_us,
            regions: &self.regions,
        };
        let fleet = inner.fleet.update(members.vm_count() as u32, members.is_complete(), now_us());
        let plans_returns = in_force.bundle.nested_rank == NestedRank::Root || self.regions.has_several();
        for rule in &in_force.bundle.services {
            let state = inner.services.configured(rule, now_us());
            state.configure(rule, fleet);
            state.view.plan_returns(plans_returns);
            self.metrics.repeat_reserve.with_label_values(&[&*rule.name]).set(state.budgets.retry.reserve());
            let links = &mut inner.links;
            state.sync(members.servers_of(&rule.name), &place, |domain| links.index_of(&self.regions, domain));
        }
        inner.links.configure(self.region_link_mbps, nodes, now_us());
    }

    /// Places one call and returns its result. Operations that are still pending then are dropped.
    pub async fn place(self: Rc<Self>, mut head: CallHead, body: Bytes, rule: CallRule) -> Placed {
        if self.crashes.refuses(&head, &body) {
            return Placed::Verdict(quarantined(NeverRuns::unsent()));
        }
        let (reply, placed) = oneshot::channel();
        head.work_us = rule.demand.map_or(0, |demand| demand.work_us);
        self.mark_repeat_chance(&mut head);
        tokio::task::spawn_local(drive(self, head, body, rule, reply));
        let lost = Placed::Verdict(Verdict::Unknown { code: Code::LinkLost });
        placed.await.unwrap_or(lost)
    }

    /// Records the time limit that a caller of a route sends, and returns how long the caller has waited since its
    /// first call.
    pub fn waited_ms(&self, route: &Arc<str>, limit_ms: u32) -> u32 {
        let mut inner = self.inner.borrow_mut();
        match inner.caller_times.get_mut(route) {
            Some(time) => time.waited_ms(limit_ms),
            None => inner.caller_times.entry(route.clone()).or_default().waited_ms(limit_ms),
        }
    }

    /// Returns the requirements of a call of a route on its server.
    pub fn demand(&self, route: &Arc<str>, objective_ms: u32) -> Demand {
        let inner = self.inner.borrow();
        inner.work_estimates.get(route).copied().unwrap_or_default().demand(objective_ms)
    }

    /// Records the duration of one run of a route.
    pub fn ran(&self, route: &Arc<str>, ran_us: u32) {
        let mut inner = self.inner.borrow_mut();
        if let Some(work) = inner.work_estimates.get_mut(route) {
            work.ran(ran_us);
            return;
        }
        let mut work = WorkEstimate::default();
        work.ran(ran_us);
        inner.work_estimates.insert(route.clone(), work);
    }

    /// Returns the placement rule for calls of a service; `attempts_max` limits the upstreams that a call may run on.
    pub fn rule(&self, service: &str, repeatable: bool, attempts_max: Option<u8>) -> Option<CallRule> {
        let in_force = self.bundle.borrow();
        let rule = in_force.as_ref()?.bundle.service(service)?;
        let mut rule = call_rule(rule, repeatable);
        if let Some(most) = attempts_max {
            rule.retries = rule.retries.min(most.saturating_sub(1));
        }
        Some(rule)
    }

    /// Runs a decision of a call on the view and the budgets of its service; none if the service is unknown.
    pub(super) fn decide<R>(&self, service: &str, decision: impl FnOnce(&mut CallContext<'_>) -> R) -> Option<R> {
        let mut inner = self.inner.borrow_mut();
        let Inner { services, rng, next_seq, links, .. } = &mut *inner;
        let ServiceState { view, budgets, .. } = services.get_mut(service)?;
        links.update(view, now_us());
        let decided = decision(&mut CallContext { view, budgets, rng, now_us: now_us(), next_seq });
        for (cause, count) in budgets.refused.drain() {
            self.metrics.retries_refused.with_label_values(&[service, cause.as_str()]).inc_by(count);
        }
        if let Some(plan) = view.return_plan() {
            self.count_returns(service, plan.drain_counts());
        }
        Some(decided)
    }

    fn count_returns(&self, service: &str, counts: ReturnCounts) {
        let ReturnCounts { reserved, not_reserved, unknown, returns_served, returns_refused } = counts;
        if reserved + not_reserved + unknown > 0 {
            log::debug!(
                "event=call.return_planned service={service} reserved={reserved} none={not_reserved} unknown={unknown}"
            );
        }
        let plans = [("reserved", reserved), ("none", not_reserved), ("unknown", unknown)];
        for (plan, count) in plans.into_iter().filter(|(_, count)| *count > 0) {
            self.metrics.planned_returns.with_label_values(&[service, plan]).inc_by(count);
        }
        let results = [("served", returns_served), ("refused", returns_refused)];
        for (result, count) in results.into_iter().filter(|(_, count)| *count > 0) {
            self.metrics.caller_returns.with_label_values(&[service, result]).inc_by(count);
        }
    }

    /// Returns the server that has an index now, if its service is still known.
    pub(super) fn recipient(&self, service: &str, server: ServerIndex) -> Option<Recipient> {
        self.inner.borrow().services.get(service)?.recipient(server)
    }

    /// Reads or updates the view of a server, unless its index has got another server since the request to it.
    fn with_view<R>(
        &self,
        service: &str,
        recipient: &Recipient,
        use_view: impl FnOnce(&mut ServiceView, ServerIndex) -> R,
    ) -> Option<R> {
        let mut inner = self.inner.borrow_mut();
        let state = inner.services.get_mut(service)?;
        let server = state.present_index(recipient)?;
        Some(use_view(&mut state.view, server))
    }

    /// Returns whether a target is this node.
    pub(super) fn is_own(&self, target: &Target) -> bool {
        target.vm == self.vm
    }

    /// Returns the age of the last load report of a server.
    pub(super) fn report_age_ms(&self, service: &str, recipient: &Recipient) -> Option<u64> {
        let received_us = self.with_view(service, recipient, |view, server| view.received_us(server))??;
        Some(now_us().saturating_sub(received_us) / 1000)
    }

    /// Sends a request to another node through the link thread.
    pub async fn ask(&self, target: Target, question: PeerRequest, limit: Duration) -> LinkResult {
        peer::ask(&self.to_link, target, question, limit).await
    }

    /// Applies the state that is piggybacked on a reply.
    pub(super) fn apply_piggyback(&self, service: &str, recipient: &Recipient, result: &LinkResult) {
        let LinkResult::Reply(answered) = result else {
            return;
        };
        let piggyback = answered.head.riding;
        events::observe(piggyback.hlc);
        self.report(service, recipient, piggyback.load);
        let number = self.bundle.borrow().as_ref().map_or(0, |bundle| bundle.number);
        if number == piggyback.bundle {
            return;
        }
        let target = recipient.target.clone();
        let job = match number < piggyback.bundle {
            true => MemberJob::Bundle { number: piggyback.bundle, from: target },
            // Only a node that has just started lacks a bundle for long; others are about to receive it.
            false if piggyback.bundle == 0 => MemberJob::Behind { peer: target },
            false => return,
        };
        // If the channel is full, the next reply triggers the job again.
        let _ = self.to_member.try_send(job);
    }

    /// Has the members query an owner that has declined a call because its failure domain is evacuated: a node whose
    /// requests the store refuses has no other way to learn of the evacuation.
    pub(super) fn report_evacuation(&self, owner: &Target) {
        // If the channel is full, the next decline triggers the job again.
        let _ = self.to_member.try_send(MemberJob::Evacuation { from: owner.clone() });
    }

    fn report(&self, service: &str, recipient: &Recipient, load: LoadReport) {
        self.with_view(service, recipient, |view, server| view.report(server, load, now_us()));
    }

    /// Ejects a server temporarily because its owner does not reply.
    pub(super) fn suspect(&self, service: &str, recipient: &Recipient) {
        self.with_view(service, recipient, |view, server| view.suspect(server, now_us()));
    }
}
