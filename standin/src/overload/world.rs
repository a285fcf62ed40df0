//! The world of one run: callers, entries, gates and upstreams, and the queue of what happens next.

mod entry;
mod owner;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use valetrack::gate::{AttemptId, BounceReason, ColdRule, Gate, GateConfig, GateEvent, LoadReport};
use valetrack::member::Candidate;
use valetrack::placement::{
    Budgets, Call, CallEvent, Dispatch, Policy, RepeatPromise, ServiceView, WorkEstimate, considered,
};

use super::fleet::{DOMAINS, Fleet, Load};
use super::report::Report;
use super::upstream::Upstream;
use crate::event_queue::EventQueue;

/// Way between two VMs of one failure domain and of two, in microseconds.
const NEAR_US: u64 = 150;
const FAR_US: u64 = 1_000;
/// What the product takes the two for, there and back, in microseconds.
const NEAR_COST_US: u32 = 100;
const FAR_COST_US: u32 = 1_000;
/// Way between a caller and an entry, in microseconds.
const CALLER_US: u64 = 8_000;
/// What the fleet promises of repeats.
const PROMISE: RepeatPromise = RepeatPromise { percent: 20, reserve: 430, window_us: 10_000_000 };

/// What happens next.
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
    Told { call: usize, server: usize, event: CallEvent, load: LoadReport, work_us: u32 },
    /// It is time to hedge.
    Hedge { call: usize },
    /// A call's deadline.
    Deadline { call: usize },
    /// A queue needs a look.
    Tick { vm: usize },
    /// An upstream is warm, unless it has turned cold again.
    Warm { vm: usize },
    /// An upstream refuses the connection of an attempt.
    Refused { vm: usize, attempt: AttemptId },
    /// An upstream that fell over starts again.
    Back { vm: usize },
}

/// Who waits for a call.
#[derive(Debug, Clone, Copy)]
enum Maker {
    /// A caller.
    Caller(usize),
    /// A run of an upstream.
    Run(usize),
}

/// A caller, and the call that it makes.
struct Caller {
    route: usize,
    domain: usize,
    began_us: u64,
    came_back: bool,
}

/// A call at its entry.
struct CallRecord {
    call: Call,
    maker: Maker,
    route: usize,
    entry: usize,
    began_us: u64,
    /// Time that its caller has waited before, in milliseconds.
    waited_ms: u32,
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

/// A VM: its upstream, its gate, and what the entry of its node knows.
struct Vm {
    domain: usize,
    service: usize,
    gone: bool,
    gate: Gate,
    upstream: Upstream,
    views: Vec<ServiceView>,
    /// The VM of each server that its entry considers, by service.
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
    queue: EventQueue<Event>,
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
    world.queue.schedule(0, Event::Caller);
    while let Some((at_us, event)) = world.queue.pop() {
        world.now_us = at_us;
        world.happen(event);
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
            queue: EventQueue::default(),
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
                world.queue.schedule(warm_us, Event::Warm { vm });
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
            part: valetrack::rollout::ServerPart::Usual,
        }
    }

    fn later(&mut self, after_us: u64, event: Event) {
        self.queue.schedule(self.now_us + after_us, event);
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
            Event::Told { call, server, event, load, work_us } => {
                self.told(call, server, event, load, work_us);
            }
            Event::Hedge { call } => self.tell(call, CallEvent::HedgeDue),
            Event::Deadline { call } => self.tell(call, CallEvent::DeadlineDue),
            Event::Tick { vm } => self.ticked(vm),
            Event::Warm { vm } if self.now_us >= self.vms[vm].upstream.cold_until_us() => {
                self.vms[vm].gate.warmed_up();
            }
            Event::Warm { .. } => {}
            Event::Refused { vm, attempt } => {
                self.gate(vm, GateEvent::Refused { attempt, reason: BounceReason::Refused });
            }
            Event::Back { vm } => self.back(vm),
        }
    }

    fn way_us(&self, from: usize, to: usize) -> u64 {
        match () {
            () if from == to => 0,
            () if self.vms[from].domain == self.vms[to].domain => NEAR_US,
            () => FAR_US,
        }
    }
}

fn new_vm(fleet: &Fleet, load: &Load, domain: usize, service: usize, rng: &mut fastrand::Rng) -> Vm {
    let starts_per_s = fleet.cold_starts_per_s;
    let config = GateConfig {
        cold: ColdRule { starts_per_s, first_second: starts_per_s.unwrap_or(0), length_ms: None },
        slots: fleet.slots,
        queue_max_us: 50_000,
        ramp_us: 0,
        rescue: false,
        learn_limit: true,
    };
    let services = fleet.services.len();
    let mut gate = Gate::new(config, 0);
    let mut nothing = Vec::new();
    gate.configure(config);
    gate.handle(GateEvent::Open, 0, &mut nothing);
    gate.set_cold(load.cold_us, 0);
    Vm {
        domain,
        service,
        gone: rng.u64(0..100) < load.gone_percent,
        gate,
        upstream: Upstream::new(rng.u64(..), fleet.slots, load.cold_us, fleet.cold_bears),
        views: (0..services).map(|_| ServiceView::new(Policy::Valetrack)).collect(),
        targets: vec![Vec::new(); services],
        budgets: (0..services).map(|_| Budgets::of_fleet(PROMISE, 0)).collect(),
        works: vec![WorkEstimate::default(); fleet.routes.len()],
        tick_us: None,
    }
}
