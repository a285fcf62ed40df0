//! Planned work while nodes get little processor time, on real processes.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::managed::{Fleet, config, status};
use common::wait_for;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use standin::client::{Client, Reply};
use standin::soak::{CallOutcome, CallRecord, check_cuts};
use tokio::time::{sleep, timeout};

async fn call_within(client: &Client, method: &str, path: &str, id: &str, limit_ms: u64) -> Result<Reply, String> {
    let limit_ms = limit_ms.to_string();
    let headers = [("host", "farm.example"), ("x-request-id", id), ("x-deadline-milliseconds", &*limit_ms)];
    client.call(method, path, &headers, format!("body of {id}")).await
}

/// Guards against a failure in place of a running upstream's answer, since the node beside that upstream is silent.
#[tokio::test]
async fn leaving_entry_waits_for_stalled_owner() {
    let fleet = Fleet::start(&["ledger", "rounds"]).await;
    fleet.vms[0].upstream.set_work_ms(1_000);
    let client = Client::new(fleet.vms[1].caller_addr);
    let calling = tokio::spawn(async move { call_within(&client, "POST", "/pickup/1", "s-1", 2_500).await });
    wait_for("the run", async || fleet.runs("s-1") == 1).await;
    fleet.signal(1, "-TERM");
    fleet.signal(0, "-STOP");
    sleep(Duration::from_millis(1_500)).await;
    fleet.signal(0, "-CONT");
    let reply = calling.await.expect("a result");
    assert_eq!((status(&reply), fleet.runs("s-1")), (200, 1), "{}", fleet.log(1));
}

/// Guards against a listener that closes before the runs of its upstream have made their calls.
#[tokio::test]
async fn leaving_node_serves_calls_of_runs_in_progress() {
    let fleet = Fleet::start(&["rounds", "ledger"]).await;
    let upstream = &fleet.vms[0].upstream;
    upstream.set_work_ms(900);
    upstream.set_calls(fleet.vms[0].caller_addr, "/check/", 1);
    upstream.set_calls_last();
    let client = Client::new(fleet.vms[1].caller_addr);
    let calling = tokio::spawn(async move { call_within(&client, "GET", "/sheet/", "n-1", 2_000).await });
    wait_for("the run", async || fleet.runs("n-1") == 1).await;
    fleet.signal(0, "-TERM");
    assert_eq!(status(&calling.await.expect("a result")), 200);
    assert_eq!(fleet.runs("n-1.0"), 1, "{}", fleet.log(0));
}

/// Part of the time for which a node runs, and of the time for which it is stopped: a tenth of a core.
const TURN: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(90));
/// Callers with a kept connection at each node.
const CALLERS: usize = 3;
/// Time limit of a call.
const LIMIT_MS: u64 = 2_500;

/// Gives each node a tenth of a core until it is dropped.
struct Throttle {
    ended: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Throttle {
    fn start(fleet: &Fleet) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let nodes: Vec<Pid> = fleet.vms.iter().filter_map(|vm| vm.node.as_ref()).map(Pid::from_child).collect();
        let is_ended = ended.clone();
        let thread = std::thread::spawn(move || {
            // A node that has exited is not reaped before the throttle ends, so its id stays its own.
            let signal = |signal: Signal| nodes.iter().for_each(|node| _ = kill_process(*node, signal));
            while !is_ended.load(Ordering::Relaxed) {
                signal(Signal::STOP);
                std::thread::sleep(TURN.1);
                signal(Signal::CONT);
                std::thread::sleep(TURN.0);
            }
        });
        Self { ended, thread: Some(thread) }
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn call_repeatedly(vm: usize, caller: usize, addr: std::net::SocketAddr, until: Instant) -> Vec<CallRecord> {
    let began = Instant::now();
    let client = Client::new(addr);
    let mut calls = Vec::new();
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        let id = format!("t-{vm}-{caller}-{number}");
        let repeatable = number % 2 == 0;
        let (method, path) = if repeatable { ("GET", "/sheet/") } else { ("POST", "/pickup/") };
        let began_ms = began.elapsed().as_millis() as u64;
        let answer = call_within(&client, method, path, &id, LIMIT_MS);
        let outcome = match timeout(Duration::from_millis(2 * LIMIT_MS), answer).await {
            Ok(Ok(reply)) => CallOutcome::Answer { status: reply.status, own: true },
            Ok(Err(_)) => CallOutcome::Cut,
            Err(_) => CallOutcome::GivenUp,
        };
        let ended_ms = began.elapsed().as_millis() as u64;
        calls.push(CallRecord { id, vm, began_ms, ended_ms, repeatable, account: None, pipelined: false, outcome });
        sleep(Duration::from_millis(20)).await;
    }
    calls
}

/// Returns a configuration whose routes have another time limit.
fn with_timeout(version: u64, timeout_ms: u64) -> String {
    let mut config: Value = serde_json::from_str(&config(version, "rounds")).expect("a configuration");
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = timeout_ms.into();
    }
    config.to_string()
}

/// Guards against calls on kept connections that are cut, or answered by a node in place of the upstream that runs them,
/// during planned work at nodes with a tenth of a core.
#[tokio::test]
async fn planned_work_on_throttled_nodes_loses_no_call() {
    let mut fleet =
        Fleet::start_with_linger(&["rounds", "ledger", "rounds", "ledger", "rounds", "ledger"], 1_500).await;
    fleet.vms.iter().for_each(|vm| vm.upstream.set_work_ms(150));
    let throttle = Throttle::start(&fleet);
    let until = Instant::now() + Duration::from_secs(9);
    let mut callers = tokio::task::JoinSet::new();
    for (at, vm) in fleet.vms.iter().enumerate() {
        (0..CALLERS).for_each(|caller| _ = callers.spawn(call_repeatedly(at, caller, vm.caller_addr, until)));
    }
    sleep(Duration::from_secs(1)).await;
    for version in 5..11 {
        fleet.store.put("op/config", &with_timeout(version, [2_000, 1_500][version as usize % 2]));
        (0..fleet.vms.len()).for_each(|at| fleet.signal(at, "-HUP"));
        sleep(Duration::from_millis(370)).await;
    }
    fleet.vms[4].upstream.drain();
    fleet.signal(0, "-TERM");
    sleep(Duration::from_millis(700)).await;
    fleet.signal(1, "-TERM");
    let calls: Vec<CallRecord> = callers.join_all().await.into_iter().flatten().collect();
    drop(throttle);
    (0..2).for_each(|at| fleet.kill_node(at));
    let arrived: BTreeSet<String> = fleet.vms.iter().flat_map(|vm| vm.upstream.arrivals()).map(|(_, id)| id).collect();
    let cuts = check_cuts(&calls, &arrived, &[]);
    assert!(cuts.is_empty(), "{cuts:?}");
    let is_own = |call: &&CallRecord| matches!(call.outcome, CallOutcome::Answer { status: 502, .. });
    let own: Vec<&CallRecord> = calls.iter().filter(is_own).filter(|call| arrived.contains(&call.id)).collect();
    assert!(own.is_empty(), "{} of {}: {own:?}", own.len(), calls.len());
}
