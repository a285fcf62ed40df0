//! Real nodes on a store that comes back from an older copy.
//!
//! The story: a route that an operator had added was answered 404 for seconds, though the store had confirmed it.
//! The store had been away for 2.5 s and had come back from a copy that was four changes older. Its revisions went
//! back from 33 to 29 and were given out again. Every node asked for changes after revision 33, was turned away,
//! read the whole store, and dropped what it had read since it stood at a lower revision than it knew; then it
//! asked again, 30 times a second. The next two configurations, at revisions 30 and 32, were in force nowhere; the
//! one at 33 was, 6 s after the outage.
//!
//! The evidence: the nodes' lines `store.history_gone revision=33` end with the write at which the store, by its
//! next answer to a node's own write at 34, stood at 33 again. Here `store.read_outdated revision=.. known=..` names
//! both sides of the comparison, and `store.era` that the store said of itself that its history is another one.

mod common;

use std::time::{Duration, Instant};

use common::managed::{Fleet, config, status};
use common::wait_for;
use standin::managed::store::Mode;

/// Time within which an operator's change is in force at every node.
const IN_FORCE: Duration = Duration::from_millis(2_000);
/// Configurations that the operator writes before the store goes away.
const BEFORE: u64 = 8;

/// Starts four nodes over two failure domains, and has the operator write some configurations.
async fn configured_fleet() -> Fleet {
    let fleet = Fleet::start(&["rounds", "ledger", "rounds", "ledger"]).await;
    for version in 4..4 + BEFORE {
        fleet.store.put("op/config", &config(version, "rounds"));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    // Whatever was written is read, and relays are found.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet
}

/// Has the store go away for a moment and come back `changes` changes older.
async fn come_back_older(fleet: &Fleet, changes: usize) {
    fleet.store.set_mode(Mode::Refusing);
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.store.roll_back(changes);
    fleet.store.set_mode(Mode::Up);
}

/// Waits until every node serves by the configuration that the operator has just written.
async fn all_in_force(fleet: &Fleet, service: &str) {
    let acknowledged = Instant::now();
    for at in 0..fleet.vms.len() {
        wait_for("the new configuration", async || fleet.served_by(at, "/sheet/").await == Some(service)).await;
    }
    assert!(acknowledged.elapsed() < IN_FORCE, "in force after {:?}", acknowledged.elapsed());
}

#[tokio::test]
async fn the_first_configuration_after_the_store_came_back_older_is_in_force_in_time() {
    let fleet = configured_fleet().await;
    come_back_older(&fleet, 5).await;
    wait_for("all entries", async || fleet.entries() == 4).await;
    // Lapsed entries are given this long to come back.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    fleet.store.put("op/config", &config(4 + BEFORE, "ledger"));
    all_in_force(&fleet, "ledger").await;
    assert_eq!(status(&fleet.call(0, "GET", "/sheet/", "served").await), 200);
}
