//! Speed estimates from runs and from the machine's reports.

use test_case::test_case;

use super::caller_arrival;
use crate::gate::{
    AttemptId, DeclineReason, Gate, GateAction, GateConfig, GateEvent, KeptSpeedShare, LoadReport, Objective,
    QueueTimeout, RunTimes, SLOWDOWN_DURATION_US, Speed, SpeedEstimate, utility_at,
};

/// Returns the estimate for a machine that is certainly slowed by `slow`, with runs of one kind only.
fn slow_estimate(slow: f64, kept: f64) -> SpeedEstimate {
    SpeedEstimate { fast: 1.0, slow, slow_chance: 1.0, slow_share: 0.0, lasts_us: SLOWDOWN_DURATION_US as f64, kept }
}

#[test_case(50_000, 1.0, 50_000.0; "a short run on a fast machine")]
#[test_case(50_000, 4.0, 200_000.0; "a run that ends with the slow episode")]
#[test_case(150_000, 4.0, 300_000.0; "a run that outlasts the episode continues at average speed")]
fn run_that_follows_machine_is_slow_only_during_episode(work_us: u64, slow: f64, expected_us: f64) {
    assert_eq!(slow_estimate(slow, 0.0).expected_us(work_us), expected_us);
}

#[test]
fn run_that_keeps_speed_ends_sooner_after_episode() {
    let estimate = slow_estimate(4.0, 1.0);
    assert!(estimate.is_better_later(150_000));
    assert_eq!(estimate.expected_us(150_000), SLOWDOWN_DURATION_US as f64 + 150_000.0);
    assert!(!estimate.is_better_later(50_000), "a short run ends before the episode");
    assert!(!slow_estimate(4.0, 0.0).is_better_later(150_000), "a run that follows its machine gains nothing");
}

#[test]
fn possibly_slow_machine_has_less_utility_than_average_duration() {
    let estimate = SpeedEstimate { slow_chance: 0.25, lasts_us: 1_000_000.0, ..slow_estimate(5.0, 1.0) };
    let average = utility_at(estimate.expected_us(220_000), 600_000.0);
    let expected = estimate.expected_utility(220_000, 0.0, 600_000.0);
    assert!(expected < average - 0.1, "{expected} {average}");
    assert!((0.70..0.78).contains(&expected), "three of four runs are in time: {expected}");
}

/// Records `runs` runs of 290 ms of work on a machine that is slowed five times in a quarter of its periods of 150 ms.
/// Returns the learned share of runs that keep their speed.
fn kept_share_after(runs: usize, keeps: bool) -> f64 {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut kept = KeptSpeedShare::default();
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
        kept.record_run(ran_ms as f64 / 290.0 * spread, start, factor_at(ran_ms / 150));
    }
    kept.share()
}

#[test_case(true, 0.8..=1.0; "runs that keep their speed")]
#[test_case(false, 0.0..=0.3; "runs that follow their machine")]
fn eighty_runs_show_whether_they_keep_their_speed(keeps: bool, shares: std::ops::RangeInclusive<f64>) {
    let share = kept_share_after(80, keeps);
    assert!(shares.contains(&share), "{share}");
}

/// Returns the durations of a run on a machine that reports no speed.
fn times(ran_us: u64, work_us: u64) -> RunTimes {
    RunTimes { ran_us, unslowed_us: ran_us, work_us, start_percent: 0, end_percent: 0 }
}

#[test]
fn slowed_machine_does_not_change_server_base_speed() {
    let mut speed = Speed::default();
    for at in 0..200 {
        speed.record_slowdown(400, at);
        let times = RunTimes { unslowed_us: 100_000, ..times(400_000, 100_000) };
        speed.record_run(times, true);
    }
    let estimate = speed.estimate(200);
    assert!((0.95..=1.05).contains(&estimate.fast), "{estimate:?}");
    assert!((3.8..=4.2).contains(&estimate.slow) && estimate.is_slow(), "{estimate:?}");
}

#[test]
fn slow_server_is_reported_as_slow() {
    let mut speed = Speed::default();
    for _ in 0..200 {
        speed.record_run(times(500_000, 100_000), true);
    }
    let mut load = LoadReport::default();
    speed.report(&mut load, 0, 0);
    assert!((450..=560).contains(&load.fast_percent), "{}", load.fast_percent);
}

#[test]
fn cold_server_is_slow_after_eight_runs_until_warm() {
    let mut speed = Speed::default();
    for _ in 0..8 {
        speed.record_run(times(200_000, 100_000), true);
    }
    let cold = speed.estimate(0).expected_us(100_000);
    assert!(cold > 160_000.0, "{cold}");
    speed.warmed_up();
    assert_eq!(speed.estimate(0).expected_us(100_000), 100_000.0);
}

#[test]
fn immediate_failures_do_not_count_as_fast() {
    let mut speed = Speed::default();
    for _ in 0..50 {
        speed.record_run(times(10, 100_000), false);
    }
    let mut load = LoadReport::default();
    speed.report(&mut load, 0, 0);
    assert_eq!(load.fast_percent, 100);
    assert!(load.failing_percent > 90);
}

#[test]
fn reported_slowdown_fades() {
    let mut speed = Speed::default();
    speed.record_slowdown(400, 0);
    let expected_us = |now_us| speed.estimate(now_us).expected_us(1_000);
    assert!((expected_us(0) - 4_000.0).abs() < 10.0);
    assert!(expected_us(SLOWDOWN_DURATION_US) < 2_600.0);
    assert!(expected_us(20 * SLOWDOWN_DURATION_US) < 1_010.0);
}

#[test]
fn load_of_idle_slow_server_recovers() {
    let mut gate = Gate::new(GateConfig { slots: 1, ..GateConfig::default() }, 0);
    let mut out = Vec::new();
    for seq in 0..40 {
        let attempt = AttemptId { entry: 1, seq };
        let now_us = seq * 200_000;
        let arrive = caller_arrival(attempt, now_us + 1_000_000, QueueTimeout::Last, 0, None);
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

/// Returns what a gate whose machine has just reported `slowdown_percent` does with a call whose utility at the best
/// other server is `elsewhere_permille`.
fn arrive_at_machine(slowdown_percent: u16, elsewhere_permille: u16) -> Vec<GateAction> {
    let mut gate = Gate::new(GateConfig::default(), 0);
    gate.on_slowdown_reported(slowdown_percent, 0);
    let objective = Objective { left_us: 250_000, work_us: WORK_US, elsewhere_permille, wait_max_us: 50_000 };
    let arrive = caller_arrival(ATTEMPT, 1_000_000, QueueTimeout::Short, 0, Some(objective));
    let mut out = Vec::new();
    gate.handle(arrive, 0, &mut out);
    out
}

const ATTEMPT: AttemptId = AttemptId { entry: 1, seq: 1 };
const STARTED: GateAction = GateAction::Start { attempt: ATTEMPT };
const DECLINED: GateAction = GateAction::Bounce { attempt: ATTEMPT, reason: DeclineReason::Slow };

#[test_case(100, 900, STARTED; "a fast machine runs it")]
#[test_case(240, 900, DECLINED; "a slow machine declines it if it would be in time elsewhere")]
#[test_case(240, 300, STARTED; "a slow machine runs it if it would be later elsewhere")]
#[test_case(240, 0, STARTED; "a slow machine runs it in time if there is no other server")]
fn call_runs_where_its_utility_is_highest(slowdown_percent: u16, elsewhere_permille: u16, expected: GateAction) {
    assert_eq!(arrive_at_machine(slowdown_percent, elsewhere_permille), [expected]);
}

/// Opens a gate whose machine is slowed five times from the start, and sends it a call of [`WORK_US`].
fn arrive_in_episode(patience: QueueTimeout) -> (Gate, Vec<GateAction>) {
    let mut gate = Gate::new(GateConfig::default(), 0);
    gate.on_slowdown_reported(500, 0);
    let objective = Objective { left_us: 250_000, work_us: WORK_US, elsewhere_permille: 0, wait_max_us: 50_000 };
    let arrive = caller_arrival(ATTEMPT, 5_000_000, patience, 0, Some(objective));
    let mut out = Vec::new();
    gate.handle(arrive, 0, &mut out);
    (gate, out)
}

#[test]
fn run_is_deferred_until_slow_episode_ends() {
    let (mut gate, out) = arrive_in_episode(QueueTimeout::Long);
    assert_eq!(out, [], "the run is deferred although slots are free");
    assert!(gate.needs_episode_update(20_000), "the machine is asked during the wait");
    let mut out = Vec::new();
    gate.on_slowdown_reported(100, 30_000);
    gate.handle(GateEvent::Tick, 30_000, &mut out);
    assert_eq!(out, [STARTED]);
}

#[test]
fn run_is_not_deferred_by_unending_episode() {
    let (mut gate, _) = arrive_in_episode(QueueTimeout::Long);
    let mut out = Vec::new();
    let started_us = (1..500).map(|step| step * 10_000).find(|&now_us| {
        gate.on_slowdown_reported(500, now_us);
        gate.handle(GateEvent::Tick, now_us, &mut out);
        !out.is_empty()
    });
    assert_eq!(out, [STARTED]);
    assert!(started_us.is_some_and(|started_us| started_us <= 5 * WORK_US), "{started_us:?}");
}

#[test]
fn unanswered_requests_end_deferral() {
    let (mut gate, _) = arrive_in_episode(QueueTimeout::Long);
    let mut out = Vec::new();
    gate.handle(GateEvent::Tick, 100_000, &mut out);
    assert_eq!(out, [STARTED]);
}

#[test]
fn hedge_is_declined_during_slow_episode() {
    let (_, out) = arrive_in_episode(QueueTimeout::None);
    assert_eq!(out, [DECLINED]);
}

#[test]
fn unknown_machine_is_asked_until_it_reports_no_load() {
    let mut speed = Speed::default();
    speed.assume_variable(1_000_000);
    assert!(speed.needs_report(WORK_US, 1_000_000));
    speed.record_no_load();
    assert!(!speed.needs_report(WORK_US, 1_100_000));
    speed.record_slowdown(100, 1_200_000);
    speed.assume_variable(2_000_000);
    speed.record_no_load();
    assert!(speed.needs_report(WORK_US, 2_000_000), "a machine that reported its speed before is asked again");
}

#[test]
fn a_machine_that_misses_an_answer_is_asked_again_but_not_for_ever() {
    let mut speed = Speed::default();
    speed.assume_variable(1_000_000);
    speed.record_no_answer();
    assert!(speed.needs_report(WORK_US, 1_100_000), "its node may have been short of processor time");
    (0..20).for_each(|_| speed.record_no_answer());
    assert!(!speed.needs_report(WORK_US, 1_200_000));
}

/// Records the reports of the machine of a cold server, one every 100 ms, and returns the estimated probability of a
/// slow episode after each report. The server takes twice as long until `COLD_US`.
fn chances_while_cold(reported_percent: &[u16]) -> Vec<f64> {
    let mut speed = Speed::default();
    speed.assume_variable(0);
    speed.set_cold_until(COLD_US, 0);
    let record = |(at, percent): (usize, &u16)| {
        let now_us = at as u64 * 100_000;
        speed.record_slowdown(*percent, now_us);
        speed.estimate(now_us).slow_chance
    };
    reported_percent.iter().enumerate().map(record).collect()
}

/// End of that server's cold period.
const COLD_US: u64 = 3_000_000;

#[test_case(&[200, 200, 200], &[0.0, 0.0, 0.0]; "a cold server without episodes")]
#[test_case(&[200, 800, 200], &[0.0, 1.0, 0.0]; "a slow episode of a cold server")]
#[test_case(&[800, 200, 800], &[1.0, 0.0, 1.0]; "a cold server that starts in a slow episode")]
#[test_case(&[400, 100, 400], &[1.0, 0.0, 1.0]; "a server that is already warm")]
fn a_cold_server_is_not_taken_for_a_slow_machine(reported_percent: &[u16], chances: &[f64]) {
    assert_eq!(chances_while_cold(reported_percent), chances);
}

#[test]
fn a_slow_episode_is_known_by_the_same_factor_once_its_server_is_warm() {
    let mut speed = Speed::default();
    speed.set_cold_until(COLD_US, 0);
    for (now_us, percent) in [(0, 200), (100_000, 800), (200_000, 200), (3_100_000, 400), (3_200_000, 100)] {
        speed.record_slowdown(percent, now_us);
    }
    assert_eq!(speed.estimate(3_200_000).slow, 4.0);
}

#[test]
fn only_machine_of_variable_speed_is_asked() {
    let mut speed = Speed::default();
    assert!(!speed.needs_report(WORK_US, 60_000_000), "no slow episode was reported");
    speed.record_slowdown(400, 0);
    assert!(!speed.needs_report(WORK_US, 10_000), "the last report is recent");
    assert!(!speed.needs_report(1_000, 50_000), "the run is too short to justify a request");
    assert!(speed.needs_report(WORK_US, 50_000));
    assert!(!speed.needs_report(WORK_US, 60_000_000), "the last slow episode is long past");
}
