//! Tests of the fault schedule and of the checks of the guarantees.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use test_case::test_case;
use valetrack::placement::RetryGuarantee;

use super::account::ACCOUNTS;
use super::pipeline::check_order;
use super::stall;
use super::{
    Arrival, CallOutcome, CallRecord, Disruption, Fault, Kind, Stall, Versions, check_account_limits,
    check_account_shares, check_calls, check_cuts, check_retries, retry_peak, schedule,
};
use crate::client::Reply;

#[test]
fn schedule_depends_on_seed_alone() {
    assert_eq!(schedule(7, 8, 20_000), schedule(7, 8, 20_000));
    assert_ne!(schedule(7, 8, 20_000), schedule(8, 8, 20_000));
}

#[test]
fn seeds_cover_every_fault_and_planned_seeds_only_planned() {
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..60 {
        for step in schedule(seed, 8, 20_000) {
            let name = format!("{:?}", step.fault);
            let name = name.split(['(', ' ']).next().unwrap_or_default().to_owned();
            *kinds.entry(name).or_insert(0) += 1;
            let planned = matches!(step.fault, Fault::Term | Fault::Hangup | Fault::Drain | Fault::Configure);
            assert!(planned || Kind::of_seed(seed) == Kind::Any, "{step:?}");
        }
    }
    assert_eq!(kinds.len(), 14, "{kinds:?}");
}

const OWN: CallOutcome = CallOutcome::Answer { status: 200, own: true };
const FOREIGN: CallOutcome = CallOutcome::Answer { status: 200, own: false };
const REFUSED: CallOutcome = CallOutcome::Answer { status: 503, own: false };
const FAILED: CallOutcome = CallOutcome::Answer { status: 502, own: false };
const DENIED: CallOutcome = CallOutcome::Answer { status: 404, own: false };

fn record(id: &str, repeatable: bool, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        id: id.to_owned(),
        vm: 0,
        began_ms: 0,
        ended_ms: 0,
        repeatable,
        account: None,
        pipelined: false,
        outcome,
    }
}

#[test_case(false, &OWN, 1, false, None; "a call that ran once")]
#[test_case(false, &OWN, 2, false, Some("a call that is not repeatable runs at most once"); "a second run")]
#[test_case(true, &OWN, 2, false, None; "a second run of a repeatable call")]
#[test_case(true, &OWN, 3, false, Some("a call runs on two servers at most"); "a third run")]
#[test_case(false, &FOREIGN, 1, false, Some("an answer is complete and belongs to its call"); "another call's answer")]
#[test_case(false, &REFUSED, 0, false, None; "a refused call that did not run")]
#[test_case(false, &REFUSED, 1, false, Some("a refused call has not run"); "a refused call that ran")]
#[test_case(true, &DENIED, 0, false, Some("a valid call is not denied"); "a denied call")]
#[test_case(true, &FAILED, 1, false, None; "a failure during faults")]
#[test_case(true, &FAILED, 1, true, Some("planned work fails no call"); "a failure during planned work")]
#[test_case(true, &CallOutcome::Cut, 0, true, None; "a connection that closed before the call was read")]
#[test_case(true, &CallOutcome::Cut, 1, true, Some("planned work cuts no connection"); "a connection cut in a run")]
fn call_check_reports_broken_guarantee(
    repeatable: bool,
    outcome: &CallOutcome,
    ran: u64,
    planned: bool,
    breach: Option<&str>,
) {
    let calls = [record("a", repeatable, outcome.clone())];
    let runs = BTreeMap::from([("a".to_owned(), ran)]);
    let breaches = check_calls(&calls, &runs, planned);
    assert_eq!(breaches.first().map(|breach| breach.guarantee), breach, "{breaches:?}");
}

#[test_case(&CallOutcome::Cut, "a", None, true; "a call that was passed on")]
#[test_case(&CallOutcome::Cut, "b", None, false; "a call that was not passed on")]
#[test_case(&CallOutcome::GivenUp, "a", None, false; "a call that its caller gave up")]
#[test_case(&CallOutcome::Cut, "a", Some((0, 5_200, 5_200)), false; "a kill during the call")]
#[test_case(&CallOutcome::Cut, "a", Some((1, 5_200, 5_200)), true; "a kill of another node")]
#[test_case(&CallOutcome::Cut, "a", Some((0, 1_000, 2_100)), false; "a stop shortly before the call")]
#[test_case(&CallOutcome::Cut, "a", Some((0, 1_000, 1_900)), true; "a stop long before the call")]
#[test_case(&CallOutcome::Cut, "a", Some((0, 5_401, 5_500)), true; "a stop after the call")]
fn cut_check_reports_calls_without_answer(
    outcome: &CallOutcome,
    arrived: &str,
    disruption: Option<(usize, u64, u64)>,
    is_breach: bool,
) {
    let call = CallRecord { began_ms: 5_000, ended_ms: 5_400, ..record("a", true, outcome.clone()) };
    let arrived = BTreeSet::from([arrived.to_owned()]);
    let disruptions = disruption.map(|(vm, from_ms, to_ms)| Disruption { vm, from_ms, to_ms });
    let breaches = check_cuts(&[call], &arrived, disruptions.as_slice());
    assert_eq!(breaches.len(), usize::from(is_breach), "{breaches:?}");
}

#[test_case("a"; "a call")]
#[test_case("a.0"; "a nested call")]
fn run_without_a_sent_call_is_a_breach(id: &str) {
    let runs = BTreeMap::from([(id.to_owned(), 1)]);
    assert_eq!(check_calls(&[], &runs, false).len(), 1);
    let sent = record("a", true, OWN);
    assert_eq!(check_calls(&[sent], &runs, false), []);
}

#[test]
fn older_version_after_a_newer_one_is_a_breach() {
    let mut versions = Versions::default();
    assert_eq!(versions.record("vm-0", 3, true), None);
    assert_eq!(versions.record("vm-0", 2, false), None);
    assert!(versions.record("vm-0", 2, true).is_some());
}

#[test_case(7, None; "as many as allowed")]
#[test_case(8, Some("from 1000 ms: 8 for 10 calls, allowed 7"); "one more")]
fn retries_are_counted_in_every_window(repeats: u64, breach: Option<&str>) {
    let guarantee = RetryGuarantee { percent: 20, reserve: 5, window_us: 3_000_000 };
    let began_ms: Vec<u64> = (0..10).map(|number| number * 100).collect();
    let first = (0..10).map(|number| (number * 100, number));
    let later = (0..repeats).map(|number| (1_000 + number * 200, number));
    let arrivals = first.chain(later).map(|(at_ms, number)| Arrival { at_ms, id: format!("call-{number}") });
    let breach_found = check_retries("ledger", retry_peak(arrivals.collect(), &began_ms, guarantee));
    assert_eq!(breach_found.map(|breach| breach.detail).as_deref(), breach);
}

#[test]
fn retry_peak_is_window_with_highest_used_share() {
    let guarantee = RetryGuarantee { percent: 50, reserve: 2, window_us: 1_000_000 };
    let began_ms: Vec<u64> = (0..20).map(|number| number * 50).chain([5_000]).collect();
    let at = |at_ms: u64, id: &str| Arrival { at_ms, id: id.to_owned() };
    let many_calls = (0..4).flat_map(|number| [at(number, "a"), at(900 + number, "a")]);
    let few_calls = [at(5_000, "b"), at(5_100, "b"), at(5_200, "b")];
    let peak = retry_peak(many_calls.chain(few_calls).collect(), &began_ms, guarantee);
    insta::assert_debug_snapshot!((peak, peak.used_percent()), @r"
    (
        RetryPeak {
            from_ms: 5100,
            retries: 2,
            calls: 1,
            allowed: 2,
        },
        100,
    )
    ");
}

#[test]
fn nested_calls_of_a_retry_count_as_retries() {
    let guarantee = RetryGuarantee { percent: 0, reserve: 1, window_us: 3_000_000 };
    let arrivals = ["a.0", "a.1", "a.0", "a.1"].map(|id| Arrival { at_ms: 0, id: id.to_owned() });
    assert!(check_retries("ledger", retry_peak(arrivals.to_vec(), &[], guarantee)).is_some());
}

#[test]
fn refused_pipelined_call_that_ran_is_a_breach() {
    let call = CallRecord { pipelined: true, ..record("a", true, REFUSED) };
    let runs = BTreeMap::from([("a".to_owned(), 1)]);
    assert_eq!(check_calls(&[call], &runs, false).len(), 1);
}

// The surging account may run (20 x 5 + 20) x 1.1 + 20 calls in 5 s.
#[test_case(152, 4_999, 0; "as many as allowed")]
#[test_case(153, 4_999, 1; "one more")]
#[test_case(153, 5_000, 0; "one more after the window")]
fn account_runs_are_limited_in_every_window(count: u64, last_ms: u64, breaches: usize) {
    let call = |number| CallRecord { account: Some(&ACCOUNTS[0]), ..record(&format!("call-{number}"), true, OWN) };
    let calls: Vec<CallRecord> = (0..count).map(call).collect();
    let at_ms = |number| 700 + if number + 1 == count { last_ms } else { 0 };
    let runs: Vec<Arrival> =
        (0..count).map(|number| Arrival { at_ms: at_ms(number), id: format!("call-{number}") }).collect();
    assert_eq!(check_account_limits(&calls, &runs).len(), breaches);
}

// In 5 s, 120 calls of the surging account are within its rate and burst; the quota refuses the others.
#[test_case(0, 600, 30, 0; "a surging account that gets a quarter of its rate")]
#[test_case(0, 600, 20, 1; "a surging account that gets less")]
#[test_case(1, 100, 20, 1; "a usual account that gets a fifth")]
#[test_case(1, 100, 30, 0; "a usual account that gets more than a quarter")]
fn account_is_served_a_quarter_as_often(account: usize, sent: u64, served: u64, breaches: usize) {
    let outcome = |number| if number < served { OWN } else { REFUSED };
    let call = |number| CallRecord { account: Some(&ACCOUNTS[account]), ..record("a", true, outcome(number)) };
    let others = (0..10_000).map(|_| record("b", true, OWN));
    let calls: Vec<CallRecord> = (0..sent).map(call).chain(others).collect();
    assert_eq!(check_account_shares(&calls, 5_000).len(), breaches);
}

#[test_case("a", 0; "the answer of the request")]
#[test_case("b", 1; "the answer of another request")]
fn answer_out_of_turn_is_a_breach(id: &'static str, breaches: usize) {
    let headers = [("x-request-id".parse().expect("a name"), id.parse().expect("a value"))].into_iter().collect();
    let reply = Reply { status: 503, headers, body: bytes::Bytes::new() };
    assert_eq!(check_order("a", &reply).into_iter().count(), breaches);
}

#[tokio::test]
async fn longest_stall_of_the_process_is_recorded() {
    let longest = Rc::new(Cell::new(Stall::default()));
    let blocking = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        std::thread::sleep(Duration::from_millis(200));
        tokio::time::sleep(Duration::from_millis(30)).await;
    };
    tokio::select! {
        () = stall::watch(tokio::time::Instant::now(), longest.clone()) => {}
        () = blocking => {}
    }
    assert!(longest.get().ms >= 180, "{:?}", longest.get());
}
