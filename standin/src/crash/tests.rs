//! Bounds on the compared methods, which hold for every seed.

use test_case::test_case;

use super::{Scenario, SpreadMethod, simulate};

#[test_case(30; "a small fleet")]
#[test_case(1_000; "a large fleet")]
fn owners_and_store_bound_crashes_and_reach_nodes_within_500_ms(nodes: usize) {
    for seed in 0..10 {
        let outcome = simulate(Scenario { seed, nodes, method: SpreadMethod::OwnersAndStore });
        assert!(outcome.crashes <= 6, "seed {seed}: {outcome:?}");
        assert!(outcome.all_informed_ms < 500, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.false_refusals, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn crashes_continue_when_reports_are_not_sent() {
    let with_reports = simulate(Scenario { seed: 1, nodes: 30, method: SpreadMethod::Owners });
    let without_reports = simulate(Scenario { seed: 1, nodes: 30, method: SpreadMethod::Unsent });
    assert!(without_reports.crashes > 3 * with_reports.crashes, "{without_reports:?} {with_reports:?}");
}
