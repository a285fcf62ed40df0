//! Roll-outs on real nodes: a new version gets its share, and is completed or left.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::managed::{Fleet, call, status};
use common::wait_for;
use standin::managed::store::Mode;

const ORDER: &str = "op/rollout/rounds";
const STATUS: &str = "status/rollout/rounds";
/// Upstreams of the new version, behind four of the old one.
const NEW: [usize; 4] = [5, 6, 7, 8];

/// Starts four upstreams of the old version, one of another service, and four of the new version behind an order.
async fn rolled_out(within_s: f64) -> Fleet {
    let mut fleet = Fleet::start(&["rounds", "rounds", "rounds", "rounds", "ledger"]).await;
    let order = serde_json::json!({ "service": "rounds", "targetVersion": "v2", "duration": within_s });
    fleet.store.put(ORDER, &order.to_string());
    for at in NEW {
        fleet.add_version("rounds", "v2").await;
        assert_eq!(fleet.vms.len(), at + 1);
    }
    fleet
}

/// Sends calls to all nodes in turn until told that it is over; returns how many were served and how many were not.
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
    let (mut served, mut lost) = (0, 0);
    while let Some(status) = calls.join_next().await {
        if status.expect("a status") == 200 { served += 1 } else { lost += 1 }
    }
    (served, lost)
}

fn addrs(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.vms.iter().map(|vm| vm.caller_addr).collect()
}

fn state(fleet: &Fleet) -> String {
    fleet.store.text(STATUS).unwrap_or_default()
}

fn arrivals(fleet: &Fleet, vms: &[usize]) -> usize {
    vms.iter().map(|at| fleet.vms[*at].upstream.arrivals().len()).sum()
}

#[tokio::test]
async fn a_bad_version_gets_its_share_and_is_left() {
    let fleet = rolled_out(12.0).await;
    for at in NEW {
        fleet.vms[at].upstream.set_failing(2);
    }
    let began = Instant::now();
    let over = || state(&fleet).contains("rolled_back") || began.elapsed() > Duration::from_secs(11);
    let (served, lost) = load(addrs(&fleet), over).await;
    assert_eq!(state(&fleet), r#"{"state":"rolled_back","targetVersion":"v2"}"#);
    let exposed = arrivals(&fleet, &NEW);
    assert!(exposed >= 5 && exposed as u32 <= (served + lost) / 10 + 5, "{exposed} of {}", served + lost);
    // Every node has heard of it within a moment.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before = arrivals(&fleet, &NEW);
    let until = Instant::now() + Duration::from_millis(1_000);
    let (served, lost) = load(addrs(&fleet), || Instant::now() > until).await;
    assert_eq!((arrivals(&fleet, &NEW), lost), (before, 0), "{served} served");
}

#[tokio::test]
async fn a_sound_version_replaces_the_old_one_in_time() {
    let fleet = rolled_out(9.0).await;
    let began = Instant::now();
    let over = || state(&fleet).contains("completed") || began.elapsed() > Duration::from_secs(9);
    let (served, lost) = load(addrs(&fleet), over).await;
    assert!(state(&fleet).contains("completed"), "{} after {:?}", state(&fleet), began.elapsed());
    assert_eq!(lost, 0, "{served} served");
    // The old version's upstreams stop at once then, with nothing new on them.
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
async fn a_bad_version_gets_no_more_than_its_share_while_the_store_is_away() {
    let fleet = rolled_out(30.0).await;
    wait_for("the trial", async || state(&fleet).contains("running")).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.store.set_mode(Mode::Refusing);
    for at in NEW {
        fleet.vms[at].upstream.set_failing(2);
    }
    let before = arrivals(&fleet, &NEW);
    let until = Instant::now() + Duration::from_secs(3);
    let (served, lost) = load(addrs(&fleet), || Instant::now() > until).await;
    let exposed = (arrivals(&fleet, &NEW) - before) as u32;
    assert!(exposed <= (served + lost) / 10 + 5, "{exposed} of {}", served + lost);
    fleet.store.set_mode(Mode::Up);
    let until = Instant::now() + Duration::from_secs(15);
    load(addrs(&fleet), || state(&fleet).contains("rolled_back") || Instant::now() > until).await;
    assert!(state(&fleet).contains("rolled_back"), "{}", state(&fleet));
}
