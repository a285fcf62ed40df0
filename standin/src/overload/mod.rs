//! A fleet under more load than it can carry, in virtual time: the product's own entries and gates
//! against upstreams that swing, start cold, slow down when nearly full and call each other, with
//! callers that come back when they are told to.
//!
//! Every run is decided by its seed alone. It reports what callers get, window by window, since the
//! worst seconds of a day are those that they remember.

mod fleet;
mod report;
#[cfg(test)]
mod tests;
mod upstream;
mod world;

pub use fleet::{Fleet, LARGE, LOADS, Load, ROUNDS, ROUNDS_LOADS, RouteShape, ServiceShape};
pub use report::{Report, Window};
pub use world::run;

/// Plays every load on its fleet and prints what callers get.
pub fn print(seconds: u64, seed: u64, only: &str) {
    for (fleet, name, loads) in [(&LARGE, "large", LOADS), (&ROUNDS, "rounds", ROUNDS_LOADS)] {
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
    for (route, got) in fleet.routes.iter().zip(&report.routes) {
        println!("  {}: {got}", route.name);
    }
}
