//! Comparison of methods by which a fleet recovers from a store rollback, in virtual time and with the product's own
//! decisions: the time until all entries are restored and all nodes have read them, the load on the store, and the live
//! nodes that are considered dead meanwhile.

mod fleet;
mod store;
#[cfg(test)]
mod tests;

pub use fleet::{Outcome, RecoveryMethod, Scenario, simulate};
pub use store::{Lost, Rates};

/// Compared sizes of fleets, in nodes, with the rate limits of their store.
const SIZES: [(usize, Rates); 3] = [
    (30, Rates { writes_per_s: 400, reads_per_s: 2_000 }),
    (195, Rates { writes_per_s: 3_200, reads_per_s: 16_000 }),
    (1_000, Rates { writes_per_s: 3_200, reads_per_s: 16_000 }),
];
/// Number of seeds per size, method and copy.
const SEEDS: u64 = 20;

/// Prints a row for each method, size and copy.
pub fn compare() {
    println!("method lost nodes restored_ms all_read_ms writes reads reduced_cost refused declared_dead");
    for lost in Lost::ALL {
        for (nodes, rates) in SIZES {
            for method in RecoveryMethod::ALL {
                let outcomes: Vec<Outcome> =
                    (0..SEEDS).map(|seed| simulate(Scenario { seed, nodes, rates, lost, method })).collect();
                let most = |of: &dyn Fn(&Outcome) -> u64| outcomes.iter().map(of).max().unwrap_or(0);
                let mean = |of: &dyn Fn(&Outcome) -> u64| outcomes.iter().map(of).sum::<u64>() / SEEDS;
                println!(
                    "{} {} {nodes} {} {} {} {} {} {} {}",
                    method.as_str(),
                    lost.as_str(),
                    most(&|outcome| outcome.restored_ms),
                    most(&|outcome| outcome.all_read_ms),
                    mean(&|outcome| outcome.writes),
                    mean(&|outcome| outcome.reads),
                    mean(&|outcome| outcome.reduced_cost),
                    mean(&|outcome| outcome.refused),
                    most(&|outcome| outcome.declared_dead)
                );
            }
        }
    }
}
