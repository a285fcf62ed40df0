//! A fleet in virtual time whose upstreams count the arriving repeats.
//!
//! Guards against repeats that are charged to no budget. A service that rejected half of its calls received 450 repeats
//! in ten seconds where 439 were allowed, and a nested call reached five upstreams, each of which rejected it, and was
//! refused in the end. Bursts had filled both services, upstreams rejected calls, entries went on to the next upstream,
//! and two machines restarted meanwhile. Not charged were an attempt that its upstream rejected, one whose rejection
//! was lost with its link, a call made by a repeated run, and the repeats of a node that had just restarted.
//!
//! Without a charge for rejected attempts, the first case counts 1,249 repeats of 1,200 calls where 298 are allowed.
//! With that charge alone, the cases of lost rejections, nested calls and restarted nodes count 356 (298 allowed), 796
//! (777) and 245 (178).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use proptest::prelude::*;

use super::retry_window::RetryWindow;
use crate::gate::{AttemptId, CancelResult, DeclineReason};
use crate::placement::{
    Budgets, Call, CallAction, CallContext, CallEvent, CallRule, Demand, Dispatch, KnownFleet, NestedCalls, Policy,
    RetryGuarantee, ServerIndex, ServiceView,
};

/// VMs of the fleet, each with an entry.
const VMS: usize = 10;
/// The service that callers call; its runs call the other one.
const FRONT: usize = 0;
/// The service that runs of the other one call.
const BACK: usize = 1;
/// Upstreams of each service; those of the first service run beside the first VMs.
const UPSTREAMS: [usize; 2] = [4, 3];
/// The fleet's guarantee: repeats per hundred calls, and repeats beyond that in any window.
const GUARANTEE: RetryGuarantee = RetryGuarantee { percent: 20, reserve: 58, window_us: 10_000_000 };
/// Latency between two nodes, and duration of a run.
const LATENCY_US: u64 = 1_000;
const RUN_US: u64 = 60_000;
/// Time during which callers call.
const LOAD_US: u64 = 26_000_000;

/// Faults and load of one simulated run of the fleet.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// Calls of callers per second, to each service.
    rate_per_s: [u64; 2],
    /// Calls that a run of the first service makes to the second one.
    nested: u8,
    /// Share of arrivals that upstreams reject.
    rejected_percent: [u8; 2],
    /// Share of runs that fail.
    failing_percent: [u8; 2],
    /// Share of answers and rejections that are lost with their link.
    lost_percent: u8,
    /// Interval between restarts of nodes, one VM after the other; none if nodes do not restart.
    restart_interval_us: Option<u64>,
    /// Time after a restart for which a node has no record of other nodes.
    members_delay_us: u64,
}

const NO_FAULTS: Faults = Faults {
    rate_per_s: [60, 20],
    nested: 1,
    rejected_percent: [0, 0],
    failing_percent: [0, 0],
    lost_percent: 0,
    restart_interval_us: None,
    members_delay_us: 0,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FleetEvent {
    /// A caller or a run of the upstream beside a VM calls a service.
    CallBegins { vm: usize, service: usize, caller: Caller },
    /// An attempt reaches its owner.
    AttemptArrives { call: usize, attempt: AttemptId, server: ServerIndex, repeat_permille: u16 },
    /// A run ends.
    RunEnds { vm: usize, incarnation: u32, repeat_permille: u16 },
    /// The owner receives a cancel of an attempt.
    CancelArrives { call: usize, attempt: AttemptId },
    /// A call receives an event.
    EventArrives { call: usize, report: Report },
    /// A node stops and starts again.
    NodeRestarts { vm: usize },
    /// A node has received the whole list of members.
    MembersReceived { vm: usize, incarnation: u32 },
}

/// Origin of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Caller {
    Outside,
    /// A run of an upstream, which may be a repeat.
    Run {
        repeat: bool,
    },
}

/// Events of calls, in a form that can be ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Report {
    Answered { attempt: AttemptId, healthy: bool },
    Rejected { attempt: AttemptId },
    RepeatRefused { attempt: AttemptId },
    Broken { attempt: AttemptId },
    Cancelled { attempt: AttemptId, rejected: bool },
    HedgeDue,
}

impl Report {
    fn event(self) -> CallEvent {
        match self {
            Self::Answered { attempt, healthy } => CallEvent::Ran { attempt, healthy },
            Self::Rejected { attempt } => CallEvent::Declined { attempt, reason: DeclineReason::Rejected },
            Self::RepeatRefused { attempt } => CallEvent::Declined { attempt, reason: DeclineReason::RepeatRefused },
            Self::Broken { attempt } => CallEvent::Broken { attempt },
            Self::Cancelled { attempt, rejected } => {
                let result = if rejected { CancelResult::Rejected } else { CancelResult::Started };
                CallEvent::CancelResult { attempt, result: Some(result) }
            }
            Self::HedgeDue => CallEvent::HedgeDue,
        }
    }
}

struct Entry {
    views: [ServiceView; 2],
    budgets: [Budgets; 2],
    /// Runs of the upstream beside the entry, and the calls that it makes during them.
    nested: NestedCalls,
    incarnation: u32,
}

impl Entry {
    fn new(incarnation: u32, now_us: u64) -> Self {
        let view = |service: usize| {
            let mut view = ServiceView::new(Policy::Valetrack);
            (0..UPSTREAMS[service]).for_each(|server| view.set_present(server, true, 0));
            view
        };
        let budgets = [Budgets::of_fleet(GUARANTEE, now_us), Budgets::of_fleet(GUARANTEE, now_us)];
        Self { views: [view(FRONT), view(BACK)], budgets, nested: NestedCalls::default(), incarnation }
    }

    fn set_members(&mut self, members: u32, complete_since_us: Option<u64>) {
        for budgets in &mut self.budgets {
            budgets.retry.configure(GUARANTEE, KnownFleet { members, complete_since_us });
        }
    }

    /// Returns whether a repeated run of the upstream beside the entry may start.
    fn admits_repeat(&mut self, now_us: u64) -> bool {
        let back = &mut self.budgets[BACK].retry;
        self.nested.admits_repeat(|_| back.left(now_us), now_us)
    }
}

struct FleetCall {
    call: Call,
    vm: usize,
    incarnation: u32,
    service: usize,
    caller: Caller,
    /// Whether an attempt of the call has reached an upstream.
    arrived: bool,
    /// Attempts that upstreams have rejected, as recorded by their owners.
    rejected: Vec<AttemptId>,
}

struct Fleet {
    faults: Faults,
    now_us: u64,
    fleet_events: BinaryHeap<Reverse<(u64, u64, FleetEvent)>>,
    scheduled: u64,
    entries: Vec<Entry>,
    calls: Vec<FleetCall>,
    rng: fastrand::Rng,
    next_seq: u64,
    /// Start times of calls that are not repeats themselves, by service.
    began_us: [Vec<u64>; 2],
    /// Arrival times of repeats, by service.
    repeats_us: [Vec<u64>; 2],
}

impl Fleet {
    fn run(faults: Faults, seed: u64) -> Self {
        let mut fleet = Self {
            faults,
            now_us: 0,
            fleet_events: BinaryHeap::new(),
            scheduled: 0,
            entries: (0..VMS).map(|_| Entry::new(0, 0)).collect(),
            calls: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            next_seq: 1,
            began_us: [Vec::new(), Vec::new()],
            repeats_us: [Vec::new(), Vec::new()],
        };
        fleet.entries.iter_mut().for_each(|entry| entry.set_members(VMS as u32, Some(0)));
        fleet.schedule();
        while let Some(Reverse((at_us, _, fleet_event))) = fleet.fleet_events.pop() {
            fleet.now_us = at_us;
            fleet.handle_fleet_event(fleet_event);
        }
        fleet
    }

    fn schedule(&mut self) {
        for service in [FRONT, BACK] {
            let rate_per_s = self.faults.rate_per_s[service];
            for number in 0..rate_per_s * LOAD_US / 1_000_000 {
                let vm = self.rng.usize(..VMS);
                let at_us = number * 1_000_000 / rate_per_s + self.rng.u64(..1_000);
                self.at(at_us, FleetEvent::CallBegins { vm, service, caller: Caller::Outside });
            }
        }
        let Some(pause_us) = self.faults.restart_interval_us else {
            return;
        };
        for number in 0..LOAD_US / pause_us {
            self.at(number * pause_us, FleetEvent::NodeRestarts { vm: number as usize % VMS });
        }
    }

    fn at(&mut self, at_us: u64, fleet_event: FleetEvent) {
        self.scheduled += 1;
        self.fleet_events.push(Reverse((at_us, self.scheduled, fleet_event)));
    }

    fn later(&mut self, after_us: u64, fleet_event: FleetEvent) {
        self.at(self.now_us + after_us, fleet_event);
    }

    fn chance(&mut self, percent: u8) -> bool {
        self.rng.u8(..100) < percent
    }

    fn handle_fleet_event(&mut self, fleet_event: FleetEvent) {
        match fleet_event {
            FleetEvent::CallBegins { vm, service, caller } => self.begin(vm, service, caller),
            FleetEvent::AttemptArrives { call, attempt, server, repeat_permille } => {
                self.reach(call, attempt, server, repeat_permille);
            }
            FleetEvent::RunEnds { vm, incarnation, repeat_permille } if self.entries[vm].incarnation == incarnation => {
                self.entries[vm].nested.run_ended(repeat_permille);
            }
            FleetEvent::RunEnds { .. } => {}
            FleetEvent::CancelArrives { call, attempt } => {
                let rejected = self.calls[call].rejected.contains(&attempt);
                self.later(
                    LATENCY_US,
                    FleetEvent::EventArrives { call, report: Report::Cancelled { attempt, rejected } },
                );
            }
            FleetEvent::EventArrives { call, report } => self.handle_call_event(call, report.event()),
            FleetEvent::NodeRestarts { vm } => {
                let incarnation = self.entries[vm].incarnation + 1;
                self.entries[vm] = Entry::new(incarnation, self.now_us);
                self.entries[vm].set_members(1, None);
                self.later(self.faults.members_delay_us, FleetEvent::MembersReceived { vm, incarnation });
            }
            FleetEvent::MembersReceived { vm, incarnation } if self.entries[vm].incarnation == incarnation => {
                self.entries[vm].set_members(VMS as u32, Some(self.now_us));
            }
            FleetEvent::MembersReceived { .. } => {}
        }
    }

    fn begin(&mut self, vm: usize, service: usize, caller: Caller) {
        if caller != (Caller::Run { repeat: true }) {
            self.began_us[service].push(self.now_us);
        }
        let repeat_permille = match caller {
            Caller::Outside => 0,
            Caller::Run { .. } => self.entries[vm].nested.record_call(&Arc::from("back"), self.now_us),
        };
        let demand = Some(Demand { work_us: RUN_US as u32, left_us: 400_000 });
        let rule = CallRule { repeatable: true, bounces: 4, retries: 1, hedge_after_percent: None, demand };
        let incarnation = self.entries[vm].incarnation;
        let call = Call::new(rule, 1).made_by_repeat(repeat_permille);
        self.calls.push(FleetCall { call, vm, incarnation, service, caller, arrived: false, rejected: Vec::new() });
        self.handle_call_event(self.calls.len() - 1, CallEvent::Begin);
    }

    fn handle_call_event(&mut self, number: usize, event: CallEvent) {
        let FleetCall { call, vm, incarnation, service, .. } = &mut self.calls[number];
        let entry = &mut self.entries[*vm];
        if entry.incarnation != *incarnation {
            // The entry of the call has stopped, and the call with it.
            return;
        }
        let mut actions = Vec::new();
        let mut cx = CallContext {
            view: &mut entry.views[*service],
            budgets: &mut entry.budgets[*service],
            rng: &mut self.rng,
            now_us: self.now_us,
            next_seq: &mut self.next_seq,
        };
        call.handle(event, &mut cx, &mut actions);
        for action in actions {
            match action {
                CallAction::Send(Dispatch { attempt, server, repeat_permille, .. }) => {
                    self.later(
                        LATENCY_US,
                        FleetEvent::AttemptArrives { call: number, attempt, server, repeat_permille },
                    );
                }
                CallAction::Cancel { attempt, .. } => {
                    self.later(LATENCY_US, FleetEvent::CancelArrives { call: number, attempt })
                }
                CallAction::ArmHedge { after_us } => {
                    self.later(after_us, FleetEvent::EventArrives { call: number, report: Report::HedgeDue });
                }
                CallAction::Finish(_) => {}
            }
        }
    }

    fn reach(&mut self, number: usize, attempt: AttemptId, server: ServerIndex, repeat_permille: u16) {
        let FleetCall { service, caller, arrived, .. } = self.calls[number];
        let report_to_call = |report| FleetEvent::EventArrives { call: number, report };
        if service == FRONT && repeat_permille == 1_000 && !self.entries[server].admits_repeat(self.now_us) {
            self.later(LATENCY_US, report_to_call(Report::RepeatRefused { attempt }));
            return;
        }
        let repeat = caller == (Caller::Run { repeat: true }) || arrived;
        self.calls[number].arrived = true;
        if repeat {
            self.repeats_us[service].push(self.now_us);
        }
        let lost = self.chance(self.faults.lost_percent);
        if self.chance(self.faults.rejected_percent[service]) {
            self.calls[number].rejected.push(attempt);
            let report = if lost { Report::Broken { attempt } } else { Report::Rejected { attempt } };
            self.later(LATENCY_US, report_to_call(report));
            return;
        }
        if service == FRONT {
            let incarnation = self.entries[server].incarnation;
            self.entries[server].nested.run_began(repeat_permille, self.now_us);
            self.later(RUN_US, FleetEvent::RunEnds { vm: server, incarnation, repeat_permille });
            for _ in 0..self.faults.nested {
                let after_us = self.rng.u64(..RUN_US);
                self.later(
                    after_us,
                    FleetEvent::CallBegins { vm: server, service: BACK, caller: Caller::Run { repeat } },
                );
            }
        }
        let healthy = !self.chance(self.faults.failing_percent[service]);
        let report = if lost { Report::Broken { attempt } } else { Report::Answered { attempt, healthy } };
        self.later(RUN_US + LATENCY_US, report_to_call(report));
    }

    /// Returns the first window with more repeats than the guarantee allows, and its service.
    fn violation(&self) -> Option<(usize, RetryWindow)> {
        [FRONT, BACK].into_iter().find_map(|service| {
            let violation = self.windows(service).find(|window| window.excess() > 0);
            violation.map(|window| (service, window))
        })
    }

    /// Returns the highest used share of what the guarantee allows at a service in any window, as a percentage.
    fn peak_percent(&self, service: usize) -> usize {
        self.windows(service).map(|window| window.repeats * 100 / window.allowed).max().unwrap_or(0)
    }

    /// Returns windows that begin at repeats.
    fn windows(&self, service: usize) -> impl Iterator<Item = RetryWindow> + '_ {
        let (calls_us, repeats_us) = (&self.began_us[service], &self.repeats_us[service]);
        let starts_us = repeats_us.iter().step_by(5);
        starts_us.map(|from_us| RetryWindow::count(GUARANTEE, *from_us, calls_us, repeats_us))
    }
}

const SINGLE_FAULTS: [(&str, Faults); 8] = [
    (
        "both services reject half of what arrives",
        Faults { rate_per_s: [120, 60], rejected_percent: [50, 50], ..NO_FAULTS },
    ),
    ("one service rejects everything", Faults { rejected_percent: [0, 100], ..NO_FAULTS }),
    ("runs fail", Faults { failing_percent: [60, 60], ..NO_FAULTS }),
    (
        "rejections are lost with their link",
        Faults { rate_per_s: [120, 60], rejected_percent: [50, 50], lost_percent: 30, ..NO_FAULTS },
    ),
    (
        "repeated runs call a service that rejects",
        Faults { rate_per_s: [120, 0], nested: 3, rejected_percent: [0, 50], failing_percent: [60, 0], ..NO_FAULTS },
    ),
    (
        "repeated runs of a quiet service make many calls",
        Faults { rate_per_s: [16, 0], nested: 5, failing_percent: [100, 0], ..NO_FAULTS },
    ),
    (
        "nodes restart one after the other",
        Faults {
            rate_per_s: [12, 12],
            nested: 0,
            rejected_percent: [70, 70],
            restart_interval_us: Some(300_000),
            ..NO_FAULTS
        },
    ),
    (
        "restarted nodes have no record of others",
        Faults {
            rate_per_s: [60, 60],
            nested: 0,
            rejected_percent: [70, 70],
            restart_interval_us: Some(500_000),
            members_delay_us: 3_000_000,
            ..NO_FAULTS
        },
    ),
];

#[test]
fn fleet_keeps_retry_guarantee_under_single_faults() {
    let mut peaks = String::new();
    for (name, faults) in SINGLE_FAULTS {
        let mut peak_percents = [0; 2];
        for seed in 1..=3 {
            let fleet = Fleet::run(faults, seed);
            assert_eq!(fleet.violation(), None, "{name}, seed {seed}");
            for service in [FRONT, BACK] {
                peak_percents[service] = peak_percents[service].max(fleet.peak_percent(service));
            }
        }
        peaks += &format!("{name}: front {}%, back {}%\n", peak_percents[FRONT], peak_percents[BACK]);
    }
    insta::assert_snapshot!("used_share_of_retry_guarantee", peaks);
}

fn faults() -> impl Strategy<Value = Faults> {
    let percents = || [0..=100u8, 0..=100u8];
    let restarts = prop::option::of(200_000..3_000_000u64);
    ([1..150u64, 0..150u64], 0..4u8, percents(), percents(), 0..60u8, restarts, 0..5_000_000u64).prop_map(
        |(
            rate_per_s,
            nested,
            rejected_percent,
            failing_percent,
            lost_percent,
            restart_interval_us,
            members_delay_us,
        )| Faults {
            rate_per_s,
            nested,
            rejected_percent,
            failing_percent,
            lost_percent,
            restart_interval_us,
            members_delay_us,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 40,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        max_shrink_iters: 0,
        ..Default::default()
    })]

    #[test]
    fn fleet_keeps_retry_guarantee_under_mixed_faults(faults in faults(), seed in any::<u64>()) {
        let fleet = Fleet::run(faults, seed);
        prop_assert_eq!(fleet.violation(), None);
    }
}
