//! Views merge to the same result in any order, and never return to an earlier state.

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
        departure: None,
    }
}

fn row(vm: u8, leaving: bool) -> ListedVm {
    let Member { vm, domain, service, link_addr, .. } = member(vm, 0, Phase::Joining);
    ListedVm { vm, domain, service, link_addr, leaving }
}

fn phase() -> impl Strategy<Value = Phase> {
    prop::sample::select(vec![Phase::Joining, Phase::Serving, Phase::Leaving, Phase::Gone])
}

fn reports() -> impl Strategy<Value = Vec<Member>> {
    prop::collection::vec(
        (0..4u8, 1..4u64, phase()).prop_map(|(vm, incarnation, phase)| member(vm, incarnation, phase)),
        0..30,
    )
}

fn merged(reports: &[Member]) -> Members {
    let mut members = Members::default();
    for report in reports {
        members.merge(report);
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
    fn merge_is_independent_of_order_and_repetition(reports in reports(), seed in any::<u64>()) {
        let mut mixed = reports.clone();
        mixed.extend(reports.iter().take(5).cloned());
        fastrand::Rng::with_seed(seed).shuffle(&mut mixed);
        prop_assert_eq!(merged(&reports), merged(&mixed));
    }

    #[test]
    fn neither_merges_nor_lists_revert_a_state(
        reports in reports(),
        lists in prop::collection::vec(prop::collection::vec((0..4u8, any::<bool>()), 0..4), 30),
    ) {
        let mut members = Members::default();
        let mut now_us = 0;
        for (report, list) in reports.iter().zip(lists) {
            let before: Vec<Member> = members.iter().cloned().collect();
            members.merge(report);
            now_us += 1_000_000;
            let rows: Vec<ListedVm> = list.into_iter().map(|(vm, leaving)| row(vm, leaving)).collect();
            members.apply_list(&rows, now_us);
            for old in before {
                let new = members.get(&old.vm).expect("VMs are never removed");
                prop_assert!(rank(new) >= rank(&old), "{old:?} became {new:?}");
            }
        }
    }
}

#[test_case(Phase::Leaving; "a leaving VM that the list shows as live")]
#[test_case(Phase::Gone; "a dead VM that the list shows as live")]
fn lagging_list_does_not_revert_a_phase(phase: Phase) {
    let mut members = merged(&[member(1, 1, phase)]);
    for second in 0..30 {
        assert!(members.apply_list(&[row(1, false)], second * 1_000_000).is_empty());
    }
    assert_eq!(members.get("vm-1").map(|known| known.phase), Some(phase));
    assert_eq!(members.servers_of("intake").count(), 0);
}

#[test]
fn vm_that_is_only_listed_may_get_calls() {
    let mut members = Members::default();
    members.apply_list(&[row(1, false), row(2, true)], 0);
    let vms: Vec<Arc<str>> = members.servers_of("intake").map(|candidate| candidate.vm).collect();
    assert_eq!(vms, [Arc::from("vm-1")]);
}

#[test]
fn read_list_is_complete_with_unheard_vms() {
    let mut members = merged(&[member(1, 1, Phase::Serving)]);
    assert_eq!((members.is_complete(), members.vm_count()), (false, 1));
    members.apply_list(&[row(1, false), row(2, false)], 0);
    assert_eq!((members.is_complete(), members.vm_count()), (true, 2));
}

#[test]
fn new_vm_that_was_never_listed_is_not_gone() {
    let mut members = merged(&[member(1, 1, Phase::Serving)]);
    for second in 0..60 {
        assert!(members.apply_list(&[row(2, false)], second * 1_000_000).is_empty());
    }
    assert_eq!(members.servers_of("intake").count(), 2);
}

#[test]
fn delisted_vm_is_gone_only_when_it_is_unresponsive() {
    let mut members = merged(&[member(1, 1, Phase::Serving)]);
    members.apply_list(&[row(1, false)], 0);
    members.heard(&Arc::from("vm-1"), 1_000_000);
    assert!(members.apply_list(&[], 1_000_000 + GONE_AFTER_US - 1).is_empty());
    assert!(!members.is_over("vm-1", 1));
    let advanced = members.apply_list(&[], 1_000_000 + GONE_AFTER_US);
    assert_eq!(advanced.len(), 1);
    assert!(members.is_over("vm-1", 1));
    assert!(members.merge(&member(1, 2, Phase::Joining)), "a later incarnation starts again");
    assert!(members.is_over("vm-1", 1) && !members.is_over("vm-1", 2));
}
