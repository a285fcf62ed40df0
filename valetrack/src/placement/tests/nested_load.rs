//! The two services of deployment G (`docs/design/hard-load.md`) beyond their capacity: what callers get with nested
//! calls first, with nested calls by their root, and with admission at the root.
//!
//! Guards against nested calls of little worth that displace urgent calls, and against runs that are begun and lost
//! because their nested calls are declined. Gates, runs in progress and admission are the real ones. Simplified: an
//! entry sends a call to the best of three random owners with their present load, nodes have no limits of their own,
//! and refused callers do not return.

use std::fmt::Write;
use std::sync::Arc;

use super::upstreams::{LATENCY_US, Schedule, UPSTREAMS, Upstreams};
use crate::gate::{AttemptId, GateAction, GateEvent, NestedRank, Objective, QueueTimeout, StartedRun};
use crate::placement::{FullOwnerShare, RootAdmission, RunsInProgress};

const DESK: usize = 0;
const LIEN: usize = 1;
/// Time that callers call, after which the calls in progress end.
const LOAD_US: [u64; 2] = [8_000_000, 3_000_000];
/// Factor on the rates of the deployment at which `lien-tag`, at its mean speed, uses the four slots of each upstream
/// that its gates fill; `title-desk` then uses 0.86 of them.
const CAPACITY_FACTOR: f64 = 1.45;
const DECLINES_MAX: u8 = 4;
const FEE: usize = 4;

struct Class {
    name: &'static str,
    service: usize,
    rate_per_s: f64,
    work_us: u64,
    objective_us: u64,
    deadline_us: u64,
    priority: u8,
    worth: f64,
}

#[rustfmt::skip]
const CLASSES: [Class; 5] = [
    Class { name: "plate lookup", service: DESK, rate_per_s: 283.0, work_us: 160_000, objective_us: 500_000, deadline_us: 2_000_000, priority: 1, worth: 0.89 },
    Class { name: "title transfer", service: DESK, rate_per_s: 116.0, work_us: 210_000, objective_us: 1_000_000, deadline_us: 3_000_000, priority: 2, worth: 0.89 },
    Class { name: "lien release", service: LIEN, rate_per_s: 80.7, work_us: 110_000, objective_us: 250_000, deadline_us: 1_500_000, priority: 0, worth: 5.0 },
    Class { name: "temporary tag", service: LIEN, rate_per_s: 28.8, work_us: 130_000, objective_us: 400_000, deadline_us: 1_500_000, priority: 1, worth: 0.89 },
    Class { name: "fee lookup", service: LIEN, rate_per_s: 0.0, work_us: 40_000, objective_us: 150_000, deadline_us: 500_000, priority: 9, worth: 0.0 },
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rule {
    First,
    Root,
    RootAndAdmission,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Begin {
        class: usize,
    },
    Arrive {
        call: usize,
        at: usize,
    },
    /// The present part of a run ends.
    PartEnds {
        call: usize,
    },
    DeadlinePasses {
        call: usize,
    },
    Tick {
        service: usize,
        at: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Placing,
    Running,
    Over,
}

struct Call {
    class: usize,
    /// The run that made the call.
    parent: Option<usize>,
    priority: u8,
    began_us: u64,
    deadline_us: u64,
    state: State,
    at: usize,
    declines_left: u8,
    patience: QueueTimeout,
    work_us: u64,
    /// Start of the run and the machine's slowdown then.
    started: (u64, f64),
    /// Nested calls that the run still makes, and those without an answer.
    nested: u8,
    open: u8,
}

#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    calls: u32,
    in_time: u32,
    late: u32,
    refused: u32,
    begun: u32,
    lost: u32,
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.calls += other.calls;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.begun += other.begun;
        self.lost += other.lost;
    }
}

struct Load {
    rule: Rule,
    now_us: u64,
    rng: fastrand::Rng,
    events: Schedule<Event>,
    upstreams: Upstreams,
    runs: Vec<RunsInProgress>,
    admissions: Vec<RootAdmission>,
    full: [FullOwnerShare; 2],
    calls: Vec<Call>,
    tallies: [Tally; 5],
    wrong_roots: u32,
}

impl Load {
    fn run(rule: Rule, factor: f64, is_cold: bool, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let upstreams = Upstreams::new(is_cold, false, &mut rng);
        let mut load = Self {
            rule,
            now_us: 0,
            rng,
            events: Schedule::new(),
            upstreams,
            runs: (0..UPSTREAMS[DESK]).map(|_| RunsInProgress::default()).collect(),
            admissions: (0..UPSTREAMS[DESK]).map(|_| RootAdmission::default()).collect(),
            full: Default::default(),
            calls: Vec::new(),
            tallies: Default::default(),
            wrong_roots: 0,
        };
        let load_us = LOAD_US[usize::from(is_cold)];
        for (class, Class { rate_per_s, .. }) in CLASSES.iter().enumerate() {
            for _ in 0..(rate_per_s * CAPACITY_FACTOR * factor * load_us as f64 / 1e6) as u32 {
                let at_us = load.rng.u64(..load_us);
                load.schedule(at_us, Event::Begin { class });
            }
        }
        while let Some((at_us, event)) = load.events.pop() {
            load.now_us = at_us;
            load.handle(event);
        }
        load
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.events.push(self.now_us + after_us, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Begin { class } => self.begin(class, None),
            Event::Arrive { call, at } => self.arrive(call, at),
            Event::PartEnds { call } if self.calls[call].state == State::Running => self.part_ended(call),
            Event::PartEnds { .. } => {}
            Event::DeadlinePasses { call } if self.calls[call].state == State::Running => self.end_run(call, false),
            Event::DeadlinePasses { .. } => {}
            Event::Tick { service, at } => self.gate_event(service, at, GateEvent::Tick),
        }
    }

    fn begin(&mut self, class: usize, parent: Option<usize>) {
        let Class { deadline_us, priority, work_us, .. } = CLASSES[class];
        let mut call = Call {
            class,
            parent,
            priority,
            began_us: self.now_us,
            deadline_us: self.now_us + deadline_us,
            state: State::Placing,
            at: 0,
            declines_left: DECLINES_MAX,
            patience: QueueTimeout::Short,
            work_us: self.rng.u64(work_us * 7 / 10..work_us * 13 / 10),
            started: (0, 1.0),
            nested: if class == 0 && self.rng.u8(..10) < 7 { 2 } else { 0 },
            open: 0,
        };
        match parent {
            Some(parent) => self.derive_root(&mut call, parent),
            None => call.declines_left = self.full[CLASSES[class].service].allowed_declines(DECLINES_MAX, self.now_us),
        }
        self.tallies[class].calls += 1;
        self.calls.push(call);
        self.place(self.calls.len() - 1, 0);
    }

    /// Does what the entry beside the upstream of a run does with a call that the run makes.
    fn derive_root(&mut self, call: &mut Call, parent: usize) {
        let Call { at, deadline_us, priority, .. } = self.calls[parent];
        let limit_ms = Some((deadline_us.saturating_sub(self.now_us) / 1000) as u32);
        if self.rule == Rule::First {
            return;
        }
        let service = Arc::from("lien-tag");
        let Some(root) = self.runs[at].root(limit_ms, self.now_us) else {
            return;
        };
        call.priority = root.priority;
        call.deadline_us = call.deadline_us.min(self.now_us + root.left_us);
        self.wrong_roots += u32::from(root.priority != priority);
        let admission = &mut self.admissions[at];
        self.runs[at].record_call(&service, limit_ms, self.now_us, |route| {
            admission.attribution_weight(route, &service, self.now_us)
        });
    }

    fn place(&mut self, call: usize, delay_us: u64) {
        let service = CLASSES[self.calls[call].class].service;
        let (at, has_room) = self.upstreams.pick(service, &mut self.rng, self.now_us);
        let is_short = has_room && self.calls[call].declines_left > 0;
        self.calls[call].patience = if is_short { QueueTimeout::Short } else { QueueTimeout::Long };
        self.schedule(LATENCY_US + delay_us, Event::Arrive { call, at });
    }

    fn arrive(&mut self, call: usize, at: usize) {
        self.calls[call].at = at;
        let Call { class, parent, priority, began_us, deadline_us, patience, .. } = self.calls[call];
        let Class { name, service, objective_us, work_us, .. } = CLASSES[class];
        let is_nested = parent.is_some();
        let load = self.upstreams.gates[service][at].load(self.now_us);
        if service == DESK && self.rule == Rule::RootAndAdmission {
            let has_room = load.queued == 0 && load.in_flight < load.limit;
            let room_share = &|_: &str| self.full[LIEN].room_share(self.now_us);
            if !self.admissions[at].admits(&Arc::from(name), priority, has_room, room_share, self.now_us).is_admitted {
                self.end(call, false);
                return;
            }
        }
        let rank = if self.rule == Rule::First { NestedRank::First } else { NestedRank::Root };
        let priority = rank.rank(priority, is_nested);
        let left_us = (began_us + objective_us).saturating_sub(self.now_us);
        let wait_max_us = match is_nested {
            true => deadline_us.saturating_sub(self.now_us) / 2,
            false => (left_us * 8 / 10).saturating_sub(work_us).min(left_us / 8),
        };
        let objective = Some(Objective { left_us, work_us, elsewhere_permille: 0, wait_max_us });
        let attempt = AttemptId { entry: 0, seq: call as u64 };
        let event = GateEvent::Arrive { attempt, deadline_us, patience, priority, objective, is_nested };
        self.gate_event(service, at, event);
    }

    fn gate_event(&mut self, service: usize, at: usize, event: GateEvent) {
        let (actions, next_us) = self.upstreams.handle(service, at, event, self.now_us);
        for action in actions {
            match action {
                GateAction::Start { attempt } => self.start(attempt.seq as usize),
                GateAction::Bounce { attempt, .. } => self.declined(attempt.seq as usize),
                GateAction::ReportCancel { .. } => {}
            }
        }
        if let Some(next_us) = next_us {
            self.schedule(next_us, Event::Tick { service, at });
        }
    }

    fn declined(&mut self, call: usize) {
        let Call { class, patience, .. } = self.calls[call];
        self.full[CLASSES[class].service].record(true, self.now_us);
        if patience == QueueTimeout::Long || self.now_us >= self.calls[call].deadline_us {
            self.end(call, false);
            return;
        }
        self.calls[call].declines_left -= 1;
        self.place(call, LATENCY_US);
    }

    fn start(&mut self, call: usize) {
        let Call { class, at, deadline_us, began_us, priority, work_us, nested, .. } = self.calls[call];
        let Class { name, service, objective_us, .. } = CLASSES[class];
        self.calls[call].state = State::Running;
        self.calls[call].started = (self.now_us, self.upstreams.slowdown(service, at, self.now_us));
        self.full[service].record(false, self.now_us);
        self.tallies[class].begun += 1;
        self.upstreams.begin_run(service, at);
        if service == DESK {
            let (attempt, objective_end_us) = (AttemptId { entry: 0, seq: call as u64 }, Some(began_us + objective_us));
            let route = Arc::from(name);
            self.runs[at].began(StartedRun {
                attempt,
                route,
                priority,
                deadline_us,
                objective_end_us,
                repeat_permille: 0,
            });
        }
        self.schedule(deadline_us.saturating_sub(self.now_us), Event::DeadlinePasses { call });
        let part_us = if nested > 0 { work_us / 2 } else { work_us };
        self.work(call, part_us);
    }

    /// Schedules the end of `work_us` of a run.
    fn work(&mut self, call: usize, work_us: u64) {
        let Call { class, at, .. } = self.calls[call];
        let service = CLASSES[class].service;
        let end_us = self.upstreams.work_end_us(service, at, work_us, self.now_us);
        self.schedule(end_us - self.now_us, Event::PartEnds { call });
    }

    fn part_ended(&mut self, call: usize) {
        let nested = std::mem::take(&mut self.calls[call].nested);
        if nested == 0 {
            self.end_run(call, true);
            return;
        }
        self.calls[call].open = nested;
        (0..nested).for_each(|_| self.begin(FEE, Some(call)));
    }

    fn end_run(&mut self, call: usize, is_served: bool) {
        let Call { class, at, .. } = self.calls[call];
        let service = CLASSES[class].service;
        let attempt = AttemptId { entry: 0, seq: call as u64 };
        self.upstreams.end_run(
            (service, at),
            attempt,
            self.calls[call].started,
            CLASSES[class].work_us,
            is_served,
            self.now_us,
        );
        if service == DESK
            && let Some(run) = self.runs[at].ended(attempt)
        {
            self.admissions[at].run_ended(&run, self.now_us);
        }
        self.tallies[class].lost += u32::from(!is_served);
        self.end(call, is_served);
        self.gate_event(service, at, GateEvent::Done { attempt, healthy: is_served });
    }

    /// Ends a call, and continues the run that made it.
    fn end(&mut self, call: usize, is_served: bool) {
        let Call { class, parent, began_us, priority, state, .. } = self.calls[call];
        self.calls[call].state = State::Over;
        let took_us = self.now_us + LATENCY_US - began_us;
        let tally = &mut self.tallies[class];
        match is_served {
            true if took_us <= CLASSES[class].objective_us => tally.in_time += 1,
            true => tally.late += 1,
            false => tally.refused += u32::from(state == State::Placing),
        }
        let Some(parent) = parent else {
            // Callers' calls enter at all VMs, three quarters of them beside this service.
            let entry = self.rng.usize(..UPSTREAMS[DESK] + UPSTREAMS[LIEN]);
            if let (LIEN, Some(admission)) = (CLASSES[class].service, self.admissions.get_mut(entry)) {
                admission.record_outcome(&Arc::from("lien-tag"), false, priority, is_served, self.now_us);
            }
            return;
        };
        let Call { began_us, at, class, .. } = self.calls[parent];
        let is_in_time = is_served && self.now_us < began_us + CLASSES[class].objective_us;
        self.admissions[at].record_outcome(&Arc::from("lien-tag"), true, priority, is_in_time, self.now_us);
        if self.calls[parent].state != State::Running {
            return;
        }
        self.calls[parent].open -= 1;
        match (is_served, self.calls[parent].open) {
            (false, _) => self.end_run(parent, false),
            (true, 0) => self.work(parent, self.calls[parent].work_us / 2),
            (true, _) => {}
        }
    }
}

/// Returns the share of the worth of all calls that callers got in time.
fn worth(tallies: &[Tally; 5]) -> f64 {
    let sum = |of: fn(&Tally) -> u32| -> f64 {
        CLASSES.iter().zip(tallies).map(|(class, tally)| class.worth * f64::from(of(tally))).sum()
    };
    sum(|tally| tally.in_time) / sum(|tally| tally.calls)
}

/// Returns the sums over three seeds, and the nested calls that got the priority of another call than their root.
fn sums(rule: Rule, factor: f64, is_cold: bool) -> ([Tally; 5], u32) {
    let mut sums = [Tally::default(); 5];
    let mut wrong_roots = 0;
    for seed in 1..=3 {
        let load = Load::run(rule, factor, is_cold, seed);
        sums.iter_mut().zip(&load.tallies).for_each(|(sum, tally)| sum.add(tally));
        wrong_roots += load.wrong_roots;
    }
    (sums, wrong_roots)
}

#[test]
fn two_services_beyond_their_capacity() {
    let mut table = String::new();
    for (is_cold, factor) in
        [false, true].into_iter().flat_map(|cold| [1.0, 1.5, 2.0, 3.0].map(|factor| (cold, factor)))
    {
        writeln!(table, "{} {factor}", if is_cold { "cold" } else { "warm" }).expect("text");
        let mut worths = Vec::new();
        for rule in [Rule::First, Rule::Root, Rule::RootAndAdmission] {
            let (sums, wrong_roots) = sums(rule, factor, is_cold);
            worths.push(worth(&sums));
            writeln!(table, "  {rule:?}: worth {:.3}, wrong roots {wrong_roots}", worth(&sums)).expect("text");
            for (Class { name, .. }, tally) in CLASSES.iter().zip(&sums) {
                let Tally { calls, in_time, late, refused, begun, lost } = tally;
                let fates =
                    format!("in time {in_time:5}, late {late:4}, refused {refused:5}, begun {begun:5}, lost {lost:4}");
                writeln!(table, "    {name:14} {calls:5}: {fates}").expect("text");
            }
        }
        assert!(worths[1] > worths[0], "rank by the root: {worths:?}");
        assert!(worths[2] > worths[1] - 0.002, "admission costs callers nothing below its use: {worths:?}");
    }
    insta::assert_snapshot!(table);
}
