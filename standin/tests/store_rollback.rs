//! Real nodes on a store that is restored from an older copy.
//!
//! The tests guard against nodes that stop reading changes after a store rollback. The store was away for 2.5 s and was
//! restored from a copy that was four changes older, so that its revisions went back from 33 to 29 and were assigned
//! again. Every node asked for changes after revision 33, was refused, read the whole store, and dropped the result as
//! its revision was lower than the node's own; then it repeated that 30 times per second. The next two configurations,
//! at revisions 30 and 32, were in force nowhere, and callers of a route that an operator had added got 404. The one at
//! 33 was in force 6 s after the outage.
//!
//! The nodes logged `store.history_gone revision=33` until the store had reached 33 again, which they saw by the answer
//! to a node's own write at 34. `store.read_outdated revision=.. known=..` logs both sides of the comparison, and
//! `store.era` logs that the store reported another history.

mod common;

use std::time::{Duration, Instant};

use common::managed::{Fleet, config, status};
use common::wait_for;
use standin::client::Client;
use standin::managed::store::Mode;
use test_case::test_case;

/// Longest time until an operator's change is in force at every node.
const IN_FORCE_MAX: Duration = Duration::from_millis(2_000);
/// Longest time from the store's return until lapsed entries are written again.
const ENTRIES_BACK_MAX: Duration = Duration::from_millis(2_200);
/// Longest interval between two renewals of a lease.
const RENEWAL_INTERVAL_MAX: Duration = Duration::from_millis(2_000);
/// Time without a fault after which a node has to meet its time limits.
const FAULT_FREE_MIN: Duration = Duration::from_millis(3_000);
/// Configurations that the operator writes before the store goes away.
const INITIAL_CONFIGS: u64 = 8;

/// Starts four nodes over two failure domains, and writes [`INITIAL_CONFIGS`] configurations.
async fn configured_fleet() -> Fleet {
    let fleet = Fleet::start(&["rounds", "ledger", "rounds", "ledger"]).await;
    for version in 4..4 + INITIAL_CONFIGS {
        fleet.store.put("op/config", &config(version, "rounds"));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    // The nodes read all of them and choose their relays meanwhile.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet
}

/// Makes the store unavailable for 0.7 s and restores it from a copy that is `changes` changes older.
async fn roll_back_store(fleet: &Fleet, changes: usize) {
    fleet.store.set_mode(Mode::Refusing);
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.store.roll_back(changes);
    fleet.store.set_mode(Mode::Up);
}

/// Waits until every node routes by the configuration that was just written, and checks the time that it took.
async fn assert_all_in_force(fleet: &Fleet, service: &str) {
    let acknowledged = Instant::now();
    for at in 0..fleet.vms.len() {
        wait_for("the new configuration", async || fleet.served_by(at, "/sheet/").await == Some(service)).await;
    }
    assert!(acknowledged.elapsed() < IN_FORCE_MAX, "in force after {:?}", acknowledged.elapsed());
}

#[tokio::test]
async fn first_configuration_after_store_rollback_is_in_force() {
    let fleet = configured_fleet().await;
    roll_back_store(&fleet, 5).await;
    wait_for("all entries", async || fleet.entries() == 4).await;
    // Lapsed entries are written again within this time.
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    fleet.store.put("op/config", &config(4 + INITIAL_CONFIGS, "ledger"));
    assert_all_in_force(&fleet, "ledger").await;
    assert_eq!(status(&fleet.call(0, "GET", "/sheet/", "served").await), 200);
}

/// Returns the version of the configuration in force at a node, or 0 without one.
async fn version_at(fleet: &Fleet, at: usize) -> u64 {
    let page = Client::new(fleet.vms[at].ready_addr).call("GET", "/metrics", &[], "").await;
    let page = page.map(|page| String::from_utf8_lossy(&page.body).into_owned()).unwrap_or_default();
    let line = page.lines().find_map(|line| line.strip_prefix("valetrack_bundle_number "));
    line.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns the sum of a counter without labels over all nodes.
async fn metric_sum(fleet: &Fleet, name: &str) -> f64 {
    let mut sum = 0.0;
    for vm in &fleet.vms {
        let page = Client::new(vm.ready_addr).call("GET", "/metrics", &[], "").await.expect("a page");
        let page = String::from_utf8_lossy(&page.body).into_owned();
        let values = page.lines().filter_map(|line| line.strip_prefix(name)?.trim().parse::<f64>().ok());
        sum += values.sum::<f64>();
    }
    sum
}

/// Waits until all entries are in the store, and checks the time since the store's return.
async fn assert_entries_back_since(fleet: &Fleet, since: Instant) {
    wait_for("all entries", async || fleet.entries() == fleet.vms.len()).await;
    assert!(since.elapsed() < ENTRIES_BACK_MAX, "entries are back after {:?}", since.elapsed());
}

#[test_case(5, false; "a copy that lacks some changes")]
#[test_case(200, false; "a copy from before all nodes")]
#[test_case(5, true; "a copy without its leases")]
#[tokio::test]
async fn store_rollback_restores_entries_but_no_older_configuration(changes: usize, without_leases: bool) {
    let fleet = configured_fleet().await;
    fleet.store.put("op/config", &config(4 + INITIAL_CONFIGS, "ledger"));
    assert_all_in_force(&fleet, "ledger").await;
    fleet.store.set_mode(Mode::Refusing);
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.store.roll_back(changes);
    if without_leases {
        fleet.store.expire_leases();
    }
    fleet.store.set_mode(Mode::Up);
    let since = Instant::now();
    // The operator writes the lost configurations again late, the earlier versions first.
    let mut rewritten = false;
    let mut calls = 0;
    while since.elapsed() < Duration::from_millis(3_500) {
        let service = fleet.served_by(calls % 4, "/sheet/").await;
        assert_eq!(service, Some("ledger"), "after {:?}", since.elapsed());
        calls += 1;
        if !rewritten && since.elapsed() > Duration::from_millis(1_200) {
            for version in 7..4 + INITIAL_CONFIGS {
                fleet.store.put("op/config", &config(version, "rounds"));
            }
            rewritten = true;
        }
        if fleet.entries() < 4 {
            assert!(since.elapsed() < ENTRIES_BACK_MAX, "{} of 4 entries after {:?}", fleet.entries(), since.elapsed());
        }
    }
    assert!(calls > 100, "{calls}");
    fleet.store.put("op/config", &config(20 + INITIAL_CONFIGS, "rounds"));
    assert_all_in_force(&fleet, "rounds").await;
    assert_eq!(
        metric_sum(&fleet, "valetrack_store_rollbacks_total").await,
        4.0,
        "a node did not count the rollback exactly once"
    );
}

#[tokio::test]
async fn lease_renewal_detects_rollback_after_short_store_absence() {
    let fleet = configured_fleet().await;
    for _ in 0..4 {
        fleet.store.set_mode(Mode::Refusing);
        tokio::time::sleep(Duration::from_millis(30)).await;
        fleet.store.roll_back(200);
        fleet.store.set_mode(Mode::Up);
        let since = Instant::now();
        wait_for("the entries to go", async || fleet.entries() < 4 || since.elapsed() > Duration::from_millis(100))
            .await;
        // Nodes renew their leases every two seconds, and the first renewal shows them the rollback.
        wait_for("all entries", async || fleet.entries() == 4).await;
        assert!(
            since.elapsed() < ENTRIES_BACK_MAX + RENEWAL_INTERVAL_MAX,
            "entries are back after {:?}",
            since.elapsed()
        );
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

#[tokio::test]
async fn restarted_node_uses_configuration_of_peers_over_copy() {
    let mut fleet = configured_fleet().await;
    fleet.store.put("op/config", &config(4 + INITIAL_CONFIGS, "ledger"));
    assert_all_in_force(&fleet, "ledger").await;
    roll_back_store(&fleet, 5).await;
    wait_for("all entries", async || fleet.entries() == 4).await;
    // By then the nodes no longer query their peers because of the era increment.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for at in [0, 3] {
        fleet.kill_node(at);
        fleet.start_node(at);
        wait_for("a version", async || {
            let version = version_at(&fleet, at).await;
            assert!(
                [0, 4 + INITIAL_CONFIGS].contains(&version),
                "version {version} is the copy's, which is older than that of all peers"
            );
            version > 0
        })
        .await;
        wait_for("an answer by its route", async || fleet.served_by(at, "/sheet/").await == Some("ledger")).await;
    }
}

#[tokio::test]
async fn configuration_received_by_one_node_reaches_all_after_rollback() {
    let fleet = configured_fleet().await;
    for vm in &fleet.vms[1..] {
        vm.store_access.set(Mode::Silent);
    }
    fleet.store.put("op/config", &config(4 + INITIAL_CONFIGS, "ledger"));
    wait_for("the version at one node", async || version_at(&fleet, 0).await == 4 + INITIAL_CONFIGS).await;
    roll_back_store(&fleet, 1).await;
    for vm in &fleet.vms[1..] {
        vm.store_access.set(Mode::Up);
    }
    let since = Instant::now();
    // No call is sent, since calls also make nodes exchange the version.
    for at in 1..4 {
        wait_for("the version that the store has lost", async || version_at(&fleet, at).await == 4 + INITIAL_CONFIGS)
            .await;
    }
    // A pending request to the silent store ends after up to three seconds, and the node's time limit starts then.
    assert!(since.elapsed() < FAULT_FREE_MIN + IN_FORCE_MAX, "{:?}", since.elapsed());
}

#[tokio::test]
async fn node_suspended_over_two_rollbacks_applies_new_configuration() {
    let fleet = configured_fleet().await;
    fleet.signal(2, "-STOP");
    roll_back_store(&fleet, 5).await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    roll_back_store(&fleet, 3).await;
    fleet.signal(2, "-CONT");
    assert_entries_back_since(&fleet, Instant::now()).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    fleet.store.put("op/config", &config(4 + INITIAL_CONFIGS, "ledger"));
    assert_all_in_force(&fleet, "ledger").await;
}

#[tokio::test]
async fn configuration_written_after_rollback_reaches_restarted_fleet() {
    let mut fleet = configured_fleet().await;
    fleet.store.set_mode(Mode::Refusing);
    (0..4).for_each(|at| fleet.kill_node(at));
    fleet.store.roll_back(5);
    fleet.store.set_mode(Mode::Up);
    (0..4).for_each(|at| fleet.start_node(at));
    fleet.wait_ready().await;
    fleet.store.put("op/config", &config(4 + INITIAL_CONFIGS, "ledger"));
    assert_all_in_force(&fleet, "ledger").await;
}

#[tokio::test]
async fn node_with_lost_lease_leaves_reused_lease_id_alone() {
    let mut fleet = configured_fleet().await;
    let revision_before = fleet.store.revision();
    fleet.add("rounds").await;
    wait_for("its entry", async || fleet.entries() == 5).await;
    // The store loses the last node's lease, refuses that node, and assigns the lease's id to the next one.
    let last = 4;
    fleet.vms[last].store_access.set(Mode::Refusing);
    fleet.store.set_mode(Mode::Refusing);
    let changes = (fleet.store.revision() - revision_before) as usize;
    fleet.store.roll_back(changes);
    fleet.store.set_mode(Mode::Up);
    fleet.add("ledger").await;
    let next = "valetrack/node/vm-5";
    wait_for("the next node's entry", async || fleet.store.keys(next).len() == 1).await;
    fleet.vms[last].store_access.set(Mode::Up);
    fleet.signal(last, "-TERM");
    let stopped = Instant::now();
    while stopped.elapsed() < Duration::from_millis(2_500) {
        assert_eq!(fleet.store.keys(next).len(), 1, "after {:?}", stopped.elapsed());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    wait_for("the stopped node's entry to be removed", async || fleet.entries() == 5).await;
}

#[tokio::test]
async fn evacuation_lost_by_store_holds_until_written_again() {
    let fleet = Fleet::start(&["rounds", "rounds", "ledger"]).await;
    let kranj = "op/evacuate/kranj";
    fleet.store.put(kranj, "{}");
    wait_for("an evacuated domain", async || {
        let mut elsewhere = true;
        for at in 0..3 {
            elsewhere &= fleet.answering_vm(at, "evacuated").await == Some(1);
        }
        elsewhere
    })
    .await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    roll_back_store(&fleet, 1).await;
    let since = Instant::now();
    let mut calls = 0;
    while since.elapsed() < Duration::from_millis(3_000) {
        calls += 1;
        assert_eq!(
            fleet.answering_vm(calls % 3, &format!("held-{calls}")).await,
            Some(1),
            "after {:?}",
            since.elapsed()
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    fleet.store.put(kranj, "{}");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.store.revoke(kranj);
    wait_for("calls to the returned domain", async || {
        let calls = (0..12).map(|_| fleet.answering_vm(1, "return"));
        futures::future::join_all(calls).await.contains(&Some(0))
    })
    .await;
}

/// Nodes of the fleet whose calls to the store are counted.
const FLEET_SIZE: usize = 10;
/// Most calls per node to the store over an absence of 0.7 s that ends with a rollback and the three seconds after it,
/// the relays' calls included. A read of the whole store takes three pages, so that this rules out one by every node.
const ROLLBACK_CALLS_MAX: f64 = 6.0;

#[tokio::test]
async fn fleet_stays_within_store_call_limit_after_rollback() {
    let services: Vec<&'static str> = (0..FLEET_SIZE).map(|at| if at % 2 == 0 { "rounds" } else { "ledger" }).collect();
    let fleet = Fleet::start(&services).await;
    for version in 4..4 + INITIAL_CONFIGS {
        fleet.store.put("op/config", &config(version, "rounds"));
    }
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let before = fleet.store.price();
    roll_back_store(&fleet, 5).await;
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let each = (fleet.store.price() - before) / FLEET_SIZE as f64;
    assert!(each <= ROLLBACK_CALLS_MAX, "{each} calls a node");
    assert_eq!(fleet.entries(), FLEET_SIZE);
}
