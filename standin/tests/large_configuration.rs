//! Configurations of nearly the size that a value of the store may have.

mod common;

use std::time::Duration;

use common::managed::{Fleet, config};
use common::wait_for;
use serde_json::{Value, json};
use tokio::time::sleep;

/// Routes that no call uses; with them a configuration has nearly a megabyte.
const UNUSED_ROUTES: usize = 4_800;
/// Versions that are written in quick succession, and the time between two of them.
const VERSIONS: u64 = 25;
const PAUSE: Duration = Duration::from_millis(60);

/// Returns a configuration whose route `/sheet/` leads to the given service.
fn large_config(version: u64, service: &str) -> String {
    let mut config: Value = serde_json::from_str(&config(version, service)).expect("a configuration");
    let unused = |number: usize| {
        json!({
            "name": format!("unused-{number}"), "host": "farm.example", "path_prefix": format!("/unused-{number}/"),
            "repeat": "safe", "timeout_ms": 2_000, "objective_ms": 400, "priority": 1, "attempts_max": 2,
            "service": "rounds",
        })
    };
    let routes = config["routes"].as_array_mut().expect("the routes");
    routes.extend((0..UNUSED_ROUTES).map(unused));
    config.to_string()
}

/// Guards against nodes that keep an old configuration since the versions after it do not fit into one answer of the store.
#[tokio::test]
async fn large_configurations_in_quick_succession_come_into_force() {
    let fleet = Fleet::start(&["rounds", "ledger", "rounds", "ledger"]).await;
    let service = |number| if number == VERSIONS { "ledger" } else { "rounds" };
    let texts: Vec<String> = (1..=VERSIONS).map(|number| large_config(3 + number, service(number))).collect();
    for text in &texts {
        fleet.store.put("op/config", text);
        sleep(PAUSE).await;
    }
    for at in 0..fleet.vms.len() {
        wait_for("the last version", async || fleet.served_by(at, "/sheet/").await == Some("ledger")).await;
    }
}
