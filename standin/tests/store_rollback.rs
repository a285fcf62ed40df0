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
use standin::client::Client;
use standin::managed::store::Mode;
use test_case::test_case;

/// Time within which an operator's change is in force at every node.
const IN_FORCE: Duration = Duration::from_millis(2_000);
/// Time within which lapsed entries are back after the store is.
const BACK: Duration = Duration::from_millis(2_200);
/// Longest pause between two renewals of a lease.
const RENEWED: Duration = Duration::from_millis(2_000);
/// Time for which a node has to have been undisturbed before it is held to times.
const IN_TOUCH: Duration = Duration::from_millis(3_000);
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

/// Returns the version that is in force at a node.
async fn version_at(fleet: &Fleet, at: usize) -> u64 {
    let page = Client::new(fleet.vms[at].ready_addr).call("GET", "/metrics", &[], "").await;
    let page = page.map(|page| String::from_utf8_lossy(&page.body).into_owned()).unwrap_or_default();
    let line = page.lines().find_map(|line| line.strip_prefix("valetrack_bundle_number "));
    line.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Returns what a counter of the nodes adds up to.
async fn sum_of(fleet: &Fleet, name: &str) -> f64 {
    let mut sum = 0.0;
    for vm in &fleet.vms {
        let page = Client::new(vm.ready_addr).call("GET", "/metrics", &[], "").await.expect("a page");
        let page = String::from_utf8_lossy(&page.body).into_owned();
        let values = page.lines().filter_map(|line| line.strip_prefix(name)?.trim().parse::<f64>().ok());
        sum += values.sum::<f64>();
    }
    sum
}

/// Waits until all entries stand in the store, and holds that against the time since it is back.
async fn all_back_since(fleet: &Fleet, back: Instant) {
    wait_for("all entries", async || fleet.entries() == fleet.vms.len()).await;
    assert!(back.elapsed() < BACK, "entries are back after {:?}", back.elapsed());
}

#[test_case(5, false; "a copy of some changes ago")]
#[test_case(200, false; "a copy from before all nodes")]
#[test_case(5, true; "a copy without its leases")]
#[tokio::test]
async fn entries_are_back_and_no_call_is_served_by_an_older_configuration(changes: usize, leaseless: bool) {
    let fleet = configured_fleet().await;
    fleet.store.put("op/config", &config(4 + BEFORE, "ledger"));
    all_in_force(&fleet, "ledger").await;
    fleet.store.set_mode(Mode::Refusing);
    tokio::time::sleep(Duration::from_millis(700)).await;
    fleet.store.roll_back(changes);
    if leaseless {
        fleet.store.lapse();
    }
    fleet.store.set_mode(Mode::Up);
    let back = Instant::now();
    // What the operator wrote is written again late, the earlier versions first.
    let mut rewritten = false;
    let mut asked = 0;
    while back.elapsed() < Duration::from_millis(3_500) {
        let service = fleet.served_by(asked % 4, "/sheet/").await;
        assert_eq!(service, Some("ledger"), "after {:?}", back.elapsed());
        asked += 1;
        if !rewritten && back.elapsed() > Duration::from_millis(1_200) {
            for version in 7..4 + BEFORE {
                fleet.store.put("op/config", &config(version, "rounds"));
            }
            rewritten = true;
        }
        if fleet.entries() < 4 {
            assert!(back.elapsed() < BACK, "{} of 4 entries after {:?}", fleet.entries(), back.elapsed());
        }
    }
    assert!(asked > 100, "{asked}");
    fleet.store.put("op/config", &config(20 + BEFORE, "rounds"));
    all_in_force(&fleet, "rounds").await;
    assert_eq!(sum_of(&fleet, "valetrack_store_rollbacks_total").await, 4.0, "each node has noticed it once");
}

#[tokio::test]
async fn entries_are_back_after_an_absence_so_short_that_a_renewal_is_the_first_to_notice() {
    let fleet = configured_fleet().await;
    for _ in 0..4 {
        fleet.store.set_mode(Mode::Refusing);
        tokio::time::sleep(Duration::from_millis(30)).await;
        fleet.store.roll_back(200);
        fleet.store.set_mode(Mode::Up);
        let back = Instant::now();
        wait_for("the entries to go", async || fleet.entries() < 4 || back.elapsed() > Duration::from_millis(100))
            .await;
        // Nodes renew their leases every two seconds, and the first renewal tells them.
        wait_for("all entries", async || fleet.entries() == 4).await;
        assert!(back.elapsed() < BACK + RENEWED, "entries are back after {:?}", back.elapsed());
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

#[tokio::test]
async fn a_node_that_starts_meanwhile_serves_what_its_peers_have_and_not_the_copy() {
    let mut fleet = configured_fleet().await;
    fleet.store.put("op/config", &config(4 + BEFORE, "ledger"));
    all_in_force(&fleet, "ledger").await;
    come_back_older(&fleet, 5).await;
    wait_for("all entries", async || fleet.entries() == 4).await;
    // By then nobody asks others on account of the rise any more.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for at in [0, 3] {
        fleet.kill_node(at);
        fleet.start_node(at);
        wait_for("a version", async || {
            let version = version_at(&fleet, at).await;
            assert!(
                [0, 4 + BEFORE].contains(&version),
                "version {version} is the copy's, which all others have left behind"
            );
            version > 0
        })
        .await;
        wait_for("an answer by its route", async || fleet.served_by(at, "/sheet/").await == Some("ledger")).await;
    }
}

#[tokio::test]
async fn what_one_node_alone_has_heard_before_the_absence_is_known_to_all_after_it() {
    let fleet = configured_fleet().await;
    for vm in &fleet.vms[1..] {
        vm.store_access.set(Mode::Silent);
    }
    fleet.store.put("op/config", &config(4 + BEFORE, "ledger"));
    wait_for("the version at one node", async || version_at(&fleet, 0).await == 4 + BEFORE).await;
    come_back_older(&fleet, 1).await;
    for vm in &fleet.vms[1..] {
        vm.store_access.set(Mode::Up);
    }
    let back = Instant::now();
    // No call passes, which would tell of it as well.
    for at in 1..4 {
        wait_for("the version that the store has lost", async || version_at(&fleet, at).await == 4 + BEFORE).await;
    }
    // A node that was silent has three seconds until its call ends, in which nothing binds it.
    assert!(back.elapsed() < IN_TOUCH + IN_FORCE, "{:?}", back.elapsed());
}

#[tokio::test]
async fn two_rises_in_a_row_and_a_node_that_stood_still_over_them_do_no_harm() {
    let fleet = configured_fleet().await;
    fleet.signal(2, "-STOP");
    come_back_older(&fleet, 5).await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    come_back_older(&fleet, 3).await;
    fleet.signal(2, "-CONT");
    all_back_since(&fleet, Instant::now()).await;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    fleet.store.put("op/config", &config(4 + BEFORE, "ledger"));
    all_in_force(&fleet, "ledger").await;
}

#[tokio::test]
async fn nodes_that_all_start_again_at_the_rise_take_what_the_operator_writes_again() {
    let mut fleet = configured_fleet().await;
    fleet.store.set_mode(Mode::Refusing);
    (0..4).for_each(|at| fleet.kill_node(at));
    fleet.store.roll_back(5);
    fleet.store.set_mode(Mode::Up);
    (0..4).for_each(|at| fleet.start_node(at));
    fleet.wait_ready().await;
    fleet.store.put("op/config", &config(4 + BEFORE, "ledger"));
    all_in_force(&fleet, "ledger").await;
}

#[tokio::test]
async fn a_node_whose_lease_is_lost_leaves_the_one_that_has_its_id_now_alone() {
    let mut fleet = configured_fleet().await;
    let before_it = fleet.store.revision();
    fleet.add("rounds").await;
    wait_for("its entry", async || fleet.entries() == 5).await;
    // The store loses the last node's lease, turns that node away, and gives the id to the next one.
    let last = 4;
    fleet.vms[last].store_access.set(Mode::Refusing);
    fleet.store.set_mode(Mode::Refusing);
    let changes = (fleet.store.revision() - before_it) as usize;
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
    wait_for("the end of the entry that was taken back", async || fleet.entries() == 5).await;
}

#[tokio::test]
async fn an_evacuation_that_the_store_has_lost_holds_until_the_operator_has_written_it_again() {
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
    come_back_older(&fleet, 1).await;
    let back = Instant::now();
    let mut asked = 0;
    while back.elapsed() < Duration::from_millis(3_000) {
        asked += 1;
        assert_eq!(
            fleet.answering_vm(asked % 3, &format!("held-{asked}")).await,
            Some(1),
            "after {:?}",
            back.elapsed()
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    fleet.store.put(kranj, "{}");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.store.revoke(kranj);
    wait_for("work after the return", async || {
        let calls = (0..12).map(|_| fleet.answering_vm(1, "return"));
        futures::future::join_all(calls).await.contains(&Some(0))
    })
    .await;
}

/// Nodes of the fleet whose calls are counted.
const COUNTED: usize = 10;
/// Calls that a node makes to the store over an absence of 0.7 s, from which it comes back older, and the three seconds
/// after it, the relays' calls included; reads of the whole store by every node take three pages each.
const ROLLBACK_PRICE_MAX: f64 = 6.0;

#[tokio::test]
async fn a_fleet_asks_the_store_little_after_it_came_back_older() {
    let services: Vec<&'static str> = (0..COUNTED).map(|at| if at % 2 == 0 { "rounds" } else { "ledger" }).collect();
    let fleet = Fleet::start(&services).await;
    for version in 4..4 + BEFORE {
        fleet.store.put("op/config", &config(version, "rounds"));
    }
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let before = fleet.store.price();
    come_back_older(&fleet, 5).await;
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let each = (fleet.store.price() - before) / COUNTED as f64;
    assert!(each <= ROLLBACK_PRICE_MAX, "{each} calls a node");
    assert_eq!(fleet.entries(), COUNTED);
}
