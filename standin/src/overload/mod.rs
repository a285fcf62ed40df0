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

pub use fleet::{Fleet, LOADS, Load, RouteShape, ServiceShape};
pub use report::{Report, Window};
pub use world::run;

/// Plays every load on the large fleet and prints what callers get.
pub fn print(seconds: u64, seed: u64, only: &str) {
    for load in LOADS.iter().filter(|load| load.name.contains(only)) {
        let report = run(&fleet::LARGE, load, seconds, seed);
        println!("{}", report.line(load.name));
        report.windows.iter().for_each(|window| println!("  {window}"));
        for (route, got) in fleet::LARGE.routes.iter().zip(&report.routes) {
            println!("  {}: {got}", route.name);
        }
    }
}
