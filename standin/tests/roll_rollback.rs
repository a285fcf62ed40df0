//! Bundles that operators publish after Valetrack's own store was restored from a copy that lacks the bundle in force.
//!
//! The tests guard against a published bundle that no node accepts. Number 2 was in force everywhere when the store was
//! restored from a copy that held number 1. The next bundle got number 2 as well. Every node refused it, as it was no
//! later than the node's own, while the operator's command reported success; it was in force nowhere until the bundle
//! after it.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, wait_for};
use serde_json::Value;
use standin::client::Client;
use test_case::test_case;
use tokio::net::TcpStream;
use tokio::time::sleep;

const VMS: usize = 4;
/// Longest time until a published bundle is in force at every node.
const IN_FORCE_MAX: Duration = Duration::from_millis(7_000);

/// Returns a bundle text that is unique to its number of slots.
fn bundle(slots: usize) -> String {
    common::INTAKE_BUNDLE.replace("slots = 6", &format!("slots = {slots}"))
}

/// Returns the status page of a node.
async fn status(fleet: &Fleet, at: usize) -> Value {
    let page = Client::new(fleet.vms[at].admin_addr).call("GET", "/status", &[], "").await;
    page.ok().and_then(|page| serde_json::from_slice(&page.body).ok()).unwrap_or_default()
}

/// Returns the bundle status that the operator's command reads from the store.
fn stored(fleet: &Fleet) -> Value {
    let status = fleet.valetrack(&["bundle", "status", "--json", "--store", &fleet.store_addr.to_string()]);
    serde_json::from_str(&status.expect("a status")).expect("json")
}

/// Writes and approves a bundle; returns its version.
fn approve(fleet: &Fleet, text: &str) -> String {
    let file = fleet.file("next.toml", text);
    let store = fleet.store_addr.to_string();
    let version =
        fleet.valetrack(&["bundle", "write", &file, "--operator", "ana", "--store", &store]).expect("written");
    fleet.valetrack(&["bundle", "approve", &version, "--operator", "bor", "--store", &store]).expect("approved");
    version
}

/// Waits until every node serves a version, and checks the time that it took.
async fn assert_all_serve(fleet: &Fleet, version: &str) {
    let published = Instant::now();
    for at in 0..VMS {
        wait_for("the published bundle in force", async || status(fleet, at).await["bundle_version"] == version).await;
    }
    assert!(published.elapsed() < IN_FORCE_MAX, "in force after {:?}", published.elapsed());
}

/// Starts a fleet that serves bundle number 2, which the store's copy lacks; returns that bundle's version.
async fn fleet_ahead_of_copy() -> (Fleet, String) {
    let fleet = Fleet::with_intake(VMS).await;
    fleet.store_command("_copy").await;
    assert_eq!(fleet.publish(&bundle(7)), 2);
    for at in 0..VMS {
        wait_for("number 2", async || fleet.bundle_number(at).await == 2).await;
    }
    let version = stored(&fleet)["version"].as_str().expect("a version").to_owned();
    (fleet, version)
}

/// Makes the store go away for 0.7 s and restores it from its copy.
async fn roll_back_store(fleet: &Fleet, options: &str) {
    fleet.store_command(&format!("_return?away_ms=700{options}")).await;
    sleep(Duration::from_millis(730)).await;
    // The stand-in binds its port again some milliseconds late on a busy machine.
    wait_for("the store", async || TcpStream::connect(fleet.store_addr).await.is_ok()).await;
}

#[test_case("", 0; "at once")]
#[test_case("&history=7", 0; "at once, and the store names another history")]
#[test_case("", 2_500; "later")]
#[test_case("&history=7", 2_500; "later, and the store names another history")]
#[tokio::test]
async fn bundle_published_after_store_rollback_is_in_force(options: &str, after_ms: u64) {
    let (fleet, _) = fleet_ahead_of_copy().await;
    roll_back_store(&fleet, options).await;
    sleep(Duration::from_millis(after_ms)).await;
    fleet.publish(&bundle(9));
    let version = version_of(&bundle(9));
    assert_all_serve(&fleet, &version).await;
    for at in 0..VMS {
        assert!(fleet.bundle_number(at).await > 2, "a number was assigned to two bundles");
    }
    wait_for("the served version in the store", async || stored(&fleet)["version"] == *version).await;
}

fn version_of(text: &str) -> String {
    valetrack::bundle::version_of(text)
}

#[tokio::test]
async fn lost_bundle_is_restored_to_store_without_its_approval() {
    let (fleet, second) = fleet_ahead_of_copy().await;
    roll_back_store(&fleet, "").await;
    wait_for("the lost bundle in the store", async || stored(&fleet)["number"] == 2).await;
    assert_eq!(stored(&fleet)["version"], *second);
    let store = fleet.store_addr.to_string();
    let refused = fleet.valetrack(&["bundle", "roll", &second, "--operator", "ana", "--store", &store]);
    assert!(refused.as_ref().is_err_and(|text| text.contains("VT506")), "{refused:?}");
    fleet.valetrack(&["bundle", "approve", &second, "--operator", "bor", "--store", &store]).expect("approved again");
    fleet.valetrack(&["bundle", "roll", &second, "--operator", "ana", "--store", &store]).expect("published");
    for at in 0..VMS {
        wait_for("number 3", async || fleet.bundle_number(at).await == 3).await;
    }
}

#[tokio::test]
async fn bundle_is_in_force_after_all_nodes_restart_on_copy() {
    let (mut fleet, _) = fleet_ahead_of_copy().await;
    (0..VMS).for_each(|at| fleet.kill_node(at));
    roll_back_store(&fleet, "").await;
    (0..VMS).for_each(|at| fleet.start_node(at));
    fleet.wait_ready().await;
    fleet.publish(&bundle(9));
    assert_all_serve(&fleet, &version_of(&bundle(9))).await;
}

#[tokio::test]
async fn last_bundle_published_after_store_rollback_is_in_force() {
    let (fleet, _) = fleet_ahead_of_copy().await;
    roll_back_store(&fleet, "").await;
    let versions = [approve(&fleet, &bundle(8)), approve(&fleet, &bundle(9))];
    let store = fleet.store_addr.to_string();
    let published = versions
        .each_ref()
        .map(|version| fleet.valetrack(&["bundle", "roll", version, "--operator", "cene", "--store", &store]));
    assert!(published[1].is_ok(), "{published:?}");
    assert_all_serve(&fleet, &versions[1]).await;
}

#[tokio::test]
async fn evacuation_missing_from_copy_is_restored_to_store() {
    let (fleet, _) = fleet_ahead_of_copy().await;
    let store = fleet.store_addr.to_string();
    fleet.valetrack(&["domain", "evacuate", "kranj", "--store", &store]).expect("evacuated");
    for at in 0..VMS {
        let is_logged = async || fleet.log(at).contains("event=member.evacuation");
        wait_for("the evacuation at the node", is_logged).await;
    }
    roll_back_store(&fleet, "").await;
    let is_stored = async || {
        let status = fleet.valetrack(&["domain", "status", "--store", &store]).unwrap_or_default();
        status.contains("kranj")
    };
    wait_for("the evacuation in the store", is_stored).await;
}

#[tokio::test]
async fn publish_with_admin_reports_and_exceeds_served_number() {
    let (mut fleet, _) = fleet_ahead_of_copy().await;
    // The only node that could write the lost bundle again is suspended until the next one is approved.
    (1..VMS).for_each(|at| fleet.kill_node(at));
    fleet.signal(0, "-STOP");
    roll_back_store(&fleet, "").await;
    let version = approve(&fleet, &bundle(9));
    fleet.signal(0, "-CONT");
    let (store, admin) = (fleet.store_addr.to_string(), fleet.vms[0].admin_addr.to_string());
    let arguments = ["bundle", "roll", &version, "--operator", "ana", "--store", &store, "--admin", &admin, "--json"];
    let published: Value = serde_json::from_str(&fleet.valetrack(&arguments).expect("published")).expect("json");
    assert_eq!((&published["nodes_served"], &published["number"]), (&Value::from(2), &Value::from(3)));
    assert_eq!(
        status(&fleet, 0).await["bundle_version"],
        *version,
        "the command returned before the node served the bundle"
    );
}
