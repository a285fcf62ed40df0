//! Usual run time of a route, with and without runs.

use crate::placement::WorkEstimate;

#[test]
fn demand_without_runs_is_derived_from_objective() {
    let demand = WorkEstimate::default().demand(600);
    assert_eq!((demand.work_us, demand.left_us), (200_000, 600_000));
}

#[test]
fn first_run_replaces_assumed_time() {
    let mut work = WorkEstimate::default();
    work.ran(50_000);
    assert_eq!(work.demand(600).work_us, 50_000);
}
