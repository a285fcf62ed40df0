//! Roll-outs on real nodes: a new version gets its traffic share, and is completed or rolled back.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::managed::{Fleet, call, status};
use common::wait_for;
use standin::managed::store::Mode;

const ORDER_KEY: &str = "op/rollout/rounds";
const STATUS_KEY: &str = "status/rollout/rounds";
/// VMs with upstreams of the new version; the old one has VMs 0 to 3.
const NEW_VMS: [usize; 4] = [5, 6, 7, 8];

/// Starts four upstreams of the old version and one of another service, orders a roll-out, and starts four upstreams of
/// the new version.
async fn fleet_with_rollout(within_s: f64) -> Fleet {
    let mut fleet = Fleet::start(&["rounds", "rounds", "rounds", "rounds", "ledger"]).await;
    let order = serde_json::json!({ "service": "rounds", "targetVersion": "v2", "duration": within_s });
    fleet.store.put(ORDER_KEY, &order.to_string());
    for at in NEW_VMS {
        fleet.add_version("rounds", "v2").await;
        assert_eq!(fleet.vms.len(), at + 1);
    }
    fleet
}

/// Sends calls to the nodes in turn until `is_over` returns true; returns how many were served and how many were not.
async fn load(addrs: Vec<SocketAddr>, is_over: impl Fn() -> bool) -> (u32, u32) {
    let mut calls = tokio::task::JoinSet::new();
    for number in 0.. {
        if is_over() {
            break;
        }
        let addr = addrs[number % addrs.len()];
        calls.spawn(async move { status(&call(addr, "GET", "/sheet/", &format!("r-{number}")).await) });
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (mut served, mut failed) = (0, 0);
    while let Some(status) = calls.join_next().await {
        if status.expect("a status") == 200 { served += 1 } else { failed += 1 }
    }
    (served, failed)
}

fn addrs(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.vms.iter().map(|vm| vm.caller_addr).collect()
}

/// Returns the stored status of the roll-out.
fn state(fleet: &Fleet) -> String {
    fleet.store.text(STATUS_KEY).unwrap_or_default()
}

/// Returns how many calls have reached the upstreams of some VMs.
fn arrivals(fleet: &Fleet, vms: &[usize]) -> usize {
    vms.iter().map(|at| fleet.vms[*at].upstream.arrivals().len()).sum()
}

#[tokio::test]
async fn failing_version_gets_its_share_and_is_rolled_back() {
    let fleet = fleet_with_rollout(12.0).await;
    for at in NEW_VMS {
        fleet.vms[at].upstream.set_failing(2);
    }
    let began = Instant::now();
    let over = || state(&fleet).contains("rolled_back") || began.elapsed() > Duration::from_secs(11);
    let (served, failed) = load(addrs(&fleet), over).await;
    assert_eq!(state(&fleet), r#"{"state":"rolled_back","targetVersion":"v2"}"#);
    let exposed = arrivals(&fleet, &NEW_VMS);
    assert!(exposed >= 5 && exposed as u32 <= (served + failed) / 10 + 5, "{exposed} of {}", served + failed);
    // Every node has received the rollback within this time.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before = arrivals(&fleet, &NEW_VMS);
    let until = Instant::now() + Duration::from_millis(1_000);
    let (served, failed) = load(addrs(&fleet), || Instant::now() > until).await;
    assert_eq!((arrivals(&fleet, &NEW_VMS), failed), (before, 0), "{served} served");
}

#[tokio::test]
async fn healthy_version_replaces_old_one_within_duration() {
    let fleet = fleet_with_rollout(9.0).await;
    let began = Instant::now();
    let over = || state(&fleet).contains("completed") || began.elapsed() > Duration::from_secs(9);
    let (served, failed) = load(addrs(&fleet), over).await;
    assert!(state(&fleet).contains("completed"), "{} after {:?}", state(&fleet), began.elapsed());
    assert_eq!(failed, 0, "{served} served");
    // The old version's upstreams may stop at once, since they get no new calls.
    let before = arrivals(&fleet, &[0, 1, 2, 3]);
    for at in 0..4 {
        fleet.vms[at].upstream.crash(Duration::from_secs(60));
    }
    for number in 0..30 {
        assert_eq!(status(&call(fleet.vms[4].caller_addr, "GET", "/sheet/", &format!("after-{number}")).await), 200);
    }
    assert_eq!(arrivals(&fleet, &[0, 1, 2, 3]), before);
}

#[tokio::test]
async fn failing_version_keeps_its_share_in_store_outage() {
    let fleet = fleet_with_rollout(30.0).await;
    wait_for("the trial", async || state(&fleet).contains("running")).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.store.set_mode(Mode::Refusing);
    for at in NEW_VMS {
        fleet.vms[at].upstream.set_failing(2);
    }
    let before = arrivals(&fleet, &NEW_VMS);
    let until = Instant::now() + Duration::from_secs(3);
    let (served, failed) = load(addrs(&fleet), || Instant::now() > until).await;
    let exposed = (arrivals(&fleet, &NEW_VMS) - before) as u32;
    assert!(exposed <= (served + failed) / 10 + 5, "{exposed} of {}", served + failed);
    fleet.store.set_mode(Mode::Up);
    let until = Instant::now() + Duration::from_secs(15);
    load(addrs(&fleet), || state(&fleet).contains("rolled_back") || Instant::now() > until).await;
    assert!(state(&fleet).contains("rolled_back"), "{}", state(&fleet));
}
