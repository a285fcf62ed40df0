//! Benchmark of placement and gate in virtual time, against simple models of servers.
//!
//! A run is deterministic for a given seed, so that a figure differs only after a change of the code.

mod report;
mod scenario;
mod server;
mod simulation;
#[cfg(test)]
mod tests;

use std::path::PathBuf;

pub use report::Row;
pub use scenario::{Candidate, SCENARIOS, Scenario, candidates};
pub use simulation::run as run_one;

/// Settings of the bench.
#[derive(Debug, Clone)]
pub struct BenchSettings {
    /// Virtual length of each run.
    pub seconds: u64,
    /// Seed of the random choices.
    pub seed: u64,
    /// File that the plot is written to.
    pub plot: Option<PathBuf>,
    /// Runs only scenarios whose name contains this text.
    pub only: String,
    /// Runs only candidates whose name contains this text.
    pub policy: String,
}

/// Runs every candidate in every scenario and prints a table.
///
/// # Errors
///
/// Returns the reason if the plot could not be written.
pub fn run(settings: &BenchSettings) -> Result<(), String> {
    report::head();
    for scenario in SCENARIOS.iter().filter(|scenario| scenario.name.contains(&settings.only)) {
        let wanted = |candidate: &&Candidate| candidate.name.contains(&settings.policy);
        let candidates = candidates();
        let rows = candidates.iter().filter(wanted);
        let rows: Vec<Row> =
            rows.map(|candidate| run_one(scenario, candidate, settings.seconds, settings.seed)).collect();
        rows.iter().for_each(report::line);
        if let (Some(path), true) = (&settings.plot, scenario.name == "mlekopot 80%") {
            report::plot(path, scenario.name, &rows)?;
        }
    }
    Ok(())
}
