//! Nodes that are killed beside an upstream that leaves, with announcements that arrive late.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::managed::{Fleet, call, status};
use common::wait_for;
use serde_json::Value;
use standin::managed::server::ManagedServer;
use standin::managed::store::Mode;
use test_case::test_case;
use tokio::time::sleep;

/// Sends calls by the nodes of `ledger` until `length` has passed; returns how many were not served.
async fn count_failed_calls(fleet: &Fleet, length: Duration) -> usize {
    let entries: Vec<_> = fleet.vms.iter().filter(|vm| vm.service == "ledger").map(|vm| vm.caller_addr).collect();
    let began = Instant::now();
    let (mut number, mut failed) = (0, 0);
    while began.elapsed() < length {
        number += 1;
        let reply = call(entries[number % entries.len()], "GET", "/sheet/", &format!("sheet-{number}")).await;
        failed += usize::from(status(&reply) != 200);
        sleep(Duration::from_millis(10)).await;
    }
    failed
}

/// Starts a fleet; returns it with the upstream that is about to leave and heartbeats of it for later delivery.
async fn start_fleet() -> (Fleet, Arc<ManagedServer>, [Value; 2]) {
    let fleet = Fleet::start(&["rounds", "rounds", "ledger", "ledger"]).await;
    let leaving = fleet.vms[0].upstream.clone();
    let late = [leaving.make_heartbeat(), leaving.make_heartbeat()];
    (fleet, leaving, late)
}

/// Kills and starts the first node `count` times, with this downtime.
async fn restart_node(fleet: &mut Fleet, count: usize, down_ms: u64) {
    for _ in 0..count {
        fleet.kill_node(0);
        sleep(Duration::from_millis(down_ms)).await;
        fleet.start_node(0);
        wait_for("readiness", async || fleet.readiness(0).await == 200).await;
    }
}

/// Kills all nodes at the same moment, the first one before the others, and starts them.
async fn restart_all_nodes(fleet: &mut Fleet) {
    let count = fleet.vms.len();
    (0..count).for_each(|at| fleet.kill_node(at));
    sleep(Duration::from_millis(200)).await;
    (0..count).for_each(|at| fleet.start_node(at));
    for at in 0..count {
        wait_for("readiness", async || fleet.readiness(at).await == 200).await;
    }
}

/// Sends calls for some seconds, which the upstream that has left must not get.
async fn assert_no_late_arrivals(fleet: &Fleet) {
    sleep(Duration::from_millis(1_500)).await;
    let failed = count_failed_calls(fleet, Duration::from_millis(2_500)).await;
    assert_eq!((fleet.vms[0].upstream.late_arrivals(), failed), (0, 0), "late arrivals and failed calls");
}

async fn deliver(fleet: &Fleet, late: &[Value]) {
    for heartbeat in late {
        assert!(fleet.vms[0].upstream.deliver(heartbeat).await, "a late heartbeat is acknowledged");
    }
}

/// Guards against a restarted node that relies on a heartbeat from before an acknowledged deregistration.
#[test_case(1, 200, false; "killed once")]
#[test_case(2, 200, false; "killed twice")]
#[test_case(1, 9_000, false; "down for longer than its lease")]
#[test_case(1, 200, true; "while its health check succeeds")]
#[test_case(1, 9_000, true; "down for longer than its lease while its health check succeeds")]
fn leaving_upstream_gets_no_calls_after_late_heartbeats(kills: usize, down_ms: u64, health_lies: bool) {
    run(async move {
        let (mut fleet, leaving, late) = start_fleet().await;
        if health_lies {
            leaving.set_health_lies();
        }
        assert!(leaving.deregister().await, "the deregistration is acknowledged");
        sleep(Duration::from_millis(500)).await;
        restart_node(&mut fleet, kills, down_ms).await;
        deliver(&fleet, &late).await;
        assert_no_late_arrivals(&fleet).await;
    });
}

/// Guards against departures that nothing outside the ended processes has recorded.
#[test_case(0, 0, false; "at the acknowledgement")]
#[test_case(0, 0, true; "at the acknowledgement while the health check succeeds")]
#[test_case(100, 0, true; "at the acknowledgement while the health check succeeds and the store is slow")]
#[test_case(100, 500, true; "later while the health check succeeds and the store is slow")]
fn departed_upstream_is_unused_after_all_nodes_end(store_ms: u64, ended_after_ms: u64, health_lies: bool) {
    run(async move {
        let (mut fleet, leaving, late) = start_fleet().await;
        if health_lies {
            leaving.set_health_lies();
        }
        if store_ms > 0 {
            fleet.store.set_mode(Mode::Slow(store_ms));
        }
        assert!(leaving.deregister().await, "the deregistration is acknowledged");
        sleep(Duration::from_millis(ended_after_ms)).await;
        restart_all_nodes(&mut fleet).await;
        deliver(&fleet, &late).await;
        assert_no_late_arrivals(&fleet).await;
    });
}

/// Guards against a departure that is removed from the store by a planned stop of its node.
#[test]
fn departed_upstream_is_unused_after_all_nodes_stop() {
    run(async {
        let (mut fleet, leaving, late) = start_fleet().await;
        leaving.set_health_lies();
        assert!(leaving.deregister().await, "the deregistration is acknowledged");
        let count = fleet.vms.len();
        fleet.signal(0, "-TERM");
        fleet.wait_for_exit(0).await;
        // A relay removes the entry of a stopped follower some tenths of a second later.
        sleep(Duration::from_millis(500)).await;
        (1..count).for_each(|at| fleet.kill_node(at));
        (0..count).for_each(|at| fleet.start_node(at));
        wait_for("readiness", async || fleet.readiness(0).await == 200).await;
        deliver(&fleet, &late).await;
        // The entries of all other nodes were removed, so that they have to find each other again.
        fleet.wait_ready().await;
        assert_no_late_arrivals(&fleet).await;
    });
}

/// Guards against a departure that is not recorded while its node has found no relay yet.
#[test]
fn departure_acknowledged_soon_after_start_outlives_all_nodes() {
    run(async {
        let (mut fleet, leaving, late) = start_fleet().await;
        leaving.set_health_lies();
        (0..fleet.vms.len()).for_each(|at| fleet.kill_node(at));
        // Leases run out, and with them what the nodes would know of each other.
        wait_for("no entries", async || fleet.entries() == 0).await;
        (0..fleet.vms.len()).for_each(|at| fleet.start_node(at));
        wait_for("an acknowledgement", async || leaving.deregister().await).await;
        restart_all_nodes(&mut fleet).await;
        deliver(&fleet, &late).await;
        fleet.wait_ready().await;
        assert_no_late_arrivals(&fleet).await;
    });
}

/// Guards against acknowledgements that depend on the store: an upstream repeats an announcement after a second.
#[test_case(Mode::Up; "the store answers")]
#[test_case(Mode::Slow(100); "the store is slow")]
#[test_case(Mode::Slow(1_500); "the store is too slow")]
#[test_case(Mode::Refusing; "the store refuses calls")]
#[test_case(Mode::Silent; "the store does not answer")]
fn departure_is_acknowledged_within_a_second(mode: Mode) {
    run(async move {
        let fleet = Fleet::start(&["rounds", "rounds", "ledger", "ledger"]).await;
        fleet.store.set_mode(mode);
        for vm in &fleet.vms {
            let begun = Instant::now();
            assert!(vm.upstream.deregister().await, "the deregistration is acknowledged");
            let elapsed = begun.elapsed();
            println!("{} {mode:?} acknowledged_ms={}", vm.name, elapsed.as_millis());
            assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
        }
    });
}

/// Guards against a departure that is not recorded since the node has never served.
#[tokio::test]
async fn departure_acknowledged_before_first_call_outlives_all_nodes() {
    let (mut fleet, leaving, late) = start_fleet().await;
    leaving.fall_silent();
    leaving.drain();
    fleet.kill_node(0);
    fleet.start_node(0);
    wait_for("an acknowledgement", async || leaving.deregister().await).await;
    sleep(Duration::from_millis(500)).await;
    leaving.set_health_lies();
    restart_all_nodes(&mut fleet).await;
    deliver(&fleet, &late).await;
    assert_no_late_arrivals(&fleet).await;
}

/// Guards against a start that becomes slower for upstreams that do not leave.
#[tokio::test]
async fn upstream_serves_soon_after_restart_of_its_node() {
    let mut fleet = Fleet::start(&["rounds", "ledger", "ledger"]).await;
    restart_node(&mut fleet, 1, 200).await;
    let since = Instant::now();
    wait_for("a served call", async || fleet.answering_vm(1, "back").await == Some(0)).await;
    assert!(since.elapsed() < Duration::from_millis(2_000), "{:?}", since.elapsed());
}

/// Guards against a late heartbeat of an ended start that takes the place of the present one.
#[tokio::test]
async fn new_start_serves_despite_late_heartbeat_of_ended_one() {
    let mut fleet = Fleet::start(&["rounds", "ledger", "ledger"]).await;
    let upstream = fleet.vms[0].upstream.clone();
    let ended = (upstream.id(), upstream.make_heartbeat());
    assert!(upstream.deregister().await, "the deregistration is acknowledged");
    fleet.kill_node(0);
    upstream.restart_with_new_id();
    fleet.start_node(0);
    wait_for("a served call", async || status(&fleet.call(1, "GET", "/sheet/", "new").await) == 200).await;
    assert!(upstream.deliver_as(&ended.0, &ended.1).await, "the late heartbeat is acknowledged");
    let failed = count_failed_calls(&fleet, Duration::from_millis(2_000)).await;
    assert_eq!(failed, 0);
}

/// Runs a test on a runtime of its own.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}
