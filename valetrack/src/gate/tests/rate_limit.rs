//! Rate limit that an upstream requests in its answers.

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use test_case::test_case;

use crate::gate::{AnswerKind, RateLimit, RequestedRate};

const SECOND_US: u64 = 1_000_000;

fn limited(rate_per_s: f64, now_us: u64) -> RateLimit {
    let mut limit = RateLimit::default();
    limit.on_answer(RequestedRate::PerS(rate_per_s), AnswerKind::Call, now_us, now_us);
    limit
}

#[test_case(&["6.7"], RequestedRate::PerS(6.7); "a decimal number")]
#[test_case(&["40"], RequestedRate::PerS(40.0); "a whole number")]
#[test_case(&["0"], RequestedRate::PerS(0.0); "zero")]
#[test_case(&[" 2.5 "], RequestedRate::PerS(2.5); "blanks around it")]
#[test_case(&[], RequestedRate::None; "no header")]
#[test_case(&[""], RequestedRate::Invalid; "empty")]
#[test_case(&["."], RequestedRate::Invalid; "no digit")]
#[test_case(&["-1"], RequestedRate::Invalid; "negative")]
#[test_case(&["NaN"], RequestedRate::Invalid; "not a number")]
#[test_case(&["inf"], RequestedRate::Invalid; "infinite")]
#[test_case(&["1e400"], RequestedRate::Invalid; "an exponent")]
#[test_case(&["5, 6"], RequestedRate::Invalid; "a list")]
#[test_case(&["5", "5"], RequestedRate::Invalid; "two headers")]
fn rate_header_is_one_decimal_number(values: &[&'static str], expected: RequestedRate) {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append("rate", HeaderValue::from_static(value));
    }
    assert_eq!(RequestedRate::read(&headers, "rate"), expected);
}

#[test]
fn number_beyond_the_range_is_invalid() {
    let mut headers = HeaderMap::new();
    headers.insert("rate", HeaderValue::from_str(&"9".repeat(400)).expect("a valid value"));
    assert_eq!(RequestedRate::read(&headers, "rate"), RequestedRate::Invalid);
}

#[test]
fn first_limit_admits_nothing_until_its_first_token() {
    let mut limit = limited(4.0, SECOND_US);
    assert_eq!(limit.remaining(SECOND_US), Some(0));
    assert_eq!(limit.wait_us(0, SECOND_US), 250_000);
    assert_eq!(limit.remaining(SECOND_US + 250_000), Some(1));
    assert!(limit.record_start(SECOND_US + 250_000));
    assert!(!limit.record_start(SECOND_US + 250_000), "the token is used");
}

#[test]
fn burst_is_one_call_and_quarter_second() {
    let limit = limited(8.0, 0);
    assert_eq!(limit.remaining(60 * SECOND_US), Some(3));
}

#[test]
fn lower_limit_applies_to_an_answer_from_before() {
    let mut limit = limited(40.0, 5 * SECOND_US);
    let change = limit.on_answer(RequestedRate::PerS(0.4), AnswerKind::Call, SECOND_US, 6 * SECOND_US);
    assert_eq!(change.map(|change| change.to_per_s), Some(Some(0.4)));
    assert_eq!(limit.remaining(60 * SECOND_US), Some(1), "the burst falls with the limit");
}

#[test_case(RequestedRate::PerS(40.0); "a higher limit")]
#[test_case(RequestedRate::None; "no limit")]
fn limit_is_raised_only_by_later_answer(requested: RequestedRate) {
    let mut limit = limited(2.0, 5 * SECOND_US);
    limit.on_answer(requested, AnswerKind::Call, 5 * SECOND_US - 1, 6 * SECOND_US);
    assert_eq!(limit.rate_per_s(), Some(2.0));
    limit.on_answer(requested, AnswerKind::Stray, 6 * SECOND_US, 6 * SECOND_US);
    assert_eq!(limit.rate_per_s(), Some(2.0), "a stray answer may have begun at any time");
    limit.on_answer(requested, AnswerKind::Call, 5 * SECOND_US, 6 * SECOND_US);
    assert_ne!(limit.rate_per_s(), Some(2.0));
}

#[test]
fn invalid_limit_keeps_the_last_valid_one() {
    let mut limit = limited(2.0, 0);
    limit.on_answer(RequestedRate::Invalid, AnswerKind::Call, SECOND_US, SECOND_US);
    assert_eq!(limit.rate_per_s(), Some(2.0));
}

#[test]
fn new_start_has_no_limit_of_earlier_one() {
    let mut limit = limited(2.0, 0);
    limit.restart(true, SECOND_US);
    assert_eq!((limit.rate_per_s(), limit.unconfirmed_calls_max()), (None, None));
    limit.on_answer(RequestedRate::PerS(2.0), AnswerKind::Call, SECOND_US - 1, 2 * SECOND_US);
    assert_eq!(limit.rate_per_s(), None, "the answer comes from the earlier start");
}

#[test_case(AnswerKind::Call, RequestedRate::None, None; "an answer to a call")]
#[test_case(AnswerKind::HealthCheck, RequestedRate::None, None; "an answer to a health check")]
#[test_case(AnswerKind::HealthCheck, RequestedRate::PerS(2.0), Some(2.0); "a health check that states a limit")]
fn limit_is_unconfirmed_until_the_first_answer(kind: AnswerKind, requested: RequestedRate, expected: Option<f64>) {
    let mut limit = RateLimit::default();
    limit.restart(false, 0);
    limit.on_answer(RequestedRate::None, AnswerKind::Stray, 1, 2);
    limit.on_answer(RequestedRate::Invalid, AnswerKind::Call, 1, 2);
    assert_eq!(limit.unconfirmed_calls_max(), Some(2));
    limit.on_answer(requested, kind, 1, 2);
    assert_eq!((limit.unconfirmed_calls_max(), limit.rate_per_s()), (None, expected));
}

#[test]
fn zero_limit_ends_with_a_trial_call() {
    let mut limit = limited(0.0, 0);
    assert!(!limit.needs_check(2 * SECOND_US - 1));
    assert!(limit.needs_check(2 * SECOND_US));
    limit.record_check(2 * SECOND_US);
    assert!(!limit.needs_check(3 * SECOND_US));
    let begun_us = 2 * SECOND_US;
    limit.on_answer(RequestedRate::None, AnswerKind::HealthCheck, begun_us, begun_us + 1_000);
    assert_eq!((limit.rate_per_s(), limit.remaining(3 * SECOND_US)), (Some(0.0), Some(1)), "one call finds out");
    assert!(limit.record_start(3 * SECOND_US));
    assert_eq!(limit.remaining(3 * SECOND_US), Some(0));
    limit.on_answer(RequestedRate::None, AnswerKind::Call, 3 * SECOND_US, 4 * SECOND_US);
    assert_eq!(limit.rate_per_s(), None);
}

#[test]
fn each_decline_delays_next_entry_by_one_call() {
    let mut limit = limited(10.0, 0);
    let delays_ms: Vec<u64> = (0..5)
        .map(|_| {
            limit.record_decline(0);
            limit.start_delay_us(0, 0) / 1000
        })
        .collect();
    assert_eq!(delays_ms, [200, 300, 400, 500, 600]);
    assert_eq!(limit.start_delay_us(0, 100_000), 0, "a token is there, whoever was declined before");
}
