//! A VM that is suspended at any point: its node accounts for the time of the suspension.

use proptest::prelude::*;

use super::at;
use crate::member::{AGE_MAX_US, ChangeLog, EntryKeeper, EntryStep};
use crate::store::{Era, Lease};

/// A lease of the lifetime that the store grants.
const LEASE: Lease = Lease { id: 7, ttl_ms: 8_000, era: Era::new(0) };
/// Longest pause between two renewals of a node.
const RENEWED_US: u64 = 2_000_000;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(38),
        ..Default::default()
    })]

    #[test]
    fn keeper_never_waits_on_a_lease_that_may_have_expired(
        pauses_us in prop::collection::vec(0..1_500_000_u64, 1..20),
        suspended_at in 0..20_usize,
        suspended_us in 0..60_000_000_u64,
    ) {
        let mut keeper = EntryKeeper::default();
        keeper.change();
        keeper.granted(LEASE, 0);
        keeper.wrote(keeper.wanted(), at(5));
        let (mut now_us, mut confirmed_us) = (0, 0);
        for (step, pause_us) in pauses_us.into_iter().enumerate() {
            now_us += pause_us + if step == suspended_at { suspended_us } else { 0 };
            match keeper.next(now_us) {
                // The first step after a suspension calls the store.
                EntryStep::Wait { until_us } => {
                    prop_assert!(now_us < confirmed_us + RENEWED_US && until_us <= confirmed_us + RENEWED_US);
                }
                EntryStep::Renew { lease } => {
                    prop_assert_eq!(lease, LEASE.id);
                    match now_us < confirmed_us + LEASE.ttl_ms * 1000 {
                        true => keeper.renewed(LEASE.era, now_us),
                        false => {
                            keeper.lease_over();
                            prop_assert_eq!(keeper.next(now_us), EntryStep::Grant);
                            keeper.granted(LEASE, now_us);
                            prop_assert!(matches!(keeper.next(now_us), EntryStep::Write { .. }), "rewritten");
                            keeper.wrote(keeper.wanted(), at(9));
                        }
                    }
                    confirmed_us = now_us;
                }
                step => prop_assert!(false, "{:?}", step),
            }
        }
    }

    #[test]
    fn relay_serves_no_stale_log_after_a_suspension(
        confirmed_us in 0..10_000_000_u64,
        suspended_us in 0..30_000_000_u64,
    ) {
        let mut log = ChangeLog::default();
        log.read(&[], at(5), confirmed_us);
        let now_us = confirmed_us + suspended_us;
        let is_current = log.current_until_us().is_some_and(|until_us| now_us < until_us);
        prop_assert_eq!(is_current, suspended_us < AGE_MAX_US);
        prop_assert_eq!(u64::from(log.age_ms(now_us)), suspended_us / 1000);
    }
}
