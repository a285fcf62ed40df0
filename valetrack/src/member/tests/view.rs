//! Views merge to the same, whatever the order, and never go back.

use std::sync::Arc;

use proptest::prelude::*;
use test_case::test_case;

use crate::member::{GONE_AFTER_US, ListedVm, Member, Members, Phase};

fn member(vm: u8, incarnation: u64, phase: Phase) -> Member {
    Member {
        vm: Arc::from(format!("vm-{vm}")),
        incarnation,
        phase,
        domain: Arc::from("kranj"),
        service: Arc::from("intake"),
        link_addr: ([127, 0, 0, 1], 7_000 + u16::from(vm)).into(),
        version: None,
        is_relay: false,
    }
}

fn row(vm: u8, leaving: bool) -> ListedVm {
    let Member { vm, domain, service, link_addr, .. } = member(vm, 0, Phase::Joining);
    ListedVm { vm, domain, service, link_addr, leaving }
}

fn phase() -> impl Strategy<Value = Phase> {
    prop::sample::select(vec![Phase::Joining, Phase::Serving, Phase::Leaving, Phase::Gone])
}

fn news() -> impl Strategy<Value = Vec<Member>> {
    prop::collection::vec((0..4u8, 1..4u64, phase()).prop_map(|(vm, life, phase)| member(vm, life, phase)), 0..30)
}

fn merged(news: &[Member]) -> Members {
    let mut members = Members::default();
    for one in news {
        members.merge(one);
    }
    members
}

fn rank(member: &Member) -> (u64, Phase) {
    (member.incarnation, member.phase)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(6),
        ..Default::default()
    })]

    #[test]
    fn order_and_doubles_do_not_matter(news in news(), seed in any::<u64>()) {
        let mut mixed = news.clone();
        mixed.extend(news.iter().take(5).cloned());
        fastrand::Rng::with_seed(seed).shuffle(&mut mixed);
        prop_assert_eq!(merged(&news), merged(&mixed));
    }

    #[test]
    fn no_news_and_no_list_brings_a_state_back(
        news in news(),
        lists in prop::collection::vec(prop::collection::vec((0..4u8, any::<bool>()), 0..4), 30),
    ) {
        let mut members = Members::default();
        let mut now_us = 0;
        for (one, list) in news.iter().zip(lists) {
            let before: Vec<Member> = members.iter().cloned().collect();
            members.merge(one);
            now_us += 1_000_000;
            let rows: Vec<ListedVm> = list.into_iter().map(|(vm, leaving)| row(vm, leaving)).collect();
            members.take_list(&rows, now_us);
            for old in before {
                let new = members.get(&old.vm).expect("a VM is never forgotten");
                prop_assert!(rank(new) >= rank(&old), "{old:?} became {new:?}");
            }
        }
    }
}

#[test_case(Phase::Leaving; "a leaving VM that the list shows as live")]
#[test_case(Phase::Gone; "a dead VM that the list shows as live")]
fn a_list_that_lags_brings_nothing_back(phase: Phase) {
    let mut members = merged(&[member(1, 1, phase)]);
    for second in 0..30 {
        assert!(members.take_list(&[row(1, false)], second * 1_000_000).is_empty());
    }
    assert_eq!(members.get("vm-1").map(|known| known.phase), Some(phase));
    assert_eq!(members.servers_of("intake").count(), 0);
}

#[test]
fn a_vm_that_only_the_list_knows_may_get_calls() {
    let mut members = Members::default();
    members.take_list(&[row(1, false), row(2, true)], 0);
    let vms: Vec<Arc<str>> = members.servers_of("intake").map(|candidate| candidate.vm).collect();
    assert_eq!(vms, [Arc::from("vm-1")]);
}

#[test]
fn a_new_vm_that_the_list_does_not_show_yet_is_not_gone() {
    let mut members = merged(&[member(1, 1, Phase::Serving)]);
    for second in 0..60 {
        assert!(members.take_list(&[row(2, false)], second * 1_000_000).is_empty());
    }
    assert_eq!(members.servers_of("intake").count(), 2);
}

#[test]
fn a_vm_off_the_list_is_gone_only_when_it_is_silent_too() {
    let mut members = merged(&[member(1, 1, Phase::Serving)]);
    members.take_list(&[row(1, false)], 0);
    members.heard(&Arc::from("vm-1"), 1_000_000);
    assert!(members.take_list(&[], 1_000_000 + GONE_AFTER_US - 1).is_empty());
    assert!(!members.is_over("vm-1", 1));
    let moved = members.take_list(&[], 1_000_000 + GONE_AFTER_US);
    assert_eq!(moved.len(), 1);
    assert!(members.is_over("vm-1", 1));
    assert!(members.merge(&member(1, 2, Phase::Joining)), "a later life begins anew");
    assert!(members.is_over("vm-1", 1) && !members.is_over("vm-1", 2));
}
