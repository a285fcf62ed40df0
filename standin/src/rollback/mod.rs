//! Ways in which a fleet gets whole again after its store has come back older, compared in virtual time on the product's
//! own decisions: when all entries are back and all nodes have read them, what it costs the store, and which nodes
//! that live are taken for gone meanwhile.

mod fleet;
mod store;
#[cfg(test)]
mod tests;

pub use fleet::{Outcome, Scenario, Way, play};
pub use store::{Lost, Rates};

/// Sizes of fleets that are compared, in nodes, with what their store takes.
const SIZES: [(usize, Rates); 3] = [
    (30, Rates { writes_per_s: 400, reads_per_s: 2_000 }),
    (195, Rates { writes_per_s: 3_200, reads_per_s: 16_000 }),
    (1_000, Rates { writes_per_s: 3_200, reads_per_s: 16_000 }),
];
/// Seeds of each.
const SEEDS: u64 = 20;

/// Prints a row for each way, size and copy.
pub fn compare() {
    println!("way lost nodes back_ms agree_ms writes reads cheap refused gone");
    for lost in Lost::ALL {
        for (nodes, rates) in SIZES {
            for way in Way::ALL {
                let plays: Vec<Outcome> =
                    (0..SEEDS).map(|seed| play(Scenario { seed, nodes, rates, lost, way })).collect();
                let most = |of: &dyn Fn(&Outcome) -> u64| plays.iter().map(of).max().unwrap_or(0);
                let mean = |of: &dyn Fn(&Outcome) -> u64| plays.iter().map(of).sum::<u64>() / SEEDS;
                println!(
                    "{} {} {nodes} {} {} {} {} {} {} {}",
                    way.as_str(),
                    lost.as_str(),
                    most(&|play| play.back_ms),
                    most(&|play| play.agree_ms),
                    mean(&|play| play.writes),
                    mean(&|play| play.reads),
                    mean(&|play| play.cheap),
                    mean(&|play| play.refused),
                    most(&|play| play.gone)
                );
            }
        }
    }
}
