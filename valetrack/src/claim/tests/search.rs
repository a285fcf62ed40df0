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

    /// The store names no eras here, so that a home cannot know that its claim is lost, nor another node that the
    /// page which it reads is from before that claim.
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
}
