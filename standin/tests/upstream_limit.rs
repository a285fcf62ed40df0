//! Real nodes in front of upstreams that limit their rate in their answers, or state there that they leave.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::managed::{Fleet, call};
use common::wait_for;
use standin::client::Reply;
use test_case::test_case;
use tokio::task::JoinSet;

/// Time between two calls of one entry.
const PAUSE: Duration = Duration::from_millis(25);

/// Sends calls to all nodes at an even pace; returns the ids and replies.
async fn load(fleet: &Fleet, prefix: &str, length: Duration) -> Vec<(String, Reply)> {
    let mut calls = JoinSet::new();
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < length {
        for vm in fleet.vms.iter().filter(|vm| vm.node.is_some()) {
            let (addr, id) = (vm.caller_addr, format!("{prefix}-{number}"));
            number += 1;
            calls.spawn(async move {
                let reply = call(addr, "GET", "/sheet/", &id).await;
                (id, reply)
            });
        }
        tokio::time::sleep(PAUSE).await;
    }
    let ended = calls.join_all().await.into_iter();
    ended.filter_map(|(id, reply)| Some((id, reply.ok()?))).collect()
}

/// Asserts that no call was run that was rejected.
fn assert_rejections_true(fleet: &Fleet, replies: &[(String, Reply)]) {
    for (id, reply) in replies.iter().filter(|(_, reply)| reply.status == 503) {
        assert_eq!(fleet.runs(id), 0, "{id} was rejected with {}", reply.header("valetrack-code"));
    }
}

#[tokio::test]
async fn calls_over_rate_limit_reach_no_upstream() {
    let fleet = Fleet::start(&["rounds", "ledger", "ledger", "ledger"]).await;
    let upstream: Arc<_> = fleet.vms[0].upstream.clone();
    upstream.set_limit(Some("6.5"));
    let replies = load(&fleet, "limit", Duration::from_millis(6_500)).await;
    assert_eq!(upstream.limit_breach(), None);
    assert_rejections_true(&fleet, &replies);
    let served = replies.iter().filter(|(_, reply)| reply.status == 200).count();
    assert!(served as f64 > 0.9 * 6.5 * 6.0, "{served}");
}

#[tokio::test]
async fn calls_after_leaving_answer_reach_no_upstream() {
    let fleet = Fleet::start(&["rounds", "rounds", "ledger"]).await;
    let leaving = fleet.vms[0].upstream.clone();
    leaving.leave_by_answer();
    let replies = load(&fleet, "leave", Duration::from_millis(4_000)).await;
    assert_eq!(leaving.late_arrivals(), 0);
    let failed = replies.iter().filter(|(_, reply)| reply.status != 200).count();
    assert_eq!(failed, 0, "the other upstream serves all calls");
    for at in 0..3 {
        assert_eq!(fleet.readiness(at).await, 200, "an upstream that leaves does not stop its node");
    }
}

/// What happens to the node beside a limited upstream.
#[derive(Debug, Clone, Copy)]
enum Disturbance {
    Kill,
    Stop,
    Suspend,
}

#[test_case(Disturbance::Kill; "killed")]
#[test_case(Disturbance::Stop; "stopped in order")]
#[test_case(Disturbance::Suspend; "suspended")]
fn limit_holds_while_node_is(disturbance: Disturbance) {
    run(async move {
        let mut fleet = Fleet::start(&["rounds", "ledger", "ledger"]).await;
        let upstream = fleet.vms[0].upstream.clone();
        upstream.set_limit(Some("2.5"));
        load(&fleet, "before", Duration::from_millis(2_000)).await;
        match disturbance {
            Disturbance::Kill => fleet.kill_node(0),
            Disturbance::Stop => {
                fleet.signal(0, "-TERM");
                load(&fleet, "stop", Duration::from_millis(1_500)).await;
                fleet.kill_node(0);
            }
            Disturbance::Suspend => fleet.signal(0, "-USR2"),
        }
        if fleet.vms[0].node.is_none() {
            fleet.start_node(0);
        }
        let replies = load(&fleet, "after", Duration::from_millis(5_000)).await;
        assert_eq!(upstream.limit_breach(), None);
        assert_rejections_true(&fleet, &replies);
        assert!(replies.iter().any(|(_, reply)| reply.status == 200));
    });
}

#[tokio::test]
async fn limits_of_all_upstreams_hold_and_are_used() {
    let fleet = Fleet::start(&["rounds", "rounds", "ledger", "ledger"]).await;
    for vm in &fleet.vms[..2] {
        vm.upstream.set_limit(Some("10"));
    }
    // The limits are known once an answer of each upstream has named them.
    load(&fleet, "learn", Duration::from_millis(500)).await;
    let began = Instant::now();
    let replies = load(&fleet, "all", Duration::from_millis(5_000)).await;
    assert!(began.elapsed() < Duration::from_millis(6_500), "rejected calls do not wait for their deadline");
    for vm in &fleet.vms[..2] {
        assert_eq!(vm.upstream.limit_breach(), None);
    }
    assert_rejections_true(&fleet, &replies);
    let served = replies.iter().filter(|(_, reply)| reply.status == 200).count();
    assert!(served as f64 > 0.9 * 20.0 * 5.0, "{served}");
}

#[tokio::test]
async fn upstream_serves_again_after_a_limit_of_zero() {
    let fleet = Fleet::start(&["rounds", "ledger"]).await;
    let upstream = fleet.vms[0].upstream.clone();
    upstream.set_limit(Some("0"));
    let replies = load(&fleet, "zero", Duration::from_millis(4_500)).await;
    assert_eq!(upstream.limit_breach(), None);
    assert_rejections_true(&fleet, &replies);
    upstream.set_limit(None);
    load(&fleet, "ended", Duration::from_millis(4_500)).await;
    let replies = load(&fleet, "free", Duration::from_millis(500)).await;
    let statuses: Vec<u16> = replies.iter().map(|(_, reply)| reply.status).collect();
    assert!(statuses.iter().all(|status| *status == 200), "the limit has ended: {statuses:?}");
}

#[tokio::test]
async fn invalid_limit_keeps_the_valid_one() {
    let fleet = Fleet::start(&["rounds", "ledger"]).await;
    let upstream = fleet.vms[0].upstream.clone();
    upstream.set_limit(Some("5"));
    load(&fleet, "valid", Duration::from_millis(1_000)).await;
    upstream.set_limit(Some("5, 6"));
    let before = Instant::now();
    load(&fleet, "invalid", Duration::from_millis(4_000)).await;
    assert!(upstream.arrivals_after(before) <= 5 * 4 + 5, "{}", upstream.arrivals_after(before));
}

#[tokio::test]
async fn leaving_upstream_gets_no_calls_after_node_restart() {
    let mut fleet = Fleet::start(&["rounds", "rounds", "ledger", "ledger"]).await;
    let leaving = fleet.vms[0].upstream.clone();
    leaving.leave_by_answer();
    load(&fleet, "told", Duration::from_millis(1_000)).await;
    fleet.kill_node(0);
    // The restarted node hears heartbeats that still announce the upstream as ready.
    let told: Vec<_> = fleet.vms[1..].iter().map(|vm| vm.caller_addr).collect();
    fleet.start_node(0);
    fleet.wait_ready().await;
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < Duration::from_millis(3_000) {
        for addr in &told {
            number += 1;
            let reply = call(*addr, "GET", "/sheet/", &format!("late-{number}")).await.expect("an answer");
            assert_eq!((reply.status, reply.header("x-server-stamp")), (200, "i-1"));
        }
    }
    assert_eq!(leaving.late_arrivals(), 0);
}

#[tokio::test]
async fn restarted_node_asks_whether_upstream_leaves_before_it_sends_calls() {
    let mut fleet = Fleet::start(&["rounds", "ledger"]).await;
    let leaving = fleet.vms[0].upstream.clone();
    leaving.leave_by_answer();
    // The call may be refused, since its request for the machine's speed already shows the departure. No answer is passed
    // on to the other entry, so that one attaches no departure to its calls.
    let _ = fleet.call(0, "GET", "/sheet/", "told").await;
    wait_for("the departure", async || fleet.log(0).contains("event=upstream.leaving")).await;
    fleet.kill_node(0);
    leaving.set_health_ms(100);
    tokio::time::sleep(Duration::from_millis(2_100)).await;
    fleet.start_node(0);
    load(&fleet, "late", Duration::from_millis(3_000)).await;
    assert_eq!(leaving.late_arrivals(), 0);
    assert_eq!(fleet.log(0).matches("event=upstream.leaving").count(), 2, "the restarted node has learned it");
}

#[tokio::test]
async fn new_start_with_id_of_departed_upstream_serves() {
    let fleet = Fleet::start(&["rounds", "ledger"]).await;
    let upstream = fleet.vms[0].upstream.clone();
    upstream.leave_by_answer();
    let replies = load(&fleet, "left", Duration::from_millis(1_000)).await;
    let after = replies.iter().filter(|(_, reply)| reply.status == 503).count();
    assert!(after > 0, "no upstream is left");
    assert_rejections_true(&fleet, &replies);
    upstream.restart_with_same_id();
    wait_for("the new start to be served", async || {
        fleet.call(1, "GET", "/sheet/", "back").await.is_ok_and(|reply| reply.status == 200)
    })
    .await;
}

/// Runs a test on a runtime of its own.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}
