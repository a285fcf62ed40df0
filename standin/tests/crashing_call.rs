//! Calls that crash the upstreams that run them, on real nodes.
//!
//! The story. One request came again and again: the same path, caller and body, under another id each time,
//! at any node. Each upstream that began to run it crashed and was away for seconds, with every call that it
//! was running; thirteen ended in one row, and callers of the service were refused for half a minute, three
//! times in a day.
//!
//! The order of events. Two upstreams ended within 0.1 s, since the node that had put the request to the
//! first one repeated it at the second; a second later the other two. Each came back after some three
//! seconds, and ended as soon as the request found it.
//!
//! The cause. A crash was held against the upstream alone (it is ejected, its connections are counted), and
//! an arrival was judged by its call's id alone. Nothing tied a request to the upstreams that had ended under
//! it, so each arrival of it began with a clean record at every node.
//!
//! The evidence. The owner's lines show the calls that break at the same moment, four of them at 17.0339 s, and a
//! port that is closed 24 ms later; the callers' stories name the one request that is among them each time.
//! An upstream that was warm and under usual load ended as well as one that was cold, which rules out that
//! they were overrun. The test below brings it about, and upstreams go on ending also where the work may not be
//! repeated, so that the fleet's own repeats are not the cause, only its pace.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::managed::{Fleet, SUSPENSION_MS, status};
use standin::client::Client;
use test_case::test_case;
use valetrack::crash::TRIAL_PAUSES_US;

/// For how long an upstream is away after a crash: short beside the some seconds of real ones, so that many
/// sends can be seen in a short test.
const DOWN: Duration = Duration::from_millis(400);
/// Crashes after which a request may not be put to upstreams any more, but for a few sends.
const CRASHES: u64 = 3;
/// Sends to upstreams that are allowed after that, for good.
const SENDS_LEFT: usize = 3;

/// Time within which what the store has lost of crashes stands there again: whoever did not see a crash itself leaves the
/// write to others for up to six seconds.
const WRITTEN_AGAIN: Duration = Duration::from_millis(7_000);

/// Puts the same request to the nodes in turn, each time under another id.
async fn repeat_deadly(addrs: Vec<SocketAddr>, method: &'static str, path: &'static str, during: Duration) {
    let began = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for number in 0.. {
        if began.elapsed() >= during {
            break;
        }
        let addr = addrs[number % addrs.len()];
        calls.spawn(async move {
            let id = format!("deadly-{number}");
            let headers = [("host", "farm.example"), ("x-request-id", &*id), ("x-deadline-milliseconds", "800")];
            // Whatever comes of it, its caller sends it again.
            let _ = Client::new(addr).call(method, path, &headers, "the same body").await;
        });
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    while calls.join_next().await.is_some() {}
}

/// Puts other calls, each with a body of its own, to the nodes in turn; returns their statuses in order.
async fn send_innocent(addrs: Vec<SocketAddr>, during: Duration) -> Vec<u16> {
    let began = Instant::now();
    let mut calls = Vec::new();
    while began.elapsed() < during {
        let number = calls.len();
        let addr = addrs[number % addrs.len()];
        calls.push(tokio::spawn(async move {
            let id = format!("innocent-{number}");
            status(&common::managed::call(addr, "GET", "/sheet/", &id).await)
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut statuses = Vec::new();
    for call in calls {
        statuses.push(call.await.expect("a status"));
    }
    statuses
}

/// Returns when each run of the deadly request began, over all upstreams, in order.
fn deadly_runs(fleet: &Fleet) -> Vec<Instant> {
    let mut runs: Vec<Instant> = fleet.vms.iter().flat_map(|vm| vm.upstream.deadly_runs()).collect();
    runs.sort();
    runs
}

fn addrs(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.vms.iter().map(|vm| vm.caller_addr).collect()
}

#[test_case("GET", "/sheet/deadly", "rounds"; "work that may repeat")]
#[test_case("POST", "/pickup/deadly", "ledger"; "work that may not repeat")]
#[tokio::test]
async fn a_call_that_crashes_upstreams_is_not_put_to_them_for_ever(
    method: &'static str,
    path: &'static str,
    service: &'static str,
) {
    let fleet = Fleet::start(&[service, service, service, service, "rounds"]).await;
    for vm in &fleet.vms {
        vm.upstream.set_deadly(path, DOWN);
    }
    let during = Duration::from_secs(6);
    let (_, statuses) =
        tokio::join!(repeat_deadly(addrs(&fleet), method, path, during), send_innocent(addrs(&fleet), during));
    let runs = deadly_runs(&fleet);
    assert!(runs.len() <= CRASHES as usize + SENDS_LEFT, "{} upstreams ran the call that crashes them", runs.len());
    let last = &statuses[statuses.len() / 2..];
    let served = last.iter().filter(|status| **status == 200).count();
    assert_eq!(served, last.len(), "other calls are served once it is known");
}

/// Sends the deadly request to nodes in turn until it has crashed upstreams as often.
///
/// Two sends that meet at one upstream crash it once, so that runs say less than crashes.
async fn crash_times(fleet: &Fleet, path: &'static str, crashes: u64) {
    for number in 0.. {
        if fleet.vms.iter().map(|vm| vm.upstream.crashes()).sum::<u64>() >= crashes {
            return;
        }
        repeat_deadly(vec![addrs(fleet)[number % fleet.vms.len()]], "GET", path, Duration::from_millis(60)).await;
    }
}

/// Sends the deadly request once to a node; returns its status and how long that took.
async fn send_deadly(fleet: &Fleet, at: usize, path: &str) -> (u16, Duration) {
    let began = Instant::now();
    let headers = [("host", "farm.example"), ("x-request-id", "deadly-once"), ("x-deadline-milliseconds", "800")];
    let reply = Client::new(fleet.vms[at].caller_addr).call("GET", path, &headers, "the same body").await;
    (status(&reply), began.elapsed())
}

/// Has all nodes start again at once, and holds that each refuses the deadly request from its start on.
async fn start_again_and_refuse(fleet: &mut Fleet, path: &str) {
    for at in 0..fleet.vms.len() {
        fleet.kill_node(at);
    }
    for at in 0..fleet.vms.len() {
        fleet.start_node(at);
    }
    fleet.wait_ready().await;
    for at in 0..fleet.vms.len() {
        assert_eq!(send_deadly(fleet, at, path).await.0, 503);
    }
    let runs = deadly_runs(fleet).len();
    assert!(runs <= CRASHES as usize + SENDS_LEFT, "{runs} upstreams ran the call that crashes them");
}

#[tokio::test]
async fn what_is_known_of_a_call_outlives_every_node_and_a_store_that_is_away() {
    let path = "/sheet/deadly";
    let mut fleet = Fleet::start(&["rounds", "rounds", "rounds", "ledger"]).await;
    for vm in &fleet.vms {
        vm.upstream.set_deadly(path, DOWN);
    }
    crash_times(&fleet, path, CRASHES).await;
    common::wait_for("the crashes in the store", async || !fleet.store.keys("valetrack/crash/").is_empty()).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    // One node starts again while the store is away: whoever calls it tells it.
    fleet.store.set_mode(standin::managed::store::Mode::Refusing);
    fleet.kill_node(0);
    fleet.start_node(0);
    common::wait_for("a served call", async || {
        for at in 1..4 {
            // Its status does not matter: whoever calls the upstream of the node tells it what it lacks.
            let _ = fleet.call(at, "GET", "/sheet/", "wakes").await;
        }
        status(&fleet.call(0, "GET", "/sheet/", "served").await) == 200
    })
    .await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let (refused, took) = send_deadly(&fleet, 0, path).await;
    assert_eq!(refused, 503);
    assert!(took < Duration::from_millis(200), "refused at once, not after {took:?}");
    // All nodes start again, with the store back.
    fleet.store.set_mode(standin::managed::store::Mode::Up);
    start_again_and_refuse(&mut fleet, path).await;
}

#[tokio::test]
async fn what_a_store_that_came_back_older_has_lost_of_a_call_is_written_again() {
    let path = "/sheet/deadly";
    let mut fleet = Fleet::start(&["rounds", "rounds", "rounds", "ledger"]).await;
    for vm in &fleet.vms {
        vm.upstream.set_deadly(path, DOWN);
    }
    let before_it = fleet.store.revision();
    crash_times(&fleet, path, CRASHES).await;
    let archive = "valetrack/crash/";
    common::wait_for("the crashes in the store", async || !fleet.store.keys(archive).is_empty()).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.store.set_mode(standin::managed::store::Mode::Refusing);
    fleet.store.roll_back((fleet.store.revision() - before_it) as usize);
    assert!(fleet.store.keys(archive).is_empty(), "the copy is older than all crashes");
    fleet.store.set_mode(standin::managed::store::Mode::Up);
    let back = Instant::now();
    common::wait_for("the crashes in the store again", async || !fleet.store.keys(archive).is_empty()).await;
    assert!(back.elapsed() < WRITTEN_AGAIN, "{:?}", back.elapsed());
    // Nodes that start then know of it from the store alone.
    start_again_and_refuse(&mut fleet, path).await;
}

#[tokio::test]
async fn a_call_that_is_repaired_in_time_is_served_again() {
    let path = "/sheet/deadly";
    let fleet = Fleet::start(&["rounds", "rounds", "ledger"]).await;
    for vm in &fleet.vms {
        vm.upstream.set_deadly(path, DOWN);
    }
    crash_times(&fleet, path, CRASHES).await;
    assert_eq!(send_deadly(&fleet, 2, path).await.0, 503);
    for vm in &fleet.vms {
        vm.upstream.repair();
    }
    assert_eq!(send_deadly(&fleet, 2, path).await.0, 503, "it is not tried again at once");
    // The pause before its first trial goes by, in steps of the suspension that nodes are told.
    let steps = TRIAL_PAUSES_US[0] / 1_000 / SUSPENSION_MS;
    for _ in 0..=2 * steps {
        (0..3).for_each(|at| fleet.signal(at, "-USR2"));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    common::wait_for("a trial", async || send_deadly(&fleet, 2, path).await.0 == 200).await;
    for at in 0..3 {
        common::wait_for("the word that it is cleared", async || send_deadly(&fleet, at, path).await.0 == 200).await;
    }
}

#[tokio::test]
async fn nodes_that_the_store_turns_away_know_what_the_others_know() {
    let path = "/sheet/deadly";
    let fleet = Fleet::start(&["rounds", "rounds", "rounds", "ledger"]).await;
    for vm in &fleet.vms {
        vm.upstream.set_deadly(path, DOWN);
    }
    // The first crash may be seen by a node that cannot write it, and the others by one that cannot read them.
    fleet.vms[0].store_access.set(standin::managed::store::Mode::Refusing);
    fleet.vms[1].store_access.set(standin::managed::store::Mode::Silent);
    crash_times(&fleet, path, CRASHES).await;
    repeat_deadly(addrs(&fleet), "GET", path, Duration::from_secs(3)).await;
    let runs = deadly_runs(&fleet).len();
    assert!(runs <= CRASHES as usize + SENDS_LEFT, "{runs} upstreams ran the call that crashes them");
    for at in 0..2 {
        fleet.vms[at].store_access.set(standin::managed::store::Mode::Up);
    }
    common::wait_for("the crashes in the store", async || !fleet.store.keys("valetrack/crash/").is_empty()).await;
}
