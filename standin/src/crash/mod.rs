//! Comparison of methods that spread reports of calls that crash upstreams, in virtual time and with the product's own
//! decisions: the number of crashes, the time until all nodes have the reports, and the bytes that the reports cost.

mod fleet;
mod spread_method;
#[cfg(test)]
mod tests;

pub use fleet::{Outcome, Scenario, simulate};
pub use spread_method::SpreadMethod;

/// Compared sizes of fleets, in nodes.
const SIZES: [usize; 3] = [30, 195, 1_000];
/// Number of seeds per size and method.
const SEEDS: u64 = 20;

/// Prints a row for each method and size.
pub fn compare() {
    println!("method nodes crashes_mean crashes_max owners_informed_ms all_informed_ms kilobytes false_refusals");
    for nodes in SIZES {
        for method in SpreadMethod::ALL {
            let outcomes: Vec<Outcome> = (0..SEEDS).map(|seed| simulate(Scenario { seed, nodes, method })).collect();
            let mean = |of: &dyn Fn(&Outcome) -> f64| outcomes.iter().map(of).sum::<f64>() / outcomes.len() as f64;
            let most = |of: &dyn Fn(&Outcome) -> u64| outcomes.iter().map(of).max().unwrap_or(0);
            let all = match method.reaches_all() {
                true => most(&|outcome| outcome.all_informed_ms).to_string(),
                false => "never".to_owned(),
            };
            println!(
                "{} {nodes} {:.1} {} {} {all} {:.1} {}",
                method.as_str(),
                mean(&|outcome| outcome.crashes as f64),
                most(&|outcome| outcome.crashes),
                most(&|outcome| outcome.owners_informed_ms),
                mean(&|outcome| outcome.bytes as f64 / 1_000.0),
                most(&|outcome| outcome.false_refusals)
            );
        }
    }
}
