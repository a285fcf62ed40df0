//! Budgets hold in every window, whatever arrives.

use proptest::prelude::*;

use crate::placement::{RateBudget, ShareBudget};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..Default::default()
    })]

    #[test]
    fn no_window_costs_more_than_its_rate_and_burst(
        rate_per_s in 0..5_000u64,
        burst in 0..5_000u64,
        asks in prop::collection::vec((0..400_000u64, 0..2_000u64, any::<bool>()), 1..120),
    ) {
        let mut budget = RateBudget::new(rate_per_s, burst, 0);
        let mut now_us = 0u64;
        let mut granted: Vec<(u64, u64)> = Vec::new();
        for (pause_us, cost, back) in asks {
            // A clock that goes back for once must earn nothing.
            let asked_us = if back { now_us.saturating_sub(pause_us) } else { now_us + pause_us };
            now_us = now_us.max(asked_us);
            if budget.take(cost, asked_us) {
                granted.push((now_us, cost));
            }
        }
        for (from, &(start_us, _)) in granted.iter().enumerate() {
            let mut cost = 0u128;
            for &(at_us, one) in &granted[from..] {
                cost += u128::from(one);
                let window_us = u128::from(at_us - start_us);
                let allowed = u128::from(rate_per_s) * window_us + u128::from(burst) * 1_000_000;
                prop_assert!(cost * 1_000_000 <= allowed, "{cost} in {window_us} us");
            }
        }
    }

    #[test]
    fn extra_attempts_stay_within_their_share(percent in 0..100u32, calls in 1..3_000u32) {
        let mut budget = ShareBudget::new(percent, 20);
        let mut extra = 0;
        for _ in 0..calls {
            budget.earn();
            extra += u32::from(budget.take());
        }
        prop_assert!(extra <= calls * percent / 100 + 20);
    }
}

#[test]
fn a_new_rate_keeps_no_more_than_the_new_burst() {
    let mut budget = RateBudget::new(1_000, 1_000, 0);
    budget.configure(10, 10, 0);
    assert!(!budget.take(11, 0));
    assert!(budget.take(10, 0));
}
