//! Relays whose entries are still in the store and that no longer reply.

mod common;

use std::time::{Duration, Instant};

use common::managed::{Fleet, config};
use common::{free_addr, wait_for};
use serde_json::{Value, json};

/// Longest time until an operator's change is in force at every node.
const IN_FORCE_MAX: Duration = Duration::from_millis(2_000);
/// Relays that do not reply: a link takes 0.4 s to fail, so that trying all of them exceeds the limit.
const UNRESPONSIVE_RELAYS: usize = 8;
/// Longer than the age of the state that a starting node may read.
const STALE_READ_AGE: Duration = Duration::from_millis(700);

/// Adds entries of relays in the failure domain of a VM, at whose addresses no node listens.
fn add_unresponsive_relays(fleet: &Fleet, at: usize) {
    let text = fleet.store.text(&format!("valetrack/node/vm-{at}")).expect("an entry");
    let mut entry: Value = serde_json::from_str(&text).expect("json");
    for number in 0..UNRESPONSIVE_RELAYS {
        let vm = format!("vm-unresponsive-{number}");
        entry["vm"] = json!(vm);
        entry["link_addr"] = json!(free_addr());
        entry["is_relay"] = json!(true);
        fleet.store.put(&format!("valetrack/node/{vm}"), &entry.to_string());
    }
}

/// Returns the version of the configuration in force at a node, or 0 without one.
async fn version_at(fleet: &Fleet, at: usize) -> u64 {
    let page = fleet.metrics(at).await.unwrap_or_default();
    let line = page.lines().find_map(|line| line.strip_prefix("valetrack_bundle_number "));
    line.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Guards against a change that a restarted node learns late, since it read the store only after a relay had replied.
#[tokio::test]
async fn restarted_node_reads_store_if_no_relay_replies() {
    let mut fleet = Fleet::start(&["rounds", "rounds"]).await;
    add_unresponsive_relays(&fleet, 0);
    tokio::time::sleep(STALE_READ_AGE).await;
    fleet.kill_node(0);
    fleet.start_node(0);
    wait_for("the first read of the store", async || version_at(&fleet, 0).await == 3).await;
    fleet.store.put("op/config", &config(4, "ledger"));
    let acknowledged = Instant::now();
    wait_for("the change", async || version_at(&fleet, 0).await == 4).await;
    assert!(acknowledged.elapsed() < IN_FORCE_MAX, "in force after {:?}", acknowledged.elapsed());
}
