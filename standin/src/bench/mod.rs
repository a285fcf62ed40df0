//! The bench: placement and gate in virtual time, against small fakes of servers.
//!
//! Every run is decided by its seed alone, so that a figure that moved was moved by a change.

mod report;
mod scenario;
mod server;
#[cfg(test)]
mod tests;
mod world;

use std::path::PathBuf;

pub use report::Row;
pub use scenario::{Contender, SCENARIOS, Scenario, contenders};
pub use world::run as run_one;

/// Settings of the bench.
#[derive(Debug, Clone)]
pub struct BenchSettings {
    /// Virtual length of each run, in seconds.
    pub seconds: u64,
    /// Seed.
    pub seed: u64,
    /// Where the plot goes.
    pub plot: Option<PathBuf>,
    /// Only scenarios whose name holds this text.
    pub only: String,
    /// Only contenders whose name holds this text.
    pub policy: String,
}

/// Runs every contender in every scenario and prints a table.
///
/// # Errors
///
/// Returns why the plot could not be written.
pub fn run(settings: &BenchSettings) -> Result<(), String> {
    report::head();
    for scenario in SCENARIOS.iter().filter(|scenario| scenario.name.contains(&settings.only)) {
        let wanted = |contender: &&Contender| contender.name.contains(&settings.policy);
        let contenders = contenders();
        let rows = contenders.iter().filter(wanted);
        let rows: Vec<Row> =
            rows.map(|contender| run_one(scenario, contender, settings.seconds, settings.seed)).collect();
        rows.iter().for_each(report::line);
        if let (Some(path), true) = (&settings.plot, scenario.name == "mlekopot 80%") {
            report::plot(path, scenario.name, &rows)?;
        }
    }
    Ok(())
}
