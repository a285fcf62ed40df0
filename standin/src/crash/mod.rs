//! Ways of spreading what is known of calls that crash upstreams, compared in virtual time on the product's own
//! decisions: how many upstreams crash, when everybody knows, and what the news cost.

mod fleet;
#[cfg(test)]
mod tests;
mod way;

pub use fleet::{Outcome, Scenario, play};
pub use way::Way;

/// Sizes of fleets that are compared, in nodes.
const SIZES: [usize; 3] = [30, 195, 1_000];
/// Seeds of each.
const SEEDS: u64 = 20;

/// Prints a row for each way and size.
pub fn compare() {
    println!("way nodes crashes_mean crashes_max owners_know_ms all_know_ms kilobytes false_refusals");
    for nodes in SIZES {
        for way in Way::ALL {
            let plays: Vec<Outcome> = (0..SEEDS).map(|seed| play(Scenario { seed, nodes, way })).collect();
            let mean = |of: &dyn Fn(&Outcome) -> f64| plays.iter().map(of).sum::<f64>() / plays.len() as f64;
            let most = |of: &dyn Fn(&Outcome) -> u64| plays.iter().map(of).max().unwrap_or(0);
            let all = match way.reaches_all() {
                true => most(&|play| play.all_know_ms).to_string(),
                false => "never".to_owned(),
            };
            println!(
                "{} {nodes} {:.1} {} {} {all} {:.1} {}",
                way.as_str(),
                mean(&|play| play.crashes as f64),
                most(&|play| play.crashes),
                most(&|play| play.owners_know_ms),
                mean(&|play| play.bytes as f64 / 1_000.0),
                most(&|play| play.false_refusals)
            );
        }
    }
}
