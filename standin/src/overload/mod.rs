//! Simulation of an overloaded fleet in virtual time: the product's own entries and gates run against
//! upstreams that vary in speed, start cold, slow down when nearly full and call each other, with callers
//! that retry when a refusal says so.
//!
//! A run is deterministic for a given seed. It reports the outcomes of callers per window, because a total
//! would hide the worst seconds of a run.

mod fleet;
mod report;
mod simulation;
#[cfg(test)]
mod tests;
mod upstream;

pub use fleet::{
    Fleet, LARGE, LOADS, Load, NARROW_LINK, PARTITIONED, ROUNDS, ROUNDS_LOADS, RegionShape, RouteShape, ServiceShape,
    TWO_REGIONS, TWO_REGIONS_LOADS, UNKNOWN_REGIONS,
};
pub use report::{Report, Window};
pub use simulation::run;

/// Runs every load on its fleet and prints the outcomes of the callers.
pub fn print(seconds: u64, seed: u64, only: &str) {
    let fleets = [
        (&LARGE, "large", LOADS),
        (&ROUNDS, "rounds", ROUNDS_LOADS),
        (&TWO_REGIONS, "two regions", TWO_REGIONS_LOADS),
        (&UNKNOWN_REGIONS, "unknown regions", TWO_REGIONS_LOADS),
        (&NARROW_LINK, "narrow link", TWO_REGIONS_LOADS),
        (&PARTITIONED, "partitioned regions", TWO_REGIONS_LOADS),
    ];
    for (fleet, name, loads) in fleets {
        for load in loads {
            let title = format!("{name} {}", load.name);
            if title.contains(only) {
                print_run(fleet, load, &title, seconds, seed);
            }
        }
    }
}

fn print_run(fleet: &Fleet, load: &Load, title: &str, seconds: u64, seed: u64) {
    let report = run(fleet, load, seconds, seed);
    println!("{}", report.line(title));
    report.windows.iter().for_each(|window| println!("  {window}"));
    for (route, outcome) in fleet.routes.iter().zip(&report.routes) {
        println!("  {}: {outcome}", route.name);
    }
}
