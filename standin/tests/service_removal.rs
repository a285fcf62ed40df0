//! Services that leave the configuration while their calls run or wait, with real nodes.

mod common;

use std::time::{Duration, Instant};

use common::managed::{Fleet, call, config, status};
use common::wait_for;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Result of one call: its id, its HTTP status and its end.
type CallEnd = (String, u16, Instant);

/// Returns a configuration without the service `ledger`, whose routes lead to `rounds`.
fn config_without_ledger(version: u64) -> String {
    let mut config: Value = serde_json::from_str(&config(version, "rounds")).expect("valid JSON");
    for route in config["routes"].as_array_mut().expect("routes") {
        route["service"] = "rounds".into();
        route["split"] = Value::Null;
    }
    config["services"].as_array_mut().expect("services").retain(|service| service["name"] != "ledger");
    config.to_string()
}

/// Sends calls that must not be repeated to `ledger` by the given entries in turn.
fn send_calls(fleet: &Fleet, entries: &[usize], count: usize) -> JoinSet<CallEnd> {
    let mut calls = JoinSet::new();
    for number in 0..count {
        let addr = fleet.vms[entries[number % entries.len()]].caller_addr;
        calls.spawn(async move {
            let id = format!("pickup-{number}");
            let reply = call(addr, "POST", "/pickup/", &id).await;
            (id, status(&reply), Instant::now())
        });
    }
    calls
}

/// Asserts that no call ran twice, that no call ran whose caller was told that it had not, and that none was lost.
fn assert_results_true(fleet: &Fleet, ends: &[CallEnd]) {
    for (id, status, _) in ends {
        let runs = fleet.runs(id);
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(!matches!(status, 429 | 503) || runs == 0, "{id} ran and was answered {status}");
        assert!(runs == 0 || *status == 200, "{id} ran and was answered {status}");
    }
}

fn set_work_ms(fleet: &Fleet, work_ms: u64) {
    for vm in &fleet.vms {
        vm.upstream.set_work_ms(work_ms);
    }
}

/// Guards against answers that are replaced by "not run" when the service leaves the configuration.
#[tokio::test]
async fn calls_of_removed_service_return_their_answers() {
    let fleet = Fleet::start(&["ledger", "rounds", "ledger", "rounds"]).await;
    set_work_ms(&fleet, 400);
    let calls = send_calls(&fleet, &[0, 1, 2, 3], 12);
    sleep(Duration::from_millis(100)).await;
    fleet.store.put("op/config", &config_without_ledger(5));
    let ends = calls.join_all().await;
    assert_results_true(&fleet, &ends);
    let served = ends.iter().filter(|(_, status, _)| *status == 200).count();
    assert!(served >= 6, "{served} calls served");
}

/// Guards against a cancel that is sent to another owner after a service has left and returned.
#[tokio::test]
async fn calls_run_once_while_service_leaves_and_returns() {
    let mut fleet = Fleet::start(&["rounds", "ledger", "ledger"]).await;
    // The added server takes the place of the first one in the view of the entry, which is not the order of names.
    fleet.signal(1, "-TERM");
    wait_for("the withdrawal", async || fleet.entries() == 2).await;
    fleet.kill_node(1);
    fleet.add("ledger").await;
    wait_for("the added entry", async || fleet.entries() == 3).await;
    sleep(Duration::from_millis(1_200)).await;
    fleet.start_node(1);
    fleet.wait_ready().await;
    set_work_ms(&fleet, 1_000);
    let calls = send_calls(&fleet, &[0], 12);
    sleep(Duration::from_millis(100)).await;
    fleet.store.put("op/config", &config_without_ledger(5));
    sleep(Duration::from_millis(330)).await;
    fleet.store.put("op/config", &config(7, "rounds"));
    sleep(Duration::from_millis(330)).await;
    fleet.kill_node(3);
    let ends = calls.join_all().await;
    for (id, status, _) in &ends {
        let runs = fleet.runs(id);
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(!matches!(status, 429 | 503) || runs == 0, "{id} ran and was answered {status}");
    }
}

/// Guards against calls that wait at their owner and start after the service has left.
#[tokio::test]
async fn waiting_calls_of_removed_service_are_rejected_at_once() {
    let fleet = Fleet::start(&["ledger", "rounds"]).await;
    let mut patient: Value = serde_json::from_str(&config(5, "rounds")).expect("valid JSON");
    patient["routes"][1]["objective_ms"] = 1_400.into();
    fleet.store.put("op/config", &patient.to_string());
    sleep(Duration::from_millis(1_000)).await;
    set_work_ms(&fleet, 600);
    let calls = send_calls(&fleet, &[0, 1], 18);
    sleep(Duration::from_millis(100)).await;
    let removed = Instant::now();
    fleet.store.put("op/config", &config_without_ledger(7));
    let ends = calls.join_all().await;
    assert_results_true(&fleet, &ends);
    // The calls that run have ended by then, and those that wait would have started.
    let in_force = removed + Duration::from_millis(450);
    let rejected: Vec<Instant> = ends.iter().filter(|(_, status, _)| *status == 503).map(|(_, _, end)| *end).collect();
    assert!(rejected.len() >= 6 && rejected.iter().all(|end| *end < in_force), "{ends:?}");
    let started = fleet.vms[0].upstream.run_starts();
    assert!(started.iter().all(|(at, _)| *at < in_force), "{started:?}");
}
