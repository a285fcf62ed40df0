//! Operators roll bundles after the product's own store came back from a copy that lacks the roll in force.
//!
//! The story: number 2 was in force everywhere when the store came back from a copy that held number 1. The next roll was
//! given number 2 as well. Every node refused it as no later one than its own, the operator was told that it was rolled,
//! and it was in force nowhere until the roll after it.

mod common;

use std::time::{Duration, Instant};

use common::{Fleet, wait_for};
use serde_json::Value;
use standin::client::Client;
use test_case::test_case;
use tokio::time::sleep;

const VMS: usize = 4;
/// Time within which a roll is to be in force at every node.
const IN_FORCE: Duration = Duration::from_millis(7_000);

/// Returns a bundle that differs from all others.
fn bundle(slots: usize) -> String {
    common::INTAKE_BUNDLE.replace("slots = 6", &format!("slots = {slots}"))
}

async fn status(fleet: &Fleet, at: usize) -> Value {
    let page = Client::new(fleet.vms[at].admin_addr).call("GET", "/status", &[], "").await;
    page.ok().and_then(|page| serde_json::from_slice(&page.body).ok()).unwrap_or_default()
}

fn stored(fleet: &Fleet) -> Value {
    let status = fleet.valetrack(&["bundle", "status", "--json", "--store", &fleet.store_addr.to_string()]);
    serde_json::from_str(&status.expect("a status")).expect("json")
}

fn approve(fleet: &Fleet, text: &str) -> String {
    let file = fleet.file("next.toml", text);
    let store = fleet.store_addr.to_string();
    let version =
        fleet.valetrack(&["bundle", "write", &file, "--operator", "ana", "--store", &store]).expect("written");
    fleet.valetrack(&["bundle", "approve", &version, "--operator", "bor", "--store", &store]).expect("approved");
    version
}

/// Waits until every node serves a version.
async fn all_serve(fleet: &Fleet, version: &str) {
    let rolled = Instant::now();
    for at in 0..VMS {
        wait_for("the roll in force", async || status(fleet, at).await["bundle_version"] == version).await;
    }
    assert!(rolled.elapsed() < IN_FORCE, "in force after {:?}", rolled.elapsed());
}

/// Brings up a fleet that serves number 2, of which the store's copy knows nothing; returns its version.
async fn fleet_beyond_its_copy() -> (Fleet, String) {
    let fleet = Fleet::with_intake(VMS).await;
    fleet.store_command("_copy").await;
    assert_eq!(fleet.publish(&bundle(7)), 2);
    for at in 0..VMS {
        wait_for("number 2", async || fleet.bundle_number(at).await == 2).await;
    }
    let version = stored(&fleet)["version"].as_str().expect("a version").to_owned();
    (fleet, version)
}

async fn come_back(fleet: &Fleet, how: &str) {
    fleet.store_command(&format!("_return?away_ms=700{how}")).await;
    sleep(Duration::from_millis(730)).await;
}

#[test_case("", 0; "at once")]
#[test_case("&history=7", 0; "at once, and the store names another history")]
#[test_case("", 2_500; "later")]
#[test_case("&history=7", 2_500; "later, and the store names another history")]
#[tokio::test]
async fn a_roll_after_the_store_came_back_older_is_in_force_at_nodes(how: &str, after_ms: u64) {
    let (fleet, _) = fleet_beyond_its_copy().await;
    come_back(&fleet, how).await;
    sleep(Duration::from_millis(after_ms)).await;
    fleet.publish(&bundle(9));
    let version = version_of(&bundle(9));
    all_serve(&fleet, &version).await;
    for at in 0..VMS {
        assert!(fleet.bundle_number(at).await > 2, "no number is given to two bundles");
    }
    wait_for("the store to hold what is served", async || stored(&fleet)["version"] == *version).await;
}

fn version_of(text: &str) -> String {
    valetrack::bundle::version_of(text)
}

#[tokio::test]
async fn the_lost_roll_stands_in_the_store_again_and_its_approval_does_not() {
    let (fleet, second) = fleet_beyond_its_copy().await;
    come_back(&fleet, "").await;
    wait_for("the lost roll", async || stored(&fleet)["number"] == 2).await;
    assert_eq!(stored(&fleet)["version"], *second);
    let store = fleet.store_addr.to_string();
    let refused = fleet.valetrack(&["bundle", "roll", &second, "--operator", "ana", "--store", &store]);
    assert!(refused.as_ref().is_err_and(|text| text.contains("VT506")), "{refused:?}");
    fleet.valetrack(&["bundle", "approve", &second, "--operator", "bor", "--store", &store]).expect("approved again");
    fleet.valetrack(&["bundle", "roll", &second, "--operator", "ana", "--store", &store]).expect("rolled");
    for at in 0..VMS {
        wait_for("number 3", async || fleet.bundle_number(at).await == 3).await;
    }
}

#[tokio::test]
async fn a_roll_is_in_force_after_all_nodes_have_started_on_the_copy() {
    let (mut fleet, _) = fleet_beyond_its_copy().await;
    (0..VMS).for_each(|at| fleet.kill_node(at));
    come_back(&fleet, "").await;
    (0..VMS).for_each(|at| fleet.start_node(at));
    fleet.wait_ready().await;
    fleet.publish(&bundle(9));
    all_serve(&fleet, &version_of(&bundle(9))).await;
}

#[tokio::test]
async fn of_two_operators_who_roll_after_the_return_the_last_is_in_force() {
    let (fleet, _) = fleet_beyond_its_copy().await;
    come_back(&fleet, "").await;
    let versions = [approve(&fleet, &bundle(8)), approve(&fleet, &bundle(9))];
    let store = fleet.store_addr.to_string();
    let rolled = versions
        .each_ref()
        .map(|version| fleet.valetrack(&["bundle", "roll", version, "--operator", "cene", "--store", &store]));
    assert!(rolled[1].is_ok(), "{rolled:?}");
    all_serve(&fleet, &versions[1]).await;
}

#[tokio::test]
async fn an_evacuation_that_the_copy_lacks_holds_and_stands_in_the_store_again() {
    let (fleet, _) = fleet_beyond_its_copy().await;
    let store = fleet.store_addr.to_string();
    fleet.valetrack(&["domain", "evacuate", "kranj", "--store", &store]).expect("evacuated");
    for at in 0..VMS {
        let told = async || fleet.log(at).contains("event=member.evacuation");
        wait_for("the evacuation at the node", told).await;
    }
    come_back(&fleet, "").await;
    let shown = async || {
        let status = fleet.valetrack(&["domain", "status", "--store", &store]).unwrap_or_default();
        status.contains("kranj")
    };
    wait_for("the evacuation in the store", shown).await;
}

#[tokio::test]
async fn a_roll_that_asks_nodes_says_what_they_serve_and_goes_beyond_it() {
    let (mut fleet, _) = fleet_beyond_its_copy().await;
    // The only nodes that could write the lost roll again are suspended until the operator has rolled.
    (1..VMS).for_each(|at| fleet.kill_node(at));
    fleet.signal(0, "-STOP");
    come_back(&fleet, "").await;
    let version = approve(&fleet, &bundle(9));
    fleet.signal(0, "-CONT");
    let (store, admin) = (fleet.store_addr.to_string(), fleet.vms[0].admin_addr.to_string());
    let words = ["bundle", "roll", &version, "--operator", "ana", "--store", &store, "--admin", &admin, "--json"];
    let rolled: Value = serde_json::from_str(&fleet.valetrack(&words).expect("rolled")).expect("json");
    assert_eq!((&rolled["nodes_served"], &rolled["number"]), (&Value::from(2), &Value::from(3)));
    assert_eq!(status(&fleet, 0).await["bundle_version"], *version, "the command has waited for it");
}
