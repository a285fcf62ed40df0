//! Exhaustive breadth-first search of the simulation to a given depth.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use test_case::test_case;

use super::world::{Remaining, Scenario, Simulation, Step};

fn fingerprint(simulation: &Simulation) -> u64 {
    let mut hasher = DefaultHasher::new();
    simulation.hash(&mut hasher);
    hasher.finish()
}

/// Counters of a search.
#[derive(Debug)]
struct Searched {
    states: usize,
    with_run: usize,
}

/// Searches every order of steps up to `depth`.
///
/// # Panics
///
/// Panics with the violation and the number of steps that led to it.
fn search(start: Simulation, depth: usize) -> Searched {
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut frontier = vec![(start, Vec::new())];
    let mut searched = Searched { states: 1, with_run: 0 };
    for _ in 0..depth {
        let mut next = Vec::new();
        for (simulation, path) in &frontier {
            for step in simulation.steps() {
                let mut after = simulation.clone();
                let mut path: Vec<Step> = path.clone();
                path.push(step);
                if let Err(violation) = after.apply(step) {
                    panic!("after {} steps: {violation}: {path:?}", path.len());
                }
                if seen.insert(fingerprint(&after)) {
                    searched.states += 1;
                    searched.with_run += usize::from(after.ran());
                    next.push((after, path));
                }
            }
        }
        frontier = next;
    }
    searched
}

const BASE: Remaining = Remaining {
    keyed_calls: 2,
    pauses: 0,
    kills: 0,
    losses: 0,
    read_failures: 0,
    releases: 0,
    expiries: 0,
    acquires: 0,
    rollbacks: 0,
    rounds: 0,
};
const DURABLE: Scenario = Scenario { keys: 1, held: false, false_suspicion: false };
const HELD: Scenario = Scenario { keys: 1, held: true, false_suspicion: false };
const FALSE_SUSPICION: Scenario = Scenario { keys: 1, held: false, false_suspicion: true };

#[test_case(DURABLE, Remaining { pauses: 1, losses: 1, acquires: 1, ..BASE }, 17; "pause and lost answer")]
#[test_case(DURABLE, Remaining { kills: 1, losses: 1, acquires: 1, ..BASE }, 16; "kill and lost answer")]
#[test_case(DURABLE, Remaining { pauses: 1, kills: 1, ..BASE }, 17; "pause and kill")]
#[test_case(DURABLE, Remaining { losses: 2, read_failures: 1, ..BASE }, 18; "lost answers and failed read")]
#[test_case(DURABLE, Remaining { releases: 1, losses: 1, ..BASE }, 18; "hand-over and lost answer")]
#[test_case(DURABLE, Remaining { expiries: 1, pauses: 1, ..BASE }, 18; "deadline and pause")]
#[test_case(DURABLE, Remaining { keyed_calls: 3, expiries: 1, losses: 1, ..BASE }, 15; "three calls and deadline")]
#[test_case(HELD, Remaining { kills: 1, losses: 1, acquires: 1, ..BASE }, 16; "held claims, kill and lost answer")]
#[test_case(HELD, Remaining { pauses: 1, losses: 1, acquires: 1, ..BASE }, 17; "held claims, pause and lost answer")]
#[test_case(FALSE_SUSPICION, Remaining { losses: 1, ..BASE }, 18; "false suspicion of running homes")]
fn no_order_of_events_violates_at_most_once(scenario: Scenario, remaining: Remaining, depth: usize) {
    let searched = search(Simulation::new(scenario, remaining), depth);
    println!("{searched:?} for {remaining:?}");
    assert!(searched.with_run > 100, "the search reached too few runs: {searched:?}");
}
