//! The own entry stays in the store through lost leases, lost answers and outages.

use proptest::prelude::*;
use test_case::test_case;

use super::at;
use crate::member::{EntryKeeper, EntryStep, SeenEntry};
use crate::store::{Era, Lease};

const LEASE: Lease = Lease { id: 7, ttl_ms: 8_000, era: Era::new(0) };

fn rng() -> fastrand::Rng {
    fastrand::Rng::with_seed(3)
}

/// Makes a keeper whose entry stands in the store since the moment zero.
fn kept() -> EntryKeeper {
    let mut keeper = EntryKeeper::default();
    keeper.change();
    keeper.granted(LEASE, 0);
    keeper.wrote(keeper.wanted(), at(5));
    keeper
}

#[test]
fn an_entry_needs_a_lease_and_is_then_written() {
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
fn an_entry_of_an_earlier_life_is_replaced_at_its_revision() {
    let mut keeper = EntryKeeper::default();
    keeper.change();
    keeper.granted(LEASE, 0);
    keeper.conflicted(Some(at(41)));
    assert_eq!(keeper.next(0), EntryStep::Write { lease: 7, expected: Some(at(41)) });
}

#[test]
fn an_entry_that_was_taken_away_is_written_at_once() {
    let mut keeper = kept();
    keeper.missing(at(6));
    assert_eq!(keeper.next(10), EntryStep::Write { lease: 7, expected: None });
}

#[test]
fn an_entry_whose_lease_is_over_gets_another_at_once() {
    let mut keeper = kept();
    keeper.lease_over();
    assert_eq!(keeper.next(10), EntryStep::Grant);
    keeper.granted(Lease { id: 8, ..LEASE }, 10);
    assert_eq!(keeper.next(10), EntryStep::Write { lease: 8, expected: None }, "what the old lease held is gone");
}

#[test]
fn a_late_word_on_an_older_revision_changes_nothing() {
    let mut keeper = kept();
    keeper.seen(SeenEntry { position: at(4), lease: Some(7) });
    keeper.change();
    assert_eq!(keeper.next(0), EntryStep::Write { lease: 7, expected: Some(at(5)) });
}

#[test_case(1, 200_000; "the first failure")]
#[test_case(2, 400_000; "the second")]
#[test_case(30, 1_000_000; "many")]
fn pauses_after_failures_grow_up_to_a_second(failures: u32, most_us: u64) {
    let mut keeper = kept();
    let mut rng = rng();
    for _ in 0..failures {
        keeper.failed(0, &mut rng);
    }
    let EntryStep::Wait { until_us } = keeper.next(0) else {
        panic!("it waits");
    };
    assert!((most_us / 2..=most_us).contains(&until_us), "{until_us}");
}

#[test]
fn no_pause_is_waited_out_once_the_store_answers() {
    let mut keeper = kept();
    keeper.failed(0, &mut rng());
    keeper.lease_over();
    keeper.failed(0, &mut rng());
    keeper.store_is_back();
    assert_eq!(keeper.next(0), EntryStep::Grant);
}

/// Lets a store turn every call away for `out_us`, and returns what the calls cost, in tenths of one,
/// and how many were made.
fn turned_away(keeper: &mut EntryKeeper, out_us: u64) -> (u64, u64) {
    let mut rng = rng();
    let (mut now_us, mut price_tenths, mut calls) = (0, 0, 0);
    while now_us < out_us {
        match keeper.next(now_us) {
            EntryStep::Wait { until_us } => {
                now_us = until_us;
                continue;
            }
            EntryStep::Ask | EntryStep::Renew { .. } => price_tenths += 1,
            EntryStep::Grant | EntryStep::Write { .. } => price_tenths += 10,
        }
        calls += 1;
        keeper.failed(now_us, &mut rng);
    }
    (price_tenths, calls)
}

#[test]
fn a_store_that_is_out_of_reach_is_asked_by_the_cheapest_call() {
    let mut keeper = kept();
    keeper.lease_over();
    let (price_tenths, calls) = turned_away(&mut keeper, 9_000_000);
    assert!(calls >= 9, "it is still asked about once a second: {calls}");
    assert!(price_tenths <= 25, "{price_tenths} tenths of a call for {calls}");
    keeper.lease_over();
    assert_eq!(keeper.next(9_000_000), EntryStep::Grant, "once it answers, the entry comes back");
}

#[test]
fn pauses_grow_while_writes_fail_though_renewals_are_answered() {
    let mut keeper = kept();
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
            EntryStep::Grant => panic!("the lease holds"),
        }
    }
    assert!(writes <= 18, "{writes} writes in ten seconds");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever failed before, two seconds of a store that answers bring the entry back.
    #[test]
    fn an_entry_is_back_within_two_seconds(faults in prop::collection::vec(0..5u8, 0..40), seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut keeper = kept();
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
        let back_us = now_us;
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
                    // An entry that is there needs nothing but its renewals.
                    if until_us >= now_us + 1_000_000 { break; }
                    now_us = until_us;
                }
            }
        }
        prop_assert!(now_us <= back_us + 2_000_000);
    }
}
