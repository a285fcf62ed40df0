//! What runs and the machine's own figure make of a server's speed.

use test_case::test_case;

use crate::gate::{
    AttemptId, BounceReason, Gate, GateAction, GateConfig, GateEvent, LoadReport, Objective, Patience, RunTimes,
    SLOWDOWN_LASTS_US, Speed, expected_run_us,
};

#[test_case(50_000, 1.0, 50_000; "a short run ends within the slow episode or before it")]
#[test_case(50_000, 4.0, 200_000; "a run that just ends with it")]
#[test_case(150_000, 4.0, 300_000; "a run that outlasts it goes on at the average")]
fn a_run_is_slow_only_as_long_as_the_episode(work_us: u64, now: f64, expected_us: u64) {
    assert_eq!(expected_run_us(work_us, now, 1.0, SLOWDOWN_LASTS_US as f64), expected_us);
}

/// Returns the times of a run on a machine that tells nothing of its speed.
fn times(ran_us: u64, work_us: u64) -> RunTimes {
    RunTimes { ran_us, unslowed_us: ran_us, work_us }
}

#[test]
fn a_slowed_machine_does_not_make_its_server_slow() {
    let mut speed = Speed::default();
    for at in 0..200 {
        speed.told(400, at);
        speed.ran(RunTimes { ran_us: 400_000, unslowed_us: 100_000, work_us: 100_000 }, true);
    }
    assert!((3.8..=4.2).contains(&speed.now(200)), "{}", speed.now(200));
}

#[test]
fn a_slow_server_is_known_as_slow() {
    let mut speed = Speed::default();
    for _ in 0..200 {
        speed.ran(times(500_000, 100_000), true);
    }
    let mut load = LoadReport::default();
    speed.report(&mut load, 0, 0);
    assert!((450..=560).contains(&load.mean_percent), "{}", load.mean_percent);
}

#[test]
fn a_server_that_fails_at_once_is_not_fast() {
    let mut speed = Speed::default();
    for _ in 0..50 {
        speed.ran(times(10, 100_000), false);
    }
    let mut load = LoadReport::default();
    speed.report(&mut load, 0, 0);
    assert_eq!(load.mean_percent, 100);
    assert!(load.failing_percent > 90);
}

#[test]
fn what_the_machine_told_fades() {
    let mut speed = Speed::default();
    speed.told(400, 0);
    assert!((speed.now(0) - 4.0).abs() < 0.01);
    assert!(speed.now(SLOWDOWN_LASTS_US) < 2.6);
    assert!(speed.now(20 * SLOWDOWN_LASTS_US) < 1.01);
}

#[test]
fn a_server_that_was_slow_once_is_tried_again() {
    let mut gate = Gate::new(GateConfig { slots: 1, ..GateConfig::default() }, 0);
    let mut out = Vec::new();
    for seq in 0..40 {
        let attempt = AttemptId { entry: 1, seq };
        let now_us = seq * 200_000;
        let arrive = GateEvent::Arrive {
            attempt,
            deadline_us: now_us + 1_000_000,
            patience: Patience::Last,
            priority: 0,
            objective: None,
        };
        gate.handle(arrive, now_us, &mut out);
        gate.ran(attempt, times(190_000, 20_000), true);
        gate.handle(GateEvent::Done { attempt, healthy: true }, now_us + 190_000, &mut out);
    }
    let ended_us = 39 * 200_000 + 190_000;
    let slow = gate.load(ended_us);
    assert!(slow.service_us > 100_000 && slow.mean_percent > 500, "{slow:?}");
    let later = gate.load(ended_us + 20_000_000);
    assert!(later.service_us < 3_000 && later.mean_percent <= 101, "{later:?}");
}

const WORK_US: u64 = 100_000;

/// Returns what a gate whose machine told `slowdown_percent` a moment ago does with a call that is
/// worth `elsewhere_permille` at the best other server.
fn arrive_at_machine(slowdown_percent: u16, elsewhere_permille: u16) -> Vec<GateAction> {
    let mut gate = Gate::new(GateConfig::default(), 0);
    gate.told(slowdown_percent, 0);
    let objective = Objective { left_us: 250_000, work_us: WORK_US, elsewhere_permille, wait_max_us: 50_000 };
    let arrive = GateEvent::Arrive {
        attempt: ATTEMPT,
        deadline_us: 1_000_000,
        patience: Patience::Short,
        priority: 0,
        objective: Some(objective),
    };
    let mut out = Vec::new();
    gate.handle(arrive, 0, &mut out);
    out
}

const ATTEMPT: AttemptId = AttemptId { entry: 1, seq: 1 };
const STARTED: GateAction = GateAction::Start { attempt: ATTEMPT };
const GIVEN_BACK: GateAction = GateAction::Bounce { attempt: ATTEMPT, reason: BounceReason::Slow };

#[test_case(100, 900, STARTED; "a fast machine runs it")]
#[test_case(240, 900, GIVEN_BACK; "a slow one gives it back where it would be in time elsewhere")]
#[test_case(240, 300, STARTED; "a slow one runs it where it would be later elsewhere")]
#[test_case(240, 0, STARTED; "and where there is no other server, as long as it is in time")]
fn a_call_runs_where_it_is_worth_the_most(slowdown_percent: u16, elsewhere_permille: u16, then: GateAction) {
    assert_eq!(arrive_at_machine(slowdown_percent, elsewhere_permille), [then]);
}

#[test]
fn only_a_swinging_machine_is_asked_for_its_speed() {
    let mut speed = Speed::default();
    assert!(!speed.wants_news(WORK_US, 60_000_000), "it never told a slow episode");
    speed.told(400, 0);
    assert!(!speed.wants_news(WORK_US, 10_000), "it told a moment ago");
    assert!(!speed.wants_news(1_000, 50_000), "the run is shorter than the question");
    assert!(speed.wants_news(WORK_US, 50_000));
    assert!(!speed.wants_news(WORK_US, 60_000_000), "it has long been steady");
}
