//! Classification of routes as called by services or by callers.

use std::sync::Arc;

use crate::gate::OriginTracker;

fn record_calls(tracker: &mut OriginTracker, route: &str, services: &[&str], rounds: usize) -> bool {
    let mut internal = false;
    for service in services.iter().cycle().take(services.len() * rounds) {
        internal = tracker.record_and_classify(&Arc::from(route), &Arc::from(*service)) == Some(true);
    }
    internal
}

/// Returns the tracker of a fleet of 69 VMs with callers at all of them.
fn fleet() -> OriginTracker {
    let vms = [("rounds", 22), ("ledger", 32), ("lab", 9), ("farms", 6)];
    let mut tracker = OriginTracker::default();
    tracker.set_vms(vms.iter().map(|(service, vms)| (Arc::from(*service), *vms)).collect());
    for _ in 0..10 {
        for (service, vms) in vms {
            record_calls(&mut tracker, "booking", &[service], vms as usize);
        }
    }
    tracker
}

#[test]
fn route_entered_beside_one_service_is_internal() {
    let mut tracker = OriginTracker::default();
    assert!(!record_calls(&mut tracker, "lookup", &["rounds", "ledger", "lab"], 30));
    assert!(!record_calls(&mut tracker, "check", &["rounds"], 20), "a few calls may be chance");
    assert!(record_calls(&mut tracker, "check", &["rounds"], 1));
    assert!(!record_calls(&mut tracker, "check", &["lab"], 1), "one stray call makes it uncertain");
    assert!(record_calls(&mut tracker, "check", &["rounds"], 100), "one stray call among many does not matter");
}

#[test]
fn route_is_unclassified_if_only_one_service_is_seen() {
    let mut tracker = OriginTracker::default();
    assert!(!record_calls(&mut tracker, "check", &["rounds"], 500));
}

#[test]
fn route_called_by_two_services_stays_internal() {
    let mut tracker = fleet();
    assert!(record_calls(&mut tracker, "check", &["ledger"], 100));
    // Callers' work now also reaches a second service, whose runs call the route too.
    assert!(record_calls(&mut tracker, "check", &["ledger", "ledger", "rounds"], 100));
    assert!(!record_calls(&mut tracker, "booking", &["rounds"], 1), "callers' routes stay distinct");
}

#[test]
fn rare_manual_calls_keep_route_internal() {
    let mut tracker = fleet();
    record_calls(&mut tracker, "check", &["ledger"], 150);
    for _ in 0..10 {
        record_calls(&mut tracker, "check", &["farms"], 1);
        assert!(record_calls(&mut tracker, "check", &["ledger"], 100));
    }
}

#[test]
fn classification_adapts_within_several_hundred_calls() {
    let mut tracker = fleet();
    assert!(record_calls(&mut tracker, "check", &["ledger"], 5_000));
    let everywhere = ["rounds", "ledger", "ledger", "lab", "rounds", "ledger", "farms"];
    assert!(!record_calls(&mut tracker, "check", &everywhere, 60), "callers make the calls now");
    assert!(record_calls(&mut tracker, "check", &["ledger"], 3_000), "callers no longer make the calls");
}

#[test]
fn callers_route_is_never_internal() {
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
        assert!(!record_calls(&mut tracker, "lookup", &[service], 1));
    }
}

#[test]
fn route_with_few_calls_is_unclassified() {
    let mut tracker = fleet();
    let classify =
        |tracker: &mut OriginTracker, route: &str| tracker.record_and_classify(&Arc::from(route), &Arc::from("ledger"));
    assert_eq!(classify(&mut tracker, "check"), None);
    assert_eq!(classify(&mut tracker, "booking"), Some(false), "callers' calls enter beside every service");
}
