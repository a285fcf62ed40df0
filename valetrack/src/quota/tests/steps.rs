//! Decisions of homes and entries, one at a time.

use std::sync::Arc;

use crate::bundle::{AccountRule, AccountTable};
use crate::quota::{Allowances, Grant, QuotaHome, Step};
use crate::token_bucket::TokenBucket;

pub(super) fn rule(rate_per_s: u64, burst: u64) -> AccountRule {
    AccountRule {
        name: Arc::from("acme"),
        priority: None,
        rate_milli_per_s: rate_per_s * 1_000,
        burst_milli: burst * 1_000,
    }
}

#[test]
fn bucket_admits_burst_and_then_rate() {
    let mut bucket = TokenBucket::new(10.0, 5.0, 5.0, 0);
    assert_eq!(bucket.take(9, 0), 5);
    assert_eq!(bucket.take(1, 99_000), 0);
    assert_eq!(bucket.take(1, 101_000), 1);
    assert_eq!(bucket.take(9, 60_000_000), 5);
    bucket.configure(10.0, 2.0, 120_000_000);
    assert_eq!(bucket.take(9, 120_000_000), 2, "a lower burst applies immediately");
}

#[test]
fn entry_batches_credit_requests_and_expires_unused_credits() {
    let mut entry = Allowances::default();
    let rule = rule(100, 100);
    for _ in 0..40 {
        entry.begin(&rule, 1_000_000);
    }
    let Step::Request { calls } = entry.begin(&rule, 1_000_000) else { panic!("expected a request for credits") };
    assert_eq!(calls, 11, "credits for a quarter of a second");
    assert_eq!(entry.apply_grant(&rule.name, Grant { calls: 3, retry_after_ms: 0 }, 1_000_000), Step::Admit);
    assert_eq!(entry.begin(&rule, 1_100_000), Step::Admit);
    assert!(matches!(entry.begin(&rule, 1_300_000), Step::Request { .. }), "the third credit has expired");
}

#[test]
fn entry_refuses_immediately_while_home_has_no_credits() {
    let mut entry = Allowances::default();
    let rule = rule(100, 100);
    entry.begin(&rule, 0);
    let none = Grant { calls: 0, retry_after_ms: 80 };
    assert_eq!(entry.apply_grant(&rule.name, none, 0), Step::Refuse { retry_after_ms: 80 });
    assert_eq!(entry.begin(&rule, 30_000), Step::Refuse { retry_after_ms: 50 });
    assert!(matches!(entry.begin(&rule, 80_000), Step::Request { .. }));
}

#[test]
fn home_delays_more_entries_longer() {
    let mut home = QuotaHome::default();
    let rule = rule(10, 1);
    home.grant(&rule, 10, 0);
    let waits: Vec<u32> = (0..5).map(|_| home.grant(&rule, 1, 0).retry_after_ms).collect();
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
}

#[test]
fn lower_limit_applies_immediately() {
    let mut home = QuotaHome::default();
    home.grant(&rule(100, 100), 1, 0);
    assert_eq!(home.grant(&rule(100, 100), 200, 10_000_000).calls, 100);
    home.grant(&rule(1, 1), 0, 10_000_000);
    assert_eq!(
        home.grant(&rule(1, 1), 200, 11_000_000).calls,
        0,
        "a part of the rate is reserved for entries without a home"
    );
    assert_eq!(home.grant(&rule(1, 1), 200, 11_500_000).calls, 1);
}

#[test]
fn entry_without_home_admits_even_share() {
    let mut entry = Allowances::default();
    entry.set_nodes(10);
    let rule = rule(640, 640);
    let mut admitted = 0;
    for ms in 0..10_000 {
        if matches!(entry.begin(&rule, ms * 1_000), Step::Request { .. }) {
            admitted += u32::from(entry.admit_by_share(&rule, ms * 1_000) == Step::Admit);
        }
    }
    assert!((19..=23).contains(&admitted), "{admitted} admitted in ten seconds, two a second expected");
}

#[test]
fn restored_credit_is_used_again() {
    let mut entry = Allowances::default();
    let rule = rule(100, 100);
    entry.begin(&rule, 0);
    assert_eq!(entry.apply_grant(&rule.name, Grant { calls: 1, retry_after_ms: 0 }, 0), Step::Admit);
    entry.restore_credit(&rule.name, 1_000);
    assert_eq!(entry.begin(&rule, 2_000), Step::Admit);
}

/// Guards against an account that has its burst again after the bundle lacked it for a moment.
#[test]
fn account_that_returns_has_no_second_burst() {
    let mut home = QuotaHome::default();
    let rule = rule(10, 8);
    let none = AccountTable::default();
    home.grant(&rule, 100, 0);
    let mut granted = 0;
    for moment in 1..=20 {
        home.retain(&none, moment * 10_000);
        granted += home.grant(&rule, 100, moment * 10_000).calls;
    }
    assert!(granted <= 2, "{granted} calls in 0.2 s");
    home.retain(&none, 60_000_000);
    assert_eq!(home.grant(&rule, 100, 60_000_000).calls, 4, "an account without recent grants is forgotten");
}
