//! Random walks of the world: far longer than the exhaustive search, with more trouble at once.

use proptest::prelude::*;

use super::world::{Kind, Left, World};

const STEPS: usize = 120;

fn walk(kind: Kind, left: Left, choices: &[u32]) -> Result<World, TestCaseError> {
    let mut world = World::new(kind, left);
    let mut taken = Vec::new();
    for &choice in choices {
        let steps = world.steps();
        let Some(&step) = steps.get(choice as usize % steps.len().max(1)) else {
            break;
        };
        taken.push(step);
        if let Err(broken) = world.apply(step) {
            return Err(TestCaseError::fail(format!("{broken} after {taken:#?}")));
        }
    }
    Ok(world)
}

fn left() -> impl Strategy<Value = Left> {
    (1..12u8, 0..4u8, 0..4u8, 0..6u8, 0..4u8, 0..2u8, 0..4u8, 0..3u8).prop_map(
        |(presses, pauses, kills, losses, read_failures, releases, expiries, acquires)| Left {
            presses,
            pauses,
            kills,
            losses,
            read_failures,
            releases,
            expiries,
            acquires,
            rollbacks: 0,
            rounds: 0,
        },
    )
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..Default::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn durable_claims_hold_in_any_walk(
        left in left(),
        keys in 1..4u8,
        choices in prop::collection::vec(any::<u32>(), STEPS),
    ) {
        walk(Kind { keys, held: false, wild_silence: false }, left, &choices)?;
    }

    #[test]
    fn held_claims_hold_in_any_walk(
        left in left(),
        keys in 1..4u8,
        choices in prop::collection::vec(any::<u32>(), STEPS),
    ) {
        walk(Kind { keys, held: true, wild_silence: false }, left, &choices)?;
    }

    /// A key ran twice. The store came back from a copy that lacked the key's claim; another node took the page over as the
    /// copy had it, or wrote on a revision that the store had given out again, and the key was new to it, though a home
    /// lived that had run it. On real nodes both runs show: `claim.run` of one page at two nodes, 17 of 60 keys.
    ///
    /// The store names no eras here. A return breaks the connections of all nodes, and that is what their positions count:
    /// a write on what was read before the return is not made, and a page from before it is no proof that a key is new.
    #[test]
    fn claims_hold_while_the_store_comes_back_older_and_homes_live(
        left in left(),
        keys in 1..4u8,
        choices in prop::collection::vec(any::<u32>(), STEPS),
    ) {
        let left = Left { kills: 0, rollbacks: 2, ..left };
        walk(Kind { keys, held: false, wild_silence: true }, left, &choices)?;
    }

    #[test]
    fn runs_happen_at_most_once_even_when_time_lies(
        left in left(),
        keys in 1..4u8,
        choices in prop::collection::vec(any::<u32>(), STEPS),
    ) {
        walk(Kind { keys, held: false, wild_silence: true }, left, &choices)?;
    }

    /// As above, but nodes hear what the others know, so that pages become whole again.
    #[test]
    fn claims_hold_while_nodes_tell_what_the_store_has_lost(
        left in left(),
        keys in 1..4u8,
        held in any::<bool>(),
        rounds in 1..6u8,
        choices in prop::collection::vec(any::<u32>(), STEPS),
    ) {
        let left = Left { kills: 0, rollbacks: 2, rounds, ..left };
        walk(Kind { keys, held, wild_silence: true }, left, &choices)?;
    }

    /// Nodes are killed as well: whoever is over tells nothing any more.
    #[test]
    fn claims_hold_while_nodes_are_killed_and_the_store_comes_back_older(
        left in left(),
        keys in 1..4u8,
        held in any::<bool>(),
        rounds in 0..6u8,
        choices in prop::collection::vec(any::<u32>(), STEPS),
    ) {
        let left = Left { rollbacks: 2, rounds, ..left };
        walk(Kind { keys, held, wild_silence: true }, left, &choices)?;
    }
}
