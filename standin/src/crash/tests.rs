//! The comparison of ways: what it is to show holds in every play.

use test_case::test_case;

use super::{Scenario, Way, play};

#[test_case(30; "a small fleet")]
#[test_case(1_000; "a large fleet")]
fn with_owners_and_store_few_upstreams_crash_and_all_nodes_know_within_half_a_second(nodes: usize) {
    for seed in 0..10 {
        let outcome = play(Scenario { seed, nodes, way: Way::OwnersAndStore });
        assert!(outcome.crashes <= 6, "seed {seed}: {outcome:?}");
        assert!(outcome.all_know_ms < 500, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.false_refusals, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn with_nobody_told_upstreams_crash_on() {
    let told = play(Scenario { seed: 1, nodes: 30, way: Way::Owners });
    let untold = play(Scenario { seed: 1, nodes: 30, way: Way::Nobody });
    assert!(untold.crashes > 3 * told.crashes, "{untold:?} {told:?}");
}
