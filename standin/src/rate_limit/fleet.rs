//! A service whose upstreams limit their rate, and the entries that send calls to it, in virtual time.

use std::collections::HashMap;

use valetrack::gate::{
    AnswerKind, AttemptId, Gate, GateAction, GateConfig, GateEvent, LoadReport, Objective, QueueTimeout, RequestedRate,
};
use valetrack::placement::{
    Budgets, Call, CallAction, CallContext, CallEvent, CallRule, Demand, Dispatch, Policy, RetryBudget, ServiceView,
    Verdict,
};

use super::Method;
use super::credits::Credits;
use super::report::Report;
use crate::event_queue::EventQueue;

/// Length of a run.
pub(super) const LENGTH_US: u64 = 44_000_000;
/// Time at the start of a run that is not counted.
pub(super) const SETTLE_US: u64 = 4_000_000;
/// Demand as a multiple of the sum of the limits.
const DEMAND_FACTOR: f64 = 3.0;
/// Exponent of the distribution of calls over entries.
const SKEW: f64 = 1.2;
/// One-way delay between two nodes.
const LINK_US: u64 = 500;
/// Duration of a run.
const WORK_US: u64 = 20_000;
/// Time to the objective of a call.
const OBJECTIVE_US: u64 = 400_000;
/// Time to the deadline of a call.
const DEADLINE_US: u64 = 1_500_000;
/// Slots of each server.
const SLOTS: u16 = 6;
/// Shortest time between two ticks of a gate.
const TICK_MIN_US: u64 = 200;
/// Calls that are sent to an upstream at most, the first one included.
const RULE: CallRule = CallRule { repeatable: false, bounces: 2, retries: 0, hedge_after_percent: None, demand: None };

/// One run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Limit of each server in calls per second.
    pub rate_per_s: f64,
    /// Number of servers.
    pub servers: usize,
    /// Where the limit is enforced.
    pub method: Method,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A call arrives at an entry; `retried` states whether its caller has been rejected before.
    Call { entry: usize, retried: bool },
    /// An attempt reaches its owner.
    Attempt { call: usize, dispatch: Dispatch },
    /// A run ends.
    Done { server: usize, attempt: AttemptId, begun_us: u64 },
    /// An owner's reply reaches the entry.
    Reply { call: usize, server: usize, event: CallEvent, load: LoadReport },
    /// The timer of a gate expires.
    Tick { server: usize },
}

struct CallRecord {
    call: Call,
    entry: usize,
    began_us: u64,
    retried: bool,
}

struct Fleet {
    scenario: Scenario,
    gates: Vec<Gate>,
    ticks_us: Vec<Option<u64>>,
    views: Vec<ServiceView>,
    budgets: Vec<Budgets>,
    credits: Credits,
    calls: Vec<CallRecord>,
    attempts: HashMap<AttemptId, usize>,
    next_seq: u64,
    rng: fastrand::Rng,
    queue: EventQueue<Event>,
    now_us: u64,
    report: Report,
}

/// Simulates one run.
pub fn simulate(scenario: Scenario) -> Report {
    let mut fleet = Fleet::new(scenario);
    fleet.schedule_callers();
    while let Some((at_us, event)) = fleet.queue.pop() {
        fleet.now_us = at_us;
        fleet.handle(event);
    }
    fleet.report
}

impl Fleet {
    fn new(scenario: Scenario) -> Self {
        let Scenario { seed, entries, servers, rate_per_s, method } = scenario;
        let gate = |_| {
            let mut gate = Gate::new(GateConfig { slots: SLOTS, rescue: false, ..GateConfig::default() }, 0);
            if method != Method::Credits {
                gate.rate_limit().on_answer(RequestedRate::PerS(rate_per_s), AnswerKind::Call, 0, 0);
            }
            gate
        };
        let view = |_| {
            let mut view = ServiceView::new(Policy::Valetrack);
            (0..servers).for_each(|server| view.set_present(server, true, 100));
            view
        };
        let budget = || RetryBudget::new(20, 20);
        Self {
            scenario,
            gates: (0..servers).map(gate).collect(),
            ticks_us: vec![None; servers],
            views: (0..entries).map(view).collect(),
            budgets: (0..entries).map(|_| Budgets::new(budget(), budget())).collect(),
            credits: Credits::new(servers, entries, rate_per_s),
            calls: Vec::new(),
            attempts: HashMap::new(),
            next_seq: 1,
            rng: fastrand::Rng::with_seed(seed),
            queue: EventQueue::default(),
            now_us: 0,
            report: Report { starts_us: vec![Vec::new(); servers], ..Report::default() },
        }
    }

    /// Schedules independent callers, whose entries differ by [`SKEW`].
    fn schedule_callers(&mut self) {
        let Scenario { entries, rate_per_s, servers, .. } = self.scenario;
        let weights: Vec<f64> = (1..=entries).map(|rank| (rank as f64).powf(-SKEW)).collect();
        let sum: f64 = weights.iter().sum();
        let per_s = rate_per_s * servers as f64 * DEMAND_FACTOR;
        let mut at_us = 0;
        while at_us < LENGTH_US {
            at_us += (-self.rng.f64().max(1e-9).ln() / per_s * 1e6) as u64;
            let mut left = self.rng.f64() * sum;
            let entry = weights.iter().position(|weight| {
                left -= weight;
                left <= 0.0
            });
            self.queue.schedule(at_us, Event::Call { entry: entry.unwrap_or(0), retried: false });
        }
    }

    fn is_counted(&self) -> bool {
        (SETTLE_US..LENGTH_US).contains(&self.now_us)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call { entry, retried } => self.begin(entry, retried),
            Event::Attempt { call, dispatch } => self.arrive(call, dispatch),
            Event::Done { server, attempt, begun_us } => self.done(server, attempt, begun_us),
            Event::Reply { call, server, event, load } => {
                let entry = self.calls[call].entry;
                self.views[entry].report(server, load, self.now_us);
                self.call_event(call, event);
            }
            Event::Tick { server } => {
                self.ticks_us[server] = None;
                self.gate_event(server, GateEvent::Tick);
            }
        }
    }

    fn begin(&mut self, entry: usize, retried: bool) {
        if self.is_counted() {
            self.report.calls += 1;
        }
        if self.scenario.method == Method::Credits {
            self.begin_with_credit(entry, retried);
            return;
        }
        let demand = Demand { work_us: WORK_US as u32, left_us: OBJECTIVE_US };
        let call = Call::new(CallRule { demand: Some(demand), ..RULE }, entry as u64);
        self.calls.push(CallRecord { call, entry, began_us: self.now_us, retried });
        self.call_event(self.calls.len() - 1, CallEvent::Begin);
    }

    fn begin_with_credit(&mut self, entry: usize, retried: bool) {
        let admission = self.credits.admit(entry, self.now_us, &mut self.rng);
        if self.is_counted() {
            self.report.exchanges += admission.requests;
        }
        match admission.server {
            Ok(server) if self.is_counted() => {
                self.report.starts_us[server].push(self.now_us);
                self.report.delays_us.push(LINK_US + admission.requests * 2 * LINK_US);
            }
            Ok(_) => {}
            Err(retry_after_ms) => self.reject(entry, retried, retry_after_ms),
        }
    }

    fn reject(&mut self, entry: usize, retried: bool, retry_after_ms: u32) {
        if self.is_counted() {
            self.report.retry_after_ms.push(retry_after_ms);
        }
        if !retried && u64::from(retry_after_ms) * 1000 < OBJECTIVE_US {
            let at_us = self.now_us + u64::from(retry_after_ms) * 1000;
            self.queue.schedule(at_us, Event::Call { entry, retried: true });
        }
    }

    fn call_event(&mut self, number: usize, event: CallEvent) {
        let record = &mut self.calls[number];
        let mut cx = CallContext {
            view: &mut self.views[record.entry],
            budgets: &mut self.budgets[record.entry],
            rng: &mut self.rng,
            now_us: self.now_us,
            next_seq: &mut self.next_seq,
        };
        let mut actions = Vec::new();
        record.call.handle(event, &mut cx, &mut actions);
        let (entry, retried) = (record.entry, record.retried);
        for action in actions {
            match action {
                CallAction::Send(dispatch) => {
                    self.attempts.insert(dispatch.attempt, number);
                    self.queue.schedule(self.now_us + LINK_US, Event::Attempt { call: number, dispatch });
                }
                CallAction::Finish(Verdict::NotRun { retry_after_ms, .. }) => {
                    if event == CallEvent::Begin && self.is_counted() {
                        self.report.rejected_by_entry += 1;
                    }
                    self.reject(entry, retried, retry_after_ms);
                }
                CallAction::Finish(_) | CallAction::Cancel { .. } | CallAction::ArmHedge { .. } => {}
            }
        }
    }

    fn arrive(&mut self, call: usize, dispatch: Dispatch) {
        let Dispatch { attempt, server, patience, elsewhere_permille, .. } = dispatch;
        let elapsed_us = self.now_us - self.calls[call].began_us;
        let left_us = OBJECTIVE_US.saturating_sub(elapsed_us);
        let wait_max_us = if patience == QueueTimeout::None { 0 } else { left_us / 8 };
        let objective = Objective { left_us, work_us: WORK_US, elsewhere_permille, wait_max_us };
        let deadline_us = self.calls[call].began_us + DEADLINE_US;
        let arrive = GateEvent::Arrive {
            attempt,
            deadline_us,
            patience,
            priority: 1,
            objective: Some(objective),
            is_nested: false,
        };
        self.gate_event(server, arrive);
    }

    fn gate_event(&mut self, server: usize, event: GateEvent) {
        let mut actions = Vec::new();
        self.gates[server].handle(event, self.now_us, &mut actions);
        for action in actions {
            match action {
                GateAction::Start { attempt } => self.start(server, attempt),
                GateAction::Bounce { attempt, reason } => {
                    if self.is_counted() {
                        self.report.exchanges += 1;
                    }
                    self.reply(server, attempt, CallEvent::Declined { attempt, reason });
                }
                GateAction::ReportCancel { .. } => {}
            }
        }
        let next_us = self.gates[server].next_tick_us(self.now_us).map(|at_us| at_us.max(self.now_us + TICK_MIN_US));
        if let Some(at_us) = next_us.filter(|at_us| self.ticks_us[server].is_none_or(|set_us| *at_us < set_us)) {
            self.ticks_us[server] = Some(at_us);
            self.queue.schedule(at_us, Event::Tick { server });
        }
    }

    fn start(&mut self, server: usize, attempt: AttemptId) {
        let began_us = self.calls[self.attempts[&attempt]].began_us;
        if self.is_counted() {
            self.report.starts_us[server].push(self.now_us);
            self.report.delays_us.push(self.now_us - began_us);
        }
        let done = Event::Done { server, attempt, begun_us: self.now_us };
        self.queue.schedule(self.now_us + WORK_US, done);
    }

    fn done(&mut self, server: usize, attempt: AttemptId, begun_us: u64) {
        let requested = RequestedRate::PerS(self.scenario.rate_per_s);
        self.gates[server].rate_limit().on_answer(requested, AnswerKind::Call, begun_us, self.now_us);
        self.gate_event(server, GateEvent::Done { attempt, healthy: true });
        self.reply(server, attempt, CallEvent::Ran { attempt, healthy: true });
    }

    fn reply(&mut self, server: usize, attempt: AttemptId, event: CallEvent) {
        let mut load = self.gates[server].load(self.now_us);
        if self.scenario.method == Method::OwnerUnreported {
            load = LoadReport { limit: SLOTS, start_delay_ms: 0, ..load };
        }
        let call = self.attempts[&attempt];
        self.queue.schedule(self.now_us + LINK_US, Event::Reply { call, server, event, load });
    }
}
