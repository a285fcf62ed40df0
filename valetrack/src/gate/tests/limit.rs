//! Concurrency limit below a server's slots, learned from its runs.

use proptest::prelude::*;
use test_case::test_case;

use crate::gate::ConcurrencyLimit;

/// Time between two probes with all slots.
const BETWEEN_PROBES_US: u64 = 2_000_000;

/// Returns the limit learned from runs of a server that takes `knee_factor` times as long with more than 80 % of its
/// slots in use.
fn limit_after_runs(slots: u16, knee_factor: f64, runs: u32) -> ConcurrencyLimit {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut limit = ConcurrencyLimit::default();
    for _ in 0..runs {
        let busy = rng.u16(1..=slots);
        let knee = if busy * 10 > slots * 8 { knee_factor } else { 1.0 };
        // A quarter of the runs is slowed four times.
        let noise = if rng.u8(0..4) == 0 { 4.0 } else { 0.7 + rng.f64() * 0.6 };
        limit.record_run(knee * noise, busy, slots);
    }
    limit
}

#[test_case(12, 1.7, 4_000, 9; "twelve slots with a knee")]
#[test_case(6, 1.7, 4_000, 4; "six slots with a knee")]
#[test_case(12, 1.0, 4_000, 12; "twelve slots without a knee")]
#[test_case(12, 1.0, 10, 9; "a server with few runs")]
#[test_case(4, 1.7, 4_000, 4; "too few slots to leave one free")]
fn limit_leaves_slots_free_only_if_full_server_is_slower(slots: u16, knee_factor: f64, runs: u32, expected: u16) {
    assert_eq!(limit_after_runs(slots, knee_factor, runs).limit(slots, BETWEEN_PROBES_US), expected);
}

#[test]
fn probes_use_all_slots_a_tenth_of_the_time() {
    let limit = limit_after_runs(12, 1.7, 4_000);
    let full = (0..40).filter(|tenth| limit.limit(12, tenth * 100_000) == 12).count();
    assert_eq!(full, 4, "a tenth of the time");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// For any runs, the limit stays between four fifths of the slots and all of them.
    #[test]
    fn limit_stays_within_bounds(
        runs in prop::collection::vec((0.0..50.0f64, 0..40u16), 0..400),
        slots in 1..40u16,
        now_us: u64,
    ) {
        let mut limit = ConcurrencyLimit::default();
        for (factor, busy) in runs {
            limit.record_run(factor, busy, slots);
        }
        let limit = limit.limit(slots, now_us);
        prop_assert!(u32::from(limit) * 5 >= u32::from(slots) * 4 - 4 && limit <= slots && limit > 0);
    }
}
