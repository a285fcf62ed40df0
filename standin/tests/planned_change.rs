//! Planned changes on real processes: stops under load, published bundles, a lagging VM list, and budgets.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{Fleet, INTAKE_BUNDLE, outcome_of, submit, wait_for};
use standin::client::Client;
use test_case::test_case;
use tokio::time::sleep;

/// Counts of calls by the result that their callers received.
type ResultCounts = BTreeMap<String, u64>;

/// Sends calls to the nodes in turn until `stop` is set; returns how many calls had which result.
async fn callers(clients: Vec<Client>, keyed: bool, stop: Arc<AtomicBool>) -> ResultCounts {
    let clients = Arc::new(clients);
    let mut calls = tokio::task::JoinSet::new();
    let mut number = 0usize;
    while !stop.load(Ordering::Relaxed) {
        let clients = clients.clone();
        calls.spawn(async move {
            let client = &clients[number % clients.len()];
            let reply = if keyed || number.is_multiple_of(3) {
                submit(client, &format!("planned-{number}")).await
            } else {
                client.call("GET", "/", &[("valetrack-service", "intake")], "x").await
            };
            match &reply {
                Ok(reply) => format!("{} {}", reply.status, reply.header("valetrack-code")),
                Err(error) => format!("cut: {error}"),
            }
        });
        number += 1;
        sleep(Duration::from_millis(4)).await;
    }
    let mut counts = ResultCounts::new();
    while let Some(result) = calls.join_next().await {
        *counts.entry(result.expect("a call")).or_default() += 1;
    }
    counts
}

/// Sends calls to a node until it refuses one.
///
/// A signal takes some milliseconds to reach the node, and a call that the node accepts before may run. Each call is
/// sent without waiting for the previous one, which may run for a long time.
async fn wait_first_refusal(client: Client) {
    let client = Arc::new(client);
    let mut calls = tokio::task::JoinSet::new();
    loop {
        let client = client.clone();
        calls.spawn(async move { client.call("GET", "/", &[("valetrack-service", "intake")], "early").await });
        tokio::select! {
            Some(reply) = calls.join_next() => {
                if reply.expect("a call").is_ok_and(|reply| reply.status == 503) {
                    return;
                }
            }
            () = sleep(Duration::from_millis(10)) => {}
        }
    }
}

/// Returns how many calls a VM's server has run.
async fn runs_at(fleet: &Fleet, at: usize) -> u64 {
    let reply = Client::new(fleet.vms[at].server_addr).call("GET", "/_stats", &[], "").await.expect("stats");
    let stats: serde_json::Value = serde_json::from_slice(&reply.body).expect("json");
    stats["runs"].as_u64().expect("a number")
}

/// The channel that announces the stop of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopChannel {
    Signal,
    Server,
    List,
}

#[test_case(StopChannel::Signal; "by a signal")]
#[test_case(StopChannel::Server; "by its server")]
#[test_case(StopChannel::List; "by the list")]
#[tokio::test]
async fn planned_stop_interrupts_no_calls(channel: StopChannel) {
    let mut fleet = Fleet::with_intake(4).await;
    // Callers use the nodes that stay; another test covers the caller listener of the leaving node.
    let clients: Vec<Client> = (0..3).map(|at| fleet.client_at(at)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(callers(clients, false, stop.clone()));
    sleep(Duration::from_millis(700)).await;
    assert!(runs_at(&fleet, 3).await > 0, "the server has run no call");
    match channel {
        StopChannel::Signal => fleet.signal(3, "-TERM"),
        StopChannel::Server => fleet.set_fault(fleet.vms[3].server_addr, "leaving=1").await,
        StopChannel::List => fleet.put_list(&["intake-3"]).await,
    }
    sleep(Duration::from_secs(2)).await;
    let runs_before = runs_at(&fleet, 3).await;
    let took = fleet.wait_end(3).await;
    sleep(Duration::from_millis(500)).await;
    stop.store(true, Ordering::Relaxed);
    let counts = load.await.expect("callers");
    println!("{channel:?}: the node exited {took:?} past the 2 s after the announcement, results {counts:?}");
    assert_eq!(counts.keys().collect::<Vec<_>>(), [&"200 ".to_owned()], "calls were interrupted: {counts:?}");
    assert_eq!(runs_at(&fleet, 3).await, runs_before, "new runs later than 2 s after the announcement");
    let runs = fleet.runs().await;
    assert!(runs.values().all(|&count| count == 1));
}

#[tokio::test]
async fn leaving_node_answers_in_flight_calls_before_exit() {
    let mut fleet = Fleet::with_intake(3).await;
    for vm in &fleet.vms {
        fleet.set_fault(vm.server_addr, "slow_us=400000").await;
    }
    let client = fleet.client_at(0);
    let call = async {
        client.call("GET", "/", &[("valetrack-service", "intake")], "in flight").await.expect("a complete answer")
    };
    let leave = async {
        sleep(Duration::from_millis(100)).await;
        fleet.signal(0, "-TERM");
    };
    let (reply, ()) = tokio::join!(call, leave);
    assert_eq!((reply.status, &reply.body[..]), (200, &b"in flight"[..]));
    assert_eq!(reply.header("connection"), "close");
    fleet.wait_end(0).await;
}

#[tokio::test]
async fn leaving_node_refuses_calls_when_its_announcement_is_lost() {
    let mut fleet = Fleet::start().await;
    fleet.server_flags.push(("slots", "64"));
    fleet.add_vms("intake", 1).await;
    fleet.add_vms("prizes", 1).await;
    fleet.publish(&format!("{}\n[[service]]\nname = \"prizes\"\n", INTAKE_BUNDLE.replace("slots = 6", "slots = 64")));
    fleet.wait_ready().await;
    // Calls of the other node reach the leaving node, but that node's announcement does not reach the other one.
    fleet.vms[1].cuts.set(true, true);
    fleet.set_fault(fleet.vms[0].server_addr, "slow_us=1300000").await;
    let client = fleet.client_at(0);
    let in_flight =
        tokio::spawn(async move { client.call("GET", "/", &[("valetrack-service", "intake")], "held").await });
    sleep(Duration::from_millis(100)).await;
    fleet.signal(0, "-TERM");
    wait_first_refusal(fleet.client_at(1)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(callers(vec![fleet.client_at(1)], false, stop.clone()));
    sleep(Duration::from_millis(300)).await;
    let runs_before = runs_at(&fleet, 0).await;
    sleep(Duration::from_millis(700)).await;
    assert_eq!(runs_at(&fleet, 0).await, runs_before, "new runs after the stop was signalled");
    assert!(fleet.vms[0].is_node_running(), "the node exited before its call in flight ended");
    stop.store(true, Ordering::Relaxed);
    let counts = load.await.expect("callers");
    // The first call is declined, which reports the stop to the entry. A keyed call can't be answered "not run".
    let refused = |result: &String| ["503 VT308", "503 VT302", "502 VT403"].contains(&result.as_str());
    assert!(counts.keys().all(refused), "{counts:?}");
    assert_eq!(outcome_of(&in_flight.await.expect("a call")), "ran");
    fleet.wait_end(0).await;
}

#[test_case("lag_ms=30000"; "a list that shows a dead and a leaving VM as serving")]
#[tokio::test]
async fn lagging_list_sends_no_work_to_stopped_nodes(query: &str) {
    let mut fleet = Fleet::with_intake(4).await;
    fleet.set_fault(fleet.list_addr, query).await;
    fleet.signal(3, "-TERM");
    fleet.wait_end(3).await;
    fleet.kill_node(2);
    sleep(Duration::from_secs(1)).await;
    let runs_before = runs_at(&fleet, 3).await;
    let mut counts = ResultCounts::new();
    for number in 0..200 {
        let reply = fleet.client_at(number % 2).call("GET", "/", &[("valetrack-service", "intake")], "x").await;
        *counts.entry(outcome_of(&reply)).or_default() += 1;
    }
    assert_eq!(runs_at(&fleet, 3).await, runs_before);
    assert_eq!(counts, ResultCounts::from([("ran".to_owned(), 200)]));
}

fn bundle(deadline_ms: u32) -> String {
    INTAKE_BUNDLE.replace("deadline_ms = 1500", &format!("deadline_ms = {deadline_ms}"))
}

async fn wait_bundle(fleet: &Fleet, number: u64) {
    for at in 0..fleet.vms.len() {
        wait_for("the bundle", async || fleet.bundle_number(at).await >= number).await;
    }
}

#[tokio::test]
async fn published_bundle_reaches_all_nodes_despite_store_outage() {
    let mut fleet = Fleet::with_intake(16).await;
    let began = Instant::now();
    let number = fleet.publish(&bundle(1_400));
    let commands_took = began.elapsed();
    wait_bundle(&fleet, number).await;
    println!(
        "16 nodes, store up: {:?} after the first command, of which {commands_took:?} in operators' commands",
        began.elapsed()
    );

    let number = fleet.publish(&bundle(1_300));
    let began = Instant::now();
    // Only the first watcher may have read the text; the other nodes must get it from their peers.
    wait_for("one node", async || {
        for at in 0..16 {
            if fleet.bundle_number(at).await >= number {
                return true;
            }
        }
        false
    })
    .await;
    fleet.set_fault(fleet.store_addr, "down=1").await;
    wait_bundle(&fleet, number).await;
    println!("16 nodes, store down right after the first node had the bundle: {:?}", began.elapsed());

    // A node that restarts during the outage gets the bundle from its peers.
    fleet.kill_node(5);
    fleet.start_node(5);
    wait_for("the restarted node", async || fleet.bundle_number(5).await >= number).await;
    fleet.set_fault(fleet.store_addr, "").await;
    for at in 0..16 {
        assert_eq!(fleet.bundle_number(at).await, number, "a node went back to an earlier bundle");
    }
}

#[tokio::test]
async fn conflicting_publish_fails_for_only_one_operator() {
    let fleet = Fleet::with_intake(2).await;
    let store = fleet.store_addr.to_string();
    let dir = std::env::temp_dir().join(format!("valetrack-race-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let version = |name: &str, text: &str| {
        let file = dir.join(name);
        std::fs::write(&file, text).expect("a file");
        let file = file.to_string_lossy();
        let version = fleet.valetrack(&["bundle", "write", &file, "--operator", "ana", "--store", &store]);
        let version = version.expect("written");
        fleet.valetrack(&["bundle", "approve", &version, "--operator", "bor", "--store", &store]).expect("approved");
        version
    };
    let versions = [version("a", &bundle(1_201)), version("b", &bundle(1_202))];
    let publish = |version: &str, operator: &str| {
        fleet.valetrack(&["bundle", "roll", version, "--operator", operator, "--store", &store])
    };
    // A conflict needs both operators to read before either writes, which is rare, so the race is repeated.
    let mut lost = 0;
    for _ in 0..20 {
        let results = std::thread::scope(|scope| {
            let ana = scope.spawn(|| publish(&versions[0], "ana"));
            let cene = scope.spawn(|| publish(&versions[1], "cene"));
            [ana.join().expect("ana"), cene.join().expect("cene")]
        });
        assert!(results.iter().any(Result::is_ok), "both commands failed: {results:?}");
        for error in results.iter().filter_map(|result| result.as_ref().err()) {
            assert!(error.contains("VT508") && (error.contains("ana") || error.contains("cene")), "{error}");
            lost += 1;
        }
    }
    println!("conflicts: {lost} in 20 races");
    let _ = std::fs::remove_dir_all(&dir);
    let history = fleet.valetrack(&["bundle", "history", "--store", &store]).expect("a history");
    assert_eq!(history.lines().count(), 1 + 40 - lost, "the history lists each successful publication once");
}

#[tokio::test]
async fn measurement_and_store_calls_stay_within_budgets() {
    let fleet = Fleet::with_intake(4).await;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<Client> = (0..4).map(|at| fleet.client_at(at)).collect();
    let before = store_counts(&fleet).await;
    let mut bytes_before = [0.0; 4];
    for (at, bytes_before) in bytes_before.iter_mut().enumerate() {
        *bytes_before = fleet.metric(at, "valetrack_measure_bytes_total").await;
    }
    let began = Instant::now();
    let load = tokio::spawn(callers(clients, true, stop.clone()));
    sleep(Duration::from_secs(5)).await;
    stop.store(true, Ordering::Relaxed);
    load.await.expect("callers");
    let elapsed_s = began.elapsed().as_secs_f64();
    for (at, bytes_before) in bytes_before.into_iter().enumerate() {
        let bytes = fleet.metric(at, "valetrack_measure_bytes_total").await - bytes_before;
        let budget = 2_048.0 * elapsed_s + 2_048.0;
        println!("node {at}: {bytes} bytes of {budget:.0}");
        assert!(bytes <= budget);
    }
    let after = store_counts(&fleet).await;
    println!("store calls before {before:?} and after {after:?}");
    // At most fifty writes and fifty reads per second and node, plus their burst.
    let budget = 4.0 * (50.0 * elapsed_s + 50.0);
    for kind in ["reads", "writes"] {
        assert!((after[kind] - before[kind]) as f64 <= budget, "{kind}");
    }
    assert!(after["writes"] > before["writes"], "no claims were written");
    assert!(after["watches"] <= 6, "more than two watchers per domain");
}

/// Returns how many requests the store has served, by kind.
async fn store_counts(fleet: &Fleet) -> BTreeMap<String, u64> {
    let reply = Client::new(fleet.store_addr).call("GET", "/_counts", &[], "").await.expect("counts");
    serde_json::from_slice(&reply.body).expect("json")
}
