//! Single decisions of homes and entries.

use std::sync::Arc;

use crate::bundle::AccountRule;
use crate::quota::{Allowances, Grant, QuotaHome, Step, TokenBucket};

fn rule(rate_per_s: u64, burst: u64) -> AccountRule {
    AccountRule {
        name: Arc::from("acme"),
        priority: None,
        rate_milli_per_s: rate_per_s * 1_000,
        burst_milli: burst * 1_000,
    }
}

#[test]
fn a_bucket_lets_its_burst_through_and_then_its_rate() {
    let mut bucket = TokenBucket::new(10.0, 5.0, 5.0, 0);
    assert_eq!(bucket.take(9, 0), 5);
    assert_eq!(bucket.take(1, 99_000), 0);
    assert_eq!(bucket.take(1, 101_000), 1);
    assert_eq!(bucket.take(9, 60_000_000), 5);
    bucket.configure(10.0, 2.0, 120_000_000);
    assert_eq!(bucket.take(9, 120_000_000), 2, "a lower burst holds from now on");
}

#[test]
fn an_entry_asks_once_for_several_calls_and_forgets_what_it_has_not_used() {
    let mut entry = Allowances::default();
    let rule = rule(100, 100);
    for _ in 0..40 {
        entry.begin(&rule, 1_000_000);
    }
    let Step::Ask { calls } = entry.begin(&rule, 1_000_000) else { panic!("it asks") };
    assert_eq!(calls, 11, "for a quarter of a second");
    assert_eq!(entry.granted(&rule.name, Grant { calls: 3, retry_after_ms: 0 }, 1_000_000), Step::Admit);
    assert_eq!(entry.begin(&rule, 1_100_000), Step::Admit);
    assert!(matches!(entry.begin(&rule, 1_300_000), Step::Ask { .. }), "the third is too old");
}

#[test]
fn an_entry_refuses_at_once_while_the_home_has_nothing() {
    let mut entry = Allowances::default();
    let rule = rule(100, 100);
    entry.begin(&rule, 0);
    let none = Grant { calls: 0, retry_after_ms: 80 };
    assert_eq!(entry.granted(&rule.name, none, 0), Step::Refuse { retry_after_ms: 80 });
    assert_eq!(entry.begin(&rule, 30_000), Step::Refuse { retry_after_ms: 50 });
    assert!(matches!(entry.begin(&rule, 80_000), Step::Ask { .. }));
}

#[test]
fn a_home_tells_many_entries_to_wait_longer() {
    let mut home = QuotaHome::default();
    let rule = rule(10, 1);
    home.grant(&rule, 10, 0);
    let waits: Vec<u32> = (0..5).map(|_| home.grant(&rule, 1, 0).retry_after_ms).collect();
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
}

#[test]
fn a_lower_limit_binds_at_once() {
    let mut home = QuotaHome::default();
    home.grant(&rule(100, 100), 1, 0);
    assert_eq!(home.grant(&rule(100, 100), 200, 10_000_000).calls, 100);
    home.grant(&rule(1, 1), 0, 10_000_000);
    assert_eq!(home.grant(&rule(1, 1), 200, 11_000_000).calls, 0, "a part of the rate is left to entries on their own");
    assert_eq!(home.grant(&rule(1, 1), 200, 11_500_000).calls, 1);
}

#[test]
fn without_a_home_an_entry_has_an_even_share() {
    let mut entry = Allowances::default();
    entry.set_nodes(10);
    let rule = rule(640, 640);
    let mut admitted = 0;
    for ms in 0..10_000 {
        if matches!(entry.begin(&rule, ms * 1_000), Step::Ask { .. }) {
            admitted += u32::from(entry.unanswered(&rule, ms * 1_000) == Step::Admit);
        }
    }
    assert!((19..=23).contains(&admitted), "two a second of the 640, {admitted} in ten");
}

#[test]
fn a_credit_that_was_not_needed_is_used_again() {
    let mut entry = Allowances::default();
    let rule = rule(100, 100);
    entry.begin(&rule, 0);
    assert_eq!(entry.granted(&rule.name, Grant { calls: 1, retry_after_ms: 0 }, 0), Step::Admit);
    entry.give_back(&rule.name, 1_000);
    assert_eq!(entry.begin(&rule, 2_000), Step::Admit);
}
