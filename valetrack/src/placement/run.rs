//! Shell of placement; it shares the door's thread, since each caller's task drives its own call.

use std::cell::RefCell;
use std::collections::HashMap;
use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep_until};

use super::budget::{RateBudget, ShareBudget};
use super::call::{Budgets, Call, CallContext, CallRule};
use super::message::{CallAction, CallEvent, Demand, Outcome, Placed, ServerIndex, Verdict};
use super::view::{MAX_SERVERS, Policy, ServiceView};
use super::work::WorkEstimate;
use crate::bundle::{InForce, MeasureRule, ServiceRule};
use crate::clock::now_us;
use crate::code::Code;
use crate::gate::{AttemptId, LoadReport, Patience};
use crate::link::message::{AnswerHead, Answered, Ask, CallHead, Question, Reply};
use crate::link::peer::{self, LinkJob, LinkResult, Target};
use crate::member::{Candidate, MemberJob, Members};
use crate::metric::Metrics;
use crate::timeline::log as events;

/// Time that an owner has to answer a cancel or a probe, in milliseconds.
const PROMPT_MS: u64 = 150;
/// An attempt is waited for this much longer than its deadline, in milliseconds.
const SLACK_MS: u64 = 50;
/// Bytes on the wire of one probe, there and back, headers of UDP and QUIC included.
pub const PROBE_BYTES: u64 = 220;
/// Pause between two looks at which views are old while there are calls, in milliseconds.
const PROBE_PERIOD_MS: u64 = 20;
/// The same while there are none, in milliseconds.
const PROBE_QUIET_MS: u64 = 250;
/// Burst of retries and hedges at one entry.
const SHARE_BURST: u32 = 20;

struct ServiceState {
    view: ServiceView,
    budgets: Budgets,
    targets: Vec<Option<Candidate>>,
}

struct Inner {
    services: HashMap<Arc<str>, ServiceState>,
    /// Usual times of runs by route.
    works: HashMap<Arc<str>, WorkEstimate>,
    rng: fastrand::Rng,
    next_seq: u64,
    measure: RateBudget,
    probes: RateBudget,
}

/// Places the calls of one entry.
pub struct Placer {
    inner: RefCell<Inner>,
    entry: u64,
    vm: Arc<str>,
    domain: Arc<str>,
    domain_cost_us: u32,
    policy: Policy,
    to_link: Sender<LinkJob>,
    to_member: Sender<MemberJob>,
    /// The bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    members: watch::Receiver<Arc<Members>>,
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

type Event = (CallEvent, Option<(AnswerHead, Bytes)>);

impl Placer {
    /// Makes a placer that knows no service yet.
    pub fn new(parts: PlacerParts) -> Rc<Self> {
        let inner = Inner {
            services: HashMap::new(),
            works: HashMap::new(),
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
        for rule in &in_force.bundle.services {
            let state = inner.services.entry(rule.name.clone()).or_insert_with(|| new_service(rule, self.policy));
            if let Some(reserve) = rule.retry_reserve {
                let share = reserve / (members.iter().count().max(1) as u32);
                state.budgets.retry.configure(rule.retry_percent, share);
            }
            state.sync(members.servers_of(&rule.name), &self.domain, &self.vm, self.domain_cost_us);
        }
    }

    /// Places one call; the future ends with the verdict, and what is still out is seen to its
    /// end behind it.
    pub async fn place(self: Rc<Self>, mut head: CallHead, body: Bytes, rule: CallRule) -> Placed {
        let (reply, placed) = oneshot::channel();
        head.work_us = rule.demand.map_or(0, |demand| demand.work_us);
        tokio::task::spawn_local(self.drive(head, body, rule, reply));
        let lost = Placed::Verdict(Verdict::Unknown { code: Code::LinkLost });
        placed.await.unwrap_or(lost)
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

    async fn drive(self: Rc<Self>, head: CallHead, body: Bytes, rule: CallRule, reply: oneshot::Sender<Placed>) {
        let deadline = Instant::now() + Duration::from_millis(head.deadline_ms.into());
        let mut call = Call::new(rule, self.entry);
        let mut out: FuturesUnordered<LocalBoxFuture<'static, Event>> = FuturesUnordered::new();
        let mut reply = Some(reply);
        let mut answers: Vec<(AnswerHead, Bytes)> = Vec::new();
        let mut hedge_at: Option<Instant> = None;
        let mut sent: Vec<(AttemptId, Instant)> = Vec::new();
        let mut late = false;
        let mut event = Some(CallEvent::Begin);
        let mut actions = Vec::new();
        loop {
            let known = match event.take() {
                Some(event) => self.handle(&head.service, &mut call, event, &mut actions),
                None => true,
            };
            if !known {
                let code = Code::ServiceUnknown;
                let verdict = Verdict::NotRun { code, retry_after_ms: 1_000 };
                finish(&mut reply, Placed::Verdict(verdict));
                return;
            }
            for action in actions.drain(..) {
                match action {
                    CallAction::Send { attempt, server, patience } => {
                        sent.push((attempt, Instant::now()));
                        out.push(self.clone().send(&head, &body, attempt, server, patience, deadline));
                    }
                    CallAction::Cancel { attempt, server } => {
                        let at = sent.iter().find(|(known, _)| *known == attempt).map(|(_, at)| *at);
                        out.push(self.clone().cancel(&head.service, attempt, server, at));
                    }
                    CallAction::ArmHedge { after_us } => {
                        hedge_at = Some(Instant::now() + Duration::from_micros(after_us));
                    }
                    CallAction::Finish(verdict) => finish(&mut reply, placed(verdict, &mut answers)),
                }
            }
            if call.closed() {
                return;
            }
            if reply.as_ref().is_some_and(oneshot::Sender::is_closed) {
                // The caller has gone; dropping what is out tells the owners to stop.
                log::info!("event=call.abandoned call={}", head.call_id);
                self.abandon(&head.service, &mut call);
                return;
            }
            if call.finished() {
                // A run that lost to a hedge is of no use to anybody.
                self.abandon(&head.service, &mut call);
                return;
            }
            event = tokio::select! {
                Some((event, answer)) = out.next(), if !out.is_empty() => {
                    answers.extend(answer);
                    Some(event)
                }
                () = sleep_maybe(hedge_at) => {
                    hedge_at = None;
                    match call.waits_for() {
                        Some(server) if rule.demand.is_some() => {
                            out.push(self.clone().look(head.service.clone(), server));
                            None
                        }
                        Some(_) | None => Some(CallEvent::HedgeDue),
                    }
                }
                () = gone(&mut reply) => None,
                () = sleep_until(deadline), if !late => {
                    late = true;
                    Some(CallEvent::DeadlineDue)
                }
            };
        }
    }

    fn abandon(&self, service: &str, call: &mut Call) {
        let mut inner = self.inner.borrow_mut();
        let Inner { services, rng, next_seq, .. } = &mut *inner;
        if let Some(ServiceState { view, budgets, .. }) = services.get_mut(service) {
            call.abandon(&mut CallContext { view, budgets, rng, now_us: now_us(), next_seq });
        }
    }

    /// Lets the pure call decide; returns whether the service is known.
    fn handle(&self, service: &str, call: &mut Call, event: CallEvent, actions: &mut Vec<CallAction>) -> bool {
        let mut inner = self.inner.borrow_mut();
        let Inner { services, rng, next_seq, .. } = &mut *inner;
        let Some(state) = services.get_mut(service) else {
            return false;
        };
        let ServiceState { view, budgets, .. } = state;
        let mut cx = CallContext { view, budgets, rng, now_us: now_us(), next_seq };
        call.handle(event, &mut cx, actions);
        true
    }

    fn target(&self, service: &str, server: ServerIndex) -> Option<Target> {
        let inner = self.inner.borrow();
        let candidate = inner.services.get(service)?.targets.get(server)?.as_ref()?;
        Some(Target { vm: candidate.vm.clone(), addr: candidate.link_addr })
    }

    fn send(
        self: Rc<Self>,
        head: &CallHead,
        body: &Bytes,
        attempt: AttemptId,
        server: ServerIndex,
        patience: Patience,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Event> {
        let left_ms = deadline.saturating_duration_since(Instant::now()).as_millis() as u32;
        let gone_ms = head.deadline_ms.saturating_sub(left_ms);
        let objective_ms = head.objective_ms.saturating_sub(gone_ms);
        let mut head = CallHead { attempt, patience, deadline_ms: left_ms, objective_ms, key: None, ..head.clone() };
        let body = body.clone();
        Box::pin(async move {
            let service = head.service.clone();
            let Some(target) = self.target(&service, server) else {
                return (CallEvent::Unsent { attempt }, None);
            };
            let age_ms = self.report_age_ms(&service, server);
            log::info!(
                "event=call.send call={} attempt={attempt} owner={} patience={patience:?} left_ms={left_ms} \
                 work_us={} load_age_ms={}",
                head.call_id,
                target.vm,
                head.work_us,
                age_ms.map_or_else(|| "none".to_owned(), |age_ms| age_ms.to_string())
            );
            // Drawn after the event above, so that what the owner does stands behind it.
            head.hlc = events::stamp();
            let question = Question { ask: Ask::Run(head), body };
            let limit = Duration::from_millis(u64::from(left_ms) + SLACK_MS);
            let result = self.ask(target, question, limit).await;
            self.learn(&service, server, &result);
            let event = attempt_event(attempt, result, &self.metrics);
            self.metrics.attempts.with_label_values(&[event_label(event.0)]).inc();
            event
        })
    }

    /// Returns how old the last report of a server's load is.
    fn report_age_ms(&self, service: &str, server: ServerIndex) -> Option<u64> {
        let inner = self.inner.borrow();
        let seen_us = inner.services.get(service)?.view.seen_us(server)?;
        Some(now_us().saturating_sub(seen_us) / 1000)
    }

    fn cancel(
        self: Rc<Self>,
        service: &Arc<str>,
        attempt: AttemptId,
        server: ServerIndex,
        sent_at: Option<Instant>,
    ) -> LocalBoxFuture<'static, Event> {
        let target = self.target(service, server);
        Box::pin(async move {
            let (Some(target), Some(sent_at)) = (target, sent_at) else {
                return (CallEvent::CancelResult { attempt, result: None }, None);
            };
            let question = Question { ask: Ask::Cancel(attempt), body: Bytes::new() };
            let limit = Duration::from_millis(PROMPT_MS);
            let asked = self.ask(target, question, limit);
            // The limit covers a handshake as well: whoever gives up must give up at once.
            let result = tokio::time::timeout(limit, asked).await.unwrap_or(LinkResult::Broken);
            (CallEvent::CancelResult { attempt, result: result.cancel_result(sent_at.elapsed()) }, None)
        })
    }

    /// Asks another node through the ring of the link thread.
    pub async fn ask(&self, target: Target, question: Question, limit: Duration) -> LinkResult {
        peer::ask(&self.to_link, target, question, limit).await
    }

    /// Takes what rode on a reply.
    fn learn(&self, service: &str, server: ServerIndex, result: &LinkResult) {
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

    fn report(&self, service: &str, server: ServerIndex, load: LoadReport) {
        let mut inner = self.inner.borrow_mut();
        if let Some(state) = inner.services.get_mut(service) {
            state.view.report(server, load, now_us());
        }
    }

    /// Probes views that have grown old, out of the budget; runs as long as the placer.
    pub async fn probe(self: Rc<Self>) {
        let mut seen_seq = 0;
        loop {
            let seq = self.inner.borrow().next_seq;
            let pause_ms = if seq == seen_seq { PROBE_QUIET_MS } else { PROBE_PERIOD_MS };
            seen_seq = seq;
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let stale_ms = self.bundle.borrow().as_ref().map(|bundle| bundle.bundle.measure.stale_ms);
            let Some(stale_ms) = stale_ms else {
                continue;
            };
            while let Some((service, server)) = self.next_probe(u64::from(stale_ms) * 1000) {
                let placer = self.clone();
                tokio::task::spawn_local(async move { placer.probe_one(&service, server).await });
            }
        }
    }

    /// Returns the server with the oldest view of a service that this entry uses, if the budget
    /// has a probe for it.
    fn next_probe(&self, stale_us: u64) -> Option<(Arc<str>, ServerIndex)> {
        let mut inner = self.inner.borrow_mut();
        let now = now_us();
        let stalest = |(name, state): (&Arc<str>, &ServiceState)| {
            let (age_us, server) = state.view.stalest(now, stale_us)?;
            Some((age_us, name.clone(), server))
        };
        let (_, name, server) = inner.services.iter().filter_map(stalest).max()?;
        let granted = inner.probes.take(1, now) && inner.measure.take(PROBE_BYTES, now);
        if !granted {
            return None;
        }
        inner.services.get_mut(&name)?.view.probed(server, now);
        self.metrics.probes.inc();
        self.metrics.measure_bytes.inc_by(PROBE_BYTES);
        Some((name, server))
    }

    /// Asks the owner of a call that takes long how its server does, so that a hedge is decided on
    /// what holds now.
    fn look(self: Rc<Self>, service: Arc<str>, server: ServerIndex) -> LocalBoxFuture<'static, Event> {
        Box::pin(async move {
            self.metrics.probes.inc();
            self.probe_one(&service, server).await;
            (CallEvent::HedgeDue, None)
        })
    }

    async fn probe_one(&self, service: &str, server: ServerIndex) {
        let Some(target) = self.target(service, server) else {
            return;
        };
        let question = Question { ask: Ask::Probe, body: Bytes::new() };
        let result = self.ask(target, question, Duration::from_millis(PROMPT_MS)).await;
        self.learn(service, server, &result);
    }
}

impl ServiceState {
    /// Gives every server a stable index: a later life of a VM gets one of its own.
    fn sync(&mut self, candidates: impl Iterator<Item = Candidate>, domain: &str, vm: &str, domain_cost_us: u32) {
        let mut kept = vec![false; self.targets.len().max(MAX_SERVERS)];
        for candidate in candidates {
            let Some(server) = self.index_of(&candidate) else {
                continue;
            };
            kept[server] = true;
            let network_us = match () {
                () if &*candidate.vm == vm => 0,
                () if &*candidate.domain == domain => domain_cost_us / 10,
                () => domain_cost_us,
            };
            self.view.set_present(server, true, network_us);
            self.view.set_far(server, &*candidate.domain != domain);
            self.targets[server] = Some(candidate);
        }
        for (server, _) in kept.iter().enumerate().filter(|(_, kept)| !**kept) {
            if server < self.targets.len() {
                self.view.set_present(server, false, 0);
            }
        }
    }

    fn index_of(&mut self, candidate: &Candidate) -> Option<ServerIndex> {
        let same = |known: &Option<Candidate>| {
            known.as_ref().is_some_and(|known| {
                known.vm == candidate.vm
                    && known.link_addr == candidate.link_addr
                    && (known.incarnation == candidate.incarnation || known.incarnation == 0)
            })
        };
        if let Some(server) = self.targets.iter().position(same) {
            return Some(server);
        }
        let present = |server: &usize| self.view.is_present(*server) || self.view.outstanding(*server) > 0;
        let free = (0..self.targets.len()).find(|server| !present(server));
        match free {
            Some(server) => Some(server),
            None if self.targets.len() < MAX_SERVERS => {
                self.targets.push(None);
                Some(self.targets.len() - 1)
            }
            None => None,
        }
    }
}

fn new_service(rule: &ServiceRule, policy: Policy) -> ServiceState {
    let budgets = Budgets {
        retry: ShareBudget::new(rule.retry_percent, SHARE_BURST),
        hedge: ShareBudget::new(rule.hedge_percent, SHARE_BURST),
    };
    ServiceState { view: ServiceView::new(policy), budgets, targets: Vec::new() }
}

fn call_rule(rule: &ServiceRule, repeatable: bool) -> CallRule {
    let hedging = repeatable && rule.hedge_percent > 0;
    CallRule {
        repeatable,
        bounces: rule.bounces,
        retries: rule.retries,
        hedge_after_percent: hedging.then_some(rule.hedge_after_percent),
        demand: None,
    }
}

/// Waits until nobody waits for the call's end any more, if somebody still does.
async fn gone(reply: &mut Option<oneshot::Sender<Placed>>) {
    match reply {
        Some(reply) => reply.closed().await,
        None => pending().await,
    }
}

async fn sleep_maybe(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}

fn finish(reply: &mut Option<oneshot::Sender<Placed>>, placed: Placed) {
    if let Some(reply) = reply.take() {
        // A caller that has gone away needs no answer.
        let _ = reply.send(placed);
    }
}

fn placed(verdict: Verdict, answers: &mut Vec<(AnswerHead, Bytes)>) -> Placed {
    let Verdict::Answer(attempt) = verdict else {
        return Placed::Verdict(verdict);
    };
    match answers.iter().position(|(head, _)| head.attempt == attempt) {
        Some(at) => {
            let (head, body) = answers.swap_remove(at);
            Placed::Answer(head, body)
        }
        None => Placed::Verdict(Verdict::Unknown { code: Code::ServerFailed }),
    }
}

/// Reads how an attempt ended; an answer for any other attempt is dropped.
fn attempt_event(attempt: AttemptId, result: LinkResult, metrics: &Metrics) -> Event {
    let answered = match result {
        LinkResult::Reply(answered) => *answered,
        LinkResult::Unsent => return (CallEvent::Unsent { attempt }, None),
        LinkResult::Broken => return (CallEvent::Broken { attempt }, None),
    };
    let Answered { head, body } = answered;
    match head.reply {
        Reply::Answer(answer) if answer.attempt == attempt => match answer.outcome {
            Outcome::Ran => {
                let healthy = answer.status < 500;
                (CallEvent::Ran { attempt, healthy }, Some((answer, body)))
            }
            Outcome::NotRun | Outcome::Unknown => {
                let code = Code::of_number(answer.code);
                (CallEvent::Failed { attempt, code }, None)
            }
        },
        Reply::Bounce { attempt: bounced, reason } if bounced == attempt => {
            (CallEvent::Bounced { attempt, reason }, None)
        }
        _ => {
            metrics.stray_answers.inc();
            (CallEvent::Broken { attempt }, None)
        }
    }
}

const fn event_label(event: CallEvent) -> &'static str {
    match event {
        CallEvent::Ran { healthy: true, .. } => "ran",
        CallEvent::Ran { healthy: false, .. } => "ran-unhealthy",
        CallEvent::Bounced { .. } => "bounced",
        CallEvent::Failed { .. } => "failed",
        CallEvent::Unsent { .. } => "unsent",
        CallEvent::Broken { .. } => "broken",
        CallEvent::Begin | CallEvent::CancelResult { .. } | CallEvent::HedgeDue | CallEvent::DeadlineDue => "other",
    }
}
