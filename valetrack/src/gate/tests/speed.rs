//! What runs and the machine's own figure make of a server's speed.

use test_case::test_case;

use crate::gate::{
    AttemptId, BounceReason, Gate, GateAction, GateConfig, GateEvent, LoadReport, Objective, Pace, Patience, RunTimes,
    SLOWDOWN_LASTS_US, Speed, SpeedKept, time_worth,
};

/// Returns the pace of a machine that is slow by `slow` for sure, with runs of one kind only.
fn slow_pace(slow: f64, kept: f64) -> Pace {
    Pace { fast: 1.0, slow, slow_chance: 1.0, slow_share: 0.0, lasts_us: SLOWDOWN_LASTS_US as f64, kept }
}

#[test_case(50_000, 1.0, 50_000.0; "a short run ends within the slow episode or before it")]
#[test_case(50_000, 4.0, 200_000.0; "a run that just ends with it")]
#[test_case(150_000, 4.0, 300_000.0; "a run that outlasts it goes on at the average")]
fn a_run_that_follows_its_machine_is_slow_only_as_long_as_the_episode(work_us: u64, slow: f64, expected_us: f64) {
    assert_eq!(slow_pace(slow, 0.0).expected_us(work_us), expected_us);
}

#[test]
fn a_run_that_keeps_its_speed_ends_sooner_when_it_begins_after_the_episode() {
    let pace = slow_pace(4.0, 1.0);
    assert!(pace.is_better_later(150_000));
    assert_eq!(pace.expected_us(150_000), SLOWDOWN_LASTS_US as f64 + 150_000.0);
    assert!(!pace.is_better_later(50_000), "a short run is over before the episode is");
    assert!(!slow_pace(4.0, 0.0).is_better_later(150_000), "a run that follows its machine gains nothing");
}

#[test]
fn a_machine_that_may_be_slow_is_worth_less_than_its_average_tells() {
    let pace = Pace { slow_chance: 0.25, lasts_us: 1_000_000.0, ..slow_pace(5.0, 1.0) };
    let average = time_worth(pace.expected_us(220_000), 600_000.0);
    let worth = pace.worth(220_000, 0.0, 600_000.0);
    assert!(worth < average - 0.1, "{worth} {average}");
    assert!((0.70..0.78).contains(&worth), "three of four runs are in time: {worth}");
}

/// Feeds `runs` runs of 290 ms of work on a machine that is slowed five times in a quarter of its
/// stretches of 150 ms, and returns the share that is taken to keep its speed.
fn kept_after(runs: usize, keeps: bool) -> f64 {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut kept = SpeedKept::default();
    for _ in 0..runs {
        let speeds: Vec<f64> = (0..20).map(|_| if rng.u8(0..4) == 0 { 5.0 } else { 1.0 }).collect();
        let factor_at = |at: usize| speeds[at];
        let start = factor_at(0);
        let mut ran_ms = 0;
        let mut left = 290.0;
        while left > 0.0 {
            left -= 1.0 / if keeps { start } else { factor_at(ran_ms / 150) };
            ran_ms += 1;
        }
        let spread = 0.8 + rng.f64() * 0.4;
        kept.ran(ran_ms as f64 / 290.0 * spread, start, factor_at(ran_ms / 150));
    }
    kept.share()
}

#[test_case(true, 0.8..=1.0; "runs that keep their speed")]
#[test_case(false, 0.0..=0.3; "runs that follow their machine")]
fn some_tens_of_runs_tell_whether_they_keep_their_speed(keeps: bool, shares: std::ops::RangeInclusive<f64>) {
    let share = kept_after(80, keeps);
    assert!(shares.contains(&share), "{share}");
}

/// Returns the times of a run on a machine that tells nothing of its speed.
fn times(ran_us: u64, work_us: u64) -> RunTimes {
    RunTimes { ran_us, unslowed_us: ran_us, work_us, start_percent: 0, end_percent: 0 }
}

#[test]
fn a_slowed_machine_does_not_make_its_server_slow() {
    let mut speed = Speed::default();
    for at in 0..200 {
        speed.told(400, at);
        let times = RunTimes { unslowed_us: 100_000, ..times(400_000, 100_000) };
        speed.ran(times, true);
    }
    let pace = speed.pace(200);
    assert!((0.95..=1.05).contains(&pace.fast), "{pace:?}");
    assert!((3.8..=4.2).contains(&pace.slow) && pace.is_slow(), "{pace:?}");
}

#[test]
fn a_slow_server_is_known_as_slow() {
    let mut speed = Speed::default();
    for _ in 0..200 {
        speed.ran(times(500_000, 100_000), true);
    }
    let mut load = LoadReport::default();
    speed.report(&mut load, 0, 0);
    assert!((450..=560).contains(&load.fast_percent), "{}", load.fast_percent);
}

#[test]
fn a_cold_server_is_known_as_slow_within_a_few_runs_and_as_warm_at_once() {
    let mut speed = Speed::default();
    for _ in 0..8 {
        speed.ran(times(200_000, 100_000), true);
    }
    let cold = speed.pace(0).expected_us(100_000);
    assert!(cold > 160_000.0, "{cold}");
    speed.warmed_up();
    assert_eq!(speed.pace(0).expected_us(100_000), 100_000.0);
}

#[test]
fn a_server_that_fails_at_once_is_not_fast() {
    let mut speed = Speed::default();
    for _ in 0..50 {
        speed.ran(times(10, 100_000), false);
    }
    let mut load = LoadReport::default();
    speed.report(&mut load, 0, 0);
    assert_eq!(load.fast_percent, 100);
    assert!(load.failing_percent > 90);
}

#[test]
fn what_the_machine_told_fades() {
    let mut speed = Speed::default();
    speed.told(400, 0);
    let expected_us = |now_us| speed.pace(now_us).expected_us(1_000);
    assert!((expected_us(0) - 4_000.0).abs() < 10.0);
    assert!(expected_us(SLOWDOWN_LASTS_US) < 2_600.0);
    assert!(expected_us(20 * SLOWDOWN_LASTS_US) < 1_010.0);
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
    assert!(slow.service_us > 100_000 && slow.fast_percent > 500, "{slow:?}");
    let later = gate.load(ended_us + 20_000_000);
    assert!(later.service_us < 3_000 && later.fast_percent <= 101, "{later:?}");
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

/// Opens a gate whose machine is slowed five times from the start, and lets a call of
/// [`WORK_US`] arrive.
fn arrive_in_episode(patience: Patience) -> (Gate, Vec<GateAction>) {
    let mut gate = Gate::new(GateConfig::default(), 0);
    gate.told(500, 0);
    let objective = Objective { left_us: 250_000, work_us: WORK_US, elsewhere_permille: 0, wait_max_us: 50_000 };
    let arrive = GateEvent::Arrive {
        attempt: ATTEMPT,
        deadline_us: 5_000_000,
        patience,
        priority: 0,
        objective: Some(objective),
    };
    let mut out = Vec::new();
    gate.handle(arrive, 0, &mut out);
    (gate, out)
}

#[test]
fn a_run_waits_for_the_end_of_a_slow_episode() {
    let (mut gate, out) = arrive_in_episode(Patience::Long);
    assert_eq!(out, [], "it is held back while slots are free");
    assert!(gate.asks_about_episode(20_000), "the machine is asked meanwhile");
    let mut out = Vec::new();
    gate.told(100, 30_000);
    gate.handle(GateEvent::Tick, 30_000, &mut out);
    assert_eq!(out, [STARTED]);
}

#[test]
fn a_run_does_not_wait_for_an_episode_that_does_not_end() {
    let (mut gate, _) = arrive_in_episode(Patience::Long);
    let mut out = Vec::new();
    let started_us = (1..500).map(|step| step * 10_000).find(|&now_us| {
        gate.told(500, now_us);
        gate.handle(GateEvent::Tick, now_us, &mut out);
        !out.is_empty()
    });
    assert_eq!(out, [STARTED]);
    assert!(started_us.is_some_and(|started_us| started_us <= 5 * WORK_US), "{started_us:?}");
}

#[test]
fn a_machine_that_answers_no_question_holds_nothing_back_for_long() {
    let (mut gate, _) = arrive_in_episode(Patience::Long);
    let mut out = Vec::new();
    gate.handle(GateEvent::Tick, 100_000, &mut out);
    assert_eq!(out, [STARTED]);
}

#[test]
fn a_hedge_does_not_wait_for_the_end_of_an_episode() {
    let (_, out) = arrive_in_episode(Patience::None);
    assert_eq!(out, [GIVEN_BACK]);
}

#[test]
fn a_machine_of_which_nothing_is_known_is_asked_until_it_told_nothing() {
    let mut speed = Speed::default();
    speed.opened(1_000_000);
    assert!(speed.wants_news(WORK_US, 1_000_000));
    speed.told_nothing();
    assert!(!speed.wants_news(WORK_US, 1_100_000));
    speed.told(100, 1_200_000);
    speed.opened(2_000_000);
    speed.told_nothing();
    assert!(speed.wants_news(WORK_US, 2_000_000), "one that told its speed before is asked again");
}

#[test]
fn a_machine_that_misses_an_answer_is_asked_again_but_not_for_ever() {
    let mut speed = Speed::default();
    speed.opened(1_000_000);
    speed.unanswered();
    assert!(speed.wants_news(WORK_US, 1_100_000), "its node may have been short of processor time");
    (0..20).for_each(|_| speed.unanswered());
    assert!(!speed.wants_news(WORK_US, 1_200_000));
}

/// Feeds what the machine of a server tells that takes twice as long until `COLD_US`, each 100 ms, and
/// returns the chances that it is taken to be slow at that moment.
fn chances_while_cold(told_percent: &[u16]) -> Vec<f64> {
    let mut speed = Speed::default();
    speed.opened(0);
    speed.cold(COLD_US, 0);
    let tell = |(at, percent): (usize, &u16)| {
        let now_us = at as u64 * 100_000;
        speed.told(*percent, now_us);
        speed.pace(now_us).slow_chance
    };
    told_percent.iter().enumerate().map(tell).collect()
}

/// End of the time for which that server is cold, in microseconds.
const COLD_US: u64 = 3_000_000;

#[test_case(&[200, 200, 200], &[0.0, 0.0, 0.0]; "cold alone")]
#[test_case(&[200, 800, 200], &[0.0, 1.0, 0.0]; "a slow episode of a cold one")]
#[test_case(&[800, 200, 800], &[1.0, 0.0, 1.0]; "one that starts in a slow episode")]
#[test_case(&[400, 100, 400], &[1.0, 0.0, 1.0]; "one that is warm in truth")]
fn a_cold_server_is_not_taken_for_a_slow_machine(told_percent: &[u16], chances: &[f64]) {
    assert_eq!(chances_while_cold(told_percent), chances);
}

#[test]
fn a_slow_episode_is_known_by_the_same_factor_once_its_server_is_warm() {
    let mut speed = Speed::default();
    speed.cold(COLD_US, 0);
    for (now_us, percent) in [(0, 200), (100_000, 800), (200_000, 200), (3_100_000, 400), (3_200_000, 100)] {
        speed.told(percent, now_us);
    }
    assert_eq!(speed.pace(3_200_000).slow, 4.0);
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
