//! Evacuation of a failure domain, with real nodes on the stand-ins of both platforms.

mod common;

use std::cell::Cell;
use std::time::{Duration, Instant};

use common::managed::{Fleet, status};
use common::{Fleet as NativeFleet, wait_for};
use standin::client::Client;
use standin::managed::store::Mode;

/// Longest time until an operator's evacuation is in force at every node, the minimum that a platform requires.
const IN_FORCE_MAX: Duration = Duration::from_millis(5_000);
const KRANJ: &str = "op/evacuate/kranj";
const LOKA: &str = "op/evacuate/loka";

/// Returns how many calls have reached the upstream of a VM.
fn arrivals(fleet: &Fleet, at: usize) -> usize {
    fleet.vms[at].upstream.arrivals().len()
}

/// Returns whether a node sends no calls to upstreams of the failure domain `kranj`.
async fn has_evacuated(fleet: &Fleet, at: usize) -> bool {
    let Ok(page) = Client::new(fleet.vms[at].ready_addr).call("GET", "/status", &[], "").await else {
        return false;
    };
    let status: serde_json::Value = serde_json::from_slice(&page.body).expect("json");
    status["evacuated"].as_array().is_some_and(|domains| domains.iter().any(|domain| domain == "kranj"))
}

/// Waits until all nodes have evacuated `kranj`, and ten calls in a row, at all nodes in turn, are answered by the wanted
/// upstream. The calls alone may be answered by it by chance, while a node has not received the evacuation.
async fn wait_answered_by(fleet: &Fleet, wanted: usize) {
    for at in 0..fleet.vms.len() {
        wait_for("the evacuation", async || has_evacuated(fleet, at).await).await;
    }
    let in_row = Cell::new(0);
    wait_for("answers from one upstream alone", async || {
        for at in 0..fleet.vms.len() {
            let is_wanted = fleet.answering_vm(at, "settled").await == Some(wanted);
            in_row.set(if is_wanted { in_row.get() + 1 } else { 0 });
        }
        in_row.get() >= 10
    })
    .await;
}

#[tokio::test]
async fn evacuated_domain_runs_no_calls_while_its_entries_serve() {
    let fleet = Fleet::start(&["rounds", "rounds", "ledger", "ledger"]).await;
    fleet.store.put(KRANJ, "{}");
    let began = Instant::now();
    wait_answered_by(&fleet, 1).await;
    assert!(began.elapsed() < IN_FORCE_MAX, "{:?}", began.elapsed());
    let before = arrivals(&fleet, 0);
    for number in 0..40 {
        let id = format!("away-{number}");
        assert_eq!(fleet.answering_vm(number % 4, &id).await, Some(1), "{id}");
    }
    assert_eq!(arrivals(&fleet, 0), before);
    fleet.store.revoke(KRANJ);
    wait_for("calls to the returned domain", async || {
        // Concurrent calls, so that the load makes the other upstream the worse choice for some of them.
        let calls = (0..12).map(|_| fleet.call(0, "GET", "/sheet/", "return"));
        futures::future::join_all(calls).await;
        arrivals(&fleet, 0) > before
    })
    .await;
}

#[tokio::test]
async fn calls_are_refused_unrun_when_all_domains_are_evacuated() {
    let fleet = Fleet::start(&["rounds", "ledger"]).await;
    fleet.store.put(KRANJ, "{}");
    fleet.store.put(LOKA, "{}");
    wait_for("a refusal", async || status(&fleet.call(1, "GET", "/sheet/", "all").await) == 503).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let before = arrivals(&fleet, 0);
    let began = Instant::now();
    let reply = fleet.call(1, "GET", "/sheet/", "refused").await.expect("an answer");
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").parse::<f64>().is_ok_and(|seconds| seconds > 0.0));
    assert!(began.elapsed() < Duration::from_millis(500), "{:?}", began.elapsed());
    assert_eq!(arrivals(&fleet, 0), before);
}

#[tokio::test]
async fn node_restarted_in_store_outage_learns_evacuation() {
    let mut fleet = Fleet::start(&["rounds", "rounds", "ledger"]).await;
    fleet.store.put(KRANJ, "{}");
    wait_answered_by(&fleet, 1).await;
    fleet.store.set_mode(Mode::Refusing);
    fleet.kill_node(0);
    fleet.start_node(0);
    // A peer that calls the node shows that it is up, learns what the node lacks, and sends it.
    wait_for("readiness", async || {
        let _ = fleet.call(2, "GET", "/sheet/", "wake").await;
        let _ = fleet.call(1, "GET", "/sheet/", "wake").await;
        fleet.readiness(0).await == 200
    })
    .await;
    let before = arrivals(&fleet, 0);
    for number in 0..30 {
        let id = format!("born-away-{number}");
        let _ = fleet.answering_vm(number % 3, &id).await;
    }
    assert_eq!(arrivals(&fleet, 0), before);
}

#[tokio::test]
async fn evacuation_before_store_outage_is_in_force_after_it() {
    let fleet = Fleet::start(&["rounds", "rounds", "ledger"]).await;
    fleet.store.put(KRANJ, "{}");
    fleet.store.set_mode(Mode::Refusing);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.store.compact();
    fleet.store.set_mode(Mode::Up);
    let since = Instant::now();
    wait_answered_by(&fleet, 1).await;
    assert!(since.elapsed() < IN_FORCE_MAX, "{:?}", since.elapsed());
}

#[tokio::test]
async fn node_refused_by_store_learns_evacuation_from_peers() {
    let fleet = Fleet::start(&["rounds", "rounds", "ledger"]).await;
    for refused in [2, 0] {
        fleet.vms[refused].store_access.set(Mode::Refusing);
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.store.put(KRANJ, "{}");
        let began = Instant::now();
        wait_answered_by(&fleet, 1).await;
        assert!(began.elapsed() < IN_FORCE_MAX, "{:?}", began.elapsed());
        let before = arrivals(&fleet, 0);
        for number in 0..24 {
            let id = format!("turned-away-{refused}-{number}");
            assert_eq!(fleet.answering_vm(number % 3, &id).await, Some(1), "{id}");
        }
        assert_eq!(arrivals(&fleet, 0), before);
        fleet.vms[refused].store_access.set(Mode::Up);
        fleet.store.revoke(KRANJ);
        wait_for("calls to the returned domain", async || {
            let calls = (0..12).map(|_| fleet.call(1, "GET", "/sheet/", "return"));
            futures::future::join_all(calls).await;
            arrivals(&fleet, 0) > before
        })
        .await;
    }
}

#[tokio::test]
async fn operator_command_evacuates_and_returns_domain() {
    let fleet = NativeFleet::with_intake(4).await;
    let domain = fleet.vms[3].domain.clone();
    let evacuated: Vec<usize> = (0..4).filter(|at| fleet.vms[*at].domain == domain).collect();
    let store = fleet.store_addr.to_string();
    let operator = |words: &[&str]| fleet.valetrack(&[&["domain"], words, &["--store", &store]].concat());
    operator(&["evacuate", &domain]).expect("evacuated");
    assert!(operator(&["status"]).expect("a status").contains(&*domain));
    let is_idle = async || {
        let before = runs_at(&fleet, &evacuated).await;
        for number in 0..24 {
            let reply = fleet.client_at(number % 4).call("GET", "/", &[("valetrack-service", "intake")], "x").await;
            assert!(reply.is_ok_and(|reply| reply.status == 200));
        }
        runs_at(&fleet, &evacuated).await == before
    };
    wait_for("an evacuated domain without calls", is_idle).await;
    operator(&["return", &domain]).expect("returned");
    wait_for("calls to the returned domain", async || !is_idle().await).await;
}

/// Returns how many calls the servers of some VMs have run.
async fn runs_at(fleet: &NativeFleet, vms: &[usize]) -> u64 {
    let mut runs = 0;
    for at in vms {
        let reply = Client::new(fleet.vms[*at].server_addr).call("GET", "/_stats", &[], "").await.expect("stats");
        let stats: serde_json::Value = serde_json::from_slice(&reply.body).expect("json");
        runs += stats["runs"].as_u64().expect("a number");
    }
    runs
}
