//! Answers after which a caller gives up: 404 and 401 on what a configuration lacks, from real nodes.

mod common;

use std::time::{Duration, Instant};

use common::managed::{Fleet, config};
use common::wait_for;
use serde_json::{Value, json};
use standin::client::{Client, Reply};
use standin::managed::store::Mode;
use test_case::test_case;

/// Longest time until an operator's change is in force at every node of a fleet whose store answers.
const IN_FORCE_MAX: Duration = Duration::from_millis(2_000);
/// Time after which a node that has heard neither the store nor a relay must not deny a route or a key.
const UNCONFIRMED_AFTER: Duration = Duration::from_millis(6_000);
/// Longest time for a rejection that needs no other node.
const REJECTED_WITHIN: Duration = Duration::from_millis(500);
const KEY: &str = "26tta828m82thhkmgjqn";
const ADDED_KEY: &str = "irth5mgjy5rcpihhacru";
/// Route that a later configuration adds.
const ADDED: &str = "/i4m24q82/";
/// Route of no configuration.
const NEVER: &str = "/i4m24q829/";

/// Returns a configuration with further routes to `rounds`.
fn with_routes(version: u64, prefixes: &[&str]) -> Value {
    let mut config: Value = serde_json::from_str(&config(version, "rounds")).expect("a configuration");
    let routes = config["routes"].as_array_mut().expect("routes");
    for prefix in prefixes {
        let mut route = routes[0].clone();
        route["name"] = json!(prefix);
        route["path_prefix"] = json!(prefix);
        routes.push(route);
    }
    config
}

/// Returns a configuration with one account.
fn with_keys(version: u64, keys: &[&str]) -> Value {
    let mut config = with_routes(version, &[]);
    config["accounts"] = json!([{ "name": "acme", "keys": keys }]);
    config
}

/// Returns a configuration with a limit on bodies.
fn with_body_limit(version: u64, body_max_bytes: u64) -> String {
    let mut config = with_routes(version, &[]);
    config["limits"] = json!({
        "head_max_bytes": 16_384, "body_max_bytes": body_max_bytes,
        "head_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
    });
    config.to_string()
}

async fn call(fleet: &Fleet, at: usize, path: &str, key: &str) -> Reply {
    call_with_body(fleet, at, path, key, 0).await
}

async fn call_with_body(fleet: &Fleet, at: usize, path: &str, key: &str, body_bytes: usize) -> Reply {
    let id = format!("{:016x}", fastrand::u64(..));
    let authorization = format!("Bearer {key}");
    let headers = [
        ("host", "farm.example"),
        ("x-request-id", &*id),
        ("x-deadline-milliseconds", "1500"),
        ("authorization", &authorization),
    ];
    Client::new(fleet.vms[at].caller_addr).call("GET", path, &headers, "x".repeat(body_bytes)).await.expect("an answer")
}

async fn status_at(fleet: &Fleet, at: usize, path: &str) -> u16 {
    call(fleet, at, path, KEY).await.status
}

/// Asserts that every node denies a path with 404, without a wait for another node.
async fn assert_denied(fleet: &Fleet, path: &str) {
    for at in 0..fleet.vms.len() {
        let began = Instant::now();
        assert_eq!(status_at(fleet, at, path).await, 404, "{path} at vm-{at}");
        assert!(began.elapsed() < REJECTED_WITHIN, "{path} at vm-{at}: {:?}", began.elapsed());
    }
}

/// Asserts that an answer tells its caller to try again.
fn assert_try_again(reply: &Reply, of: &str) {
    let retry_after = reply.header("retry-after").parse::<f64>();
    assert_eq!(reply.status, 503, "{of}");
    assert!(retry_after.is_ok_and(|seconds| seconds > 0.0), "{of}: retry-after {:?}", reply.header("retry-after"));
}

#[tokio::test]
async fn missing_route_gets_404_at_every_node_of_calm_fleet() {
    let fleet = Fleet::start(&["rounds", "ledger", "rounds", "ledger", "rounds", "ledger"]).await;
    assert_denied(&fleet, NEVER).await;
    assert_denied(&fleet, ADDED).await;
    fleet.store.put("op/config", &with_routes(5, &[ADDED]).to_string());
    for at in 0..fleet.vms.len() {
        wait_for("the added route", async || status_at(&fleet, at, ADDED).await == 200).await;
    }
    fleet.store.put("op/config", &with_routes(7, &[]).to_string());
    let removed = Instant::now();
    for at in 0..fleet.vms.len() {
        wait_for("the removed route", async || status_at(&fleet, at, ADDED).await == 404).await;
    }
    assert!(removed.elapsed() < IN_FORCE_MAX, "{:?}", removed.elapsed());
    // A configuration that stays as it is for long is confirmed all the same.
    let since = Instant::now();
    while since.elapsed() < UNCONFIRMED_AFTER + Duration::from_millis(2_000) {
        assert_denied(&fleet, NEVER).await;
        assert_denied(&fleet, ADDED).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// What keeps a node from hearing of a new configuration.
#[derive(Debug, Clone, Copy)]
enum Away {
    /// The store handles no node's calls; all nodes run.
    Store(Mode),
    /// The store handles none of one node's calls, and all other nodes are suspended.
    StoreAndNodes,
}

/// Waits until a node is suspended: a busy process handles the signal some time after it was sent.
fn wait_until_stopped(fleet: &Fleet, at: usize) {
    let pid = fleet.vms[at].node.as_ref().expect("a running node").id();
    let is_stopped = || std::fs::read_to_string(format!("/proc/{pid}/stat")).is_ok_and(|stat| stat.contains(") T "));
    while !is_stopped() {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Nodes of a fleet of which the last keeps running in every case.
const SERVICES: [&str; 3] = ["ledger", "ledger", "rounds"];
const LAST: usize = SERVICES.len() - 1;

impl Away {
    fn begin(self, fleet: &Fleet) {
        match self {
            Self::Store(mode) => fleet.vms.iter().for_each(|vm| vm.store_access.set(mode)),
            Self::StoreAndNodes => {
                fleet.vms[LAST].store_access.set(Mode::Refusing);
                (0..LAST).for_each(|at| fleet.signal(at, "-STOP"));
                (0..LAST).for_each(|at| wait_until_stopped(fleet, at));
            }
        }
    }

    fn end(self, fleet: &Fleet) {
        fleet.vms.iter().for_each(|vm| vm.store_access.set(Mode::Up));
        if matches!(self, Self::StoreAndNodes) {
            (0..LAST).for_each(|at| fleet.signal(at, "-CONT"));
        }
    }

    /// Returns the nodes that answer callers.
    fn running(self) -> std::ops::Range<usize> {
        match self {
            Self::Store(_) => 0..SERVICES.len(),
            Self::StoreAndNodes => LAST..SERVICES.len(),
        }
    }
}

/// Guards against a final answer by a configuration that neither the store nor a relay has confirmed for long.
#[test_case(Away::Store(Mode::Refusing); "store refuses")]
#[test_case(Away::Store(Mode::Silent); "store silent")]
#[test_case(Away::Store(Mode::Resetting); "store cuts")]
#[test_case(Away::StoreAndNodes; "store refuses and relays suspended")]
#[tokio::test]
async fn unconfirmed_node_does_not_answer_404_on_route_added_meanwhile(away: Away) {
    let fleet = Fleet::start(&SERVICES).await;
    away.begin(&fleet);
    fleet.store.put("op/config", &with_routes(5, &[ADDED]).to_string());
    tokio::time::sleep(UNCONFIRMED_AFTER).await;
    for at in away.running() {
        let reply = call(&fleet, at, ADDED, KEY).await;
        assert_try_again(&reply, &format!("an added route at vm-{at}"));
        assert_eq!(status_at(&fleet, at, "/sheet/").await, 200, "a route of the bundle in force at vm-{at}");
    }
    away.end(&fleet);
    for at in 0..fleet.vms.len() {
        wait_for("the added route", async || status_at(&fleet, at, ADDED).await == 200).await;
    }
    assert_denied(&fleet, NEVER).await;
}

/// Guards against 404 by a first bundle from a stale read, which no later read has confirmed.
#[tokio::test]
async fn restarted_node_does_not_answer_404_by_stale_first_read() {
    let mut fleet = Fleet::start(&SERVICES).await;
    fleet.store.set_mode(Mode::StaleReadsOnly);
    fleet.store.put("op/config", &with_routes(5, &[ADDED]).to_string());
    (0..SERVICES.len()).for_each(|at| fleet.kill_node(at));
    (0..SERVICES.len()).for_each(|at| fleet.start_node(at));
    for at in 0..SERVICES.len() {
        let adoptions = || fleet.log(at).matches("event=bundle.in_force number=3").count();
        wait_for("the earlier bundle", async || adoptions() == 2).await;
        assert_try_again(&call(&fleet, at, ADDED, KEY).await, &format!("an added route at vm-{at}"));
    }
    fleet.store.set_mode(Mode::Up);
    for at in 0..SERVICES.len() {
        wait_for("the added route", async || status_at(&fleet, at, ADDED).await == 200).await;
    }
    assert_denied(&fleet, NEVER).await;
}

/// Guards against the rejection of a valid key for the same reason.
#[test_case(Away::Store(Mode::Refusing); "store refuses")]
#[test_case(Away::StoreAndNodes; "store refuses and relays suspended")]
#[tokio::test]
async fn unconfirmed_node_does_not_answer_401_on_key_added_meanwhile(away: Away) {
    let fleet = Fleet::start(&SERVICES).await;
    fleet.store.put("op/config", &with_keys(5, &[KEY]).to_string());
    for at in 0..fleet.vms.len() {
        wait_for("the accounts", async || call(&fleet, at, "/sheet/", ADDED_KEY).await.status == 401).await;
    }
    away.begin(&fleet);
    fleet.store.put("op/config", &with_keys(7, &[KEY, ADDED_KEY]).to_string());
    tokio::time::sleep(UNCONFIRMED_AFTER).await;
    for at in away.running() {
        let reply = call(&fleet, at, "/sheet/", ADDED_KEY).await;
        assert_try_again(&reply, &format!("an added key at vm-{at}"));
        assert_eq!(status_at(&fleet, at, "/sheet/").await, 200, "a key of the bundle in force at vm-{at}");
    }
    away.end(&fleet);
    for at in 0..fleet.vms.len() {
        wait_for("the added key", async || call(&fleet, at, "/sheet/", ADDED_KEY).await.status == 200).await;
    }
    assert_eq!(call(&fleet, LAST, "/sheet/", "26tta828m82thhkmgjqx").await.status, 401);
}

/// Guards against the rejection of a valid body for the same reason.
#[test_case(Away::Store(Mode::Refusing); "store refuses")]
#[test_case(Away::StoreAndNodes; "store refuses and relays suspended")]
#[tokio::test]
async fn unconfirmed_node_does_not_answer_413_on_limit_raised_meanwhile(away: Away) {
    let fleet = Fleet::start(&SERVICES).await;
    let body_status = async |at: usize| call_with_body(&fleet, at, "/sheet/", KEY, 1_500).await.status;
    fleet.store.put("op/config", &with_body_limit(5, 1_000));
    for at in 0..fleet.vms.len() {
        wait_for("the limit", async || body_status(at).await == 413).await;
    }
    away.begin(&fleet);
    fleet.store.put("op/config", &with_body_limit(7, 2_000));
    tokio::time::sleep(UNCONFIRMED_AFTER).await;
    for at in away.running() {
        let reply = call_with_body(&fleet, at, "/sheet/", KEY, 1_500).await;
        assert_try_again(&reply, &format!("a body within the raised limit at vm-{at}"));
    }
    away.end(&fleet);
    for at in 0..fleet.vms.len() {
        wait_for("the raised limit", async || body_status(at).await == 200).await;
    }
}

#[tokio::test]
async fn body_over_limit_gets_413_at_every_node_and_never_runs() {
    let fleet = Fleet::start(&["rounds", "ledger"]).await;
    fleet.store.put("op/config", &with_body_limit(5, 1_000));
    for at in 0..fleet.vms.len() {
        let is_over = async || call_with_body(&fleet, at, "/sheet/", KEY, 1_001).await.status == 413;
        wait_for("the limit", is_over).await;
    }
    let before = fleet.vms[0].upstream.arrivals().len();
    for at in 0..fleet.vms.len() {
        assert_eq!(call_with_body(&fleet, at, "/sheet/", KEY, 1_001).await.status, 413);
    }
    assert_eq!(fleet.vms[0].upstream.arrivals().len(), before);
    assert_eq!(call_with_body(&fleet, 0, "/sheet/", KEY, 1_000).await.status, 200);
}

/// Calls an address, and returns the status of the answer.
async fn status_of(addr: std::net::SocketAddr, method: &str, path: &str, body: &str) -> u16 {
    Client::new(addr).call(method, path, &[], body.to_owned()).await.expect("an answer").status
}

/// These answers depend on the request alone, so they are the same while the store is away.
#[test_case(Mode::Up; "store up")]
#[test_case(Mode::Silent; "store silent")]
#[tokio::test]
async fn invalid_announcement_and_operator_request_get_final_status(mode: Mode) {
    let fleet = Fleet::start(&["rounds"]).await;
    fleet.store.set_mode(mode);
    let (control, ready) = (fleet.vms[0].control_addr, fleet.vms[0].ready_addr);
    let of_other_service = r#"{"service":"ledger","slots":6,"state":"ready","sequence":1}"#;
    assert_eq!(status_of(control, "POST", "/api/instances/i-0/heartbeat", of_other_service).await, 400);
    assert_eq!(status_of(control, "POST", "/api/instances/i-0/nothing", "{}").await, 404);
    assert_eq!(status_of(control, "POST", "/api/nothing", "{}").await, 404);
    assert_eq!(status_of(control, "GET", "/api/instances/i-0/heartbeat", "").await, 405);
    assert_eq!(status_of(ready, "GET", "/nothing", "").await, 404);
    assert_eq!(status_of(ready, "POST", "/metrics", "").await, 405);
    assert_eq!(status_of(ready, "GET", "/api/readiness", "").await, 200);
}
