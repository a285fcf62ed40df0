//! Which routes are known as calls that a service makes on its own.

use std::sync::Arc;

use crate::gate::OriginTracker;

fn feed(tracker: &mut OriginTracker, route: &str, services: &[&str], rounds: usize) -> bool {
    let mut internal = false;
    for service in services.iter().cycle().take(services.len() * rounds) {
        internal = tracker.is_internal(&Arc::from(route), &Arc::from(*service));
    }
    internal
}

#[test]
fn calls_that_begin_beside_one_service_only_are_its_own() {
    let mut tracker = OriginTracker::default();
    assert!(!feed(&mut tracker, "lookup", &["rounds", "ledger", "lab"], 30));
    assert!(!feed(&mut tracker, "check", &["rounds"], 20), "a few may be luck");
    assert!(feed(&mut tracker, "check", &["rounds"], 1));
    assert!(!feed(&mut tracker, "check", &["lab"], 1), "one from elsewhere settles it");
    assert!(!feed(&mut tracker, "check", &["rounds"], 100));
}

#[test]
fn where_all_calls_begin_beside_one_service_nothing_is_known() {
    let mut tracker = OriginTracker::default();
    assert!(!feed(&mut tracker, "check", &["rounds"], 500));
}
