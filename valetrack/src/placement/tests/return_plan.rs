//! Plan of refused callers' returns, and refused calls with it.

use crate::code::Code;
use crate::gate::DeclineReason;
use crate::placement::{
    Budgets, Call, CallAction, CallContext, CallEvent, CallRule, CallerCall, Demand, PlannedReturn, Policy, Refusal,
    RetryBudget, ReturnCounts, ReturnPlan, ServiceView, Verdict,
};

const MS: u64 = 1_000;

/// Returns a plan that has recorded ten served calls of each priority within two seconds, and the present time.
fn plan(priorities: &[u8]) -> (ReturnPlan, u64) {
    let mut plan = ReturnPlan::default();
    for number in 0..10 {
        priorities.iter().for_each(|priority| plan.record_served(*priority, false, number * 200 * MS));
    }
    (plan, 2_000 * MS)
}

fn refusal(call: u64, priority: u8) -> Refusal {
    Refusal {
        call,
        priority,
        is_return: false,
        work_us: 100 * MS,
        run_us: 100 * MS,
        left_us: 1_100 * MS,
        deadline_left_us: 3_000 * MS,
    }
}

fn refuse(plan: &mut ReturnPlan, refusal: &Refusal, now_us: u64) -> PlannedReturn {
    plan.refuse(refusal, now_us, &mut fastrand::Rng::with_seed(1)).expect("a plan")
}

/// Guards against more returns than the entry's share of the capacity: ten calls in two seconds leave room for six returns
/// within half a second, half of which are served.
#[test]
fn returns_beyond_the_capacity_are_not_reserved() {
    let (mut plan, now_us) = plan(&[1]);
    let reserved: Vec<bool> = (0..8).map(|call| refuse(&mut plan, &refusal(call, 1), now_us).is_reserved).collect();
    assert_eq!(reserved, [true, true, true, true, true, true, false, false]);
}

/// Guards against urgent returns that wait for capacity reserved for others.
#[test]
fn urgent_returns_go_before_reserved_ones() {
    let (mut plan, now_us) = plan(&[0, 1]);
    for call in 0..20 {
        refuse(&mut plan, &refusal(call, 1), now_us);
    }
    assert!(!refuse(&mut plan, &refusal(20, 1), now_us).is_reserved);
    assert!(refuse(&mut plan, &refusal(21, 0), now_us).is_reserved);
}

/// Guards against delays that state capacity while an overload of seconds is likely to go on.
#[test]
fn hopeless_return_states_the_length_of_overload() {
    let (mut plan, now_us) = plan(&[1]);
    let late = |call| Refusal { left_us: 120 * MS, ..refusal(call, 1) };
    for number in 0..20 {
        plan.record_served(1, false, now_us + number * 200 * MS);
        refuse(&mut plan, &late(number), now_us + number * 200 * MS);
    }
    let planned = refuse(&mut plan, &late(20), now_us + 4_000 * MS);
    assert!(!planned.is_reserved && planned.delay_us >= 4_000 * MS, "{planned:?}");
    (0..3).for_each(|_| plan.record_served(1, false, now_us + 5_900 * MS));
    let later = refuse(&mut plan, &late(21), now_us + 6_000 * MS);
    assert!(later.delay_us < 1_000 * MS, "a new overload after two seconds without refusals: {later:?}");
}

/// Guards against a plan by nothing: after a restart, delays are random until the entry has placed calls.
#[test]
fn restarted_entry_has_no_plan() {
    let mut plan = ReturnPlan::default();
    let rng = &mut fastrand::Rng::with_seed(1);
    assert_eq!(plan.refuse(&refusal(1, 1), 5_000 * MS, rng), None);
    assert!(plan.take_return(1), "the return is recognised all the same");
    (0..3).for_each(|_| plan.record_served(1, false, 5_000 * MS));
    assert!(plan.refuse(&refusal(2, 1), 5_100 * MS, rng).is_some());
    assert_eq!(plan.drain_counts(), ReturnCounts { reserved: 1, unknown: 1, ..ReturnCounts::default() });
}

/// Guards against a client that gains precedence for all calls by one identifier, and against unbounded memory.
#[test]
fn return_is_recognised_once_in_bounded_memory() {
    let (mut plan, now_us) = plan(&[1]);
    refuse(&mut plan, &refusal(7, 1), now_us);
    assert!(plan.take_return(7));
    assert!(!plan.take_return(7));
    let rng = &mut fastrand::Rng::with_seed(1);
    let mut plan = ReturnPlan::default();
    for call in 0..1_000 {
        plan.refuse(&refusal(call, 1), now_us, rng);
    }
    assert_eq!((0..1_000).filter(|call| plan.take_return(*call)).count(), 256);
}

/// Returns the retry delay of a caller's call that the only server declines, and the next random number.
fn refused_call(view: &mut ServiceView, demand: Demand) -> (u32, u64) {
    let rule = CallRule { repeatable: false, bounces: 0, retries: 0, hedge_after_percent: None, demand: Some(demand) };
    let caller = CallerCall { id: 1, priority: 1, deadline_us: 3_000 * MS };
    let mut call = Call::new(rule, 1).of_caller(caller);
    let mut budgets = Budgets::new(RetryBudget::new(50, 20), RetryBudget::new(50, 20));
    let mut rng = fastrand::Rng::with_seed(3);
    let mut event = CallEvent::Begin;
    let mut next_seq = 1;
    loop {
        let (rng, budgets, next_seq) = (&mut rng, &mut budgets, &mut next_seq);
        let mut cx = CallContext { view: &mut *view, budgets, rng, now_us: 2_000 * MS, next_seq };
        let mut actions = Vec::new();
        call.handle(event, &mut cx, &mut actions);
        match actions[..] {
            [CallAction::Send(dispatch)] => {
                event = CallEvent::Declined { attempt: dispatch.attempt, reason: DeclineReason::Full };
            }
            [CallAction::Finish(Verdict::NotRun { code: Code::Overloaded, retry_after_ms, .. })] => {
                return (retry_after_ms, rng.u64(..));
            }
            _ => panic!("{actions:?}"),
        }
    }
}

fn view() -> ServiceView {
    let mut view = ServiceView::new(Policy::Valetrack);
    view.set_present(0, true, 0);
    view
}

/// Guards against a change for deployments without the switch: delays and random draws stay the same.
#[test]
fn without_the_switch_delays_stay_random() {
    let demand = Demand { work_us: 100_000, left_us: 1_100 * MS };
    let mut unplanned = view();
    unplanned.plan_returns(true);
    unplanned.plan_returns(false);
    assert_eq!(refused_call(&mut view(), demand), refused_call(&mut unplanned, demand));
    let (delay_ms, _) = refused_call(&mut view(), demand);
    assert!((50..=500).contains(&delay_ms), "{delay_ms}");
}

/// Guards against a plan that calls do not use: a call that cannot return in time gets the time of the next capacity.
#[test]
fn refused_call_gets_the_planned_delay() {
    let mut view = view();
    view.plan_returns(true);
    let plan = view.return_plan().expect("a plan");
    (0..4).for_each(|number| plan.record_served(1, false, number * 200 * MS));
    let (delay_ms, _) = refused_call(&mut view, Demand { work_us: 100_000, left_us: 110 * MS });
    assert_eq!(delay_ms, 500);
    let counts = view.return_plan().expect("a plan").drain_counts();
    assert_eq!(counts, ReturnCounts { not_reserved: 1, ..ReturnCounts::default() });
}
