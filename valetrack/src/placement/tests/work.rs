//! What the runs of a route make of its usual time.

use crate::placement::WorkEstimate;

#[test]
fn a_route_without_a_run_is_weighed_by_its_objective() {
    let demand = WorkEstimate::default().demand(600);
    assert_eq!((demand.work_us, demand.left_us), (200_000, 600_000));
}

#[test]
fn the_first_run_replaces_the_guess() {
    let mut work = WorkEstimate::default();
    work.ran(50_000);
    assert_eq!(work.demand(600).work_us, 50_000);
}
