//! The world of one run: callers, entries, gates and upstreams, and the queue of what happens next.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use valetrack::code::Code;
use valetrack::gate::{AttemptId, Gate, GateAction, GateConfig, GateEvent, LoadReport, Patience, RunTimes, objective};
use valetrack::link::message::CallHead;
use valetrack::member::Candidate;
use valetrack::placement::{
    Budgets, Call, CallAction, CallContext, CallEvent, CallRule, Dispatch, Policy, RepeatPromise, ServiceView, Verdict,
    WorkEstimate, considered,
};

use super::fleet::{DOMAINS, Fleet, Load, RouteShape};
use super::report::{Report, Window};
use super::upstream::Upstream;

/// Way between two VMs of one failure domain and of two, in microseconds.
const NEAR_US: u64 = 150;
const FAR_US: u64 = 1_000;
/// What the product takes the two for, there and back, in microseconds.
const NEAR_COST_US: u32 = 100;
const FAR_COST_US: u32 = 1_000;
/// Way between a caller and an entry, in microseconds.
const CALLER_US: u64 = 8_000;
/// A link that rests this long is closed, in microseconds.
const LINK_REST_US: u64 = 3_000_000;
/// Bytes of the handshake of a link.
const HANDSHAKE_BYTES: u64 = 5_000;
/// Owners that may give a call back because they are full.
const BOUNCES: u8 = 4;
/// Longest part of its time that a caller stays away when it is told to, as a divisor.
const AWAY_SHARE: u64 = 3;
/// A slot whose call passed its deadline stays taken this long, in microseconds.
const LINGER_US: u64 = 100_000;
/// Shortest pause between two looks at a queue, in microseconds.
const TICK_MIN_US: u64 = 200;
/// What a late answer is worth of one in time.
const LATE_WORTH: f64 = 0.1;
/// What the fleet promises of repeats.
const PROMISE: RepeatPromise = RepeatPromise { percent: 20, reserve: 430, window_us: 10_000_000 };

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A caller comes.
    Caller,
    /// A caller's call reaches its entry.
    Tried { caller: usize },
    /// An attempt reaches its owner.
    Reach { call: usize, dispatch: Dispatch, vm: usize },
    /// A cancel reaches the owner.
    Cancel { call: usize, attempt: AttemptId, vm: usize },
    /// An upstream has worked a run off.
    Worked { run: usize },
    /// A run's time is over.
    Cut { run: usize },
    /// A slot is free whose call passed its deadline.
    Freed { vm: usize, attempt: AttemptId },
    /// News reaches a call.
    Told { call: usize, vm: usize, server: usize, event: CallEvent, load: LoadReport, work_us: u32 },
    /// It is time to hedge.
    Hedge { call: usize },
    /// A call's deadline.
    Deadline { call: usize },
    /// A queue needs a look.
    Tick { vm: usize },
    /// An upstream is warm.
    Warm { vm: usize },
}

/// Who waits for a call.
#[derive(Debug, Clone, Copy)]
enum Maker {
    Caller(usize),
    Run(usize),
}

struct Caller {
    route: usize,
    domain: usize,
    began_us: u64,
    came_back: bool,
}

struct CallRecord {
    call: Call,
    maker: Maker,
    route: usize,
    entry: usize,
    began_us: u64,
    deadline_us: u64,
    work_us: u32,
    healthy: bool,
}

/// One run at an upstream.
struct Run {
    vm: usize,
    attempt: AttemptId,
    began_us: u64,
    slowdown: f64,
    told_percent: u16,
    work_us: u32,
    /// Time that its own work takes, in microseconds.
    own_us: u64,
    /// Calls of its own that have no answer yet.
    calls_left: u8,
    over: bool,
}

/// What an owner knows of an attempt that it holds.
#[derive(Debug, Clone, Copy)]
struct Held {
    call: usize,
    server: usize,
    deadline_us: u64,
    run: Option<usize>,
}

struct Vm {
    domain: usize,
    service: usize,
    gone: bool,
    gate: Gate,
    upstream: Upstream,
    views: Vec<ServiceView>,
    targets: Vec<Vec<usize>>,
    budgets: Vec<Budgets>,
    works: Vec<WorkEstimate>,
    tick_us: Option<u64>,
}

struct World<'a> {
    fleet: &'a Fleet,
    load: &'a Load,
    now_us: u64,
    end_us: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    vms: Vec<Vm>,
    callers: Vec<Caller>,
    calls: Vec<CallRecord>,
    runs: Vec<Run>,
    held: HashMap<AttemptId, Held>,
    /// When a link that leaves its domain was last used.
    far_links: HashMap<(usize, usize), u64>,
    /// Draws arrivals, the same whatever is decided.
    arrivals: fastrand::Rng,
    /// Draws everything else.
    rng: fastrand::Rng,
    next_seq: u64,
    report: Report,
}

/// Plays one load on a fleet for some virtual seconds.
pub fn run(fleet: &Fleet, load: &Load, seconds: u64, seed: u64) -> Report {
    let mut world = World::new(fleet, load, seconds * 1_000_000, seed);
    world.schedule(0, Event::Caller);
    while let Some(Reverse((at_us, id))) = world.queue.pop() {
        world.now_us = at_us;
        if let Some(event) = world.events.remove(&id) {
            world.happen(event);
        }
    }
    world.report
}

impl<'a> World<'a> {
    fn new(fleet: &'a Fleet, load: &'a Load, end_us: u64, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut vms = Vec::new();
        for domain in 0..DOMAINS {
            for (service, shape) in fleet.services.iter().enumerate() {
                for _ in 0..shape.per_domain[domain] {
                    vms.push(new_vm(fleet, load, domain, service, &mut rng));
                }
            }
        }
        let mut world = Self {
            fleet,
            load,
            now_us: 0,
            end_us,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            vms,
            callers: Vec::new(),
            calls: Vec::new(),
            runs: Vec::new(),
            held: HashMap::new(),
            far_links: HashMap::new(),
            arrivals: fastrand::Rng::with_seed(seed ^ 0x1234),
            rng,
            next_seq: 1,
            report: Report::default(),
        };
        world.introduce();
        for vm in 0..world.vms.len() {
            let warm_us = world.vms[vm].upstream.cold_until_us();
            if warm_us > 0 {
                world.schedule(warm_us, Event::Warm { vm });
            }
        }
        world
    }

    /// Tells every entry of the upstreams that it considers.
    fn introduce(&mut self) {
        for entry in 0..self.vms.len() {
            for service in 0..self.fleet.services.len() {
                let domain = self.vms[entry].domain;
                let serving = (0..self.vms.len()).filter(|&vm| self.vms[vm].service == service && !self.vms[vm].gone);
                let candidates = serving.map(|vm| self.candidate(vm)).collect();
                let own = self.candidate(entry);
                let chosen = considered(candidates, &own.domain, &own.vm);
                let number = |candidate: &Candidate| usize::from(candidate.link_addr.port());
                let targets: Vec<usize> = chosen.iter().map(number).collect();
                for (server, &vm) in targets.iter().enumerate() {
                    let far = self.vms[vm].domain != domain;
                    let network_us = match () {
                        () if vm == entry => 0,
                        () if far => FAR_COST_US,
                        () => NEAR_COST_US,
                    };
                    let view = &mut self.vms[entry].views[service];
                    view.set_present(server, true, network_us);
                    view.set_far(server, far);
                }
                self.vms[entry].targets[service] = targets;
            }
        }
    }

    /// Returns what the product knows of a VM; its number is its port.
    fn candidate(&self, vm: usize) -> Candidate {
        Candidate {
            vm: Arc::from(format!("vm-{vm}")),
            incarnation: 1,
            domain: Arc::from(format!("domain-{}", self.vms[vm].domain)),
            link_addr: SocketAddr::from(([127, 0, 0, 1], vm as u16)),
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        let id = self.next_event;
        self.next_event += 1;
        self.events.insert(id, event);
        self.queue.push(Reverse((at_us, id)));
    }

    fn later(&mut self, after_us: u64, event: Event) {
        self.schedule(self.now_us + after_us, event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Caller => self.caller_comes(),
            Event::Tried { caller } => self.tried(caller),
            Event::Reach { call, dispatch, vm } => self.reach(call, dispatch, vm),
            Event::Cancel { call, attempt, vm } => self.cancel(call, attempt, vm),
            Event::Worked { run } => self.worked(run),
            Event::Cut { run } => self.cut(run),
            Event::Freed { vm, attempt } => self.gate(vm, GateEvent::Done { attempt, healthy: false }),
            Event::Told { call, vm, server, event, load, work_us } => {
                self.told(call, vm, server, event, load, work_us);
            }
            Event::Hedge { call } => self.tell(call, CallEvent::HedgeDue),
            Event::Deadline { call } => self.tell(call, CallEvent::DeadlineDue),
            Event::Tick { vm } => self.ticked(vm),
            Event::Warm { vm } => self.vms[vm].gate.warmed_up(),
        }
    }

    fn caller_comes(&mut self) {
        if self.now_us >= self.end_us {
            return;
        }
        let (from_s, to_s) = self.load.burst_s;
        let bursts = (from_s * 1_000_000..to_s * 1_000_000).contains(&self.now_us);
        let per_s = self.load.per_s as f64 * if bursts { self.load.burst } else { 1.0 };
        let gap_us = -self.arrivals.f64().max(1e-12).ln() * 1e6 / per_s;
        self.later(gap_us as u64, Event::Caller);
        let route = drawn(self.fleet.routes.iter().map(|shape| shape.permille), &mut self.arrivals);
        let domain = drawn(self.fleet.callers_permille.into_iter(), &mut self.arrivals);
        let caller = self.callers.len();
        self.callers.push(Caller { route, domain, began_us: self.now_us, came_back: false });
        let worth = self.fleet.routes[route].worth;
        self.report.count(self.now_us, route, &Window { callers: 1, owed: worth, ..Window::default() });
        self.later(CALLER_US, Event::Tried { caller });
    }

    fn tried(&mut self, caller: usize) {
        let Caller { route, domain, began_us, .. } = self.callers[caller];
        let doors: Vec<usize> = (0..self.vms.len()).filter(|&vm| self.vms[vm].domain == domain).collect();
        let entry = doors[self.rng.usize(..doors.len())];
        let waits_us = u64::from(self.fleet.routes[route].deadline_ms) * 1000;
        self.begin(Maker::Caller(caller), route, entry, began_us + waits_us);
    }

    fn begin(&mut self, maker: Maker, route: usize, entry: usize, deadline_us: u64) {
        let shape = &self.fleet.routes[route];
        let demand = self.vms[entry].works[route].demand(shape.objective_ms);
        let rule = CallRule {
            repeatable: shape.repeatable,
            bounces: BOUNCES,
            retries: u8::from(shape.repeatable),
            hedge_after_percent: None,
            demand: Some(demand),
        };
        let number = self.calls.len();
        let call = Call::new(rule, 1);
        self.calls.push(CallRecord {
            call,
            maker,
            route,
            entry,
            began_us: self.now_us,
            deadline_us,
            work_us: demand.work_us,
            healthy: true,
        });
        self.schedule(deadline_us.max(self.now_us), Event::Deadline { call: number });
        self.tell(number, CallEvent::Begin);
    }

    fn tell(&mut self, number: usize, event: CallEvent) {
        if self.calls[number].call.finished() {
            return;
        }
        let service = self.fleet.routes[self.calls[number].route].service;
        let entry = &mut self.vms[self.calls[number].entry];
        let mut cx = CallContext {
            view: &mut entry.views[service],
            budgets: &mut entry.budgets[service],
            rng: &mut self.rng,
            now_us: self.now_us,
            next_seq: &mut self.next_seq,
        };
        let mut actions = Vec::new();
        let record = &mut self.calls[number];
        record.call.handle(event, &mut cx, &mut actions);
        if record.call.finished() {
            record.call.abandon(&mut cx);
        }
        actions.into_iter().for_each(|action| self.act(number, action));
    }

    fn act(&mut self, call: usize, action: CallAction) {
        let CallRecord { entry, route, .. } = self.calls[call];
        let targets = &self.vms[entry].targets[self.fleet.routes[route].service];
        match action {
            CallAction::Send(dispatch) => {
                let vm = targets[dispatch.server];
                self.report.sends += 1;
                if self.vms[vm].domain != self.vms[entry].domain {
                    self.report.far_sends += 1;
                    self.report.far_bytes += self.fleet.routes[route].bytes / 2;
                    self.use_far_link(entry, vm);
                }
                let way_us = self.way_us(entry, vm);
                self.later(way_us, Event::Reach { call, dispatch, vm });
            }
            CallAction::Cancel { attempt, server } => {
                let vm = targets[server];
                let way_us = self.way_us(entry, vm);
                self.later(way_us, Event::Cancel { call, attempt, vm });
            }
            CallAction::ArmHedge { after_us } => self.later(after_us, Event::Hedge { call }),
            CallAction::Finish(verdict) => self.finish(call, verdict),
        }
    }

    /// Counts the handshake of a link that leaves the domain, if none is open.
    fn use_far_link(&mut self, from: usize, to: usize) {
        let last_us = self.far_links.insert((from, to), self.now_us);
        if last_us.is_none_or(|last_us| self.now_us > last_us + LINK_REST_US) {
            self.report.far_links += 1;
            self.report.far_bytes += HANDSHAKE_BYTES;
        }
    }

    fn way_us(&self, from: usize, to: usize) -> u64 {
        match () {
            () if from == to => 0,
            () if self.vms[from].domain == self.vms[to].domain => NEAR_US,
            () => FAR_US,
        }
    }

    fn reach(&mut self, call: usize, dispatch: Dispatch, vm: usize) {
        let Dispatch { attempt, patience, elsewhere_permille, server, .. } = dispatch;
        let record = &self.calls[call];
        let gone_ms = ((self.now_us - record.began_us) / 1000) as u32;
        let shape = &self.fleet.routes[record.route];
        let left_ms = (record.deadline_us.saturating_sub(self.now_us) / 1000) as u32;
        let head = CallHead { elsewhere_permille, work_us: record.work_us, ..head(shape, attempt, gone_ms, left_ms) };
        let internal = matches!(record.maker, Maker::Run(_));
        let priority = if internal { 0 } else { shape.priority + 1 };
        let deadline_us = record.deadline_us;
        self.held.insert(attempt, Held { call, server, deadline_us, run: None });
        let machine = &mut self.vms[vm];
        if machine.gate.wants_news(record.work_us.into(), self.now_us) {
            machine.gate.asked(self.now_us);
            machine.gate.told(machine.upstream.told_percent(self.now_us), self.now_us);
        }
        let objective = objective(&head, internal);
        self.gate(vm, GateEvent::Arrive { attempt, deadline_us, patience, priority, objective });
    }

    fn cancel(&mut self, call: usize, attempt: AttemptId, vm: usize) {
        let run = self.held.get(&attempt).and_then(|held| held.run);
        if let Some(run) = run.filter(|_| self.fleet.routes[self.calls[call].route].repeatable) {
            // The closed connection tells the upstream to stop.
            if !std::mem::replace(&mut self.runs[run].over, true) {
                self.vms[vm].upstream.running -= 1;
                self.gate(vm, GateEvent::Done { attempt, healthy: true });
            }
            return;
        }
        self.gate(vm, GateEvent::Cancel { attempt });
    }

    fn ticked(&mut self, vm: usize) {
        let machine = &mut self.vms[vm];
        machine.tick_us = None;
        if machine.gate.asks_about_episode(self.now_us) {
            machine.gate.asked(self.now_us);
            machine.gate.told(machine.upstream.told_percent(self.now_us), self.now_us);
        }
        self.gate(vm, GateEvent::Tick);
    }

    fn gate(&mut self, vm: usize, event: GateEvent) {
        let mut actions = Vec::new();
        self.vms[vm].gate.handle(event, self.now_us, &mut actions);
        for action in actions {
            match action {
                GateAction::Start { attempt } => self.start(vm, attempt),
                GateAction::Bounce { attempt, reason } => {
                    self.reply(vm, attempt, CallEvent::Bounced { attempt, reason }, 0);
                }
                GateAction::ReportCancel { attempt, result } => {
                    self.reply(vm, attempt, CallEvent::CancelResult { attempt, result: Some(result) }, 0);
                }
            }
        }
        self.plan_tick(vm);
    }

    fn plan_tick(&mut self, vm: usize) {
        let Some(at_us) = self.vms[vm].gate.next_tick_us(self.now_us) else {
            return;
        };
        let at_us = at_us.max(self.now_us + TICK_MIN_US);
        if self.vms[vm].tick_us.is_none_or(|set_us| at_us < set_us) {
            self.vms[vm].tick_us = Some(at_us);
            self.schedule(at_us, Event::Tick { vm });
        }
    }

    fn start(&mut self, vm: usize, attempt: AttemptId) {
        let Held { call, deadline_us, .. } = self.held[&attempt];
        let route = self.calls[call].route;
        let number = self.runs.len();
        let machine = &mut self.vms[vm];
        let own_us = machine.upstream.run_us(self.fleet.routes[route].work_us, self.now_us, &mut self.rng);
        let run = Run {
            vm,
            attempt,
            began_us: self.now_us,
            slowdown: machine.gate.slowdown(self.now_us),
            told_percent: machine.gate.told_percent(self.now_us),
            work_us: self.calls[call].work_us,
            own_us,
            calls_left: 0,
            over: false,
        };
        self.runs.push(run);
        machine.upstream.running += 1;
        self.report.runs += 1;
        if let Some(held) = self.held.get_mut(&attempt) {
            held.run = Some(number);
        }
        self.schedule(deadline_us.max(self.now_us), Event::Cut { run: number });
        match self.fleet.routes[route].nested.filter(|nested| self.rng.f64() < nested.share) {
            None => self.work(number),
            Some(nested) => {
                self.runs[number].calls_left = nested.times;
                for _ in 0..nested.times {
                    self.begin(Maker::Run(number), nested.route, vm, deadline_us);
                }
            }
        }
    }

    fn work(&mut self, run: usize) {
        self.later(self.runs[run].own_us, Event::Worked { run });
    }

    fn worked(&mut self, run: usize) {
        if !self.runs[run].over {
            self.end_run(run, true);
        }
    }

    fn end_run(&mut self, number: usize, healthy: bool) {
        let run = &mut self.runs[number];
        run.over = true;
        let Run { vm, attempt, began_us, slowdown, told_percent, work_us, .. } = *run;
        let machine = &mut self.vms[vm];
        machine.upstream.running -= 1;
        machine.gate.told(machine.upstream.told_percent(self.now_us), self.now_us);
        let ran_us = self.now_us - began_us;
        let unslowed_us = machine.gate.unslowed_us(ran_us, slowdown, machine.gate.slowdown(self.now_us));
        let times = RunTimes {
            ran_us,
            unslowed_us,
            work_us: work_us.into(),
            start_percent: told_percent,
            end_percent: machine.gate.told_percent(self.now_us),
        };
        machine.gate.ran(attempt, times, healthy);
        let told_us = if healthy { unslowed_us as u32 } else { 0 };
        self.reply(vm, attempt, CallEvent::Ran { attempt, healthy }, told_us);
        self.gate(vm, GateEvent::Done { attempt, healthy });
    }

    /// Ends a run whose deadline has passed.
    fn cut(&mut self, number: usize) {
        if std::mem::replace(&mut self.runs[number].over, true) {
            return;
        }
        let Run { vm, attempt, .. } = self.runs[number];
        self.vms[vm].upstream.running -= 1;
        self.reply(vm, attempt, CallEvent::Failed { attempt, code: Code::DeadlinePassed }, 0);
        self.later(LINGER_US, Event::Freed { vm, attempt });
    }

    fn reply(&mut self, vm: usize, attempt: AttemptId, event: CallEvent, work_us: u32) {
        let Some(&Held { call, server, .. }) = self.held.get(&attempt) else {
            return;
        };
        let CallRecord { entry, route, .. } = self.calls[call];
        if matches!(event, CallEvent::Ran { .. }) && self.vms[vm].domain != self.vms[entry].domain {
            self.report.far_bytes += self.fleet.routes[route].bytes / 2;
        }
        let load = self.vms[vm].gate.load(self.now_us);
        let way_us = self.way_us(entry, vm);
        self.later(way_us, Event::Told { call, vm, server, event, load, work_us });
    }

    fn told(&mut self, call: usize, _vm: usize, server: usize, event: CallEvent, load: LoadReport, work_us: u32) {
        let CallRecord { entry, route, .. } = self.calls[call];
        let service = self.fleet.routes[route].service;
        self.vms[entry].views[service].report(server, load, self.now_us);
        if let CallEvent::Ran { healthy, .. } = event {
            self.calls[call].healthy = healthy;
        }
        if work_us > 0 && !self.calls[call].call.finished() {
            self.vms[entry].works[route].ran(work_us);
        }
        self.tell(call, event);
    }

    fn finish(&mut self, call: usize, verdict: Verdict) {
        let CallRecord { maker, healthy, .. } = self.calls[call];
        let served = matches!(verdict, Verdict::Answer(_)) && healthy;
        match maker {
            Maker::Run(run) => self.nested_ended(run, served),
            Maker::Caller(caller) if served => self.served(caller),
            Maker::Caller(caller) => self.turned_away(caller, verdict),
        }
    }

    fn nested_ended(&mut self, run: usize, served: bool) {
        if self.runs[run].over {
            return;
        }
        if !served {
            self.end_run(run, false);
            return;
        }
        self.runs[run].calls_left -= 1;
        if self.runs[run].calls_left == 0 {
            self.work(run);
        }
    }

    fn served(&mut self, caller: usize) {
        let Caller { route, began_us, .. } = self.callers[caller];
        let shape = &self.fleet.routes[route];
        let took_us = self.now_us + CALLER_US - began_us;
        let got = match took_us <= u64::from(shape.objective_ms) * 1000 {
            true => Window { in_time: 1, earned: shape.worth, ..Window::default() },
            false => Window { late: 1, earned: shape.worth * LATE_WORTH, ..Window::default() },
        };
        self.report.count(began_us, route, &got);
    }

    fn turned_away(&mut self, caller: usize, verdict: Verdict) {
        let Caller { route, began_us, came_back, .. } = self.callers[caller];
        let shape = &self.fleet.routes[route];
        let left_us = (began_us + u64::from(shape.deadline_ms) * 1000).saturating_sub(self.now_us);
        let away_us = match verdict {
            Verdict::NotRun { retry_after_ms, .. } => {
                Some((u64::from(retry_after_ms) * 1000).min(left_us / AWAY_SHARE))
            }
            Verdict::Answer(_) | Verdict::Unknown { .. } => shape.repeatable.then_some(0),
        };
        if let (Some(away_us), false, true) = (away_us, came_back, left_us > 0) {
            self.callers[caller].came_back = true;
            self.later(away_us + 2 * CALLER_US, Event::Tried { caller });
            return;
        }
        let got = match verdict {
            Verdict::NotRun { .. } => Window { refused: 1, ..Window::default() },
            Verdict::Answer(_) | Verdict::Unknown { .. } => Window { failed: 1, ..Window::default() },
        };
        self.report.count(began_us, route, &got);
    }
}

fn new_vm(fleet: &Fleet, load: &Load, domain: usize, service: usize, rng: &mut fastrand::Rng) -> Vm {
    let config = GateConfig { slots: fleet.slots, queue_max_us: 50_000, ramp_us: 0, rescue: false, learn_limit: true };
    let services = fleet.services.len();
    let mut gate = Gate::new(config, 0);
    let mut nothing = Vec::new();
    gate.handle(GateEvent::Open, 0, &mut nothing);
    gate.set_cold(load.cold_us, 0);
    Vm {
        domain,
        service,
        gone: rng.u64(0..100) < load.gone_percent,
        gate,
        upstream: Upstream::new(rng.u64(..), fleet.slots, load.cold_us),
        views: (0..services).map(|_| ServiceView::new(Policy::Valetrack)).collect(),
        targets: vec![Vec::new(); services],
        budgets: (0..services).map(|_| Budgets::of_fleet(PROMISE, 0)).collect(),
        works: vec![WorkEstimate::default(); fleet.routes.len()],
        tick_us: None,
    }
}

/// Draws a place by shares of a thousand.
fn drawn(shares: impl Iterator<Item = u32>, rng: &mut fastrand::Rng) -> usize {
    let drawn = rng.u32(0..1_000);
    let mut below = 0;
    for (at, permille) in shares.enumerate() {
        below += permille;
        if drawn < below {
            return at;
        }
    }
    0
}

/// Makes the head of an attempt as far as a gate looks at it.
fn head(shape: &RouteShape, attempt: AttemptId, gone_ms: u32, left_ms: u32) -> CallHead {
    let nothing: Arc<str> = Arc::from("");
    CallHead {
        attempt,
        call_id: nothing.clone(),
        service: nothing.clone(),
        origin: nothing.clone(),
        route: nothing,
        method: String::new(),
        path: String::new(),
        headers: Vec::new(),
        body_bytes: 0,
        deadline_ms: left_ms,
        objective_ms: shape.objective_ms.saturating_sub(gone_ms),
        work_us: 0,
        elsewhere_permille: 0,
        priority: shape.priority,
        repeatable: shape.repeatable,
        depth: 0,
        repeat_permille: 0,
        patience: Patience::Long,
        key: None,
        hlc: 0,
    }
}
