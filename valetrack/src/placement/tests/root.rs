//! Roots of nested calls, derived from the runs in progress beside their entry.

use std::sync::Arc;

use test_case::test_case;

use crate::gate::{AttemptId, StartedRun};
use crate::placement::{Root, RootBasis, RunsInProgress};

const NOW_US: u64 = 10_000_000;

fn attempt(seq: u64) -> AttemptId {
    AttemptId { entry: 1, seq }
}

fn run(seq: u64, priority: u8, left_ms: u64) -> StartedRun {
    StartedRun {
        attempt: attempt(seq),
        route: Arc::from("plate"),
        priority,
        deadline_us: NOW_US + left_ms * 1000,
        objective_end_us: Some(NOW_US + left_ms * 1000 - 1_000),
        repeat_permille: 0,
    }
}

fn runs() -> RunsInProgress {
    let mut runs = RunsInProgress::default();
    runs.began(run(1, 1, 1_900));
    runs.began(run(2, 2, 1_200));
    runs.began(run(3, 0, 700));
    runs
}

const fn root(priority: u8, left_ms: u64, basis: RootBasis) -> Option<Root> {
    Some(Root { priority, left_us: left_ms * 1000, objective_left_us: left_ms * 1000 - 1_000, basis })
}

#[test_case(Some(1_902), root(1, 1_900, RootBasis::Clear); "limit of the first run, read late")]
#[test_case(Some(1_198), root(2, 1_200, RootBasis::Clear); "limit of the second run, rounded down")]
#[test_case(Some(1_000), root(1, 1_900, RootBasis::Urgency); "runs with less time left did not make it")]
#[test_case(Some(500), root(0, 1_900, RootBasis::Urgency); "limit of the route, below all runs")]
#[test_case(Some(5_000), root(0, 1_900, RootBasis::Urgency); "limit above all runs")]
#[test_case(None, root(0, 1_900, RootBasis::Urgency); "no limit")]
fn root_follows_time_limit_or_most_urgent_run(limit_ms: Option<u32>, expected: Option<Root>) {
    assert_eq!(runs().root(limit_ms, NOW_US), expected);
}

#[test]
fn most_urgent_of_several_matching_runs_counts() {
    let mut runs = runs();
    runs.began(run(4, 3, 1_210));
    assert_eq!(runs.root(Some(1_211), NOW_US), root(2, 1_210, RootBasis::Urgency));
}

#[test]
fn ended_runs_do_not_count() {
    let mut runs = runs();
    runs.ended(attempt(3));
    assert_eq!(runs.root(None, NOW_US).map(|root| root.priority), Some(1));
    runs.ended(attempt(1));
    runs.ended(attempt(2));
    // As after a restart of the node, which has lost the answers of the runs before it.
    assert_eq!(runs.root(Some(500), NOW_US), None);
}

/// The run of a nested call has the priority of its own root, so calls two levels deep get it from the same rule.
#[test]
fn rank_passes_on_to_calls_two_levels_deep() {
    let outer = runs().root(Some(1_198), NOW_US).expect("a run in progress");
    let mut deeper = RunsInProgress::default();
    deeper.began(run(9, outer.priority, 450));
    assert_eq!(deeper.root(Some(440), NOW_US).map(|root| root.priority), Some(2));
}
