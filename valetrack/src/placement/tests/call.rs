//! A call among owners that run, bounce, break, cancel and answer late, in any order.

use proptest::prelude::*;
use test_case::test_case;

use crate::code::Code;
use crate::gate::{AttemptId, BounceReason, CancelResult, LoadReport};
use crate::placement::{
    Budgets, Call, CallAction, CallContext, CallEvent, CallRule, Demand, Dispatch, Policy, RepeatBudget, ServerIndex,
    ServiceView, Verdict,
};

const SERVERS: usize = 4;

/// Where an attempt is, as only the world knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// On its way; it may still start.
    Sent,
    /// It runs or ran.
    Started,
    /// It can never start.
    Dead,
}

#[derive(Debug)]
struct Attempt {
    id: AttemptId,
    place: Place,
    asked: bool,
    /// Whether the entry has seen the end of it.
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
        let budgets = Budgets::new(RepeatBudget::new(50, 20), RepeatBudget::new(50, 20));
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

    fn tell(&mut self, event: CallEvent) -> Result<(), TestCaseError> {
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
            self.act(action)?;
        }
        Ok(())
    }

    fn act(&mut self, action: CallAction) -> Result<(), TestCaseError> {
        match action {
            CallAction::Send(Dispatch { attempt, .. }) => {
                prop_assert!(self.verdict.is_none(), "an attempt after the verdict");
                let may_run = self.attempts.iter().any(|attempt| attempt.place != Place::Dead);
                prop_assert!(self.repeatable || !may_run, "a second attempt that may run");
                self.attempts.push(Attempt { id: attempt, place: Place::Sent, asked: false, closed: false });
            }
            CallAction::Cancel { attempt, .. } => {
                let asked = self.attempts.iter_mut().find(|known| known.id == attempt);
                asked.ok_or(TestCaseError::fail("a cancel of no attempt"))?.asked = true;
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
                prop_assert!(retry_after_ms > 0, "no word on when to come back");
                let alive = self.attempts.iter().find(|attempt| attempt.place != Place::Dead);
                prop_assert!(alive.is_none(), "told not run, but {alive:?}");
            }
            Verdict::Answer(id) => {
                let from = self.attempts.iter().find(|attempt| attempt.id == id);
                prop_assert!(from.is_some_and(|attempt| attempt.place == Place::Started));
            }
            Verdict::Unknown { .. } => {
                let lost = self.attempts.iter().any(|attempt| attempt.closed || attempt.asked);
                prop_assert!(lost, "told unknown without a loss");
            }
        }
        Ok(())
    }

    /// Lets the world do one thing to one attempt.
    fn happen(&mut self, at: usize, what: u8) -> Result<(), TestCaseError> {
        let Attempt { id, place, asked, closed } = self.attempts[at];
        let attempt = id;
        let (after, event) = match (what % 8, place) {
            (0, Place::Sent) => (Place::Started, None),
            (1, Place::Started) if !closed => (place, Some(CallEvent::Ran { attempt, healthy: what < 128 })),
            (2, Place::Started) if !closed => (place, Some(CallEvent::Failed { attempt, code: Code::ServerFailed })),
            (3, Place::Sent) if !closed => {
                let reason =
                    [BounceReason::Full, BounceReason::Leaving, BounceReason::Stalled][usize::from(what / 8) % 3];
                (Place::Dead, Some(CallEvent::Bounced { attempt, reason }))
            }
            (4, Place::Sent) if !closed && !asked => (Place::Dead, Some(CallEvent::Unsent { attempt })),
            // The link may break before, during or after the run.
            (5, _) if !asked && !closed => (place, Some(CallEvent::Broken { attempt })),
            (6, Place::Sent) if asked => {
                (Place::Dead, Some(CallEvent::CancelResult { attempt, result: Some(CancelResult::NeverStarted) }))
            }
            (6, Place::Started) if asked => {
                (place, Some(CallEvent::CancelResult { attempt, result: Some(CancelResult::Started) }))
            }
            (7, _) if asked => (place, Some(CallEvent::CancelResult { attempt, result: None })),
            _ => return Ok(()),
        };
        self.attempts[at].place = after;
        let Some(event) = event else {
            return Ok(());
        };
        if !matches!(event, CallEvent::Broken { .. }) {
            self.attempts[at].closed = true;
        }
        self.tell(event)?;
        // Doubled and late copies of the same news must change nothing.
        if what.is_multiple_of(3) {
            self.tell(event)?;
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
    fn every_call_gets_one_true_verdict(
        rule in rule(),
        seed in any::<u64>(),
        deadline_at in 5..60usize,
        choices in prop::collection::vec((any::<usize>(), any::<u8>(), 0..30_000u64), 60),
    ) {
        let mut world = World::new(rule, seed);
        world.tell(CallEvent::Begin)?;
        for (step, (at, what, pause_us)) in choices.into_iter().enumerate() {
            world.now_us += pause_us;
            if step == deadline_at {
                world.tell(CallEvent::DeadlineDue)?;
            }
            if what == 200 {
                world.tell(CallEvent::HedgeDue)?;
            }
            if !world.attempts.is_empty() {
                let at = at % world.attempts.len();
                world.happen(at, what)?;
            }
        }
        // Whatever is still out ends without a word; then nothing may be left open.
        world.tell(CallEvent::DeadlineDue)?;
        for at in 0..world.attempts.len() {
            if world.attempts[at].asked && !world.attempts[at].closed {
                world.happen(at, 7)?;
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
    world.tell(CallEvent::Begin).expect("a first attempt");
    world
}

const ONCE: CallRule = CallRule { repeatable: false, bounces: 2, retries: 1, hedge_after_percent: None, demand: None };

#[test]
fn a_final_answer_is_not_held_back_to_the_deadline() {
    let mut world = single(ONCE);
    for _ in 0..=ONCE.bounces {
        let attempt = world.attempts.last().expect("an attempt").id;
        world.attempts.last_mut().expect("an attempt").place = Place::Dead;
        world.tell(CallEvent::Bounced { attempt, reason: BounceReason::Full }).expect("no broken promise");
    }
    assert!(matches!(world.verdict, Some(Verdict::NotRun { code: Code::Overloaded, .. })), "{:?}", world.verdict);
}

#[test]
fn a_leaving_owner_costs_no_bounce() {
    let mut world = single(CallRule { bounces: 0, ..ONCE });
    let attempt = world.attempts[0].id;
    world.attempts[0].place = Place::Dead;
    world.tell(CallEvent::Bounced { attempt, reason: BounceReason::Leaving }).expect("no broken promise");
    assert_eq!(world.attempts.len(), 2);
    assert!(world.verdict.is_none());
}

/// Sends a first attempt of each of `calls` calls, all of which are rejected wherever they arrive,
/// and returns how many attempts were sent.
fn sent_where_all_is_rejected(calls: usize, retry_percent: u32, reserve: u32) -> usize {
    let mut world = World::new(ONCE, 1);
    world.budgets.retry = RepeatBudget::new(retry_percent, reserve);
    let mut sent = 0;
    for _ in 0..calls {
        world.call = Call::new(CallRule { bounces: 4, ..ONCE }, 1);
        world.attempts.clear();
        world.verdict = None;
        world.tell(CallEvent::Begin).expect("a first attempt");
        while world.verdict.is_none() {
            sent += 1;
            let attempt = world.attempts.last().expect("an attempt").id;
            world.attempts.last_mut().expect("an attempt").place = Place::Dead;
            world.tell(CallEvent::Bounced { attempt, reason: BounceReason::Rejected }).expect("no broken promise");
        }
        assert!(matches!(world.verdict, Some(Verdict::NotRun { .. })), "{:?}", world.verdict);
    }
    sent
}

#[test_case(20, 6; "a fifth and a burst")]
#[test_case(0, 0; "none at all")]
fn a_service_that_rejects_everywhere_is_sent_no_more_repeats_than_its_budget(percent: u32, reserve: u32) {
    let calls = 500;
    let repeats = sent_where_all_is_rejected(calls, percent, reserve) - calls;
    assert!(repeats <= calls * percent as usize / 100 + reserve as usize, "{repeats}");
    assert!(repeats + 6 >= calls * percent as usize / 100, "{repeats}");
}

#[test]
fn a_broken_link_is_asked_about_before_anything_else() {
    let mut world = single(ONCE);
    let attempt = world.attempts[0].id;
    world.tell(CallEvent::Broken { attempt }).expect("no broken promise");
    assert!(world.attempts[0].asked);
    assert_eq!(world.attempts.len(), 1, "nothing is sent again before the owner's word");
    world.attempts[0].place = Place::Dead;
    world
        .tell(CallEvent::CancelResult { attempt, result: Some(CancelResult::NeverStarted) })
        .expect("no broken promise");
    assert_eq!(world.attempts.len(), 2);
}

#[test]
fn load_that_rides_on_a_reply_is_used_by_the_next_pick() {
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
fn an_unknown_end_is_told_with_the_code_of_its_loss() {
    let mut world = single(CallRule { repeatable: true, bounces: 0, ..ONCE });
    let attempt = world.attempts[0].id;
    world.attempts[0].place = Place::Started;
    world.attempts[0].closed = true;
    world.tell(CallEvent::Failed { attempt, code: Code::ServerFailed }).expect("no broken promise");
    while world.verdict.is_none() {
        let attempt = world.attempts.last().expect("an attempt").id;
        world.attempts.last_mut().expect("an attempt").place = Place::Dead;
        world.tell(CallEvent::Bounced { attempt, reason: BounceReason::Full }).expect("no broken promise");
    }
    assert!(matches!(world.verdict, Some(Verdict::Unknown { code: Code::ServerFailed })), "{:?}", world.verdict);
}

#[test]
fn a_call_on_a_silent_owner_is_hedged() {
    let demand = Some(Demand { work_us: 20_000, left_us: 400_000 });
    let mut world = single(CallRule { repeatable: true, demand, ..ONCE });
    world.tell(CallEvent::HedgeDue).expect("no broken promise");
    assert_eq!(world.attempts.len(), 1, "an owner that answers is waited for");
    let silent = world.call.server_in_flight().expect("one attempt");
    world.view.suspect(silent, 0);
    world.tell(CallEvent::HedgeDue).expect("no broken promise");
    assert_eq!(world.attempts.len(), 2);
}

#[test_case(BounceReason::Full; "no room")]
#[test_case(BounceReason::RepeatRefused; "no repeat left")]
fn an_answer_that_is_there_is_passed_on_where_no_second_run_starts(reason: BounceReason) {
    let mut world = single(CallRule { repeatable: true, bounces: 0, ..ONCE });
    let failing = world.attempts[0].id;
    world.attempts[0].place = Place::Started;
    world.attempts[0].closed = true;
    world.tell(CallEvent::Ran { attempt: failing, healthy: false }).expect("no broken promise");
    while world.verdict.is_none() {
        let attempt = world.attempts.last().expect("an attempt").id;
        world.attempts.last_mut().expect("an attempt").place = Place::Dead;
        world.tell(CallEvent::Bounced { attempt, reason }).expect("no broken promise");
    }
    assert_eq!(world.verdict, Some(Verdict::Answer(failing)));
}
