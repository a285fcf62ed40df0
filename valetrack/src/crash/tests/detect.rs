//! A crash is told from connections that break for other causes.

use super::*;

/// Exchanges of an upstream, numbered as they begin.
fn began(detector: &mut CrashDetector<&'static str>, calls: &[&'static str]) -> Vec<u64> {
    calls.iter().map(|call| detector.began(call)).collect()
}

#[test]
fn an_upstream_that_breaks_all_its_calls_and_closes_its_port_has_crashed() {
    let mut detector = CrashDetector::default();
    let numbers = began(&mut detector, &["a", "b"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    assert!(detector.ended(numbers[1], ExchangeEnd::Broken, 2));
    assert_eq!(detector.crashed(Down::Closed, 3), ["a", "b"]);
}

#[test]
fn one_lost_answer_beside_a_run_that_goes_on_is_no_crash() {
    let mut detector = CrashDetector::default();
    let numbers = began(&mut detector, &["a", "b"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    assert!(detector.crashed(Down::Closed, 2).is_empty());
}

#[test]
fn an_answer_after_the_break_shows_that_the_upstream_lives() {
    let mut detector = CrashDetector::default();
    let numbers = began(&mut detector, &["a", "b"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    assert!(!detector.ended(numbers[1], ExchangeEnd::Answered, 2));
    assert!(detector.crashed(Down::Closed, 3).is_empty());
}

#[test]
fn an_upstream_that_takes_connections_has_not_crashed() {
    let mut detector = CrashDetector::default();
    let numbers = began(&mut detector, &["a"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    detector.stands();
    let later = began(&mut detector, &["b"]);
    assert!(detector.ended(later[0], ExchangeEnd::Broken, 9));
    assert_eq!(detector.crashed(Down::Closed, 10), ["b"], "what broke before is no suspect");
}

#[test]
fn calls_that_have_begun_after_the_crash_are_no_suspects_and_do_not_hide_it() {
    let mut detector = CrashDetector::default();
    let first = began(&mut detector, &["a"]);
    assert!(detector.ended(first[0], ExchangeEnd::Broken, 1));
    let later = began(&mut detector, &["b"]);
    assert_eq!(detector.crashed(Down::Closed, 2), ["a"]);
    assert!(!detector.ended(later[0], ExchangeEnd::Refused, 3), "the crash is known");
    assert!(detector.crashed(Down::Closed, 4).is_empty(), "a crash is reported once");
}

#[test]
fn a_run_whose_caller_has_left_is_a_suspect_for_a_second() {
    let mut detector = CrashDetector::default();
    let numbers = began(&mut detector, &["gone", "hit"]);
    assert!(!detector.ended(numbers[0], ExchangeEnd::Left, 1_000_000));
    assert!(detector.ended(numbers[1], ExchangeEnd::Broken, 1_999_999));
    assert_eq!(detector.crashed(Down::Closed, 1_999_999), ["hit", "gone"]);
    let mut detector = CrashDetector::default();
    let numbers = began(&mut detector, &["gone"]);
    assert!(!detector.ended(numbers[0], ExchangeEnd::Left, 1_000_000));
    let late = began(&mut detector, &["late"]);
    assert!(detector.ended(late[0], ExchangeEnd::Refused, 2_000_000));
    assert!(detector.crashed(Down::Closed, 2_000_000).is_empty());
}

#[test]
fn a_closed_port_shows_a_crash_under_a_run_whose_caller_had_left() {
    let mut detector = CrashDetector::default();
    let numbers = began(&mut detector, &["gone"]);
    assert!(!detector.ended(numbers[0], ExchangeEnd::Left, 1_000_000));
    let next = began(&mut detector, &["next"]);
    assert!(detector.ended(next[0], ExchangeEnd::Refused, 1_300_000));
    assert_eq!(detector.crashed(Down::Closed, 1_300_005), ["gone"]);
}

#[test]
fn the_next_crash_is_told_after_a_sign_of_life() {
    let mut detector = CrashDetector::default();
    let numbers = began(&mut detector, &["a"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    assert_eq!(detector.crashed(Down::Closed, 2), ["a"]);
    detector.alive();
    let numbers = began(&mut detector, &["b"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 3));
    assert_eq!(detector.crashed(Down::Closed, 4), ["b"]);
}

#[test]
fn an_upstream_that_crashes_again_under_its_first_call_is_seen_to() {
    let mut detector = CrashDetector::default();
    let numbers = began(&mut detector, &["a"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    assert_eq!(detector.crashed(Down::Closed, 2), ["a"]);
    // It took a connection, though it has answered nothing since.
    let numbers = began(&mut detector, &["a again"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 3));
    assert_eq!(detector.crashed(Down::Closed, 4), ["a again"]);
}

#[test]
fn calls_that_find_a_crashed_upstream_behind_something_that_resets_them_are_no_suspects() {
    let mut detector = CrashDetector::default();
    let numbers = began(&mut detector, &["a"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 1));
    assert_eq!(detector.crashed(Down::Resets, 2), ["a"]);
    let numbers = began(&mut detector, &["b"]);
    assert!(!detector.ended(numbers[0], ExchangeEnd::Broken, 3));
    assert!(detector.crashed(Down::Resets, 4).is_empty());
    detector.alive();
    let numbers = began(&mut detector, &["c"]);
    assert!(detector.ended(numbers[0], ExchangeEnd::Broken, 5));
    assert_eq!(detector.crashed(Down::Resets, 6), ["c"]);
}
