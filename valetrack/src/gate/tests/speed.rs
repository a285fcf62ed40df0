//! What runs and the machine's own figure make of a server's speed.

use test_case::test_case;

use crate::gate::{LoadReport, SLOWDOWN_LASTS_US, Speed, expected_run_us};

#[test_case(50_000, 1.0, 50_000; "a short run ends within the slow episode or before it")]
#[test_case(50_000, 4.0, 200_000; "a run that just ends with it")]
#[test_case(150_000, 4.0, 300_000; "a run that outlasts it goes on at the average")]
fn a_run_is_slow_only_as_long_as_the_episode(work_us: u64, now: f64, expected_us: u64) {
    assert_eq!(expected_run_us(work_us, now, 1.0, SLOWDOWN_LASTS_US as f64), expected_us);
}

#[test]
fn a_slow_server_is_known_as_slow() {
    let mut speed = Speed::default();
    for _ in 0..200 {
        speed.ran(500_000, 100_000, true);
    }
    let mut load = LoadReport::default();
    speed.report(&mut load, 0);
    assert!((450..=560).contains(&load.mean_percent), "{}", load.mean_percent);
}

#[test]
fn a_server_that_fails_at_once_is_not_fast() {
    let mut speed = Speed::default();
    for _ in 0..50 {
        speed.ran(10, 100_000, false);
    }
    let mut load = LoadReport::default();
    speed.report(&mut load, 0);
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
