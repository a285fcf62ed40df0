//! Which routes are known as calls that services make on their own.

use std::sync::Arc;

use crate::gate::OriginTracker;

fn feed(tracker: &mut OriginTracker, route: &str, services: &[&str], rounds: usize) -> bool {
    let mut internal = false;
    for service in services.iter().cycle().take(services.len() * rounds) {
        internal = tracker.judge(&Arc::from(route), &Arc::from(*service)) == Some(true);
    }
    internal
}

/// A fleet of 69 VMs, with callers at all of them.
fn fleet() -> OriginTracker {
    let vms = [("rounds", 22), ("ledger", 32), ("lab", 9), ("farms", 6)];
    let mut tracker = OriginTracker::default();
    tracker.set_vms(vms.iter().map(|(service, vms)| (Arc::from(*service), *vms)).collect());
    for _ in 0..10 {
        for (service, vms) in vms {
            feed(&mut tracker, "booking", &[service], vms as usize);
        }
    }
    tracker
}

#[test]
fn calls_that_begin_beside_one_service_only_are_its_own() {
    let mut tracker = OriginTracker::default();
    assert!(!feed(&mut tracker, "lookup", &["rounds", "ledger", "lab"], 30));
    assert!(!feed(&mut tracker, "check", &["rounds"], 20), "a few may be luck");
    assert!(feed(&mut tracker, "check", &["rounds"], 1));
    assert!(!feed(&mut tracker, "check", &["lab"], 1), "one from elsewhere leaves it open");
    assert!(feed(&mut tracker, "check", &["rounds"], 100), "and is odd among many");
}

#[test]
fn where_all_calls_begin_beside_one_service_nothing_is_known() {
    let mut tracker = OriginTracker::default();
    assert!(!feed(&mut tracker, "check", &["rounds"], 500));
}

#[test]
fn a_route_that_two_services_call_is_still_their_own() {
    let mut tracker = fleet();
    assert!(feed(&mut tracker, "check", &["ledger"], 100));
    // From now on callers' work goes to another service as well, whose runs call it too.
    assert!(feed(&mut tracker, "check", &["ledger", "ledger", "rounds"], 100));
    assert!(!feed(&mut tracker, "booking", &["rounds"], 1), "callers' calls are told apart from them");
}

#[test]
fn a_call_by_hand_now_and_then_changes_nothing() {
    let mut tracker = fleet();
    feed(&mut tracker, "check", &["ledger"], 150);
    for _ in 0..10 {
        feed(&mut tracker, "check", &["farms"], 1);
        assert!(feed(&mut tracker, "check", &["ledger"], 100));
    }
}

#[test]
fn what_was_learned_is_unlearned_within_some_hundred_calls() {
    let mut tracker = fleet();
    assert!(feed(&mut tracker, "check", &["ledger"], 5_000));
    let everywhere = ["rounds", "ledger", "ledger", "lab", "rounds", "ledger", "farms"];
    assert!(!feed(&mut tracker, "check", &everywhere, 60), "callers make it now");
    assert!(feed(&mut tracker, "check", &["ledger"], 3_000), "and do not any more");
}

#[test]
fn callers_calls_are_never_taken_for_those_of_services() {
    let mut tracker = fleet();
    let mut rng = fastrand::Rng::with_seed(7);
    let beside = |drawn: u32| match drawn {
        0..22 => "rounds",
        22..54 => "ledger",
        54..63 => "lab",
        _ => "farms",
    };
    for _ in 0..50_000 {
        let service = beside(rng.u32(0..69));
        assert!(!feed(&mut tracker, "lookup", &[service], 1));
    }
}

#[test]
fn too_few_calls_leave_it_open() {
    let mut tracker = fleet();
    let judge = |tracker: &mut OriginTracker, route: &str| tracker.judge(&Arc::from(route), &Arc::from("ledger"));
    assert_eq!(judge(&mut tracker, "check"), None);
    assert_eq!(judge(&mut tracker, "booking"), Some(false), "callers' calls come from beside every service");
}
