//! Budgets hold in every window, in any order of calls and repeats.

use std::sync::Arc;

use proptest::prelude::*;

use crate::placement::{FleetSize, KnownFleet, NestedCalls, NestedRoutes, RateBudget, RetryBudget, RetryGuarantee};

/// Window of the budgets under test.
const WINDOW_US: u64 = 10_000_000;

/// Returns a fleet whose list of members is complete from the start.
const fn whole_fleet(members: u32) -> KnownFleet {
    KnownFleet { members, complete_since_us: Some(0) }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..Default::default()
    })]

    #[test]
    fn no_window_exceeds_rate_and_burst(
        rate_per_s in 0..5_000u64,
        burst in 0..5_000u64,
        asks in prop::collection::vec((0..400_000u64, 0..2_000u64, any::<bool>()), 1..120),
    ) {
        let mut budget = RateBudget::new(rate_per_s, burst, 0);
        let mut now_us = 0u64;
        let mut granted: Vec<(u64, u64)> = Vec::new();
        for (pause_us, cost, back) in asks {
            // A clock that goes back once must not add tokens.
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
    fn repeats_stay_within_share_and_reserve(percent in 0..100u32, calls in 1..3_000u32) {
        let mut budget = RetryBudget::new(percent, 20);
        let mut extra = 0;
        for _ in 0..calls {
            budget.begin(0.0, 0);
            extra += u32::from(budget.take(0));
        }
        prop_assert!(extra <= calls * percent / 100 + 20);
    }

    #[test]
    fn repeats_in_every_window_stay_within_budget(
        percent in 0..100u32,
        reserve in 0..60u32,
        members in 1..20u32,
        steps in prop::collection::vec((0..300_000u64, 0..3u8, 0..4u8), 1..400),
    ) {
        let guarantee = RetryGuarantee { percent, reserve, window_us: WINDOW_US };
        let mut budget = RetryBudget::of_fleet(guarantee, 0);
        budget.configure(guarantee, whole_fleet(members));
        let mut now_us = 0u64;
        let (mut calls, mut repeats) = (Vec::new(), Vec::new());
        for (pause_us, begun, asked) in steps {
            now_us += pause_us;
            for _ in 0..begun {
                budget.begin(0.0, now_us);
                calls.push(now_us);
            }
            let granted = (0..asked).filter(|_| budget.take(now_us)).count();
            repeats.extend(vec![now_us; granted]);
            if granted == 0 {
                continue;
            }
            let lately = |times: &[u64]| times.iter().filter(|&&at_us| at_us + WINDOW_US > now_us).count() as f64;
            let allowed = lately(&calls) * f64::from(percent) / 100.0 + f64::from(reserve) / f64::from(members);
            // Sums of fractions have rounding errors in the last digits.
            prop_assert!(lately(&repeats) <= allowed + 1e-3, "{} of {allowed}", lately(&repeats));
        }
    }
}

#[test]
fn new_rate_keeps_at_most_the_new_burst() {
    let mut budget = RateBudget::new(1_000, 1_000, 0);
    budget.configure(10, 10, 0);
    assert!(!budget.take(11, 0));
    assert!(budget.take(10, 0));
}

#[test]
fn reserve_of_restarted_node_grows_over_one_window() {
    let guarantee = RetryGuarantee { percent: 0, reserve: 100, window_us: WINDOW_US };
    let spent_until = |age_us: u64| {
        let mut budget = RetryBudget::of_fleet(guarantee, 5_000_000);
        budget.configure(guarantee, whole_fleet(10));
        (0..10).filter(|_| budget.take(5_000_000 + age_us)).count()
    };
    assert_eq!([0, WINDOW_US / 2, WINDOW_US, WINDOW_US * 9].map(spent_until), [0, 2, 4, 4]);
}

#[test]
fn new_node_without_known_members_spends_no_reserve() {
    let guarantee = RetryGuarantee { percent: 0, reserve: 100, window_us: WINDOW_US };
    let mut budget = RetryBudget::of_fleet(guarantee, 0);
    budget.configure(guarantee, whole_fleet(1));
    assert!(!budget.take(WINDOW_US - 1));
    assert!(budget.take(WINDOW_US), "a fleet of one node has the whole reserve");
}

#[test]
fn node_with_incomplete_list_spends_no_reserve() {
    let guarantee = RetryGuarantee { percent: 0, reserve: 100, window_us: WINDOW_US };
    let mut budget = RetryBudget::of_fleet(guarantee, 0);
    let mut fleet = FleetSize::default();
    budget.configure(guarantee, fleet.update(3, false, 0));
    assert!(!budget.take(WINDOW_US * 5));
    budget.configure(guarantee, fleet.update(1, true, WINDOW_US * 5));
    assert!(!budget.take(WINDOW_US * 5));
    assert!(budget.take(WINDOW_US * 6), "its part grows from when the list is complete");
}

#[test]
fn unused_repeats_are_not_carried_to_next_window() {
    let mut budget = RetryBudget::new(10, 0);
    (0..100).for_each(|_| budget.begin(0.0, 0));
    assert!(budget.take(WINDOW_US / 2));
    assert!(!budget.take(WINDOW_US * 3 / 2), "calls of an earlier window earn repeats in this one");
}

#[test]
fn calls_of_repeated_runs_are_charged_and_earn_nothing() {
    let mut budget = RetryBudget::new(50, 0);
    (0..8).for_each(|_| budget.begin(0.0, 0));
    (0..3).for_each(|_| budget.begin(1.0, 0));
    assert!(budget.take(0));
    assert!(!budget.take(0));
}

#[test]
fn large_fleet_spends_share_with_fractional_reserve() {
    let guarantee = RetryGuarantee { percent: 20, reserve: 58, window_us: WINDOW_US };
    let mut budget = RetryBudget::of_fleet(guarantee, 0);
    budget.configure(guarantee, whole_fleet(12_000));
    (0..6).for_each(|_| budget.begin(0.0, WINDOW_US));
    assert!(budget.take(WINDOW_US));
    assert!(!budget.take(WINDOW_US));
}

#[test]
fn short_member_loss_does_not_shrink_fleet() {
    let mut fleet = FleetSize::default();
    let known = [(1, 0), (13, 200_000), (2, 10_000_000), (13, 30_000_000), (5, 40_000_000), (5, 101_000_000)];
    let shared: Vec<u32> =
        known.into_iter().map(|(members, at_us)| fleet.update(members, true, at_us).members).collect();
    assert_eq!(shared, [1, 13, 13, 13, 13, 5]);
}

#[test]
fn retry_budget_size_matches_capacity_page() {
    assert_eq!(size_of::<RetryBudget>(), 256);
}

/// Guards against repeated runs that are admitted since the calls that runs make were forgotten with a service or a route.
#[test]
fn nested_calls_count_after_removal_of_service() {
    let (service, route) = (Arc::from("ledger"), Arc::from("check"));
    let (mut calls, mut routes) = (NestedCalls::default(), NestedRoutes::default());
    routes.insert(&route);
    for run in 0..20 {
        calls.run_began(0, run * 10_000);
        calls.record_call(&service, run * 10_000);
        calls.run_ended(0);
    }
    calls.retain(|_| false, 300_000);
    routes.retain(|_| false, 300_000);
    assert!(!calls.admits_repeat(|_| 0.0, 600_000), "no repeat is left");
    assert!(routes.contains(&route));
    routes.retain(|_| false, WINDOW_US + 300_000);
    assert!(!routes.contains(&route), "its calls no longer count");
}
