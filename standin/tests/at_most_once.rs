//! At most one run per key while nodes are killed or suspended, links are cut and the store fails.
//!
//! Each combination of faults gets some hundred keys; VALETRACK_FAULT_CALLS sets another number.

mod common;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::{Fleet, outcome_of, submit, wait_for};
use standin::client::Client;
use test_case::test_case;
use tokio::time::sleep;

const VMS: usize = 4;
/// Most submissions of one key by its caller.
const SUBMISSIONS_MAX: usize = 6;
/// Pause between two submissions of one key.
const RESUBMIT_PAUSE_MS: u64 = 250;
/// New keys per second.
const RATE_PER_S: u64 = 150;

fn calls() -> u64 {
    std::env::var("VALETRACK_FAULT_CALLS").ok().and_then(|text| text.parse().ok()).unwrap_or(600)
}

/// A fault that is injected while callers submit keyed calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Kill,
    Suspend,
    CutIn,
    CutBoth,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreDropsWrites,
}

/// All outcomes that the caller of each key received, in order.
type OutcomesByKey = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

async fn caller(clients: Arc<Vec<Client>>, key: String, first: usize, outcomes_by_key: OutcomesByKey) {
    for submission in 0..SUBMISSIONS_MAX {
        let client = &clients[(first + submission) % clients.len()];
        let reply = submit(client, &key).await;
        if let Ok(reply) = &reply
            && reply.status == 200
        {
            assert_eq!(reply.body, key.as_bytes(), "the body belongs to another call");
        }
        let outcome = outcome_of(&reply);
        outcomes_by_key.lock().expect("no panic").entry(key.clone()).or_default().push(outcome.clone());
        if outcome == "ran" {
            return;
        }
        sleep(Duration::from_millis(RESUBMIT_PAUSE_MS)).await;
    }
}

async fn inject(fault: Fault, fleet: &mut Fleet, rng: &mut fastrand::Rng) {
    let at = rng.usize(..VMS);
    let pause = |low: u64, high: u64, rng: &mut fastrand::Rng| Duration::from_millis(rng.u64(low..high));
    match fault {
        Fault::None => sleep(Duration::from_millis(100)).await,
        Fault::Kill => {
            fleet.kill_node(at);
            sleep(pause(50, 1_500, rng)).await;
            fleet.start_node(at);
            sleep(pause(500, 2_000, rng)).await;
        }
        Fault::Suspend => {
            fleet.signal(at, "-STOP");
            sleep(pause(200, 4_500, rng)).await;
            fleet.signal(at, "-CONT");
            sleep(pause(300, 1_500, rng)).await;
        }
        Fault::CutIn | Fault::CutBoth => {
            fleet.vms[at].cuts.set(true, fault == Fault::CutBoth);
            sleep(pause(200, 4_000, rng)).await;
            fleet.vms[at].cuts.set(false, false);
            sleep(pause(300, 1_500, rng)).await;
        }
        Fault::StoreDown | Fault::StoreSlow => {
            let query = if fault == Fault::StoreDown { "down=1" } else { "slow_ms=2000" };
            fleet.set_fault(fleet.store_addr, query).await;
            sleep(pause(200, 1_500, rng)).await;
            fleet.set_fault(fleet.store_addr, "").await;
            sleep(pause(300, 1_500, rng)).await;
        }
        Fault::StoreLosesAnswers | Fault::StoreDropsWrites => {
            let query = if fault == Fault::StoreLosesAnswers { "lose=3" } else { "fail=3" };
            fleet.set_fault(fleet.store_addr, query).await;
            sleep(pause(100, 400, rng)).await;
        }
    }
}

#[test_case(&[Fault::None]; "no fault")]
#[test_case(&[Fault::Kill]; "nodes killed")]
#[test_case(&[Fault::Suspend]; "nodes suspended past every timeout")]
#[test_case(&[Fault::CutIn]; "links cut in one direction")]
#[test_case(&[Fault::CutBoth]; "links cut in both directions")]
#[test_case(&[Fault::StoreDown]; "the store down")]
#[test_case(&[Fault::StoreSlow]; "the store slow")]
#[test_case(&[Fault::StoreLosesAnswers]; "answers of the store lost")]
#[test_case(&[Fault::StoreDropsWrites]; "writes of the store lost")]
#[test_case(&[Fault::Kill, Fault::StoreLosesAnswers]; "nodes killed and answers lost")]
#[test_case(&[Fault::Suspend, Fault::StoreDown]; "nodes suspended and the store down")]
#[tokio::test]
async fn faults_cause_no_second_run_or_false_not_run(faults: &[Fault]) {
    let mut fleet = Fleet::with_intake(VMS).await;
    let clients = Arc::new((0..VMS).map(|at| fleet.client_at(at)).collect::<Vec<_>>());
    let outcomes_by_key = OutcomesByKey::default();
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(load(clients, outcomes_by_key.clone(), stop.clone()));
    let mut rng = fastrand::Rng::with_seed(17);
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        inject(faults[turn % faults.len()], &mut fleet, &mut rng).await;
        turn += 1;
    }
    load.await.expect("no caller received the answer to another call");
    // Calls in flight get the time to finish, so that a second run of a key is counted.
    sleep(Duration::from_secs(2)).await;
    let runs = fleet.runs().await;
    assert_guarantees(&outcomes_by_key.lock().expect("no panic"), &runs, faults);
}

async fn load(clients: Arc<Vec<Client>>, outcomes_by_key: OutcomesByKey, stop: Arc<AtomicBool>) {
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..calls() {
        callers.spawn(caller(clients.clone(), format!("key-{number}"), number as usize, outcomes_by_key.clone()));
        sleep(Duration::from_micros(1_000_000 / RATE_PER_S)).await;
    }
    while let Some(ended) = callers.join_next().await {
        ended.expect("a caller has panicked");
    }
    stop.store(true, Ordering::Relaxed);
}

fn assert_guarantees(outcomes_by_key: &BTreeMap<String, Vec<String>>, runs: &BTreeMap<String, u64>, faults: &[Fault]) {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    let mut ran_twice = 0;
    let mut false_not_run = 0;
    let mut false_ran = 0;
    let mut ran = 0;
    for (key, outcomes) in outcomes_by_key {
        outcomes.iter().for_each(|outcome| *counts.entry(outcome).or_default() += 1);
        let count = runs.get(key).copied().unwrap_or(0);
        let last = outcomes.last().map_or("", String::as_str);
        ran_twice += u64::from(count > 1);
        false_ran += u64::from(outcomes.iter().any(|outcome| outcome == "ran") && count == 0);
        false_not_run += u64::from(last == "not-run" && count > 0);
        ran += u64::from(last == "ran");
    }
    let keys = outcomes_by_key.len();
    println!(
        "{faults:?}: keys {keys} ran {ran} ran twice {ran_twice} false not-run {false_not_run} outcomes {counts:?}"
    );
    assert_eq!((ran_twice, false_not_run, false_ran), (0, 0, 0), "{faults:?}: {counts:?}");
    assert!(ran * 10 >= keys as u64, "too few keys ran for a meaningful result: {counts:?}");
    if faults == [Fault::None] {
        assert_eq!(
            counts.keys().collect::<Vec<_>>(),
            [&"ran"],
            "without a fault every submission gets the outcome of a run"
        );
    }
}

#[tokio::test]
async fn keys_of_killed_home_move_to_another_node() {
    let mut fleet = Fleet::with_intake(3).await;
    for number in 0..40 {
        assert_eq!(outcome_of(&submit(&fleet.client_at(0), &format!("before-{number}")).await), "ran");
    }
    // Finished keys are written to the store with a short delay.
    sleep(Duration::from_millis(500)).await;
    fleet.kill_node(1);
    let began = Instant::now();
    let client = fleet.client_at(0);
    for number in 0..40 {
        let key = format!("before-{number}");
        wait_for("the kept answer", async || outcome_of(&submit(&client, &key).await) == "ran").await;
        let key = format!("after-{number}");
        wait_for("a new run", async || outcome_of(&submit(&client, &key).await) == "ran").await;
    }
    println!("every key was answered within {:?} of the end of its home", began.elapsed());
    let runs = fleet.runs().await;
    assert!(runs.values().all(|&count| count == 1), "{runs:?}");
    assert_eq!(runs.len(), 80);
}

#[tokio::test]
async fn concurrent_submissions_of_key_share_one_run() {
    let fleet = Fleet::with_intake(3).await;
    for vm in &fleet.vms {
        fleet.set_fault(vm.server_addr, "slow_us=300000").await;
    }
    let (first, second, third) = (fleet.client_at(0), fleet.client_at(1), fleet.client_at(2));
    let (a, b, c) = tokio::join!(submit(&first, "k"), submit(&second, "k"), submit(&third, "k"));
    for reply in [&a, &b, &c] {
        assert_eq!(outcome_of(reply), "ran");
    }
    let number = |reply: &Result<standin::client::Reply, String>| {
        reply.as_ref().map(|reply| reply.header("standin-run").to_owned()).unwrap_or_default()
    };
    assert_eq!((number(&a), number(&b)), (number(&b), number(&c)));
    assert_eq!(fleet.runs().await.get("k"), Some(&1));
}

#[tokio::test]
async fn store_outage_refuses_new_keys_with_retry_after() {
    let fleet = Fleet::with_intake(3).await;
    fleet.set_fault(fleet.store_addr, "down=1").await;
    let mut counts = BTreeMap::new();
    for number in 0..40 {
        let began = Instant::now();
        let reply = submit(&fleet.client_at(number % 3), &format!("k-{number}")).await;
        *counts.entry(outcome_of(&reply)).or_insert(0) += 1;
        let reply = reply.expect("an answer");
        assert!(began.elapsed() < Duration::from_millis(1_200), "the refusal took {:?}", began.elapsed());
        assert!(!reply.header("retry-after").is_empty(), "{reply:?}");
    }
    assert_eq!(counts, BTreeMap::from([("not-run".to_owned(), 40)]));
    assert!(fleet.runs().await.is_empty());
    fleet.set_fault(fleet.store_addr, "").await;
    wait_for("the store's return", async || outcome_of(&submit(&fleet.client_at(0), "k-0").await) == "ran").await;
}

#[tokio::test]
async fn first_node_does_not_keep_every_page() {
    let mut fleet = Fleet::start().await;
    fleet.publish(common::INTAKE_BUNDLE);
    fleet.add_vms("intake", 1).await;
    wait_for("the first node", async || fleet.bundle_number(0).await > 0).await;
    sleep(Duration::from_millis(1_200)).await;
    fleet.add_vms("intake", 2).await;
    fleet.wait_ready().await;
    for number in 0..40 {
        assert_eq!(outcome_of(&submit(&fleet.client_at(number % 3), &format!("k-{number}")).await), "ran");
    }
    let homes = (0..3).filter(|&at| fleet.log(at).contains("event=claim.run")).count();
    assert!(homes >= 2, "one node is the home of all pages");
}
