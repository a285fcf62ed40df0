//! State of one run: the queue of scheduled events, entries, owners and servers.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use valetrack::gate::{AttemptId, ColdRule, Gate, GateAction, GateConfig, GateEvent, LoadReport, QueueTimeout};
use valetrack::placement::{
    Budgets, Call, CallAction, CallContext, CallEvent, CallRule, Dispatch, RateBudget, RetryBudget, ServiceView,
    Verdict,
};

use super::report::Row;
use super::scenario::{Candidate, Fault, LoadSource, Scenario};
use super::server::{FAULT_END_US, FAULT_START_US, Run, Server, exponential};
use crate::event_queue::EventQueue;

/// One-way delay between two VMs of the same failure domain.
const SAME_DOMAIN_US: u64 = 100;
/// Number of failure domains.
const DOMAINS: usize = 3;
/// Time from the start of a call to its deadline.
const DEADLINE_US: u64 = 1_000_000;
/// Calls that begin within this time from the start are not counted.
const WARMUP_US: u64 = 500_000;
/// Mean time between two changes of a varying load.
const LOAD_LEVEL_US: u64 = 5_000;
/// Bytes of a load report piggybacked on a reply.
const PIGGYBACK_BYTES: u64 = 16;
/// Bytes of one probe or poll with its answer.
const PROBE_BYTES: u64 = 220;
/// Budget of an entry for probes.
const MEASURE_BYTES_PER_S: u64 = 2_048;
/// Pause between two searches of an entry for outdated load reports.
const PROBE_PERIOD_US: u64 = 20_000;
/// Age of a load report at which its server is probed.
const STALE_US: u64 = 100_000;
/// Longest wait for a slot.
const QUEUE_US: u64 = 20_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// A new caller arrives.
    Caller,
    /// An attempt reaches its owner.
    Arrive { call: usize, attempt: AttemptId, server: usize, patience: QueueTimeout },
    /// A cancellation reaches the owner.
    Cancel { call: usize, attempt: AttemptId, server: usize },
    /// A server has finished a run.
    Done { attempt: AttemptId, server: usize, healthy: bool },
    /// An owner's message about a call reaches its entry.
    Update { call: usize, server: usize, event: CallEvent, load: LoadReport },
    /// The hedge timer of a call expires.
    Hedge { call: usize },
    /// The deadline of a call has passed.
    Deadline { call: usize },
    /// The timer of an owner's queue expires.
    Tick { server: usize },
    /// An entry requests the load of all servers.
    Poll { entry: usize },
    /// An entry probes the servers with outdated load reports.
    Probe { entry: usize },
    /// The answer to a poll or probe reaches the entry.
    Load { entry: usize, server: usize, load: LoadReport },
}

struct Entry {
    view: ServiceView,
    budgets: Budgets,
    rng: fastrand::Rng,
    measure: RateBudget,
}

struct Caller {
    call: Call,
    entry: usize,
    began_us: u64,
    healthy: bool,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    candidate: &'a Candidate,
    now_us: u64,
    queue: EventQueue<Event>,
    entries: Vec<Entry>,
    gates: Vec<Gate>,
    servers: Vec<Server>,
    ticks: Vec<Option<u64>>,
    /// Generator of the arrivals, which are the same for every candidate.
    arrivals: fastrand::Rng,
    /// Generator of the service times.
    work: fastrand::Rng,
    callers: Vec<Caller>,
    calls_by_attempt: HashMap<AttemptId, usize>,
    next_seq: u64,
    rate_per_s: f64,
    level: f64,
    level_until_us: u64,
    end_us: u64,
    row: Row,
}

/// Runs one candidate in one scenario for some virtual seconds.
pub fn run(scenario: &Scenario, candidate: &Candidate, seconds: u64, seed: u64) -> Row {
    let end_us = seconds * 1_000_000;
    let mut simulation = Simulation::new(scenario, candidate, end_us, seed);
    simulation.queue.schedule(0, Event::Caller);
    for entry in 0..scenario.entries {
        match candidate.load_source {
            LoadSource::Polled(period_us) => {
                simulation.queue.schedule(entry as u64 * period_us / 15, Event::Poll { entry })
            }
            LoadSource::Piggybacked => {
                simulation.queue.schedule(entry as u64 * PROBE_PERIOD_US / 15, Event::Probe { entry })
            }
            LoadSource::None | LoadSource::TrueState => {}
        }
    }
    while let Some((at_us, event)) = simulation.queue.pop() {
        simulation.now_us = at_us;
        simulation.handle(event);
    }
    let counted_s = (end_us - WARMUP_US) as f64 / 1e6;
    simulation.row.finish(counted_s, scenario.entries);
    simulation.row
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, candidate: &'a Candidate, end_us: u64, seed: u64) -> Self {
        let queue_max_us = if candidate.bounded { QUEUE_US } else { DEADLINE_US * 10 };
        let config = GateConfig {
            cold: ColdRule::default(),
            slots: scenario.slots,
            queue_max_us,
            ramp_us: 0,
            rescue: candidate.rescue,
            learn_limit: false,
        };
        let entry = |number: usize| {
            let mut view = ServiceView::new(candidate.policy);
            for server in 0..scenario.servers {
                view.set_present(server, true, 2 * delay_us(scenario, number, server) as u32);
            }
            let budgets = Budgets::new(RetryBudget::new(10, 20), RetryBudget::new(5, 20));
            let rng = fastrand::Rng::with_seed(seed ^ (number as u64 + 77));
            Entry { view, budgets, rng, measure: RateBudget::new(MEASURE_BYTES_PER_S, MEASURE_BYTES_PER_S, 0) }
        };
        let capacity = scenario.servers as f64 * f64::from(scenario.slots) * 1e6 / scenario.service_us as f64;
        Self {
            scenario,
            candidate,
            now_us: 0,
            queue: EventQueue::default(),
            entries: (0..scenario.entries).map(entry).collect(),
            gates: (0..scenario.servers).map(|_| Gate::new(config, 0)).collect(),
            servers: (0..scenario.servers).map(|number| Server::new(scenario, number, end_us * 2, seed)).collect(),
            ticks: vec![None; scenario.servers],
            arrivals: fastrand::Rng::with_seed(seed ^ 0x1234),
            work: fastrand::Rng::with_seed(seed ^ 0xabcd),
            callers: Vec::new(),
            calls_by_attempt: HashMap::new(),
            next_seq: 1,
            rate_per_s: capacity * Server::unstalled_share(scenario) * scenario.load_percent as f64 / 100.0,
            level: 1.0,
            level_until_us: 0,
            end_us,
            row: Row::new(scenario.name, candidate.name),
        }
    }

    fn schedule_after(&mut self, after_us: u64, event: Event) {
        self.queue.schedule(self.now_us + after_us, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Caller => self.add_caller(),
            Event::Arrive { call, attempt, server, patience } => {
                self.calls_by_attempt.insert(attempt, call);
                let deadline_us = self.callers[call].began_us + DEADLINE_US;
                self.gate_event(
                    server,
                    GateEvent::Arrive {
                        attempt,
                        deadline_us,
                        patience,
                        priority: 0,
                        objective: None,
                        is_nested: false,
                    },
                );
            }
            Event::Cancel { call, attempt, server } => {
                self.calls_by_attempt.entry(attempt).or_insert(call);
                self.gate_event(server, GateEvent::Cancel { attempt });
            }
            Event::Done { attempt, server, healthy } => {
                self.gate_event(server, GateEvent::Done { attempt, healthy });
                self.reply(attempt, server, CallEvent::Ran { attempt, healthy });
            }
            Event::Update { call, server, event, load } => {
                let entry = self.callers[call].entry;
                self.record_piggybacked(entry, server, load, PIGGYBACK_BYTES);
                if let CallEvent::Ran { healthy, .. } = event {
                    self.callers[call].healthy = healthy;
                }
                self.notify_call(call, event);
            }
            Event::Hedge { call } => self.notify_call(call, CallEvent::HedgeDue),
            Event::Deadline { call } => self.notify_call(call, CallEvent::DeadlineDue),
            Event::Tick { server } => {
                self.ticks[server] = None;
                self.gate_event(server, GateEvent::Tick);
            }
            Event::Poll { entry } => self.poll(entry),
            Event::Probe { entry } => self.probe(entry),
            Event::Load { entry, server, load } => {
                self.entries[entry].view.report(server, load, self.now_us);
            }
        }
    }

    fn add_caller(&mut self) {
        if self.now_us >= self.end_us {
            return;
        }
        self.vary_load();
        let burst = self.scenario.fault == Fault::Burst && (FAULT_START_US..FAULT_END_US).contains(&self.now_us);
        let rate_per_s = self.rate_per_s * self.level * if burst { 2.0 } else { 1.0 };
        let gap_us = exponential(&mut self.arrivals, 1_000_000) as f64 / rate_per_s;
        self.schedule_after(gap_us.round() as u64, Event::Caller);
        let entry = self.arrivals.usize(..self.scenario.entries);
        let rule = self.rule();
        let call = self.callers.len();
        let caller = Caller { call: Call::new(rule, 1), entry, began_us: self.now_us, healthy: true };
        self.callers.push(caller);
        self.schedule_after(DEADLINE_US, Event::Deadline { call });
        self.notify_call(call, CallEvent::Begin);
    }

    fn rule(&self) -> CallRule {
        let mut rule = self.candidate.rule;
        if !self.scenario.repeatable {
            rule.repeatable = false;
            rule.hedge_after_percent = None;
        }
        rule
    }

    fn vary_load(&mut self) {
        if self.scenario.varying_load && self.now_us >= self.level_until_us {
            self.level = if self.level > 1.0 { 0.5 } else { 1.5 };
            self.level_until_us = self.now_us + exponential(&mut self.arrivals, LOAD_LEVEL_US);
        }
    }

    fn notify_call(&mut self, number: usize, event: CallEvent) {
        let now_us = self.now_us;
        let entry_number = self.callers[number].entry;
        if self.candidate.load_source == LoadSource::TrueState {
            self.record_true_state(entry_number);
        }
        let entry = &mut self.entries[entry_number];
        let mut cx = CallContext {
            view: &mut entry.view,
            budgets: &mut entry.budgets,
            rng: &mut entry.rng,
            now_us,
            next_seq: &mut self.next_seq,
        };
        let mut actions = Vec::new();
        self.callers[number].call.handle(event, &mut cx, &mut actions);
        for action in actions {
            self.execute(number, action);
        }
    }

    fn execute(&mut self, call: usize, action: CallAction) {
        let entry = self.callers[call].entry;
        match action {
            CallAction::Send(Dispatch { attempt, server, patience, .. }) => {
                self.row.attempts += u64::from(self.is_counted(call));
                let delay_us = delay_us(self.scenario, entry, server);
                self.schedule_after(delay_us, Event::Arrive { call, attempt, server, patience });
            }
            CallAction::Cancel { attempt, server } => {
                let delay_us = delay_us(self.scenario, entry, server);
                self.schedule_after(delay_us, Event::Cancel { call, attempt, server });
            }
            CallAction::ArmHedge { after_us } => self.schedule_after(after_us, Event::Hedge { call }),
            CallAction::Finish(verdict) => self.finish(call, verdict),
        }
    }

    fn is_counted(&self, call: usize) -> bool {
        self.callers[call].began_us >= WARMUP_US
    }

    fn finish(&mut self, call: usize, verdict: Verdict) {
        if !self.is_counted(call) {
            return;
        }
        let took_us = self.now_us - self.callers[call].began_us;
        self.row.calls += 1;
        match verdict {
            Verdict::Answer(_) if self.callers[call].healthy => {
                let began_us = self.callers[call].began_us;
                self.row.record_answer(took_us, began_us, self.now_us);
            }
            Verdict::Answer(_) | Verdict::Unknown { .. } => self.row.failed += 1,
            Verdict::NotRun { .. } => {
                self.row.shed += 1;
                record(&mut self.row.shed_us, took_us);
            }
        }
    }

    fn gate_event(&mut self, server: usize, event: GateEvent) {
        let mut actions = Vec::new();
        self.gates[server].handle(event, self.now_us, &mut actions);
        for action in actions {
            match action {
                GateAction::Start { attempt } => {
                    self.row.starts +=
                        u64::from(self.calls_by_attempt.get(&attempt).is_some_and(|&call| self.is_counted(call)));
                    let half_us = self.scenario.service_us / 2;
                    let work_us = exponential(&mut self.work, half_us) + exponential(&mut self.work, half_us);
                    let Run { end_us, healthy } = self.servers[server].run(self.now_us, work_us);
                    self.queue.schedule(end_us, Event::Done { attempt, server, healthy });
                }
                GateAction::Bounce { attempt, reason } => {
                    self.row.declines += 1;
                    self.reply(attempt, server, CallEvent::Declined { attempt, reason });
                }
                GateAction::ReportCancel { attempt, result } => {
                    let result = Some(result);
                    self.reply(attempt, server, CallEvent::CancelResult { attempt, result });
                }
            }
        }
        self.row.max_running = self.row.max_running.max(u64::from(self.gates[server].load(self.now_us).in_flight));
        self.schedule_tick(server);
    }

    fn schedule_tick(&mut self, server: usize) {
        let Some(at_us) = self.gates[server].next_tick_us(self.now_us) else {
            return;
        };
        let at_us = at_us.max(self.now_us + 200);
        if self.ticks[server].is_none_or(|set_us| at_us < set_us) {
            self.ticks[server] = Some(at_us);
            self.queue.schedule(at_us, Event::Tick { server });
        }
    }

    fn reply(&mut self, attempt: AttemptId, server: usize, event: CallEvent) {
        let Some(&call) = self.calls_by_attempt.get(&attempt) else {
            return;
        };
        let load = self.gates[server].load(self.now_us);
        let delay_us = delay_us(self.scenario, self.callers[call].entry, server);
        self.schedule_after(delay_us, Event::Update { call, server, event, load });
    }

    fn record_piggybacked(&mut self, entry: usize, server: usize, load: LoadReport, bytes: u64) {
        if self.candidate.load_source == LoadSource::Piggybacked {
            self.entries[entry].view.report(server, load, self.now_us);
            self.row.piggyback_bytes += bytes;
        }
    }

    /// Records the current load of every server in an entry's view: the bound on what load reports can achieve.
    fn record_true_state(&mut self, entry: usize) {
        for server in 0..self.scenario.servers {
            let mut load = self.gates[server].load(self.now_us);
            load.stalled = self.servers[server].stalled(self.now_us);
            self.entries[entry].view.report(server, load, self.now_us);
        }
    }

    fn poll(&mut self, entry: usize) {
        let LoadSource::Polled(period_us) = self.candidate.load_source else {
            return;
        };
        for server in 0..self.scenario.servers {
            self.request_load(entry, server);
        }
        if self.now_us < self.end_us {
            self.schedule_after(period_us, Event::Poll { entry });
        }
    }

    fn probe(&mut self, entry: usize) {
        let now_us = self.now_us;
        while let Some((_, server)) = self.entries[entry].view.stalest(now_us, STALE_US) {
            if !self.entries[entry].measure.take(PROBE_BYTES, now_us) {
                break;
            }
            self.entries[entry].view.record_probe(server, now_us);
            self.request_load(entry, server);
        }
        if now_us < self.end_us {
            self.schedule_after(PROBE_PERIOD_US, Event::Probe { entry });
        }
    }

    /// Requests the load of a server. The load is sampled when the request is sent and arrives one round trip later.
    fn request_load(&mut self, entry: usize, server: usize) {
        self.row.probes += 1;
        self.row.probe_bytes += PROBE_BYTES;
        let delay_us = delay_us(self.scenario, entry, server);
        let load = self.gates[server].load(self.now_us);
        self.schedule_after(2 * delay_us, Event::Load { entry, server, load });
    }
}

/// Returns the one-way delay between an entry and an owner.
fn delay_us(scenario: &Scenario, entry: usize, server: usize) -> u64 {
    if entry % DOMAINS == server % DOMAINS { SAME_DOMAIN_US } else { scenario.domain_us }
}

fn record(histogram: &mut Histogram<u64>, took_us: u64) {
    // The histogram covers a minute, and a call ends after a second at the latest.
    let _ = histogram.record(took_us.max(1));
}
