//! Bounds on the outcomes of callers under loads that exceed the fleet's capacity.
//!
//! The figures in the comments are measured with seed 1: without the rule that a test guards, and with it.

use super::fleet::{LARGE, ROUNDS, ROUNDS_LOADS};
use super::{Fleet, LOADS, Load, RegionShape, Report, TWO_REGIONS, TWO_REGIONS_LOADS, UNKNOWN_REGIONS, Window, run};

const SEED: u64 = 1;

fn run_large(name: &str, seconds: u64) -> Report {
    let load: &Load = LOADS.iter().find(|load| load.name == name).expect("a load of that name");
    run(&LARGE, load, seconds, SEED)
}

#[test]
fn run_is_deterministic_per_seed() {
    assert_eq!(run_large("steady", 2).windows, run_large("steady", 2).windows);
}

#[test]
fn outcome_counts_add_up_to_callers() {
    let report = run_large("burst", 8);
    let by_route: u64 = report.routes.iter().map(|route| route.callers).sum();
    let Window { callers, in_time, late, refused, failed, .. } = report.total();
    assert_eq!(by_route, callers);
    assert_eq!(in_time + late + refused + failed, callers);
}

#[test]
fn fleet_within_capacity_serves_callers_within_objective() {
    let total = run_large("steady", 6).total();
    assert!(total.utility_share() >= 0.98, "{total}");
}

/// All upstreams are cold under the full load, as after a power loss. While the machines of cold upstreams
/// were treated as slow, the two worst windows reached 0.583 of their utility; now they reach 0.64.
#[test]
fn cold_fleet_under_load_uses_all_upstreams() {
    let report = run_large("cold start", 8);
    assert!(report.worst_share() >= 0.62, "{}", report.line("cold start"));
}

/// The load is 1.8 times the usual one for three seconds, with a fifth of the upstreams absent. When refused
/// callers were told to retry within a second, 1,355 of 16,400 callers were served late, most of them on
/// their retry; now 972 are (three seeds), and the share of utility is 0.861 instead of 0.850.
#[test]
fn retries_in_burst_are_on_time_or_leave_capacity() {
    let report = run_large("burst", 14);
    let total = report.total();
    assert!(total.late <= 1_150, "{}", report.line("burst"));
    assert!(total.utility_share() >= 0.85, "{}", report.line("burst"));
}

/// The same load. When placement assigned no cost to opening a link to another failure domain, 2,088 of them
/// were opened; now 1,341 are.
#[test]
fn cross_domain_calls_reuse_open_links() {
    let report = run_large("burst", 14);
    assert!(report.cross_domain_links <= 1_700, "{}", report.line("burst"));
}

/// After a power loss the full load returns at once, and cold upstreams crash above a limit of calls in a
/// second. Without a bound on the calls that they receive, they crash repeatedly, and the service with the
/// most calls per upstream has not recovered at the end of the run.
#[test]
fn service_recovers_when_overloaded_cold_upstreams_crash() {
    let load = rounds_load("cold start");
    let report = run(&ROUNDS, load, RECOVERY_S, SEED);
    assert_eq!(report.crashes, 0, "{}", report.line(load.name));
    let last = report.windows.last().expect("a window");
    assert!(last.utility_share() >= 0.95, "{}", report.line(load.name));
}

/// Checks that the conditions of the test above fail for a fleet without the bound.
#[test]
fn unbounded_cold_starts_keep_crashing_upstreams() {
    let load = rounds_load("cold start");
    let unbounded = Fleet { cold_starts_per_s: None, ..ROUNDS };
    let report = run(&unbounded, load, RECOVERY_S, SEED);
    assert!(report.crashes > 20, "{}", report.line(load.name));
    let last = report.windows.last().expect("a window");
    assert!(last.utility_share() < 0.95, "{}", report.line(load.name));
}

/// Time within which a fleet has to serve all its callers after a power loss: the three seconds in which its
/// upstreams are cold, and as long again to recover.
const RECOVERY_S: u64 = 8;

fn rounds_load(name: &str) -> &'static Load {
    ROUNDS_LOADS.iter().find(|load| load.name == name).expect("a load of that name")
}

/// Runs the load of an overloaded first region on a fleet of two regions.
fn run_regions(fleet: &Fleet, per_s: u64) -> Report {
    let load = TWO_REGIONS_LOADS.last().expect("a load");
    run(fleet, &Load { per_s, ..*load }, 10, SEED)
}

#[test]
#[ignore = "exploration"]
fn explore() {
    let alone = Fleet { regions: RegionShape { partition_s: (0, 100), ..TWO_REGIONS.regions }, ..TWO_REGIONS };
    let narrow = Fleet { regions: RegionShape { link_bytes_per_s: 60_000, ..TWO_REGIONS.regions }, ..TWO_REGIONS };
    let narrow_unknown = Fleet { regions: RegionShape { is_known: false, ..narrow.regions }, ..TWO_REGIONS };
    let cut = Fleet { regions: RegionShape { partition_s: (4, 7), ..TWO_REGIONS.regions }, ..TWO_REGIONS };
    let cut_unknown = Fleet { regions: RegionShape { is_known: false, ..cut.regions }, ..TWO_REGIONS };
    for per_s in [300, 400, 460, 520, 600, 700, 800] {
        for (fleet, name) in [(&TWO_REGIONS, "known"), (&UNKNOWN_REGIONS, "unknown"), (&alone, "alone"), (&narrow, "narrow"), (&narrow_unknown, "narrow unknown"), (&cut, "cut"), (&cut_unknown, "cut unknown")] {
            let report = run_regions(fleet, per_s);
            println!("{}", report.line(&format!("{name} {per_s}")));
        }
    }
}
