//! Tests of the fault schedule and of the checks of the guarantees.

use std::collections::BTreeMap;

use test_case::test_case;
use valetrack::placement::RetryGuarantee;

use super::{Arrival, CallOutcome, CallRecord, Fault, Kind, Versions, check_calls, check_retries, schedule};

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
    let calls = [CallRecord { id: "a".to_owned(), began_ms: 0, repeatable, outcome: outcome.clone() }];
    let runs = BTreeMap::from([("a".to_owned(), ran)]);
    let breaches = check_calls(&calls, &runs, planned);
    assert_eq!(breaches.first().map(|breach| breach.guarantee), breach, "{breaches:?}");
}

#[test_case("a"; "a call")]
#[test_case("a.0"; "a nested call")]
fn run_without_a_sent_call_is_a_breach(id: &str) {
    let runs = BTreeMap::from([(id.to_owned(), 1)]);
    assert_eq!(check_calls(&[], &runs, false).len(), 1);
    let sent = CallRecord { id: "a".to_owned(), began_ms: 0, repeatable: true, outcome: OWN };
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
    let breach_found = check_retries("ledger", arrivals.collect(), &began_ms, guarantee);
    assert_eq!(breach_found.map(|breach| breach.detail).as_deref(), breach);
}

#[test]
fn nested_calls_of_a_retry_count_as_retries() {
    let guarantee = RetryGuarantee { percent: 0, reserve: 1, window_us: 3_000_000 };
    let arrivals = ["a.0", "a.1", "a.0", "a.1"].map(|id| Arrival { at_ms: 0, id: id.to_owned() });
    assert!(check_retries("ledger", arrivals.to_vec(), &[], guarantee).is_some());
}
