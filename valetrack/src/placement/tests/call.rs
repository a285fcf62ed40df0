//! A call whose owners run, decline and cancel its attempts, lose their links and answer late, in any order.

use proptest::prelude::*;
use test_case::test_case;

use crate::code::Code;
use crate::gate::{AttemptId, CancelResult, DeclineReason, LoadReport};
use crate::placement::{
    Budgets, Call, CallAction, CallContext, CallEvent, CallRule, Demand, Dispatch, KnownFleet, Policy, RetryBudget,
    RetryGuarantee, ServerIndex, ServiceView, Verdict,
};

const SERVERS: usize = 4;

/// Actual progress of an attempt, which the entry does not see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// In flight; it may still start.
    Sent,
    /// It is running or has run.
    Started,
    /// It can never start.
    NeverStarts,
}

#[derive(Debug)]
struct Attempt {
    id: AttemptId,
    server: ServerIndex,
    progress: Progress,
    cancel_sent: bool,
    /// Whether the entry has received the end of the attempt.
    closed: bool,
}

struct World {
    call: Call,
    view: ServiceView,
    budgets: Budgets,
    rng: fastrand::Rng,
    next_seq: u64,
    now_us: u64,
    repeatable: bool,
    attempts: Vec<Attempt>,
    verdict: Option<Verdict>,
}

impl World {
    fn new(rule: CallRule, seed: u64) -> Self {
        let mut view = ServiceView::new(Policy::Valetrack);
        for server in 0..SERVERS {
            view.set_present(server, true, 0);
        }
        let budgets = Budgets::new(RetryBudget::new(50, 20), RetryBudget::new(50, 20));
        Self {
            call: Call::new(rule, 1),
            view,
            budgets,
            rng: fastrand::Rng::with_seed(seed),
            next_seq: 1,
            now_us: 0,
            repeatable: rule.repeatable,
            attempts: Vec::new(),
            verdict: None,
        }
    }

    fn handle_event(&mut self, event: CallEvent) -> Result<(), TestCaseError> {
        let mut cx = CallContext {
            view: &mut self.view,
            budgets: &mut self.budgets,
            rng: &mut self.rng,
            now_us: self.now_us,
            next_seq: &mut self.next_seq,
        };
        let mut actions = Vec::new();
        self.call.handle(event, &mut cx, &mut actions);
        for action in actions {
            self.perform(action)?;
        }
        Ok(())
    }

    fn perform(&mut self, action: CallAction) -> Result<(), TestCaseError> {
        match action {
            CallAction::Send(Dispatch { attempt, server, .. }) => {
                prop_assert!(self.verdict.is_none(), "an attempt after the verdict");
                let may_run = self.attempts.iter().any(|attempt| attempt.progress != Progress::NeverStarts);
                prop_assert!(self.repeatable || !may_run, "a second attempt that may run");
                self.attempts.push(Attempt {
                    id: attempt,
                    server,
                    progress: Progress::Sent,
                    cancel_sent: false,
                    closed: false,
                });
            }
            CallAction::Cancel { attempt, .. } => {
                let cancelled = self.attempts.iter_mut().find(|existing| existing.id == attempt);
                cancelled.ok_or(TestCaseError::fail("a cancel of no attempt"))?.cancel_sent = true;
            }
            CallAction::ArmHedge { .. } => prop_assert!(self.repeatable, "a hedge of work that may not repeat"),
            CallAction::Finish(verdict) => {
                prop_assert!(self.verdict.is_none(), "two verdicts");
                self.verdict = Some(verdict);
                self.check(verdict)?;
            }
        }
        Ok(())
    }

    fn check(&self, verdict: Verdict) -> Result<(), TestCaseError> {
        match verdict {
            Verdict::NotRun { retry_after_ms, .. } => {
                prop_assert!(retry_after_ms > 0, "no retry delay");
                let startable = self.attempts.iter().find(|attempt| attempt.progress != Progress::NeverStarts);
                prop_assert!(startable.is_none(), "reported as not run, but {startable:?} may run");
            }
            Verdict::Answer(id) => {
                let from = self.attempts.iter().find(|attempt| attempt.id == id);
                prop_assert!(from.is_some_and(|attempt| attempt.progress == Progress::Started));
            }
            Verdict::Unknown { .. } => {
                let lost = self.attempts.iter().any(|attempt| attempt.closed || attempt.cancel_sent);
                prop_assert!(lost, "reported as unknown without a loss");
            }
        }
        Ok(())
    }

    /// Performs one step of one attempt.
    fn step_attempt(&mut self, at: usize, what: u8) -> Result<(), TestCaseError> {
        let Attempt { id, progress, cancel_sent, closed, .. } = self.attempts[at];
        let attempt = id;
        let (after, event) = match (what % 8, progress) {
            (0, Progress::Sent) => (Progress::Started, None),
            (1, Progress::Started) if !closed => (progress, Some(CallEvent::Ran { attempt, healthy: what < 128 })),
            (2, Progress::Started) if !closed => {
                (progress, Some(CallEvent::Failed { attempt, code: Code::ServerFailed }))
            }
            (3, Progress::Sent) if !closed => {
                let reason =
                    [DeclineReason::Full, DeclineReason::Leaving, DeclineReason::Stalled][usize::from(what / 8) % 3];
                (Progress::NeverStarts, Some(CallEvent::Declined { attempt, reason }))
            }
            (4, Progress::Sent) if !closed && !cancel_sent => {
                (Progress::NeverStarts, Some(CallEvent::Unsent { attempt }))
            }
            // The link may break before, during or after the run.
            (5, _) if !cancel_sent && !closed => (progress, Some(CallEvent::Broken { attempt })),
            (6, Progress::Sent) if cancel_sent => (
                Progress::NeverStarts,
                Some(CallEvent::CancelResult { attempt, result: Some(CancelResult::NeverStarted) }),
            ),
            (6, Progress::Started) if cancel_sent => {
                (progress, Some(CallEvent::CancelResult { attempt, result: Some(CancelResult::Started) }))
            }
            (7, _) if cancel_sent => (progress, Some(CallEvent::CancelResult { attempt, result: None })),
            _ => return Ok(()),
        };
        self.attempts[at].progress = after;
        let Some(event) = event else {
            return Ok(());
        };
        if !matches!(event, CallEvent::Broken { .. }) {
            self.attempts[at].closed = true;
        }
        self.handle_event(event)?;
        // Duplicate and late copies of an event must change nothing.
        if what.is_multiple_of(3) {
            self.handle_event(event)?;
        }
        Ok(())
    }
}

fn rule() -> impl Strategy<Value = CallRule> {
    (any::<bool>(), 0..4u8, 0..3u8).prop_map(|(repeatable, bounces, retries)| CallRule {
        repeatable,
        bounces,
        retries,
        hedge_after_percent: Some(300),
        demand: None,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 6_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(8),
        ..Default::default()
    })]

    #[test]
    fn every_call_gets_exactly_one_correct_verdict(
        rule in rule(),
        seed in any::<u64>(),
        deadline_at in 5..60usize,
        choices in prop::collection::vec((any::<usize>(), any::<u8>(), 0..30_000u64), 60),
    ) {
        let mut world = World::new(rule, seed);
        world.handle_event(CallEvent::Begin)?;
        for (step, (at, what, pause_us)) in choices.into_iter().enumerate() {
            world.now_us += pause_us;
            if step == deadline_at {
                world.handle_event(CallEvent::DeadlineDue)?;
            }
            if what == 200 {
                world.handle_event(CallEvent::HedgeDue)?;
            }
            if !world.attempts.is_empty() {
                let at = at % world.attempts.len();
                world.step_attempt(at, what)?;
            }
        }
        // The attempts still in flight end without a reply. Nothing may be left open afterwards.
        world.handle_event(CallEvent::DeadlineDue)?;
        for at in 0..world.attempts.len() {
            if world.attempts[at].cancel_sent && !world.attempts[at].closed {
                world.step_attempt(at, 7)?;
            }
        }
        prop_assert!(world.verdict.is_some(), "no verdict");
        prop_assert!(world.call.closed(), "an attempt is left open");
        for server in 0..SERVERS {
            prop_assert_eq!(world.view.outstanding(server), 0, "a call is still counted");
        }
    }
}

fn single(rule: CallRule) -> World {
    let mut world = World::new(rule, 1);
    world.handle_event(CallEvent::Begin).expect("a first attempt");
    world
}

const ONCE: CallRule = CallRule { repeatable: false, bounces: 2, retries: 1, hedge_after_percent: None, demand: None };

#[test]
fn final_verdict_does_not_wait_for_deadline() {
    let mut world = single(ONCE);
    for _ in 0..=ONCE.bounces {
        let attempt = world.attempts.last().expect("an attempt").id;
        world.attempts.last_mut().expect("an attempt").progress = Progress::NeverStarts;
        world
            .handle_event(CallEvent::Declined { attempt, reason: DeclineReason::Full })
            .expect("no violated invariant");
    }
    assert!(matches!(world.verdict, Some(Verdict::NotRun { code: Code::Overloaded, .. })), "{:?}", world.verdict);
}

#[test]
fn decline_by_leaving_owner_is_not_charged() {
    let mut world = single(CallRule { bounces: 0, ..ONCE });
    let attempt = world.attempts[0].id;
    world.attempts[0].progress = Progress::NeverStarts;
    world.handle_event(CallEvent::Declined { attempt, reason: DeclineReason::Leaving }).expect("no violated invariant");
    assert_eq!(world.attempts.len(), 2);
    assert!(world.verdict.is_none());
}

/// Sends `calls` calls whose attempts are all rejected, and returns how many attempts were sent.
fn attempts_sent_when_all_are_rejected(calls: usize, retry_percent: u32, reserve: u32) -> usize {
    let mut world = World::new(ONCE, 1);
    world.budgets.retry = RetryBudget::new(retry_percent, reserve);
    let mut sent = 0;
    for _ in 0..calls {
        world.call = Call::new(CallRule { bounces: 4, ..ONCE }, 1);
        world.attempts.clear();
        world.verdict = None;
        world.handle_event(CallEvent::Begin).expect("a first attempt");
        while world.verdict.is_none() {
            sent += 1;
            let attempt = world.attempts.last().expect("an attempt").id;
            world.attempts.last_mut().expect("an attempt").progress = Progress::NeverStarts;
            world
                .handle_event(CallEvent::Declined { attempt, reason: DeclineReason::Rejected })
                .expect("no violated invariant");
        }
        assert!(matches!(world.verdict, Some(Verdict::NotRun { .. })), "{:?}", world.verdict);
    }
    sent
}

#[test_case(20, 6; "a fifth and a burst")]
#[test_case(0, 0; "none at all")]
fn repeats_to_rejecting_service_stay_within_budget(percent: u32, reserve: u32) {
    let calls = 500;
    let repeats = attempts_sent_when_all_are_rejected(calls, percent, reserve) - calls;
    assert!(repeats <= calls * percent as usize / 100 + reserve as usize, "{repeats}");
    assert!(repeats + 6 >= calls * percent as usize / 100, "{repeats}");
}

#[test_case(0; "no other reason")]
#[test_case(2; "two servers without room")]
fn rejecting_server_does_not_receive_same_call_again(full: usize) {
    let mut world = single(CallRule { bounces: 8, ..ONCE });
    let mut rejecting = Vec::new();
    while world.verdict.is_none() {
        let Attempt { id: attempt, server, .. } = *world.attempts.last().expect("an attempt");
        world.attempts.last_mut().expect("an attempt").progress = Progress::NeverStarts;
        assert!(!rejecting.contains(&server), "server {server} received the call again");
        let reason = if server < full { DeclineReason::Full } else { DeclineReason::Rejected };
        if reason == DeclineReason::Rejected {
            rejecting.push(server);
        }
        world.handle_event(CallEvent::Declined { attempt, reason }).expect("no violated invariant");
    }
    assert_eq!(rejecting.len(), SERVERS - full, "every other server is tried");
}

#[test]
fn repeat_without_server_left_is_not_charged() {
    let mut world = single(CallRule { bounces: 8, ..ONCE });
    let left = world.budgets.retry.left(0);
    while world.verdict.is_none() {
        let attempt = world.attempts.last().expect("an attempt").id;
        world.attempts.last_mut().expect("an attempt").progress = Progress::NeverStarts;
        world
            .handle_event(CallEvent::Declined { attempt, reason: DeclineReason::Rejected })
            .expect("no violated invariant");
    }
    let charged = left - world.budgets.retry.left(0);
    assert_eq!(charged, (world.attempts.len() - 1) as f64);
}

#[test]
fn owner_is_queried_after_broken_link() {
    let mut world = single(ONCE);
    let attempt = world.attempts[0].id;
    world.handle_event(CallEvent::Broken { attempt }).expect("no violated invariant");
    assert!(world.attempts[0].cancel_sent);
    assert_eq!(world.attempts.len(), 1, "nothing is sent again before the owner's reply");
    world.attempts[0].progress = Progress::NeverStarts;
    world
        .handle_event(CallEvent::CancelResult { attempt, result: Some(CancelResult::NeverStarted) })
        .expect("no violated invariant");
    assert_eq!(world.attempts.len(), 2);
}

#[test]
fn reported_load_is_used_by_next_pick() {
    let mut world = World::new(ONCE, 1);
    for server in 0..SERVERS {
        let busy = if server == 2 { 0 } else { 8 };
        let load = LoadReport { limit: 8, in_flight: busy, service_us: 2_000, ..LoadReport::default() };
        world.view.report(server, load, 0);
    }
    let picked: Vec<Option<ServerIndex>> =
        (0..5).map(|_| world.view.pick(Default::default(), 100, &mut world.rng)).collect();
    assert_eq!(picked, [Some(2); 5]);
}

#[test]
fn unknown_verdict_has_code_of_its_loss() {
    let mut world = single(CallRule { repeatable: true, bounces: 0, ..ONCE });
    let attempt = world.attempts[0].id;
    world.attempts[0].progress = Progress::Started;
    world.attempts[0].closed = true;
    world.handle_event(CallEvent::Failed { attempt, code: Code::ServerFailed }).expect("no violated invariant");
    while world.verdict.is_none() {
        let attempt = world.attempts.last().expect("an attempt").id;
        world.attempts.last_mut().expect("an attempt").progress = Progress::NeverStarts;
        world
            .handle_event(CallEvent::Declined { attempt, reason: DeclineReason::Full })
            .expect("no violated invariant");
    }
    assert!(matches!(world.verdict, Some(Verdict::Unknown { code: Code::ServerFailed })), "{:?}", world.verdict);
}

#[test]
fn call_on_unresponsive_owner_is_hedged() {
    let demand = Some(Demand { work_us: 20_000, left_us: 400_000 });
    let mut world = single(CallRule { repeatable: true, demand, ..ONCE });
    world.handle_event(CallEvent::HedgeDue).expect("no violated invariant");
    assert_eq!(world.attempts.len(), 1, "no hedge while the owner responds");
    let unresponsive = world.call.server_in_flight().expect("one attempt");
    world.view.suspect(unresponsive, 0);
    world.handle_event(CallEvent::HedgeDue).expect("no violated invariant");
    assert_eq!(world.attempts.len(), 2);
}

#[test_case(Some(Demand { work_us: 20_000, left_us: 400_000 }); "with an objective")]
#[test_case(None; "without one")]
fn hedges_stay_within_retry_budget_of_fleet(demand: Option<Demand>) {
    let guarantee = RetryGuarantee { percent: 20, reserve: 10, window_us: 10_000_000 };
    let now_us = guarantee.window_us;
    let mut budgets = Budgets::of_fleet(guarantee, 0);
    budgets.retry.configure(guarantee, KnownFleet { members: 1, complete_since_us: Some(0) });
    let (calls, mut hedges) = (200, 0);
    for _ in 0..calls {
        let mut world = World::new(CallRule { repeatable: true, demand, ..ONCE }, 1);
        world.budgets = budgets;
        world.now_us = now_us;
        world.handle_event(CallEvent::Begin).expect("a first attempt");
        let unresponsive = world.call.server_in_flight().expect("one attempt");
        world.view.suspect(unresponsive, now_us);
        world.handle_event(CallEvent::HedgeDue).expect("no violated invariant");
        hedges += world.attempts.len() - 1;
        budgets = world.budgets;
    }
    assert!((30..=50).contains(&hedges), "{hedges} hedges of {calls} calls");
}

#[test_case(DeclineReason::Full; "no room")]
#[test_case(DeclineReason::RepeatRefused; "no repeat left")]
fn failure_answer_is_returned_without_second_run(reason: DeclineReason) {
    let mut world = single(CallRule { repeatable: true, bounces: 0, ..ONCE });
    let failing = world.attempts[0].id;
    world.attempts[0].progress = Progress::Started;
    world.attempts[0].closed = true;
    world.handle_event(CallEvent::Ran { attempt: failing, healthy: false }).expect("no violated invariant");
    while world.verdict.is_none() {
        let attempt = world.attempts.last().expect("an attempt").id;
        world.attempts.last_mut().expect("an attempt").progress = Progress::NeverStarts;
        world.handle_event(CallEvent::Declined { attempt, reason }).expect("no violated invariant");
    }
    assert_eq!(world.verdict, Some(Verdict::Answer(failing)));
}

#[test]
fn call_beyond_all_rate_limits_is_rejected_unsent() {
    let demand = Some(Demand { work_us: 20_000, left_us: 400_000 });
    let rule = CallRule { repeatable: true, bounces: 2, retries: 1, hedge_after_percent: None, demand };
    for (delay_ms, made_by_run, is_sent) in [(2_000, false, false), (2_000, true, true), (100, false, true)] {
        let mut world = World::new(rule, 1);
        let load = LoadReport { start_delay_ms: delay_ms, ..LoadReport::default() };
        (0..SERVERS).for_each(|server| world.view.report(server, load, 0));
        world.call = Call::new(rule, 1).made_by_run(made_by_run);
        world.handle_event(CallEvent::Begin).expect("no violation");
        assert_eq!(!world.attempts.is_empty(), is_sent, "{delay_ms} {made_by_run}");
        if let Some(Verdict::NotRun { retry_after_ms, .. }) = world.verdict {
            assert!(retry_after_ms >= 2_000, "the caller may return when a call is admitted: {retry_after_ms}");
        }
    }
}
