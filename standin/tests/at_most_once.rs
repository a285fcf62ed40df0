//! Callers press again and again through kills, freezes, cuts and a failing store.
//!
//! Each kind runs some hundred calls; VALETRACK_FAULT_CALLS sets another number.

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
/// Presses of one key at most.
const PRESSES_MAX: usize = 6;
/// Pause between two presses of one key, in milliseconds.
const PRESS_AGAIN_MS: u64 = 250;
/// New keys a second.
const RATE_PER_S: u64 = 150;

fn calls() -> u64 {
    std::env::var("VALETRACK_FAULT_CALLS").ok().and_then(|text| text.parse().ok()).unwrap_or(600)
}

/// What brings trouble while callers press.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    None,
    Kill,
    Freeze,
    CutIn,
    CutBoth,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreDropsWrites,
}

/// Everything that the callers of one key were told, in order.
type Told = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

async fn caller(doors: Arc<Vec<Client>>, key: String, first: usize, told_all: Told) {
    for again in 0..PRESSES_MAX {
        let door = &doors[(first + again) % doors.len()];
        let reply = submit(door, &key).await;
        if let Ok(reply) = &reply
            && reply.status == 200
        {
            assert_eq!(reply.body, key.as_bytes(), "another call's answer");
        }
        let word = outcome_of(&reply);
        told_all.lock().expect("no panic").entry(key.clone()).or_default().push(word.clone());
        if word == "ran" {
            return;
        }
        sleep(Duration::from_millis(PRESS_AGAIN_MS)).await;
    }
}

async fn make(trouble: Trouble, fleet: &mut Fleet, rng: &mut fastrand::Rng) {
    let at = rng.usize(..VMS);
    let pause = |low: u64, high: u64, rng: &mut fastrand::Rng| Duration::from_millis(rng.u64(low..high));
    match trouble {
        Trouble::None => sleep(Duration::from_millis(100)).await,
        Trouble::Kill => {
            fleet.kill_node(at);
            sleep(pause(50, 1_500, rng)).await;
            fleet.start_node(at);
            sleep(pause(500, 2_000, rng)).await;
        }
        Trouble::Freeze => {
            fleet.signal(at, "-STOP");
            sleep(pause(200, 4_500, rng)).await;
            fleet.signal(at, "-CONT");
            sleep(pause(300, 1_500, rng)).await;
        }
        Trouble::CutIn | Trouble::CutBoth => {
            fleet.vms[at].cuts.set(true, trouble == Trouble::CutBoth);
            sleep(pause(200, 4_000, rng)).await;
            fleet.vms[at].cuts.set(false, false);
            sleep(pause(300, 1_500, rng)).await;
        }
        Trouble::StoreDown | Trouble::StoreSlow => {
            let query = if trouble == Trouble::StoreDown { "down=1" } else { "slow_ms=2000" };
            fleet.set_fault(fleet.store_addr, query).await;
            sleep(pause(200, 1_500, rng)).await;
            fleet.set_fault(fleet.store_addr, "").await;
            sleep(pause(300, 1_500, rng)).await;
        }
        Trouble::StoreLosesAnswers | Trouble::StoreDropsWrites => {
            let query = if trouble == Trouble::StoreLosesAnswers { "lose=3" } else { "fail=3" };
            fleet.set_fault(fleet.store_addr, query).await;
            sleep(pause(100, 400, rng)).await;
        }
    }
}

#[test_case(&[Trouble::None]; "no trouble")]
#[test_case(&[Trouble::Kill]; "nodes killed")]
#[test_case(&[Trouble::Freeze]; "nodes frozen past every timeout")]
#[test_case(&[Trouble::CutIn]; "links cut in one direction")]
#[test_case(&[Trouble::CutBoth]; "links cut in both directions")]
#[test_case(&[Trouble::StoreDown]; "the store down")]
#[test_case(&[Trouble::StoreSlow]; "the store slow")]
#[test_case(&[Trouble::StoreLosesAnswers]; "answers of the store lost")]
#[test_case(&[Trouble::StoreDropsWrites]; "writes of the store lost")]
#[test_case(&[Trouble::Kill, Trouble::StoreLosesAnswers]; "nodes killed and answers lost")]
#[test_case(&[Trouble::Freeze, Trouble::StoreDown]; "nodes frozen and the store down")]
#[tokio::test]
async fn no_key_runs_twice_and_not_run_is_true(troubles: &[Trouble]) {
    let mut fleet = Fleet::with_intake(VMS).await;
    let doors = Arc::new((0..VMS).map(|at| fleet.client_at(at)).collect::<Vec<_>>());
    let told_all = Told::default();
    let stop = Arc::new(AtomicBool::new(false));
    let load = tokio::spawn(load(doors, told_all.clone(), stop.clone()));
    let mut rng = fastrand::Rng::with_seed(17);
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        make(troubles[turn % troubles.len()], &mut fleet, &mut rng).await;
        turn += 1;
    }
    load.await.expect("no caller has seen another call's answer");
    // Whatever is still on its way gets the time to do harm.
    sleep(Duration::from_secs(2)).await;
    let runs = fleet.runs().await;
    judge(&told_all.lock().expect("no panic"), &runs, troubles);
}

async fn load(doors: Arc<Vec<Client>>, told_all: Told, stop: Arc<AtomicBool>) {
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..calls() {
        callers.spawn(caller(doors.clone(), format!("key-{number}"), number as usize, told_all.clone()));
        sleep(Duration::from_micros(1_000_000 / RATE_PER_S)).await;
    }
    while let Some(ended) = callers.join_next().await {
        ended.expect("a caller has panicked");
    }
    stop.store(true, Ordering::Relaxed);
}

fn judge(told_all: &BTreeMap<String, Vec<String>>, runs: &BTreeMap<String, u64>, troubles: &[Trouble]) {
    let mut words: BTreeMap<&str, u64> = BTreeMap::new();
    let mut doubled = 0;
    let mut false_not_run = 0;
    let mut false_ran = 0;
    let mut settled = 0;
    for (key, told) in told_all {
        told.iter().for_each(|word| *words.entry(word).or_default() += 1);
        let count = runs.get(key).copied().unwrap_or(0);
        let last = told.last().map_or("", String::as_str);
        doubled += u64::from(count > 1);
        false_ran += u64::from(told.iter().any(|word| word == "ran") && count == 0);
        false_not_run += u64::from(last == "not-run" && count > 0);
        settled += u64::from(last == "ran");
    }
    let keys = told_all.len();
    println!(
        "{troubles:?}: keys {keys} settled {settled} doubled {doubled} false not-run {false_not_run} told {words:?}"
    );
    assert_eq!((doubled, false_not_run, false_ran), (0, 0, 0), "{troubles:?}: {words:?}");
    assert!(settled * 10 >= keys as u64, "hardly a call went through, so nothing was shown: {words:?}");
    if troubles == [Trouble::None] {
        assert_eq!(words.keys().collect::<Vec<_>>(), [&"ran"], "without trouble every press runs");
    }
}

#[tokio::test]
async fn keys_of_a_dead_home_are_taken_over() {
    let mut fleet = Fleet::with_intake(3).await;
    for number in 0..40 {
        assert_eq!(outcome_of(&submit(&fleet.client_at(0), &format!("before-{number}")).await), "ran");
    }
    // Finished keys reach the store with a short delay.
    sleep(Duration::from_millis(500)).await;
    fleet.kill_node(1);
    let began = Instant::now();
    let door = fleet.client_at(0);
    for number in 0..40 {
        let key = format!("before-{number}");
        wait_for("the kept answer", async || outcome_of(&submit(&door, &key).await) == "ran").await;
        let key = format!("after-{number}");
        wait_for("a new run", async || outcome_of(&submit(&door, &key).await) == "ran").await;
    }
    println!("every key answered {:?} after the home's death", began.elapsed());
    let runs = fleet.runs().await;
    assert!(runs.values().all(|&count| count == 1), "{runs:?}");
    assert_eq!(runs.len(), 80);
}

#[tokio::test]
async fn a_press_that_joins_waits_for_the_same_run() {
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
async fn a_store_that_is_down_ends_new_keys_at_once_with_a_time_to_come_back() {
    let fleet = Fleet::with_intake(3).await;
    fleet.set_fault(fleet.store_addr, "down=1").await;
    let mut words = BTreeMap::new();
    for number in 0..40 {
        let began = Instant::now();
        let reply = submit(&fleet.client_at(number % 3), &format!("k-{number}")).await;
        *words.entry(outcome_of(&reply)).or_insert(0) += 1;
        let reply = reply.expect("an answer");
        assert!(began.elapsed() < Duration::from_millis(1_200), "held back: {:?}", began.elapsed());
        assert!(!reply.header("retry-after").is_empty(), "{reply:?}");
    }
    assert_eq!(words, BTreeMap::from([("not-run".to_owned(), 40)]));
    assert!(fleet.runs().await.is_empty());
    fleet.set_fault(fleet.store_addr, "").await;
    wait_for("the store's return", async || outcome_of(&submit(&fleet.client_at(0), "k-0").await) == "ran").await;
}

#[tokio::test]
async fn a_node_that_starts_first_does_not_take_every_page() {
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
    assert!(homes >= 2, "one node holds all pages");
}
