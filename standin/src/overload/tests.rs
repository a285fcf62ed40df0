//! Bounds on the outcomes of callers under loads that exceed the fleet's capacity.
//!
//! The figures in the comments are measured with seed 1: without the rule that a test guards, and with it.

use super::fleet::{LARGE, ROUNDS, ROUNDS_LOADS};
use super::{
    Fleet, LOADS, Load, NARROW_LINK, PARTITIONED, RegionShape, Report, TWO_REGIONS, TWO_REGIONS_LOADS, UNKNOWN_REGIONS,
    Window, run,
};

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

/// Runs the load under which the first region has 1.5 times the calls that it can serve.
fn run_regions(regions: RegionShape) -> Report {
    let load = TWO_REGIONS_LOADS.last().expect("a load");
    run(&Fleet { regions, ..TWO_REGIONS }, load, 10, SEED)
}

/// Guards against rejections in a full region while the other one has room. Entries without regions reject 943 callers
/// and reach 0.841 of the utility with 4,275 kB between regions; with regions 48 callers, 0.965 and 3,503 kB.
#[test]
fn overloaded_region_is_relieved_by_the_other() {
    let known = run_regions(TWO_REGIONS.regions);
    let unknown = run_regions(UNKNOWN_REGIONS.regions);
    assert!(known.total().utility_share() >= 0.95, "{}", known.line("known"));
    assert!(known.total().refused <= 100, "{}", known.line("known"));
    assert!(unknown.total().utility_share() <= 0.86, "{}", unknown.line("unknown"));
    assert!(known.region_bytes <= unknown.region_bytes, "{}", known.line("known"));
}

/// Guards against calls that cross to another region only to save some milliseconds.
#[test]
fn regions_within_capacity_keep_their_calls() {
    let load = &TWO_REGIONS_LOADS[0];
    let (known, unknown) = (run(&TWO_REGIONS, load, 10, SEED), run(&UNKNOWN_REGIONS, load, 10, SEED));
    assert!(known.region_bytes * 5 <= unknown.region_bytes, "{}", known.line("known"));
    assert!(known.total().utility_share() >= unknown.total().utility_share() - 0.005, "{}", known.line("known"));
}

/// The link has 0.5 Mbit/s, of which entries know only the growth of round trips. Guards against calls that wait for
/// the link: entries without regions reach 0.755 of the utility, regions without a link 0.827, and entries with regions
/// 0.837.
#[test]
fn full_link_leaves_regions_no_worse_than_alone() {
    let narrow = NARROW_LINK.regions;
    let known = run_regions(narrow);
    let unknown = run_regions(RegionShape { is_known: false, ..narrow });
    let alone = run_regions(RegionShape { partition_s: (0, 100), ..TWO_REGIONS.regions });
    let share = |report: &Report| report.total().utility_share();
    assert!(share(&known) >= share(&alone) - 0.01, "{}", known.line("known"));
    assert!(share(&known) >= share(&unknown) + 0.05, "{}", unknown.line("unknown"));
}

/// The regions are partitioned from 4 s to 7 s. Guards against calls that wait for nodes that they cannot reach: each
/// region serves as much as without the other one, and the relief returns after the partition.
#[test]
fn partitioned_regions_serve_alone_and_recover() {
    let cut = run_regions(PARTITIONED.regions);
    let alone = run_regions(RegionShape { partition_s: (0, 100), ..TWO_REGIONS.regions });
    // The window from 4 s to 6 s lies within the partition, and that from 8 s to 10 s behind it.
    let share = |report: &Report, window: usize| report.windows[window].utility_share();
    assert!(share(&cut, 2) >= share(&alone, 2) - 0.03, "{}", cut.windows[2]);
    assert!(share(&cut, 4) >= 0.94, "{}", cut.windows[4]);
    assert!(cut.total().failed <= 80, "{}", cut.line("cut"));
}
