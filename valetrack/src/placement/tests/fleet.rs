//! A fleet in virtual time, whose upstreams count what arrives.
//!
//! What users saw: a service that rejected half of its calls got more arrivals past the first of
//! their call than the fleet promises, 450 in ten seconds where 439 were allowed. One call of an
//! upstream of another service reached five upstreams, each of which rejected it, and ended refused.
//! The order of events: bursts filled both services, upstreams rejected, entries went on to the next
//! one; meanwhile two machines started again.
//! The cause: arrivals that no budget paid for. A send that its upstream rejected cost nothing; nor
//! did one whose rejection was lost with its link, a call that a repeated run makes, or what a node
//! spent that had just started again.
//! The evidence: where a rejected send costs nothing, the first case counts 1,249 repeats of 1,200
//! calls where 298 are allowed. Where that one is paid for and the others are not, the cases of lost
//! rejections, of nested calls and of nodes that started again count 356 (298 allowed), 796 (777)
//! and 245 (178).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use proptest::prelude::*;
use test_case::test_case;

use crate::gate::{AttemptId, BounceReason, CancelResult};
use crate::placement::{
    Budgets, Call, CallAction, CallContext, CallEvent, CallRule, Demand, Dispatch, NestedCalls, Policy, RepeatPromise,
    ServerIndex, ServiceView,
};

/// VMs of the fleet, each with an entry.
const VMS: usize = 10;
/// The service that callers call; its runs call the other one.
const FRONT: usize = 0;
/// The service that runs of the other one call.
const BACK: usize = 1;
/// Upstreams of each service; those of the first stand beside the first VMs.
const UPSTREAMS: [usize; 2] = [4, 3];
/// What the fleet promises: repeats for each hundred calls, and beyond that, in any window.
const PROMISE: RepeatPromise = RepeatPromise { percent: 20, reserve: 58, window_us: 10_000_000 };
/// Time on the way between two nodes, and that of a run, in microseconds.
const WAY_US: u64 = 1_000;
const RUN_US: u64 = 60_000;
/// How long callers come, in microseconds.
const DAY_US: u64 = 26_000_000;

/// The troubles of one run of the fleet.
#[derive(Debug, Clone, Copy)]
struct Trouble {
    /// Calls of callers a second, to each service.
    rate_per_s: [u64; 2],
    /// Calls that a run of the first service makes to the second one.
    nested: u8,
    /// Arrivals that upstreams reject, in hundredths.
    rejected_percent: [u8; 2],
    /// Runs that fail, in hundredths.
    failing_percent: [u8; 2],
    /// Answers and rejections that are lost with their link, in hundredths.
    lost_percent: u8,
    /// Pause between two starts of nodes anew, one VM after the other, in microseconds; none where
    /// they stay up.
    restart_each_us: Option<u64>,
    /// Time after a start for which a node knows no other one, in microseconds.
    alone_us: u64,
}

const CALM: Trouble = Trouble {
    rate_per_s: [60, 20],
    nested: 1,
    rejected_percent: [0, 0],
    failing_percent: [0, 0],
    lost_percent: 0,
    restart_each_us: None,
    alone_us: 0,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    /// A caller or a run of the upstream beside a VM calls a service.
    Begins { vm: usize, service: usize, caller: Caller },
    /// An attempt reaches its owner.
    Reaches { call: usize, attempt: AttemptId, server: ServerIndex, repeat_permille: u16 },
    /// A run ends.
    Ends { vm: usize, life: u32, repeat_permille: u16 },
    /// The owner's word on an attempt is wanted.
    Asked { call: usize, attempt: AttemptId },
    /// A call is told of something.
    Told { call: usize, news: News },
    /// A node ends and starts again.
    Restarts { vm: usize },
    /// A node has heard of the whole fleet.
    Joined { vm: usize, life: u32 },
}

/// Who makes a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Caller {
    Outside,
    /// A run of an upstream, which may be a repeat.
    Run {
        repeat: bool,
    },
}

/// What calls are told of, in a form that can be ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum News {
    Answered { attempt: AttemptId, healthy: bool },
    Rejected { attempt: AttemptId },
    RepeatRefused { attempt: AttemptId },
    Broken { attempt: AttemptId },
    Cancelled { attempt: AttemptId, rejected: bool },
    HedgeDue,
}

impl News {
    fn event(self) -> CallEvent {
        match self {
            Self::Answered { attempt, healthy } => CallEvent::Ran { attempt, healthy },
            Self::Rejected { attempt } => CallEvent::Bounced { attempt, reason: BounceReason::Rejected },
            Self::RepeatRefused { attempt } => CallEvent::Bounced { attempt, reason: BounceReason::RepeatRefused },
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
    /// What the upstream beside it runs and calls.
    nested: NestedCalls,
    life: u32,
}

impl Entry {
    fn new(life: u32, now_us: u64) -> Self {
        let view = |service: usize| {
            let mut view = ServiceView::new(Policy::Valetrack);
            (0..UPSTREAMS[service]).for_each(|server| view.set_present(server, true, 0));
            view
        };
        let budgets = [Budgets::of_fleet(PROMISE, now_us), Budgets::of_fleet(PROMISE, now_us)];
        Self { views: [view(FRONT), view(BACK)], budgets, nested: NestedCalls::default(), life }
    }

    fn knows(&mut self, members: u32) {
        for budgets in &mut self.budgets {
            budgets.retry.configure(PROMISE, members);
        }
    }

    /// Returns whether a repeated run of the upstream beside it may start.
    fn admits_repeat(&mut self, now_us: u64) -> bool {
        let back = &mut self.budgets[BACK].retry;
        self.nested.admits_repeat(|_| back.left(now_us), now_us)
    }
}

struct FleetCall {
    call: Call,
    vm: usize,
    life: u32,
    service: usize,
    caller: Caller,
    /// Whether an attempt of it has reached an upstream.
    arrived: bool,
    /// Attempts that upstreams have rejected, as their owners know.
    rejected: Vec<AttemptId>,
}

struct Fleet {
    trouble: Trouble,
    now_us: u64,
    happenings: BinaryHeap<Reverse<(u64, u64, Happening)>>,
    scheduled: u64,
    entries: Vec<Entry>,
    calls: Vec<FleetCall>,
    rng: fastrand::Rng,
    next_seq: u64,
    /// When calls that are no repeats themselves began, by service.
    began_us: [Vec<u64>; 2],
    /// When attempts past the first of their call arrived, by service.
    repeats_us: [Vec<u64>; 2],
}

impl Fleet {
    fn play(trouble: Trouble, seed: u64) -> Self {
        let mut fleet = Self {
            trouble,
            now_us: 0,
            happenings: BinaryHeap::new(),
            scheduled: 0,
            entries: (0..VMS).map(|_| Entry::new(0, 0)).collect(),
            calls: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            next_seq: 1,
            began_us: [Vec::new(), Vec::new()],
            repeats_us: [Vec::new(), Vec::new()],
        };
        fleet.entries.iter_mut().for_each(|entry| entry.knows(VMS as u32));
        fleet.schedule();
        while let Some(Reverse((at_us, _, happening))) = fleet.happenings.pop() {
            fleet.now_us = at_us;
            fleet.happen(happening);
        }
        fleet
    }

    fn schedule(&mut self) {
        for service in [FRONT, BACK] {
            let rate_per_s = self.trouble.rate_per_s[service];
            for number in 0..rate_per_s * DAY_US / 1_000_000 {
                let vm = self.rng.usize(..VMS);
                let at_us = number * 1_000_000 / rate_per_s + self.rng.u64(..1_000);
                self.at(at_us, Happening::Begins { vm, service, caller: Caller::Outside });
            }
        }
        let Some(pause_us) = self.trouble.restart_each_us else {
            return;
        };
        for number in 0..DAY_US / pause_us {
            self.at(number * pause_us, Happening::Restarts { vm: number as usize % VMS });
        }
    }

    fn at(&mut self, at_us: u64, happening: Happening) {
        self.scheduled += 1;
        self.happenings.push(Reverse((at_us, self.scheduled, happening)));
    }

    fn later(&mut self, after_us: u64, happening: Happening) {
        self.at(self.now_us + after_us, happening);
    }

    fn chance(&mut self, percent: u8) -> bool {
        self.rng.u8(..100) < percent
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Begins { vm, service, caller } => self.begin(vm, service, caller),
            Happening::Reaches { call, attempt, server, repeat_permille } => {
                self.reach(call, attempt, server, repeat_permille);
            }
            Happening::Ends { vm, life, repeat_permille } if self.entries[vm].life == life => {
                self.entries[vm].nested.run_ended(repeat_permille);
            }
            Happening::Ends { .. } => {}
            Happening::Asked { call, attempt } => {
                let rejected = self.calls[call].rejected.contains(&attempt);
                self.later(WAY_US, Happening::Told { call, news: News::Cancelled { attempt, rejected } });
            }
            Happening::Told { call, news } => self.tell(call, news.event()),
            Happening::Restarts { vm } => {
                let life = self.entries[vm].life + 1;
                self.entries[vm] = Entry::new(life, self.now_us);
                self.entries[vm].knows(1);
                self.later(self.trouble.alone_us, Happening::Joined { vm, life });
            }
            Happening::Joined { vm, life } if self.entries[vm].life == life => self.entries[vm].knows(VMS as u32),
            Happening::Joined { .. } => {}
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
        let life = self.entries[vm].life;
        let call = Call::new(rule, 1).made_by_repeat(repeat_permille);
        self.calls.push(FleetCall { call, vm, life, service, caller, arrived: false, rejected: Vec::new() });
        self.tell(self.calls.len() - 1, CallEvent::Begin);
    }

    fn tell(&mut self, number: usize, event: CallEvent) {
        let FleetCall { call, vm, life, service, .. } = &mut self.calls[number];
        let entry = &mut self.entries[*vm];
        if entry.life != *life {
            // Its entry has ended, and the call with it.
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
                    self.later(WAY_US, Happening::Reaches { call: number, attempt, server, repeat_permille });
                }
                CallAction::Cancel { attempt, .. } => self.later(WAY_US, Happening::Asked { call: number, attempt }),
                CallAction::ArmHedge { after_us } => {
                    self.later(after_us, Happening::Told { call: number, news: News::HedgeDue });
                }
                CallAction::Finish(_) => {}
            }
        }
    }

    fn reach(&mut self, number: usize, attempt: AttemptId, server: ServerIndex, repeat_permille: u16) {
        let FleetCall { service, caller, arrived, .. } = self.calls[number];
        let told = |news| Happening::Told { call: number, news };
        if service == FRONT && repeat_permille == 1_000 && !self.entries[server].admits_repeat(self.now_us) {
            self.later(WAY_US, told(News::RepeatRefused { attempt }));
            return;
        }
        let repeat = caller == (Caller::Run { repeat: true }) || arrived;
        self.calls[number].arrived = true;
        if repeat {
            self.repeats_us[service].push(self.now_us);
        }
        let lost = self.chance(self.trouble.lost_percent);
        if self.chance(self.trouble.rejected_percent[service]) {
            self.calls[number].rejected.push(attempt);
            let news = if lost { News::Broken { attempt } } else { News::Rejected { attempt } };
            self.later(WAY_US, told(news));
            return;
        }
        if service == FRONT {
            let life = self.entries[server].life;
            self.entries[server].nested.run_began(repeat_permille, self.now_us);
            self.later(RUN_US, Happening::Ends { vm: server, life, repeat_permille });
            for _ in 0..self.trouble.nested {
                let after_us = self.rng.u64(..RUN_US);
                self.later(after_us, Happening::Begins { vm: server, service: BACK, caller: Caller::Run { repeat } });
            }
        }
        let healthy = !self.chance(self.trouble.failing_percent[service]);
        let news = if lost { News::Broken { attempt } } else { News::Answered { attempt, healthy } };
        self.later(RUN_US + WAY_US, told(news));
    }

    /// Returns the first window with more repeats at a service than promised.
    fn broken_promise(&self) -> Option<String> {
        [FRONT, BACK].into_iter().find_map(|service| self.broken_promise_of(service))
    }

    fn broken_promise_of(&self, service: usize) -> Option<String> {
        let within = |times: &[u64], from_us: u64| {
            let until_us = from_us + PROMISE.window_us;
            times.iter().filter(|at_us| (from_us..until_us).contains(at_us)).count()
        };
        self.repeats_us[service].iter().step_by(5).find_map(|&from_us| {
            let repeats = within(&self.repeats_us[service], from_us);
            let windows =
                [from_us, from_us.saturating_sub(PROMISE.window_us / 2), from_us.saturating_sub(PROMISE.window_us)];
            let calls = windows.into_iter().map(|from_us| within(&self.began_us[service], from_us)).max()?;
            let allowed = calls * PROMISE.percent as usize / 100 + PROMISE.reserve as usize;
            (repeats > allowed)
                .then(|| format!("service {service} from {from_us} us: {repeats} of {calls} calls, allowed {allowed}"))
        })
    }
}

#[test_case(Trouble { rate_per_s: [120, 60], rejected_percent: [50, 50], ..CALM }; "both services reject half of what arrives")]
#[test_case(Trouble { rejected_percent: [0, 100], ..CALM }; "one service rejects everything")]
#[test_case(Trouble { failing_percent: [60, 60], ..CALM }; "runs fail")]
#[test_case(Trouble { rate_per_s: [120, 60], rejected_percent: [50, 50], lost_percent: 30, ..CALM }; "rejections are lost with their link")]
#[test_case(Trouble { rate_per_s: [120, 0], nested: 3, rejected_percent: [0, 50], failing_percent: [60, 0], ..CALM }; "repeated runs call a service that rejects")]
#[test_case(Trouble { rate_per_s: [16, 0], nested: 5, failing_percent: [100, 0], ..CALM }; "repeated runs of a quiet service make many calls")]
#[test_case(Trouble { rate_per_s: [12, 12], nested: 0, rejected_percent: [70, 70], restart_each_us: Some(300_000), ..CALM }; "nodes start again in a row")]
#[test_case(Trouble { rate_per_s: [60, 60], nested: 0, rejected_percent: [70, 70], restart_each_us: Some(500_000), alone_us: 3_000_000, ..CALM }; "nodes that started again know nobody")]
fn a_fleet_keeps_its_promise_on_repeats(trouble: Trouble) {
    for seed in 1..=3 {
        let fleet = Fleet::play(trouble, seed);
        assert_eq!(fleet.broken_promise(), None, "seed {seed}");
    }
}

fn trouble() -> impl Strategy<Value = Trouble> {
    let percents = || [0..=100u8, 0..=100u8];
    let restarts = prop::option::of(200_000..3_000_000u64);
    ([1..150u64, 0..150u64], 0..4u8, percents(), percents(), 0..60u8, restarts, 0..5_000_000u64).prop_map(
        |(rate_per_s, nested, rejected_percent, failing_percent, lost_percent, restart_each_us, alone_us)| Trouble {
            rate_per_s,
            nested,
            rejected_percent,
            failing_percent,
            lost_percent,
            restart_each_us,
            alone_us,
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
    fn a_fleet_keeps_its_promise_under_any_mix_of_troubles(trouble in trouble(), seed in any::<u64>()) {
        let fleet = Fleet::play(trouble, seed);
        prop_assert_eq!(fleet.broken_promise(), None);
    }
}
