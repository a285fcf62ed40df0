//! Exhaustive search of the world, breadth first, to a stated depth.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use test_case::test_case;

use super::world::{Kind, Left, Step, World};

fn fingerprint(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

/// What a search has seen.
#[derive(Debug)]
struct Searched {
    states: usize,
    with_run: usize,
}

/// Searches every order of steps up to `depth`.
///
/// # Panics
///
/// Panics with the broken promise and the number of steps that led to it.
fn search(start: World, depth: usize) -> Searched {
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut frontier = vec![(start, Vec::new())];
    let mut searched = Searched { states: 1, with_run: 0 };
    for _ in 0..depth {
        let mut next = Vec::new();
        for (world, path) in &frontier {
            for step in world.steps() {
                let mut after = world.clone();
                let mut path: Vec<Step> = path.clone();
                path.push(step);
                if let Err(broken) = after.apply(step) {
                    panic!("after {} steps: {broken}: {path:?}", path.len());
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

const LEFT: Left = Left {
    presses: 2,
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
const TRUTHFUL: Kind = Kind { keys: 1, held: false, wild_silence: false };
const HELD: Kind = Kind { keys: 1, held: true, wild_silence: false };
const WILD: Kind = Kind { keys: 1, held: false, wild_silence: true };

#[test_case(TRUTHFUL, Left { pauses: 1, losses: 1, acquires: 1, ..LEFT }, 17; "a pause and a lost answer")]
#[test_case(TRUTHFUL, Left { kills: 1, losses: 1, acquires: 1, ..LEFT }, 16; "a kill and a lost answer")]
#[test_case(TRUTHFUL, Left { pauses: 1, kills: 1, ..LEFT }, 17; "a pause and a kill")]
#[test_case(TRUTHFUL, Left { losses: 2, read_failures: 1, ..LEFT }, 18; "lost answers and a failed read")]
#[test_case(TRUTHFUL, Left { releases: 1, losses: 1, ..LEFT }, 18; "a hand-over and a lost answer")]
#[test_case(TRUTHFUL, Left { expiries: 1, pauses: 1, ..LEFT }, 18; "a deadline and a pause")]
#[test_case(TRUTHFUL, Left { presses: 3, expiries: 1, losses: 1, ..LEFT }, 15; "three presses and a deadline")]
#[test_case(HELD, Left { kills: 1, losses: 1, acquires: 1, ..LEFT }, 16; "held claims, a kill and a lost answer")]
#[test_case(HELD, Left { pauses: 1, losses: 1, acquires: 1, ..LEFT }, 17; "held claims, a pause and a lost answer")]
#[test_case(WILD, Left { losses: 1, ..LEFT }, 18; "homes wrongly taken for silent")]
fn no_order_of_events_breaks_a_promise(kind: Kind, left: Left, depth: usize) {
    let searched = search(World::new(kind, left), depth);
    println!("{searched:?} for {left:?}");
    assert!(searched.with_run > 100, "the search never got to a run: {searched:?}");
}
