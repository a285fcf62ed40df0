//! Planned changes on real processes: stops under load, bundles, the VM list's lag, budgets.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::{Fleet, INTAKE_BUNDLE, outcome_of, submit, wait_for};
use standin::client::Client;
use test_case::test_case;
use tokio::time::sleep;

/// Answers by outcome.
type Words = BTreeMap<String, u64>;

/// Calls doors in turn until told to stop; returns what the callers were told.
async fn callers(doors: Vec<Client>, keyed: bool, stop: Arc<AtomicBool>) -> Words {
    let doors = Arc::new(doors);
    let mut calls = tokio::task::JoinSet::new();
    let mut number = 0usize;
    while !stop.load(Ordering::Relaxed) {
        let doors = doors.clone();
        calls.spawn(async move {
            let door = &doors[number % doors.len()];
            let reply = if keyed || number.is_multiple_of(3) {
                submit(door, &format!("planned-{number}")).await
            } else {
                door.call("GET", "/", &[("valetrack-service", "intake")], "x").await
            };
            match &reply {
                Ok(reply) => format!("{} {}", reply.status, reply.header("valetrack-code")),
                Err(error) => format!("cut: {error}"),
            }
        });
        number += 1;
        sleep(Duration::from_millis(4)).await;
    }
    let mut words = Words::new();
    while let Some(word) = calls.join_next().await {
        *words.entry(word.expect("a call")).or_default() += 1;
    }
    words
}

/// Calls a door until it refuses a call.
///
/// A signal is on its way to the node for some milliseconds, and a call that the node lets in before it has the
/// signal may run. Each call is sent without waiting for the one before, which may run for long.
async fn first_refusal(door: Client) {
    let door = Arc::new(door);
    let mut calls = tokio::task::JoinSet::new();
    loop {
        let door = door.clone();
        calls.spawn(async move { door.call("GET", "/", &[("valetrack-service", "intake")], "early").await });
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

async fn runs_at(fleet: &Fleet, at: usize) -> u64 {
    let reply = Client::new(fleet.vms[at].server_addr).call("GET", "/_stats", &[], "").await.expect("stats");
    let stats: serde_json::Value = serde_json::from_slice(&reply.body).expect("json");
    stats["runs"].as_u64().expect("a number")
}

/// Who says that the VM is to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Say {
    Signal,
    Server,
    List,
}

#[test_case(Say::Signal; "by a signal")]
#[test_case(Say::Server; "by its server")]
#[test_case(Say::List; "by the list")]
#[tokio::test]
async fn a_planned_stop_cuts_nothing(say: Say) {
    let mut fleet = Fleet::with_intake(4).await;
    // Callers use the doors that stay; the door of the leaving node is tried apart.
    let doors: Vec<Client> = (0..3).map(|at| fleet.client_at(at)).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(callers(doors, false, stop.clone()));
    sleep(Duration::from_millis(700)).await;
    assert!(runs_at(&fleet, 3).await > 0, "the server must have had work");
    match say {
        Say::Signal => fleet.signal(3, "-TERM"),
        Say::Server => fleet.set_fault(fleet.vms[3].server_addr, "leaving=1").await,
        Say::List => fleet.put_list(&["intake-3"]).await,
    }
    sleep(Duration::from_secs(2)).await;
    let settled = runs_at(&fleet, 3).await;
    let took = fleet.wait_end(3).await;
    sleep(Duration::from_millis(500)).await;
    stop.store(true, Ordering::Relaxed);
    let words = load.await.expect("callers");
    println!("{say:?}: node ended {took:?} after the word and 2 s, told {words:?}");
    assert_eq!(words.keys().collect::<Vec<_>>(), [&"200 ".to_owned()], "something was cut: {words:?}");
    assert_eq!(runs_at(&fleet, 3).await, settled, "new work later than 2 s after the word");
    let runs = fleet.runs().await;
    assert!(runs.values().all(|&count| count == 1));
}

#[tokio::test]
async fn the_door_of_a_leaving_node_answers_until_its_callers_are_gone() {
    let mut fleet = Fleet::with_intake(3).await;
    for vm in &fleet.vms {
        fleet.set_fault(vm.server_addr, "slow_us=400000").await;
    }
    let door = fleet.client_at(0);
    let call =
        async { door.call("GET", "/", &[("valetrack-service", "intake")], "in flight").await.expect("a whole answer") };
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
async fn a_leaving_node_that_nobody_hears_refuses_new_work_itself() {
    let mut fleet = Fleet::start().await;
    fleet.server_flags.push(("slots", "64"));
    fleet.add_vms("intake", 1).await;
    fleet.add_vms("prizes", 1).await;
    fleet.publish(&format!("{}\n[[service]]\nname = \"prizes\"\n", INTAKE_BUNDLE.replace("slots = 6", "slots = 64")));
    fleet.wait_ready().await;
    // Calls of the other door reach the leaving node, but no word of it reaches that door.
    fleet.vms[1].cuts.set(true, true);
    fleet.set_fault(fleet.vms[0].server_addr, "slow_us=1300000").await;
    let door = fleet.client_at(0);
    let held = tokio::spawn(async move { door.call("GET", "/", &[("valetrack-service", "intake")], "held").await });
    sleep(Duration::from_millis(100)).await;
    fleet.signal(0, "-TERM");
    first_refusal(fleet.client_at(1)).await;
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(callers(vec![fleet.client_at(1)], false, stop.clone()));
    sleep(Duration::from_millis(300)).await;
    let settled = runs_at(&fleet, 0).await;
    sleep(Duration::from_millis(700)).await;
    assert_eq!(runs_at(&fleet, 0).await, settled, "new work after the word");
    assert!(fleet.vms[0].is_node_running(), "the call in flight must keep the node");
    stop.store(true, Ordering::Relaxed);
    let words = load.await.expect("callers");
    // The first call is given back, and its bounce tells the door; keys cannot be told "not run".
    let refused = |word: &String| ["503 VT308", "503 VT302", "502 VT403"].contains(&word.as_str());
    assert!(words.keys().all(refused), "{words:?}");
    assert_eq!(outcome_of(&held.await.expect("a call")), "ran");
    fleet.wait_end(0).await;
}

#[test_case("lag_ms=30000"; "a list that shows a dead and a leaving VM as serving")]
#[tokio::test]
async fn a_list_that_lags_brings_no_work_back(query: &str) {
    let mut fleet = Fleet::with_intake(4).await;
    fleet.set_fault(fleet.list_addr, query).await;
    fleet.signal(3, "-TERM");
    fleet.wait_end(3).await;
    fleet.kill_node(2);
    sleep(Duration::from_secs(1)).await;
    let settled = runs_at(&fleet, 3).await;
    let mut words = Words::new();
    for number in 0..200 {
        let reply = fleet.client_at(number % 2).call("GET", "/", &[("valetrack-service", "intake")], "x").await;
        *words.entry(outcome_of(&reply)).or_default() += 1;
    }
    assert_eq!(runs_at(&fleet, 3).await, settled);
    assert_eq!(words, Words::from([("ran".to_owned(), 200)]));
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
async fn a_rolled_bundle_is_in_force_everywhere_also_when_the_store_goes_down() {
    let mut fleet = Fleet::with_intake(16).await;
    let began = Instant::now();
    let number = fleet.publish(&bundle(1_400));
    let rolled = began.elapsed();
    wait_bundle(&fleet, number).await;
    println!(
        "16 nodes, store up: {:?} after the roll was begun, of which {rolled:?} in operators' commands",
        began.elapsed()
    );

    let number = fleet.publish(&bundle(1_300));
    let began = Instant::now();
    // The text may be read by the first watcher only; the others must get it from each other.
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
    println!("16 nodes, store down right after the first node had it: {:?}", began.elapsed());

    // A node that starts cold during the outage gets the bundle from the others.
    fleet.kill_node(5);
    fleet.start_node(5);
    wait_for("the cold node", async || fleet.bundle_number(5).await >= number).await;
    fleet.set_fault(fleet.store_addr, "").await;
    for at in 0..16 {
        assert_eq!(fleet.bundle_number(at).await, number, "nobody goes back");
    }
}

#[tokio::test]
async fn of_two_operators_one_wins_and_the_other_is_told() {
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
    let roll = |version: &str, operator: &str| {
        fleet.valetrack(&["bundle", "roll", version, "--operator", operator, "--store", &store])
    };
    // Both read before either writes only now and then, so the race is run until it is lost.
    let mut lost = 0;
    for _ in 0..20 {
        let results = std::thread::scope(|scope| {
            let ana = scope.spawn(|| roll(&versions[0], "ana"));
            let cene = scope.spawn(|| roll(&versions[1], "cene"));
            [ana.join().expect("ana"), cene.join().expect("cene")]
        });
        assert!(results.iter().any(Result::is_ok), "nobody won: {results:?}");
        for told in results.iter().filter_map(|result| result.as_ref().err()) {
            assert!(told.contains("VT508") && (told.contains("ana") || told.contains("cene")), "{told}");
            lost += 1;
        }
    }
    println!("races lost: {lost} of 20");
    let _ = std::fs::remove_dir_all(&dir);
    let history = fleet.valetrack(&["bundle", "history", "--store", &store]).expect("a history");
    assert_eq!(history.lines().count(), 1 + 40 - lost, "every roll but the lost ones counts once");
}

#[tokio::test]
async fn measuring_and_the_store_stay_within_their_budgets() {
    let fleet = Fleet::with_intake(4).await;
    let stop = Arc::new(AtomicBool::new(false));
    let doors: Vec<Client> = (0..4).map(|at| fleet.client_at(at)).collect();
    let before = store_counts(&fleet).await;
    let mut spent = [0.0; 4];
    for (at, spent) in spent.iter_mut().enumerate() {
        *spent = fleet.metric(at, "valetrack_measure_bytes_total").await;
    }
    let began = Instant::now();
    let load = tokio::spawn(callers(doors, true, stop.clone()));
    sleep(Duration::from_secs(5)).await;
    stop.store(true, Ordering::Relaxed);
    load.await.expect("callers");
    let elapsed_s = began.elapsed().as_secs_f64();
    for (at, spent) in spent.into_iter().enumerate() {
        let bytes = fleet.metric(at, "valetrack_measure_bytes_total").await - spent;
        let allowed = 2_048.0 * elapsed_s + 2_048.0;
        println!("node {at}: {bytes} bytes of {allowed:.0}");
        assert!(bytes <= allowed);
    }
    let after = store_counts(&fleet).await;
    println!("store calls before {before:?} and after {after:?}");
    // Fifty writes and reads a second a node, with their burst, at the most.
    let allowed = 4.0 * (50.0 * elapsed_s + 50.0);
    for kind in ["reads", "writes"] {
        assert!((after[kind] - before[kind]) as f64 <= allowed, "{kind}");
    }
    assert!(after["writes"] > before["writes"], "claims must have been written");
    assert!(after["watches"] <= 6, "two watchers a domain");
}

async fn store_counts(fleet: &Fleet) -> BTreeMap<String, u64> {
    let reply = Client::new(fleet.store_addr).call("GET", "/_counts", &[], "").await.expect("counts");
    serde_json::from_slice(&reply.body).expect("json")
}
