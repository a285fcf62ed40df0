//! Evacuated failure domains, as nodes exchange them.

use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;

use super::at;
use crate::member::{Evacuation, Member, Members, Phase};
use crate::store::Era;

fn evacuation(number: u64, domains: &[&str]) -> Evacuation {
    Evacuation { era: Era::default(), number, domains: domains.iter().map(|domain| Arc::from(*domain)).collect() }
}

fn member(vm: &str, domain: &str) -> Member {
    Member {
        vm: Arc::from(vm),
        incarnation: 1,
        phase: Phase::Serving,
        domain: Arc::from(domain),
        service: Arc::from("rounds"),
        link_addr: ([10, 0, 0, 1], 7_620).into(),
        version: None,
        is_relay: false,
        departure: None,
    }
}

fn candidates(members: &Members) -> Vec<String> {
    members.servers_of("rounds").map(|candidate| candidate.vm.to_string()).collect()
}

#[test]
fn servers_of_evacuated_domain_are_excluded_until_evacuation_ends() {
    let mut members = Members::default();
    members.merge(&member("vm-1", "kranj"));
    members.merge(&member("vm-2", "loka"));
    assert!(members.merge_evacuation(&evacuation(3, &["kranj"])));
    assert_eq!(candidates(&members), ["vm-2"]);
    assert!(!members.merge_evacuation(&evacuation(2, &[])), "an earlier state changes nothing");
    assert!(members.merge_evacuation(&evacuation(4, &["kranj", "loka"])));
    assert_eq!(candidates(&members), Vec::<String>::new());
    assert!(members.merge_evacuation(&evacuation(5, &["loka"])));
    assert_eq!(candidates(&members), ["vm-1"]);
}

#[test]
fn older_state_of_the_store_does_not_undo_a_change() {
    let mut known = evacuation(9, &["kranj"]);
    assert!(!known.set(BTreeSet::new(), at(8)));
    assert!(known.covers("kranj"));
    assert!(!known.set(known.domains.clone(), at(12)), "nothing has changed");
    assert!(known.set(BTreeSet::new(), at(12)));
    assert_eq!(known, evacuation(12, &[]));
}

proptest! {
    /// Whatever the order and the number of repetitions, the latest state holds at the end.
    #[test]
    fn latest_evacuation_holds_after_merges_in_any_order(order in prop::collection::vec(0..6u64, 1..40)) {
        let state = |number: u64| evacuation(number, if number.is_multiple_of(2) { &["kranj"] } else { &["loka", "kranj"] });
        let mut known = Evacuation::default();
        for number in &order {
            known.merge(&state(*number));
        }
        let latest = order.iter().copied().max().unwrap_or(0);
        prop_assert_eq!(&known.domains, &if latest == 0 { BTreeSet::new() } else { state(latest).domains });
    }
}
