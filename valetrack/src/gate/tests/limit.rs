//! The limit under a server's slots, learned from its runs.

use proptest::prelude::*;
use test_case::test_case;

use crate::gate::ConcurrencyLimit;

/// A moment between two tries with all slots, in microseconds.
const BETWEEN_US: u64 = 2_000_000;

/// Feeds runs of a server that takes `knee_factor` times as long above eight tenths of its slots.
fn fed(slots: u16, knee_factor: f64, runs: u32) -> ConcurrencyLimit {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut limit = ConcurrencyLimit::default();
    for _ in 0..runs {
        let busy = rng.u16(1..=slots);
        let knee = if busy * 10 > slots * 8 { knee_factor } else { 1.0 };
        // A quarter of the runs meets a machine at a quarter of its speed.
        let noise = if rng.u8(0..4) == 0 { 4.0 } else { 0.7 + rng.f64() * 0.6 };
        limit.ran(knee * noise, busy, slots);
    }
    limit
}

#[test_case(12, 1.7, 4_000, 9; "twelve slots with a knee")]
#[test_case(6, 1.7, 4_000, 4; "six slots with a knee")]
#[test_case(12, 1.0, 4_000, 12; "twelve slots without one")]
#[test_case(12, 1.0, 10, 9; "a server of which little is known")]
#[test_case(4, 1.7, 4_000, 4; "too few slots to leave one free")]
fn slots_that_slow_the_others_are_left_free(slots: u16, knee_factor: f64, runs: u32, expected: u16) {
    assert_eq!(fed(slots, knee_factor, runs).limit(slots, BETWEEN_US), expected);
}

#[test]
fn all_slots_are_tried_now_and_then() {
    let limit = fed(12, 1.7, 4_000);
    let full = (0..40).filter(|tenth| limit.limit(12, tenth * 100_000) == 12).count();
    assert_eq!(full, 4, "a tenth of the time");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the runs say, most of the slots are used and never more than all.
    #[test]
    fn the_limit_stays_in_its_bounds(
        runs in prop::collection::vec((0.0..50.0f64, 0..40u16), 0..400),
        slots in 1..40u16,
        now_us: u64,
    ) {
        let mut limit = ConcurrencyLimit::default();
        for (factor, busy) in runs {
            limit.ran(factor, busy, slots);
        }
        let limit = limit.limit(slots, now_us);
        prop_assert!(u32::from(limit) * 5 >= u32::from(slots) * 4 - 4 && limit <= slots && limit > 0);
    }
}
