//! Tests that a crash is distinguished from connections that break for other reasons.

use super::*;

/// Begins exchanges with these calls; returns their numbers.
fn begin_all(detector: &mut CrashDetector<&'static str>, calls: &[&'static str]) -> Vec<u64> {
    calls.iter().map(|call| detector.began(call)).collect()
}

#[test]
fn broken_calls_and_closed_port_are_a_crash() {
    let mut detector = CrashDetector::default();
    let numbers = begin_all(&mut detector, &["a", "b"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    assert!(detector.ended(numbers[1], ExchangeEnd::Broken, 2));
    assert_eq!(detector.crashed(Down::Closed, 3), ["a", "b"]);
}

#[test]
fn lost_answer_beside_a_continuing_run_is_no_crash() {
    let mut detector = CrashDetector::default();
    let numbers = begin_all(&mut detector, &["a", "b"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    assert!(detector.crashed(Down::Closed, 2).is_empty());
}

#[test]
fn answer_after_a_broken_connection_rules_out_a_crash() {
    let mut detector = CrashDetector::default();
    let numbers = begin_all(&mut detector, &["a", "b"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    assert!(!detector.ended(numbers[1], ExchangeEnd::Answered, 2));
    assert!(detector.crashed(Down::Closed, 3).is_empty());
}

#[test]
fn upstream_that_accepts_connections_has_not_crashed() {
    let mut detector = CrashDetector::default();
    let numbers = begin_all(&mut detector, &["a"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    detector.record_reachable();
    let later = begin_all(&mut detector, &["b"]);
    assert!(detector.ended(later[0], ExchangeEnd::Broken, 9));
    assert_eq!(detector.crashed(Down::Closed, 10), ["b"], "a call that broke before is not a suspect");
}

#[test]
fn calls_begun_after_the_crash_are_no_suspects() {
    let mut detector = CrashDetector::default();
    let first = begin_all(&mut detector, &["a"]);
    assert!(detector.ended(first[0], ExchangeEnd::Broken, 1));
    let later = begin_all(&mut detector, &["b"]);
    assert_eq!(detector.crashed(Down::Closed, 2), ["a"]);
    assert!(!detector.ended(later[0], ExchangeEnd::Refused, 3), "the crash was reported before");
    assert!(detector.crashed(Down::Closed, 4).is_empty(), "a crash is reported once");
}

#[test]
fn run_whose_caller_left_is_suspect_for_a_second() {
    let mut detector = CrashDetector::default();
    let numbers = begin_all(&mut detector, &["left", "hit"]);
    assert!(!detector.ended(numbers[0], ExchangeEnd::Left, 1_000_000));
    assert!(detector.ended(numbers[1], ExchangeEnd::Broken, 1_999_999));
    assert_eq!(detector.crashed(Down::Closed, 1_999_999), ["hit", "left"]);
    let mut detector = CrashDetector::default();
    let numbers = begin_all(&mut detector, &["left"]);
    assert!(!detector.ended(numbers[0], ExchangeEnd::Left, 1_000_000));
    let late = begin_all(&mut detector, &["late"]);
    assert!(detector.ended(late[0], ExchangeEnd::Refused, 2_000_000));
    assert!(detector.crashed(Down::Closed, 2_000_000).is_empty());
}

#[test]
fn closed_port_makes_run_whose_caller_left_a_suspect() {
    let mut detector = CrashDetector::default();
    let numbers = begin_all(&mut detector, &["left"]);
    assert!(!detector.ended(numbers[0], ExchangeEnd::Left, 1_000_000));
    let next = begin_all(&mut detector, &["next"]);
    assert!(detector.ended(next[0], ExchangeEnd::Refused, 1_300_000));
    assert_eq!(detector.crashed(Down::Closed, 1_300_005), ["left"]);
}

#[test]
fn next_crash_is_detected_once_the_upstream_was_up() {
    let mut detector = CrashDetector::default();
    let numbers = begin_all(&mut detector, &["a"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    assert_eq!(detector.crashed(Down::Closed, 2), ["a"]);
    detector.record_up();
    let numbers = begin_all(&mut detector, &["b"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 3));
    assert_eq!(detector.crashed(Down::Closed, 4), ["b"]);
}

#[test]
fn crash_under_first_call_after_a_crash_is_detected() {
    let mut detector = CrashDetector::default();
    let numbers = begin_all(&mut detector, &["a"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    assert_eq!(detector.crashed(Down::Closed, 2), ["a"]);
    // The upstream has accepted a connection since, though it has not answered.
    let numbers = begin_all(&mut detector, &["a again"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 3));
    assert_eq!(detector.crashed(Down::Closed, 4), ["a again"]);
}

#[test]
fn calls_reset_by_a_listener_of_a_crashed_upstream_are_no_suspects() {
    let mut detector = CrashDetector::default();
    let numbers = begin_all(&mut detector, &["a"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    assert_eq!(detector.crashed(Down::Resets, 2), ["a"]);
    let numbers = begin_all(&mut detector, &["b"]);
    assert!(!detector.ended(numbers[0], ExchangeEnd::Broken, 3));
    assert!(detector.crashed(Down::Resets, 4).is_empty());
    detector.record_up();
    let numbers = begin_all(&mut detector, &["c"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 5));
    assert_eq!(detector.crashed(Down::Resets, 6), ["c"]);
}
