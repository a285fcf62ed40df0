//! A node's own entry stays stored through lost leases, lost answers and outages.

use proptest::prelude::*;
use test_case::test_case;

use super::at;
use crate::member::{EntryKeeper, EntryStep, SeenEntry};
use crate::store::{Era, Lease};

const LEASE: Lease = Lease { id: 7, ttl_ms: 8_000, era: Era::new(0) };

fn rng() -> fastrand::Rng {
    fastrand::Rng::with_seed(3)
}

/// Returns a keeper whose entry was stored at time zero.
fn keeper_with_stored_entry() -> EntryKeeper {
    let mut keeper = EntryKeeper::default();
    keeper.change();
    keeper.granted(LEASE, 0);
    keeper.wrote(keeper.wanted(), at(5));
    keeper
}

#[test]
fn new_entry_is_written_after_its_lease_is_granted() {
    let mut keeper = EntryKeeper::default();
    keeper.change();
    assert_eq!(keeper.next(0), EntryStep::Grant);
    keeper.granted(LEASE, 0);
    assert_eq!(keeper.next(0), EntryStep::Write { lease: 7, expected: None });
    keeper.wrote(keeper.wanted(), at(5));
    assert_eq!(keeper.next(0), EntryStep::Wait { until_us: 2_000_000 });
    assert_eq!(keeper.next(2_000_000), EntryStep::Renew { lease: 7 });
}

#[test]
fn entry_of_earlier_incarnation_is_replaced_at_its_revision() {
    let mut keeper = EntryKeeper::default();
    keeper.change();
    keeper.granted(LEASE, 0);
    keeper.conflicted(Some(at(41)));
    assert_eq!(keeper.next(0), EntryStep::Write { lease: 7, expected: Some(at(41)) });
}

#[test]
fn removed_entry_is_rewritten_at_once() {
    let mut keeper = keeper_with_stored_entry();
    keeper.missing(at(6));
    assert_eq!(keeper.next(10), EntryStep::Write { lease: 7, expected: None });
}

#[test]
fn entry_with_expired_lease_requests_another_at_once() {
    let mut keeper = keeper_with_stored_entry();
    keeper.lease_over();
    assert_eq!(keeper.next(10), EntryStep::Grant);
    keeper.granted(Lease { id: 8, ..LEASE }, 10);
    assert_eq!(
        keeper.next(10),
        EntryStep::Write { lease: 8, expected: None },
        "the entry was removed with the old lease"
    );
}

#[test]
fn late_read_of_older_revision_changes_nothing() {
    let mut keeper = keeper_with_stored_entry();
    keeper.seen(SeenEntry { position: at(4), lease: Some(7) });
    keeper.change();
    assert_eq!(keeper.next(0), EntryStep::Write { lease: 7, expected: Some(at(5)) });
}

#[test_case(1, 200_000; "the first failure")]
#[test_case(2, 400_000; "the second")]
#[test_case(30, 1_000_000; "many")]
fn backoff_grows_up_to_one_second(failures: u32, most_us: u64) {
    let mut keeper = keeper_with_stored_entry();
    let mut rng = rng();
    for _ in 0..failures {
        keeper.failed(0, &mut rng);
    }
    let EntryStep::Wait { until_us } = keeper.next(0) else {
        panic!("expected a wait");
    };
    assert!((most_us / 2..=most_us).contains(&until_us), "{until_us}");
}

#[test]
fn backoff_ends_when_store_is_reachable() {
    let mut keeper = keeper_with_stored_entry();
    keeper.failed(0, &mut rng());
    keeper.lease_over();
    keeper.failed(0, &mut rng());
    keeper.on_store_reachable();
    assert_eq!(keeper.next(0), EntryStep::Grant);
}

/// Lets every call fail for `out_us`; returns the cost of the calls, in tenths of a call, and their number.
fn fail_calls(keeper: &mut EntryKeeper, out_us: u64) -> (u64, u64) {
    let mut rng = rng();
    let (mut now_us, mut cost_tenths, mut calls) = (0, 0, 0);
    while now_us < out_us {
        match keeper.next(now_us) {
            EntryStep::Wait { until_us } => {
                now_us = until_us;
                continue;
            }
            EntryStep::Ask | EntryStep::Renew { .. } => cost_tenths += 1,
            EntryStep::Grant | EntryStep::Write { .. } => cost_tenths += 10,
        }
        calls += 1;
        keeper.failed(now_us, &mut rng);
    }
    (cost_tenths, calls)
}

#[test]
fn unreachable_store_is_checked_by_the_cheapest_call() {
    let mut keeper = keeper_with_stored_entry();
    keeper.lease_over();
    let (cost_tenths, calls) = fail_calls(&mut keeper, 9_000_000);
    assert!(calls >= 9, "the store is still checked about once a second: {calls}");
    assert!(cost_tenths <= 25, "{cost_tenths} tenths of a call for {calls} calls");
    keeper.lease_over();
    assert_eq!(keeper.next(9_000_000), EntryStep::Grant, "once the store answers, the entry is written again");
}

#[test]
fn backoff_grows_while_writes_fail_and_renewals_succeed() {
    let mut keeper = keeper_with_stored_entry();
    let mut rng = rng();
    keeper.change();
    let (mut now_us, mut writes) = (0, 0);
    while now_us < 10_000_000 {
        match keeper.next(now_us) {
            EntryStep::Wait { until_us } => now_us = until_us,
            EntryStep::Ask => keeper.answered(),
            EntryStep::Renew { .. } => keeper.renewed(LEASE.era, now_us),
            EntryStep::Write { .. } => {
                writes += 1;
                keeper.failed(now_us, &mut rng);
            }
            EntryStep::Grant => panic!("the lease has not expired"),
        }
    }
    assert!(writes <= 18, "{writes} writes in ten seconds");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever failed before, the entry is stored again within two seconds once the store answers.
    #[test]
    fn entry_is_restored_within_two_seconds_after_faults(faults in prop::collection::vec(0..5u8, 0..40), seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut keeper = keeper_with_stored_entry();
        let mut now_us = 0;
        for fault in faults {
            now_us += 100_000;
            match fault {
                0 => keeper.failed(now_us, &mut rng),
                1 => keeper.lease_over(),
                2 => keeper.missing(at(100 + now_us)),
                3 => keeper.conflicted(Some(at(now_us))),
                _ => keeper.change(),
            }
        }
        let answers_from_us = now_us;
        loop {
            match keeper.next(now_us) {
                EntryStep::Grant => keeper.granted(LEASE, now_us),
                EntryStep::Write { .. } => {
                    keeper.wrote(keeper.wanted(), at(now_us + 1_000_000));
                    break;
                }
                EntryStep::Ask => keeper.answered(),
                EntryStep::Renew { .. } => keeper.renewed(LEASE.era, now_us),
                EntryStep::Wait { until_us } => {
                    // A stored entry needs only renewals.
                    if until_us >= now_us + 1_000_000 { break; }
                    now_us = until_us;
                }
            }
        }
        prop_assert!(now_us <= answers_from_us + 2_000_000);
    }
}
