//! Upstreams that turn cold or restart under their old id, with real nodes.

mod common;

use std::time::{Duration, Instant};

use common::managed::{COLD_PER_S, Fleet, call, status};
use common::wait_for;

/// Most calls per second that the platform allows at a cold upstream, as a multiple of what the upstream accepts.
const COLD_OVERAGE: f64 = 1.5;

/// Sends 100 calls per second to a node for a while; returns how many were served, and the longest duration of those
/// that were not.
async fn send_calls(fleet: &Fleet, at: usize, during: Duration) -> (usize, Duration) {
    let addr = fleet.vms[at].caller_addr;
    let began = Instant::now();
    let mut calls = Vec::new();
    while began.elapsed() < during {
        let id = format!("call-{}-{}", at, calls.len());
        calls.push(tokio::spawn(async move {
            let sent = Instant::now();
            (status(&call(addr, "GET", "/sheet/", &id).await), sent.elapsed())
        }));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut served = 0;
    let mut longest = Duration::ZERO;
    for call in calls {
        match call.await.expect("a result") {
            (200, _) => served += 1,
            (_, took) => longest = longest.max(took),
        }
    }
    (served, longest)
}

#[tokio::test]
async fn cold_upstream_gets_no_more_calls_than_allowed() {
    let fleet = Fleet::start(&["rounds", "ledger"]).await;
    let upstream = &fleet.vms[0].upstream;
    for _ in 0..2 {
        upstream.turn_cold(Duration::from_millis(2_500));
        let acknowledged = upstream.acknowledged();
        wait_for("a heartbeat", async || upstream.acknowledged() >= acknowledged + 2).await;
        let (served, longest) = send_calls(&fleet, 1, Duration::from_millis(1_500)).await;
        assert!(served as f64 >= COLD_PER_S, "{served} calls served while cold");
        // A call that is not admitted is refused long before its deadline of 1.5 s.
        assert!(longest < Duration::from_millis(700), "{longest:?}");
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        let (served, _) = send_calls(&fleet, 1, Duration::from_millis(1_000)).await;
        assert!(served > 60, "{served} calls served while warm");
    }
    let peak_calls = upstream.max_arrivals_per_s_while_cold();
    assert!(peak_calls as f64 <= COLD_PER_S * COLD_OVERAGE, "{peak_calls} calls in one second while cold");
}

#[tokio::test]
async fn restarted_node_limits_calls_to_cold_upstream() {
    let mut fleet = Fleet::start(&["rounds", "ledger"]).await;
    fleet.vms[0].upstream.turn_cold(Duration::from_millis(4_000));
    let acknowledged = fleet.vms[0].upstream.acknowledged();
    wait_for("a heartbeat", async || fleet.vms[0].upstream.acknowledged() >= acknowledged + 2).await;
    send_calls(&fleet, 1, Duration::from_millis(600)).await;
    fleet.kill_node(0);
    fleet.start_node(0);
    send_calls(&fleet, 1, Duration::from_millis(1_500)).await;
    let peak_calls = fleet.vms[0].upstream.max_arrivals_per_s_while_cold();
    assert!(peak_calls as f64 <= COLD_PER_S * COLD_OVERAGE + 8.0, "{peak_calls} calls in one second while cold");
}

#[tokio::test]
async fn drained_upstream_restarted_under_same_id_is_used_again() {
    let fleet = Fleet::start(&["rounds", "ledger"]).await;
    let upstream = &fleet.vms[0].upstream;
    // The upstream's heartbeat sequence is high by then, and starts at zero after the restart.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    upstream.drain();
    let acknowledged = upstream.acknowledged();
    wait_for("a heartbeat", async || upstream.acknowledged() >= acknowledged + 2).await;
    assert_eq!(status(&fleet.call(1, "GET", "/sheet/", "left").await), 503);
    upstream.restart_with_same_id();
    let since = Instant::now();
    wait_for("a served call", async || status(&fleet.call(1, "GET", "/sheet/", "back").await) == 200).await;
    assert!(since.elapsed() < Duration::from_millis(3_500), "{:?}", since.elapsed());
}
