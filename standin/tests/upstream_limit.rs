//! Real nodes in front of upstreams that limit their rate in their answers, or state there that they leave.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::managed::{Fleet, call};
use standin::client::Reply;
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
