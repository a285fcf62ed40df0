//! Rules of promises, one at a time.

use std::sync::Arc;

use test_case::test_case;

use super::steps::rule;
use crate::link::peer::Target;
use crate::quota::{Grant, PROMISE_US, PromiseReply, Promises, QuotaHome, Renewal, Right, Role};

const START_US: u64 = 10_000_000;

fn target(vm: &str) -> Target {
    Target { vm: Arc::from(vm), addr: ([127, 0, 0, 1], 1).into() }
}

/// Returns what a home with the given record may grant.
fn home_right(promises: &Promises, now_us: u64) -> Option<Right> {
    promises.right(&Role::Home { stand_in: Some(target("b")) }, |_| false, now_us, now_us)
}

/// Returns what a stand-in of `a` may grant.
fn stand_in_right(promises: &Promises, steady_us: u64) -> Option<Right> {
    promises.right(&Role::StandIn { home: target("a") }, |vm| vm == "a", u64::MAX, steady_us)
}

fn receive(promises: &mut Promises, reply: PromiseReply, asked_us: u64) {
    promises.received.begin(&Arc::from("b"));
    promises.received.record(&Arc::from("b"), reply, asked_us);
}

/// A restarted stand-in has no record of a promise that is still in effect.
#[test]
fn restarted_stand_in_grants_nothing_for_promise_time() {
    let promises = Promises::new(START_US);
    assert_eq!(stand_in_right(&promises, START_US + PROMISE_US - 1), None);
    assert_eq!(stand_in_right(&promises, START_US + PROMISE_US), Some(Right::Half));
}

/// A home that counts the promise longer than its giver would grant the whole rate beside the stand-in's half.
#[test]
fn promise_ends_at_receiver_before_giver() {
    let (mut home, mut stand_in) = (Promises::new(0), Promises::new(0));
    // Both clocks have the same reading, and the request takes no time.
    let reply = stand_in.given.give(&Arc::from("a"), START_US);
    receive(&mut home, reply, START_US);
    assert_eq!(home_right(&home, START_US + PROMISE_US - 250_001), Some(Right::Full { since_us: START_US }));
    assert_eq!(home_right(&home, START_US + PROMISE_US - 250_000), Some(Right::Half));
    assert_eq!(stand_in_right(&stand_in, START_US + PROMISE_US - 1), None);
    assert_eq!(stand_in_right(&stand_in, START_US + PROMISE_US), Some(Right::Half));
}

/// A former stand-in whose view no longer names the home, but that has promised it to grant nothing, must wait.
#[test]
fn promise_binds_giver_that_becomes_home() {
    let mut promises = Promises::new(0);
    promises.given.give(&Arc::from("a"), START_US);
    let role = Role::Home { stand_in: None };
    assert_eq!(promises.right(&role, |vm| vm == "a", START_US, START_US), None);
    assert!(promises.right(&role, |vm| vm == "a", START_US, START_US + PROMISE_US).is_some());
}

/// After a lost reply the home can't know whether the stand-in granted before the promise that was lost.
#[test]
fn promise_after_lost_reply_counts_as_interrupted() {
    let mut home = Promises::new(0);
    receive(&mut home, PromiseReply::Given { is_unbroken: false }, START_US);
    receive(&mut home, PromiseReply::Given { is_unbroken: true }, START_US + 1);
    assert_eq!(home_right(&home, START_US + 2), Some(Right::Full { since_us: START_US }));
    home.received.begin(&Arc::from("b"));
    receive(&mut home, PromiseReply::Given { is_unbroken: true }, START_US + 3);
    assert_eq!(home_right(&home, START_US + 4), Some(Right::Full { since_us: START_US + 3 }));
}

/// Guards against callers that are refused within their rate while the views of two nodes differ.
#[test]
fn denied_home_grants_half_and_asks_again() {
    let mut home = Promises::new(0);
    receive(&mut home, PromiseReply::Denied, START_US);
    assert_eq!(home_right(&home, START_US), Some(Right::Half));
    assert_eq!(home.received.renewal("b", START_US), Renewal::NotDue);
    assert_eq!(home.received.renewal("b", START_US + 300_000), Renewal::Required);
}

/// A node of an older build answers a request for no calls with `NoQuota`, or with a delay of 20 to 1,000 ms.
#[test_case(None; "no quota")]
#[test_case(Some(Grant { calls: 0, retry_after_ms: 20 }); "shortest delay")]
#[test_case(Some(Grant { calls: 0, retry_after_ms: 1_000 }); "longest delay")]
fn reply_of_older_build_is_no_promise(grant: Option<Grant>) {
    assert_eq!(PromiseReply::from_grant(grant), PromiseReply::None);
}

#[test_case(PromiseReply::Given { is_unbroken: true })]
#[test_case(PromiseReply::Given { is_unbroken: false })]
#[test_case(PromiseReply::Denied)]
#[test_case(PromiseReply::None)]
fn reply_survives_message_format(reply: PromiseReply) {
    assert_eq!(PromiseReply::from_grant(reply.to_grant()), reply);
}

/// A bucket that was filled while another node granted would admit both nodes' shares at once.
#[test]
fn home_fills_at_half_rate_beside_stand_in() {
    let mut home = QuotaHome::default();
    let rule = rule(32, 320);
    home.grant_within(&rule, Right::Full { since_us: 0 }, 100, START_US);
    let later_us = START_US + 2_000_000;
    assert_eq!(home.grant_within(&rule, Right::Full { since_us: later_us }, 100, later_us).calls, 31);
    let end_us = later_us + 2_000_000;
    assert_eq!(home.grant_within(&rule, Right::Full { since_us: later_us }, 100, end_us).calls, 62);
}
