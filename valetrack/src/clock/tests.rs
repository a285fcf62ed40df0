//! Tests of the clocks that differ when a VM is suspended.

use std::time::Duration;

use proptest::prelude::*;

use super::*;

#[test]
fn watch_reports_suspension_once_and_ignores_reading_error() {
    let mut watch = SuspensionWatch::default();
    assert_eq!(watch.take(0), None);
    assert_eq!(watch.take(SUSPENSION_MIN_US - 1), None);
    assert_eq!(watch.take(2_000_000), Some(Duration::from_secs(2)));
    assert_eq!(watch.take(2_000_000), None);
    assert_eq!(watch.take(2_000_001), None);
    assert_eq!(watch.take(5_000_000), Some(Duration::from_secs(3)));
}

/// Guards against a suspension that is seen since the thread lost the processor between the readings of both clocks.
#[test]
fn interrupted_reading_of_both_clocks_is_no_suspension() {
    let reading = |before_us, now_us, after_us| Reading { before_us, now_us, after_us };
    let interrupted = [reading(0, 200_000, 200_001), reading(200_002, 200_003, 400_000)];
    let quick = reading(400_001, 400_002, 400_003);
    assert_eq!(suspended_by(interrupted.into_iter().chain([quick])), 1);
    assert_eq!(suspended_by([quick, reading(400_004, 900_000, 900_001)].into_iter()), 1);
    let suspended = reading(1_000_000, 6_000_001, 1_000_002);
    assert_eq!(suspended_by(interrupted.into_iter().chain([suspended])), 5_000_001);
    assert_eq!(suspended_by([reading(0, 300_000, 300_001), reading(300_002, 350_000, 350_001)].into_iter()), 49_998);
}

#[test]
fn moment_left_and_elapsed_are_never_negative() {
    let moment = Moment::now() + Duration::from_secs(60);
    assert!(moment.left() > Duration::from_secs(59));
    assert_eq!(moment.elapsed(), Duration::ZERO);
    assert_eq!(Moment { us: 0 }.left(), Duration::ZERO);
    assert!(Moment::now() < moment);
}

#[test]
fn both_clocks_advance_without_a_suspension() {
    let (before, steady_before) = (now_us(), steady_us());
    std::thread::sleep(Duration::from_millis(5));
    assert!(now_us() >= before + 5_000 && steady_us() >= steady_before + 5_000);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(35),
        ..Default::default()
    })]

    #[test]
    fn watch_reports_the_total_suspended_time(gaps_us in prop::collection::vec(0..3_000_000_u64, 1..30)) {
        let mut watch = SuspensionWatch::default();
        let (mut total_us, mut reported) = (0, Duration::ZERO);
        for gap_us in gaps_us {
            total_us += gap_us;
            reported += watch.take(total_us).unwrap_or_default();
            prop_assert!(reported <= Duration::from_micros(total_us));
            prop_assert!(reported + Duration::from_micros(SUSPENSION_MIN_US) > Duration::from_micros(total_us));
        }
    }
}
