//! Shell of placement: what an entry knows of servers, and how it stays fresh. It shares the thread
//! of the caller listener, since each caller's task drives its own call.

mod ledger;
mod probe;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use tokio::sync::{oneshot, watch};

use super::budget::RateBudget;
use super::call::{CallContext, CallRule};
use super::driver::drive;
use super::message::{Demand, Placed, QUARANTINED, ServerIndex, Verdict};
use super::nested::NestedCalls;
use super::policy::Policy;
use super::repeat::FleetSize;
use super::service::{ServiceState, call_rule};
use super::waited::CallerTime;
use super::work::WorkEstimate;
use crate::bundle::{InForce, MeasureRule};
use crate::clock::now_us;
use crate::code::Code;
use crate::crash::Quarantine;
use crate::gate::{AttemptId, LoadReport};
use crate::link::message::{CallHead, Question};
use crate::link::peer::{self, LinkJob, LinkResult, Target};
use crate::member::{MemberJob, Members};
use crate::metric::Metrics;
use crate::timeline::log as events;

/// Time that an owner has to answer a cancel or a probe, in milliseconds.
pub(super) const PROMPT_MS: u64 = 150;

struct Inner {
    services: HashMap<Arc<str>, ServiceState>,
    /// Usual times of runs by route.
    works: HashMap<Arc<str>, WorkEstimate>,
    /// Times that callers give by route.
    caller_times: HashMap<Arc<str>, CallerTime>,
    /// Routes that upstreams call on their own.
    nested_routes: HashSet<Arc<str>>,
    /// What the upstream beside this entry runs and calls.
    nested_calls: NestedCalls,
    fleet: FleetSize,
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
    policy: Policy,
    pub(super) to_link: Sender<LinkJob>,
    to_member: Sender<MemberJob>,
    /// The bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    members: watch::Receiver<Arc<Members>>,
    crashes: Rc<Quarantine>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

/// What the placer is joined to.
pub struct PlacerParts {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Cost of leaving the failure domain, in microseconds.
    pub domain_cost_us: u32,
    /// Rule of the pick.
    pub policy: Policy,
    /// Seed of random choices.
    pub seed: u64,
    /// Random number of this process's life.
    pub entry: u64,
    /// Ring to the link thread.
    pub to_link: Sender<LinkJob>,
    /// Ring to the members.
    pub to_member: Sender<MemberJob>,
    /// The bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    /// VMs.
    pub members: watch::Receiver<Arc<Members>>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

impl Placer {
    /// Makes a placer that knows no service yet; `crashes` is what this node knows of calls that crash upstreams.
    pub fn new(parts: PlacerParts, crashes: Rc<Quarantine>) -> Rc<Self> {
        let inner = Inner {
            services: HashMap::new(),
            works: HashMap::new(),
            caller_times: HashMap::new(),
            nested_routes: HashSet::new(),
            nested_calls: NestedCalls::default(),
            fleet: FleetSize::default(),
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
            policy: parts.policy,
            to_link: parts.to_link,
            to_member: parts.to_member,
            bundle: parts.bundle,
            members: parts.members,
            crashes,
            metrics: parts.metrics,
        })
    }

    /// Draws the next attempt of this entry.
    pub fn next_attempt(&self) -> AttemptId {
        let mut inner = self.inner.borrow_mut();
        let seq = inner.next_seq;
        inner.next_seq += 1;
        AttemptId { entry: self.entry, seq }
    }

    /// Follows changes of bundle and members; runs as long as the placer.
    pub async fn follow(self: Rc<Self>) {
        let mut bundle = self.bundle.clone();
        let mut members = self.members.clone();
        loop {
            let in_force = bundle.borrow_and_update().clone();
            let known = members.borrow_and_update().clone();
            if let Some(in_force) = in_force {
                self.adopt(&in_force, &known);
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

    fn adopt(&self, in_force: &InForce, members: &Members) {
        let mut inner = self.inner.borrow_mut();
        let MeasureRule { bytes_per_s, probes_per_s, .. } = in_force.bundle.measure;
        inner.measure.configure(bytes_per_s.into(), bytes_per_s.into(), now_us());
        inner.probes.configure(probes_per_s.into(), probes_per_s.into(), now_us());
        self.metrics.measure_budget.set(bytes_per_s.into());
        inner.services.retain(|name, _| in_force.bundle.service(name).is_some());
        inner.works.retain(|route, _| in_force.bundle.routes.contains(route));
        inner.caller_times.retain(|route, _| in_force.bundle.routes.contains(route));
        inner.nested_routes.retain(|route| in_force.bundle.routes.contains(route));
        inner.nested_calls.retain(|service| in_force.bundle.service(service).is_some());
        let fleet = inner.fleet.known(members.iter().count() as u32, now_us());
        for rule in &in_force.bundle.services {
            let state = inner
                .services
                .entry(rule.name.clone())
                .or_insert_with(|| ServiceState::new(rule, self.policy, now_us()));
            state.configure(rule, fleet);
            self.metrics.repeat_reserve.with_label_values(&[&*rule.name]).set(state.budgets.retry.reserve());
            state.sync(members.servers_of(&rule.name), &self.domain, &self.vm, self.domain_cost_us);
        }
    }

    /// Places one call; the future ends with the verdict, and what is still out is seen to its
    /// end behind it.
    pub async fn place(self: Rc<Self>, mut head: CallHead, body: Bytes, rule: CallRule) -> Placed {
        if self.crashes.refuses(&head, &body) {
            return Placed::Verdict(QUARANTINED);
        }
        let (reply, placed) = oneshot::channel();
        head.work_us = rule.demand.map_or(0, |demand| demand.work_us);
        self.mark_nested(&mut head);
        tokio::task::spawn_local(drive(self, head, body, rule, reply));
        let lost = Placed::Verdict(Verdict::Unknown { code: Code::LinkLost });
        placed.await.unwrap_or(lost)
    }

    /// Takes the time that the caller of a route still gives, and returns how long it has waited before,
    /// in milliseconds.
    pub fn waited_ms(&self, route: &Arc<str>, given_ms: u32) -> u32 {
        let mut inner = self.inner.borrow_mut();
        match inner.caller_times.get_mut(route) {
            Some(time) => time.waited_ms(given_ms),
            None => inner.caller_times.entry(route.clone()).or_default().waited_ms(given_ms),
        }
    }

    /// Returns what a call of a route asks of a server.
    pub fn demand(&self, route: &Arc<str>, objective_ms: u32) -> Demand {
        let inner = self.inner.borrow();
        inner.works.get(route).copied().unwrap_or_default().demand(objective_ms)
    }

    /// Takes the time of one run of a route.
    pub fn ran(&self, route: &Arc<str>, ran_us: u32) {
        let mut inner = self.inner.borrow_mut();
        if let Some(work) = inner.works.get_mut(route) {
            work.ran(ran_us);
            return;
        }
        let mut work = WorkEstimate::default();
        work.ran(ran_us);
        inner.works.insert(route.clone(), work);
    }

    /// Returns how calls of a service are placed; `attempts_max` bounds the upstreams that a
    /// call may run on.
    pub fn rule(&self, service: &str, repeatable: bool, attempts_max: Option<u8>) -> Option<CallRule> {
        let in_force = self.bundle.borrow();
        let rule = in_force.as_ref()?.bundle.service(service)?;
        let mut rule = call_rule(rule, repeatable);
        if let Some(most) = attempts_max {
            rule.retries = rule.retries.min(most.saturating_sub(1));
        }
        Some(rule)
    }

    /// Lets a call decide on the view and the budgets of its service; none if that is not known.
    pub(super) fn decide<R>(&self, service: &str, decision: impl FnOnce(&mut CallContext<'_>) -> R) -> Option<R> {
        let mut inner = self.inner.borrow_mut();
        let Inner { services, rng, next_seq, .. } = &mut *inner;
        let ServiceState { view, budgets, .. } = services.get_mut(service)?;
        let decided = decision(&mut CallContext { view, budgets, rng, now_us: now_us(), next_seq });
        for (cause, count) in budgets.refused.drain() {
            self.metrics.repeats_refused.with_label_values(&[service, cause.as_str()]).inc_by(count);
        }
        Some(decided)
    }

    /// Returns where the node of a server is, if the server is still known.
    pub(super) fn target(&self, service: &str, server: ServerIndex) -> Option<Target> {
        let inner = self.inner.borrow();
        let candidate = inner.services.get(service)?.targets.get(server)?.as_ref()?;
        Some(Target { vm: candidate.vm.clone(), addr: candidate.link_addr })
    }

    /// Returns whether a target is this node itself.
    pub(super) fn is_own(&self, target: &Target) -> bool {
        target.vm == self.vm
    }

    /// Returns how old the last report of a server's load is.
    pub(super) fn report_age_ms(&self, service: &str, server: ServerIndex) -> Option<u64> {
        let inner = self.inner.borrow();
        let seen_us = inner.services.get(service)?.view.seen_us(server)?;
        Some(now_us().saturating_sub(seen_us) / 1000)
    }

    /// Asks another node through the ring of the link thread.
    pub async fn ask(&self, target: Target, question: Question, limit: Duration) -> LinkResult {
        peer::ask(&self.to_link, target, question, limit).await
    }

    /// Takes what rode on a reply.
    pub(super) fn learn(&self, service: &str, server: ServerIndex, result: &LinkResult) {
        let LinkResult::Reply(answered) = result else {
            return;
        };
        let riding = answered.head.riding;
        events::observe(riding.hlc);
        self.report(service, server, riding.load);
        let number = self.bundle.borrow().as_ref().map_or(0, |bundle| bundle.number);
        if number == riding.bundle {
            return;
        }
        let Some(target) = self.target(service, server) else {
            return;
        };
        let job = match number < riding.bundle {
            true => MemberJob::Bundle { number: riding.bundle, from: target },
            // Only a node that has just started lacks a bundle for long; others are about to get it.
            false if riding.bundle == 0 => MemberJob::Behind { peer: target },
            false => return,
        };
        // A full ring is no loss: the next reply tells it again.
        let _ = self.to_member.try_send(job);
    }

    /// Has the members ask an owner that has given a call back since its failure domain is evacuated: a
    /// node that the store turns away learns of it in no other way.
    pub(super) fn learn_evacuation(&self, service: &str, server: ServerIndex) {
        if let Some(from) = self.target(service, server) {
            // A full ring is no loss: the next bounce tells it again.
            let _ = self.to_member.try_send(MemberJob::Evacuation { from });
        }
    }

    fn report(&self, service: &str, server: ServerIndex, load: LoadReport) {
        let mut inner = self.inner.borrow_mut();
        if let Some(state) = inner.services.get_mut(service) {
            state.view.report(server, load, now_us());
        }
    }

    /// Leaves a server out for a while, since its owner does not reply.
    pub(super) fn suspect(&self, service: &str, server: ServerIndex) {
        let mut inner = self.inner.borrow_mut();
        if let Some(state) = inner.services.get_mut(service) {
            state.view.suspect(server, now_us());
        }
    }
}
