//! Evacuated failure domains, as nodes tell each other of them.

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
    }
}

fn candidates(members: &Members) -> Vec<String> {
    members.servers_of("rounds").map(|candidate| candidate.vm.to_string()).collect()
}

#[test]
fn servers_of_an_evacuated_domain_are_no_candidates_until_it_returns() {
    let mut members = Members::default();
    members.merge(&member("vm-1", "kranj"));
    members.merge(&member("vm-2", "loka"));
    assert!(members.evacuate(&evacuation(3, &["kranj"])));
    assert_eq!(candidates(&members), ["vm-2"]);
    assert!(!members.evacuate(&evacuation(2, &[])), "earlier news change nothing");
    assert!(members.evacuate(&evacuation(4, &["kranj", "loka"])));
    assert_eq!(candidates(&members), Vec::<String>::new());
    assert!(members.evacuate(&evacuation(5, &["loka"])));
    assert_eq!(candidates(&members), ["vm-1"]);
}

#[test]
fn a_state_of_the_store_from_before_a_change_does_not_undo_it() {
    let mut known = evacuation(9, &["kranj"]);
    assert!(!known.set(BTreeSet::new(), at(8)));
    assert!(known.covers("kranj"));
    assert!(!known.set(known.domains.clone(), at(12)), "nothing has changed");
    assert!(known.set(BTreeSet::new(), at(12)));
    assert_eq!(known, evacuation(12, &[]));
}

proptest! {
    /// Whatever order news come in and however often, the latest hold at the end.
    #[test]
    fn the_latest_news_hold(order in prop::collection::vec(0..6u64, 1..40)) {
        let news = |number: u64| evacuation(number, if number.is_multiple_of(2) { &["kranj"] } else { &["loka", "kranj"] });
        let mut known = Evacuation::default();
        for number in &order {
            known.merge(&news(*number));
        }
        let latest = order.iter().copied().max().unwrap_or(0);
        prop_assert_eq!(&known.domains, &if latest == 0 { BTreeSet::new() } else { news(latest).domains });
    }
}
