//! The comparison of ways: what it is to show holds in every play.

use test_case::test_case;

use super::{Lost, Rates, Scenario, Way, play};

const SMALL: Rates = Rates { writes_per_s: 400, reads_per_s: 2_000 };
const LARGE: Rates = Rates { writes_per_s: 3_200, reads_per_s: 16_000 };
/// Time within which lapsed entries are back, in milliseconds.
const BACK_MS: u64 = 2_000;

#[test_case(30, SMALL, Lost::Latest)]
#[test_case(30, SMALL, Lost::Leases)]
#[test_case(195, LARGE, Lost::Latest)]
#[test_case(195, LARGE, Lost::Leases)]
#[test_case(1_000, LARGE, Lost::Latest)]
#[test_case(1_000, LARGE, Lost::Leases)]
fn with_relays_and_kept_leases_entries_are_back_in_time_and_nobody_is_taken_for_gone(
    nodes: usize,
    rates: Rates,
    lost: Lost,
) {
    for seed in 0..10 {
        let outcome = play(Scenario { seed, nodes, rates, lost, way: Way::RelaysKeep });
        assert!(outcome.back_ms <= BACK_MS, "seed {seed}: {outcome:?}");
        assert!(outcome.agree_ms > 0 && outcome.agree_ms <= BACK_MS + 500, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.gone, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn entries_that_the_copy_holds_cost_no_write() {
    let way = |way| play(Scenario { seed: 1, nodes: 195, rates: LARGE, lost: Lost::Latest, way });
    let (kept, anew) = (way(Way::RelaysKeep), way(Way::Relays));
    assert!(kept.writes * 5 < anew.writes, "{kept:?} {anew:?}");
}

/// Returns after how many rounds all of `nodes` nodes know what one knew, where each asks three others a round, and
/// of two that talk the one that knows tells the other.
fn rounds_until_all_know(nodes: usize, seed: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut knows = vec![false; nodes];
    knows[0] = true;
    let mut rounds = 0;
    while !knows.iter().all(|knows| *knows) {
        let before = knows.clone();
        for asker in 0..nodes {
            for asked in rng.choose_multiple((0..nodes).filter(|other| *other != asker), 3) {
                knows[asked] |= before[asker];
                knows[asker] |= before[asked];
            }
        }
        rounds += 1;
    }
    rounds
}

#[test_case(13, 3)]
#[test_case(195, 5)]
#[test_case(1_000, 5)]
fn what_one_node_knows_is_known_to_all_after_a_few_rounds_of_three_questions(nodes: usize, rounds_max: usize) {
    let rounds: Vec<usize> = (0..20).map(|seed| rounds_until_all_know(nodes, seed)).collect();
    assert!(rounds.iter().all(|rounds| *rounds <= rounds_max), "{rounds:?}");
}
