//! State of one run: callers, entries, gates and upstreams, and the queue of scheduled events.

mod entry;
mod owner;
mod region;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use valetrack::gate::{AttemptId, ColdRule, DeclineReason, Gate, GateConfig, GateEvent, LoadReport};
use valetrack::member::Candidate;
use valetrack::placement::{
    Budgets, Call, CallEvent, Dispatch, Policy, RegionLink, RetryGuarantee, ServiceView, WorkEstimate, considered,
};
use valetrack::region::Regions;

use super::fleet::{DOMAINS, Fleet, Load};
use super::report::Report;
use super::upstream::Upstream;
use crate::event_queue::EventQueue;

/// One-way delay between two VMs of the same failure domain and of different ones.
const SAME_DOMAIN_US: u64 = 150;
const CROSS_DOMAIN_US: u64 = 1_000;
/// Round trips that the product assumes for the two.
const SAME_DOMAIN_RTT_US: u32 = 100;
const CROSS_DOMAIN_RTT_US: u32 = 1_000;
/// One-way delay between a caller and an entry.
const CALLER_DELAY_US: u64 = 8_000;
/// Retry budget of the fleet.
const RETRY_GUARANTEE: RetryGuarantee = RetryGuarantee { percent: 20, reserve: 430, window_us: 10_000_000 };

/// A scheduled event.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A new caller arrives.
    Caller,
    /// A caller's call reaches its entry.
    CallerSends { caller: usize },
    /// An attempt reaches its owner.
    Arrive { call: usize, dispatch: Dispatch, vm: usize },
    /// A cancellation reaches the owner.
    Cancel { call: usize, attempt: AttemptId, vm: usize },
    /// An upstream has finished the work of a run.
    WorkDone { run: usize },
    /// The deadline of a run has passed.
    RunDeadline { run: usize },
    /// The slot of an attempt that ended without an answer is free again.
    Freed { vm: usize, attempt: AttemptId },
    /// An owner's message about an attempt reaches the entry of its call.
    Update { call: usize, server: usize, event: CallEvent, load: LoadReport, work_us: u32 },
    /// The hedge timer of a call expires.
    Hedge { call: usize },
    /// The deadline of a call has passed.
    Deadline { call: usize },
    /// The timer of a gate's queue expires.
    Tick { vm: usize },
    /// An upstream is warm, unless it has restarted since and is cold again.
    Warm { vm: usize },
    /// An upstream refuses the connection of an attempt.
    Refused { vm: usize, attempt: AttemptId },
    /// A crashed upstream restarts.
    Restart { vm: usize },
    /// A message between regions was lost in a partition, and the entry gives up on it.
    Lost { call: usize, server: usize, event: CallEvent },
    /// The reply to a probe of the other region arrives.
    Probed { entry: usize, sent_us: u64 },
}

/// The source of a call, which waits for its answer.
#[derive(Debug, Clone, Copy)]
enum CallSource {
    /// A caller.
    Caller(usize),
    /// A run of an upstream.
    Run(usize),
}

/// A caller and its request, which it sends at most twice.
struct Caller {
    route: usize,
    domain: usize,
    began_us: u64,
    retried: bool,
}

/// A call at its entry.
struct CallRecord {
    call: Call,
    source: CallSource,
    route: usize,
    entry: usize,
    began_us: u64,
    /// Time that its caller waited before this call began.
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
    reported_percent: u16,
    work_us: u32,
    /// Time that the run's own work takes, without its nested calls.
    own_us: u64,
    /// Nested calls that have no answer yet.
    calls_left: u8,
    over: bool,
}

/// An owner's record of an attempt that it holds.
#[derive(Debug, Clone, Copy)]
struct Held {
    call: usize,
    server: usize,
    deadline_us: u64,
    run: Option<usize>,
}

/// A VM: its upstream, its gate, and the views of the entry on its node.
struct Vm {
    domain: usize,
    service: usize,
    absent: bool,
    gate: Gate,
    upstream: Upstream,
    views: Vec<ServiceView>,
    /// The VM of each server that its entry considers, by service.
    targets: Vec<Vec<usize>>,
    budgets: Vec<Budgets>,
    works: Vec<WorkEstimate>,
    /// The entry's link to the other region.
    region_link: RegionLink,
    tick_us: Option<u64>,
}

struct Simulation<'a> {
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
    /// Last use of each link to another failure domain.
    cross_domain_links: HashMap<(usize, usize), u64>,
    /// Time until which the link from each region to the other is in use.
    region_busy_us: [u64; 2],
    /// Generator of the arrivals, which don't depend on any decision.
    arrivals: fastrand::Rng,
    /// Generator of everything else.
    rng: fastrand::Rng,
    next_seq: u64,
    report: Report,
}

/// Runs one load on a fleet for some virtual seconds.
pub fn run(fleet: &Fleet, load: &Load, seconds: u64, seed: u64) -> Report {
    let mut simulation = Simulation::new(fleet, load, seconds * 1_000_000, seed);
    simulation.queue.schedule(0, Event::Caller);
    while let Some((at_us, event)) = simulation.queue.pop() {
        simulation.now_us = at_us;
        simulation.handle(event);
    }
    simulation.report
}

impl<'a> Simulation<'a> {
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
        let mut simulation = Self {
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
            cross_domain_links: HashMap::new(),
            region_busy_us: [0; 2],
            arrivals: fastrand::Rng::with_seed(seed ^ 0x1234),
            rng,
            next_seq: 1,
            report: Report::default(),
        };
        simulation.fill_views();
        for vm in 0..simulation.vms.len() {
            let warm_us = simulation.vms[vm].upstream.cold_until_us();
            if warm_us > 0 {
                simulation.queue.schedule(warm_us, Event::Warm { vm });
            }
        }
        simulation
    }

    /// Fills the view of every entry with the upstreams that it considers.
    fn fill_views(&mut self) {
        for entry in 0..self.vms.len() {
            for service in 0..self.fleet.services.len() {
                let domain = self.vms[entry].domain;
                let serving = (0..self.vms.len()).filter(|&vm| self.vms[vm].service == service && !self.vms[vm].absent);
                let candidates = serving.map(|vm| self.candidate(vm)).collect();
                let own = self.candidate(entry);
                let chosen = considered(candidates, &Regions::default(), &own.domain, &own.vm);
                let number = |candidate: &Candidate| usize::from(candidate.link_addr.port());
                let targets: Vec<usize> = chosen.iter().map(number).collect();
                for (server, &vm) in targets.iter().enumerate() {
                    let is_cross_domain = self.vms[vm].domain != domain;
                    let network_us = match () {
                        () if vm == entry => 0,
                        () if is_cross_domain => CROSS_DOMAIN_RTT_US,
                        () => SAME_DOMAIN_RTT_US,
                    };
                    let view = &mut self.vms[entry].views[service];
                    view.set_present(server, true, network_us);
                    view.set_cross_domain(server, is_cross_domain);
                    let regions = &self.fleet.regions;
                    let is_beyond = regions.of_domain[self.vms[vm].domain] != regions.of_domain[domain];
                    let view = &mut self.vms[entry].views[service];
                    view.set_region(server, (is_beyond && regions.is_known).then_some(0));
                }
                self.vms[entry].targets[service] = targets;
            }
        }
    }

    /// Returns the product's description of a VM; its port is the VM's number.
    fn candidate(&self, vm: usize) -> Candidate {
        Candidate {
            vm: Arc::from(format!("vm-{vm}")),
            incarnation: 1,
            domain: Arc::from(format!("domain-{}", self.vms[vm].domain)),
            link_addr: SocketAddr::from(([127, 0, 0, 1], vm as u16)),
            part: valetrack::rollout::TrafficShare::Usual,
        }
    }

    fn schedule_after(&mut self, after_us: u64, event: Event) {
        self.queue.schedule(self.now_us + after_us, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Caller => self.caller_arrives(),
            Event::CallerSends { caller } => self.send_call(caller),
            Event::Arrive { call, dispatch, vm } => self.arrive(call, dispatch, vm),
            Event::Cancel { call, attempt, vm } => self.cancel(call, attempt, vm),
            Event::WorkDone { run } => self.work_done(run),
            Event::RunDeadline { run } => self.run_deadline_passed(run),
            Event::Freed { vm, attempt } => self.gate_event(vm, GateEvent::Done { attempt, healthy: false }),
            Event::Update { call, server, event, load, work_us } => {
                self.handle_update(call, server, event, load, work_us);
            }
            Event::Hedge { call } => self.notify_call(call, CallEvent::HedgeDue),
            Event::Deadline { call } => self.notify_call(call, CallEvent::DeadlineDue),
            Event::Tick { vm } => self.handle_tick(vm),
            Event::Warm { vm } if self.now_us >= self.vms[vm].upstream.cold_until_us() => {
                self.vms[vm].gate.warmed_up();
            }
            Event::Warm { .. } => {}
            Event::Refused { vm, attempt } => {
                self.gate_event(vm, GateEvent::Refused { attempt, reason: DeclineReason::Refused });
            }
            Event::Restart { vm } => self.restart(vm),
            Event::Lost { call, server, event } => self.handle_lost(call, server, event),
            Event::Probed { entry, sent_us } => self.handle_probed(entry, sent_us),
        }
    }

    fn delay_us(&self, from: usize, to: usize) -> u64 {
        match () {
            () if from == to => 0,
            () if self.vms[from].domain == self.vms[to].domain => SAME_DOMAIN_US,
            () => CROSS_DOMAIN_US,
        }
    }
}

fn new_vm(fleet: &Fleet, load: &Load, domain: usize, service: usize, rng: &mut fastrand::Rng) -> Vm {
    let starts_per_s = fleet.cold_starts_per_s;
    let config = GateConfig {
        cold: ColdRule { starts_per_s, first_second: starts_per_s.unwrap_or(0), length_ms: None, by_rank: false },
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
        absent: rng.u64(0..100) < load.absent_percent,
        gate,
        upstream: Upstream::new(rng.u64(..), fleet.slots, load.cold_us, fleet.cold_calls_max),
        views: (0..services).map(|_| ServiceView::new(Policy::Valetrack)).collect(),
        targets: vec![Vec::new(); services],
        budgets: (0..services).map(|_| Budgets::of_fleet(RETRY_GUARANTEE, 0)).collect(),
        works: vec![WorkEstimate::default(); fleet.routes.len()],
        region_link: RegionLink::default(),
        tick_us: None,
    }
}
