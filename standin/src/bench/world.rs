//! The world of one run: a queue of events, entries, owners and servers.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use valetrack::gate::{AttemptId, ColdRule, Gate, GateAction, GateConfig, GateEvent, LoadReport, Patience};
use valetrack::placement::{
    Budgets, Call, CallAction, CallContext, CallEvent, CallRule, Dispatch, RateBudget, RepeatBudget, ServiceView,
    Verdict,
};

use super::report::Row;
use super::scenario::{Contender, News, Scenario, Trouble};
use super::server::{Run, Server, TROUBLE_END_US, TROUBLE_US, exponential};
use crate::event_queue::EventQueue;

/// Way between two VMs of one failure domain, in microseconds.
const NEAR_US: u64 = 100;
/// Failure domains.
const DOMAINS: usize = 3;
/// Time limit of a call, in microseconds.
const DEADLINE_US: u64 = 1_000_000;
/// Calls that come in this first part are not counted, in microseconds.
const WARM_US: u64 = 500_000;
/// Length of one level of a swinging load, in microseconds on average.
const SWING_US: u64 = 5_000;
/// Bytes of a report that rides on a reply.
const RIDING_BYTES: u64 = 16;
/// Bytes of one probe or poll, there and back.
const PROBE_BYTES: u64 = 220;
/// Budget of an entry for measuring, in bytes a second.
const MEASURE_BYTES_PER_S: u64 = 2_048;
/// Pause between two looks for old views, in microseconds.
const PROBE_PERIOD_US: u64 = 20_000;
/// Age at which a view is probed, in microseconds.
const STALE_US: u64 = 100_000;
/// Longest wait for a slot, in microseconds.
const QUEUE_US: u64 = 20_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// A caller comes.
    Caller,
    /// An attempt reaches its owner.
    Reach { call: usize, attempt: AttemptId, server: usize, patience: Patience },
    /// A cancel reaches the owner.
    Cancel { call: usize, attempt: AttemptId, server: usize },
    /// A server is done.
    Done { attempt: AttemptId, server: usize, healthy: bool },
    /// News reaches an entry about one of its calls.
    News { call: usize, server: usize, event: CallEvent, load: LoadReport },
    /// It is time to hedge.
    Hedge { call: usize },
    /// A call's deadline.
    Deadline { call: usize },
    /// An owner's queue needs a look.
    Tick { server: usize },
    /// An entry asks all servers how they are.
    Poll { entry: usize },
    /// An entry looks for old views.
    Probe { entry: usize },
    /// An answer to a poll or probe.
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

struct World<'a> {
    scenario: &'a Scenario,
    contender: &'a Contender,
    now_us: u64,
    queue: EventQueue<Event>,
    entries: Vec<Entry>,
    gates: Vec<Gate>,
    servers: Vec<Server>,
    ticks: Vec<Option<u64>>,
    /// Draws arrivals, the same for every contender.
    arrivals: fastrand::Rng,
    /// Draws service times.
    work: fastrand::Rng,
    callers: Vec<Caller>,
    waiting: HashMap<AttemptId, usize>,
    next_seq: u64,
    rate_per_s: f64,
    level: f64,
    level_until_us: u64,
    end_us: u64,
    row: Row,
}

/// Runs one contender in one scenario for some virtual seconds.
pub fn run(scenario: &Scenario, contender: &Contender, seconds: u64, seed: u64) -> Row {
    let end_us = seconds * 1_000_000;
    let mut world = World::new(scenario, contender, end_us, seed);
    world.queue.schedule(0, Event::Caller);
    for entry in 0..scenario.entries {
        match contender.news {
            News::Polled(period_us) => world.queue.schedule(entry as u64 * period_us / 15, Event::Poll { entry }),
            News::Riding => world.queue.schedule(entry as u64 * PROBE_PERIOD_US / 15, Event::Probe { entry }),
            News::None | News::True => {}
        }
    }
    while let Some((at_us, event)) = world.queue.pop() {
        world.now_us = at_us;
        world.happen(event);
    }
    let counted_s = (end_us - WARM_US) as f64 / 1e6;
    world.row.finish(counted_s, scenario.entries);
    world.row
}

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, contender: &'a Contender, end_us: u64, seed: u64) -> Self {
        let queue_max_us = if contender.bounded { QUEUE_US } else { DEADLINE_US * 10 };
        let config = GateConfig {
            cold: ColdRule::default(),
            slots: scenario.slots,
            queue_max_us,
            ramp_us: 0,
            rescue: contender.rescue,
            learn_limit: false,
        };
        let entry = |number: usize| {
            let mut view = ServiceView::new(contender.policy);
            for server in 0..scenario.servers {
                view.set_present(server, true, 2 * way_us(scenario, number, server) as u32);
            }
            let budgets = Budgets::new(RepeatBudget::new(10, 20), RepeatBudget::new(5, 20));
            let rng = fastrand::Rng::with_seed(seed ^ (number as u64 + 77));
            Entry { view, budgets, rng, measure: RateBudget::new(MEASURE_BYTES_PER_S, MEASURE_BYTES_PER_S, 0) }
        };
        let capacity = scenario.servers as f64 * f64::from(scenario.slots) * 1e6 / scenario.service_us as f64;
        Self {
            scenario,
            contender,
            now_us: 0,
            queue: EventQueue::default(),
            entries: (0..scenario.entries).map(entry).collect(),
            gates: (0..scenario.servers).map(|_| Gate::new(config, 0)).collect(),
            servers: (0..scenario.servers).map(|number| Server::new(scenario, number, end_us * 2, seed)).collect(),
            ticks: vec![None; scenario.servers],
            arrivals: fastrand::Rng::with_seed(seed ^ 0x1234),
            work: fastrand::Rng::with_seed(seed ^ 0xabcd),
            callers: Vec::new(),
            waiting: HashMap::new(),
            next_seq: 1,
            rate_per_s: capacity * Server::free_share(scenario) * scenario.load_percent as f64 / 100.0,
            level: 1.0,
            level_until_us: 0,
            end_us,
            row: Row::new(scenario.name, contender.name),
        }
    }

    fn later(&mut self, after_us: u64, event: Event) {
        self.queue.schedule(self.now_us + after_us, event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Caller => self.caller(),
            Event::Reach { call, attempt, server, patience } => {
                self.waiting.insert(attempt, call);
                let deadline_us = self.callers[call].began_us + DEADLINE_US;
                self.gate(server, GateEvent::Arrive { attempt, deadline_us, patience, priority: 0, objective: None });
            }
            Event::Cancel { call, attempt, server } => {
                self.waiting.entry(attempt).or_insert(call);
                self.gate(server, GateEvent::Cancel { attempt });
            }
            Event::Done { attempt, server, healthy } => {
                self.gate(server, GateEvent::Done { attempt, healthy });
                self.reply(attempt, server, CallEvent::Ran { attempt, healthy });
            }
            Event::News { call, server, event, load } => {
                let entry = self.callers[call].entry;
                self.learn(entry, server, load, RIDING_BYTES);
                if let CallEvent::Ran { healthy, .. } = event {
                    self.callers[call].healthy = healthy;
                }
                self.tell(call, event);
            }
            Event::Hedge { call } => self.tell(call, CallEvent::HedgeDue),
            Event::Deadline { call } => self.tell(call, CallEvent::DeadlineDue),
            Event::Tick { server } => {
                self.ticks[server] = None;
                self.gate(server, GateEvent::Tick);
            }
            Event::Poll { entry } => self.poll(entry),
            Event::Probe { entry } => self.probe(entry),
            Event::Load { entry, server, load } => {
                self.entries[entry].view.report(server, load, self.now_us);
            }
        }
    }

    fn caller(&mut self) {
        if self.now_us >= self.end_us {
            return;
        }
        self.swing();
        let burst = self.scenario.trouble == Trouble::Burst && (TROUBLE_US..TROUBLE_END_US).contains(&self.now_us);
        let rate_per_s = self.rate_per_s * self.level * if burst { 2.0 } else { 1.0 };
        let gap_us = exponential(&mut self.arrivals, 1_000_000) as f64 / rate_per_s;
        self.later(gap_us.round() as u64, Event::Caller);
        let entry = self.arrivals.usize(..self.scenario.entries);
        let rule = self.rule();
        let call = self.callers.len();
        let caller = Caller { call: Call::new(rule, 1), entry, began_us: self.now_us, healthy: true };
        self.callers.push(caller);
        self.later(DEADLINE_US, Event::Deadline { call });
        self.tell(call, CallEvent::Begin);
    }

    fn rule(&self) -> CallRule {
        let mut rule = self.contender.rule;
        if !self.scenario.repeatable {
            rule.repeatable = false;
            rule.hedge_after_percent = None;
        }
        rule
    }

    fn swing(&mut self) {
        if self.scenario.swing && self.now_us >= self.level_until_us {
            self.level = if self.level > 1.0 { 0.5 } else { 1.5 };
            self.level_until_us = self.now_us + exponential(&mut self.arrivals, SWING_US);
        }
    }

    fn tell(&mut self, number: usize, event: CallEvent) {
        let now_us = self.now_us;
        let entry_number = self.callers[number].entry;
        if self.contender.news == News::True {
            self.show_truth(entry_number);
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
            self.act(number, action);
        }
    }

    fn act(&mut self, call: usize, action: CallAction) {
        let entry = self.callers[call].entry;
        match action {
            CallAction::Send(Dispatch { attempt, server, patience, .. }) => {
                self.row.attempts += u64::from(self.counted(call));
                let way_us = way_us(self.scenario, entry, server);
                self.later(way_us, Event::Reach { call, attempt, server, patience });
            }
            CallAction::Cancel { attempt, server } => {
                let way_us = way_us(self.scenario, entry, server);
                self.later(way_us, Event::Cancel { call, attempt, server });
            }
            CallAction::ArmHedge { after_us } => self.later(after_us, Event::Hedge { call }),
            CallAction::Finish(verdict) => self.finish(call, verdict),
        }
    }

    fn counted(&self, call: usize) -> bool {
        self.callers[call].began_us >= WARM_US
    }

    fn finish(&mut self, call: usize, verdict: Verdict) {
        if !self.counted(call) {
            return;
        }
        let took_us = self.now_us - self.callers[call].began_us;
        self.row.calls += 1;
        match verdict {
            Verdict::Answer(_) if self.callers[call].healthy => {
                let began_us = self.callers[call].began_us;
                self.row.answered(took_us, began_us, self.now_us);
            }
            Verdict::Answer(_) | Verdict::Unknown { .. } => self.row.failed += 1,
            Verdict::NotRun { .. } => {
                self.row.shed += 1;
                record(&mut self.row.shed_us, took_us);
            }
        }
    }

    fn gate(&mut self, server: usize, event: GateEvent) {
        let mut actions = Vec::new();
        self.gates[server].handle(event, self.now_us, &mut actions);
        for action in actions {
            match action {
                GateAction::Start { attempt } => {
                    self.row.starts += u64::from(self.waiting.get(&attempt).is_some_and(|&call| self.counted(call)));
                    let half_us = self.scenario.service_us / 2;
                    let work_us = exponential(&mut self.work, half_us) + exponential(&mut self.work, half_us);
                    let Run { end_us, healthy } = self.servers[server].run(self.now_us, work_us);
                    self.queue.schedule(end_us, Event::Done { attempt, server, healthy });
                }
                GateAction::Bounce { attempt, reason } => {
                    self.row.bounces += 1;
                    self.reply(attempt, server, CallEvent::Bounced { attempt, reason });
                }
                GateAction::ReportCancel { attempt, result } => {
                    let result = Some(result);
                    self.reply(attempt, server, CallEvent::CancelResult { attempt, result });
                }
            }
        }
        self.row.most_running = self.row.most_running.max(u64::from(self.gates[server].load(self.now_us).in_flight));
        self.tick(server);
    }

    fn tick(&mut self, server: usize) {
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
        let Some(&call) = self.waiting.get(&attempt) else {
            return;
        };
        let load = self.gates[server].load(self.now_us);
        let way_us = way_us(self.scenario, self.callers[call].entry, server);
        self.later(way_us, Event::News { call, server, event, load });
    }

    fn learn(&mut self, entry: usize, server: usize, load: LoadReport, bytes: u64) {
        if self.contender.news == News::Riding {
            self.entries[entry].view.report(server, load, self.now_us);
            self.row.riding_bytes += bytes;
        }
    }

    /// Shows an entry the true state of every server, the bound of all that news can do.
    fn show_truth(&mut self, entry: usize) {
        for server in 0..self.scenario.servers {
            let mut load = self.gates[server].load(self.now_us);
            load.stalled = self.servers[server].stalled(self.now_us);
            self.entries[entry].view.report(server, load, self.now_us);
        }
    }

    fn poll(&mut self, entry: usize) {
        let News::Polled(period_us) = self.contender.news else {
            return;
        };
        for server in 0..self.scenario.servers {
            self.ask_load(entry, server);
        }
        if self.now_us < self.end_us {
            self.later(period_us, Event::Poll { entry });
        }
    }

    fn probe(&mut self, entry: usize) {
        let now_us = self.now_us;
        while let Some((_, server)) = self.entries[entry].view.stalest(now_us, STALE_US) {
            if !self.entries[entry].measure.take(PROBE_BYTES, now_us) {
                break;
            }
            self.entries[entry].view.probed(server, now_us);
            self.ask_load(entry, server);
        }
        if now_us < self.end_us {
            self.later(PROBE_PERIOD_US, Event::Probe { entry });
        }
    }

    /// Asks a server how it is; the answer is as old as its way back.
    fn ask_load(&mut self, entry: usize, server: usize) {
        self.row.probes += 1;
        self.row.probe_bytes += PROBE_BYTES;
        let way_us = way_us(self.scenario, entry, server);
        let load = self.gates[server].load(self.now_us);
        self.later(2 * way_us, Event::Load { entry, server, load });
    }
}

/// Returns the way from an entry to an owner, in microseconds.
fn way_us(scenario: &Scenario, entry: usize, server: usize) -> u64 {
    if entry % DOMAINS == server % DOMAINS { NEAR_US } else { scenario.domain_us }
}

fn record(histogram: &mut Histogram<u64>, took_us: u64) {
    // The bounds hold a minute, and no call takes that long here.
    let _ = histogram.record(took_us.max(1));
}
