//! Bounds on the compared methods, which hold for every seed.

use test_case::test_case;

use super::{Lost, Rates, RecoveryMethod, Scenario, simulate};

const SMALL: Rates = Rates { writes_per_s: 400, reads_per_s: 2_000 };
const LARGE: Rates = Rates { writes_per_s: 3_200, reads_per_s: 16_000 };
/// Time within which missing entries have to be restored.
const RESTORE_MAX_MS: u64 = 2_000;

#[test_case(30, SMALL, Lost::Latest)]
#[test_case(30, SMALL, Lost::Leases)]
#[test_case(195, LARGE, Lost::Latest)]
#[test_case(195, LARGE, Lost::Leases)]
#[test_case(1_000, LARGE, Lost::Latest)]
#[test_case(1_000, LARGE, Lost::Leases)]
fn relays_keep_restores_entries_without_declaring_nodes_dead(nodes: usize, rates: Rates, lost: Lost) {
    for seed in 0..10 {
        let outcome = simulate(Scenario { seed, nodes, rates, lost, method: RecoveryMethod::RelaysKeep });
        assert!(outcome.restored_ms <= RESTORE_MAX_MS, "seed {seed}: {outcome:?}");
        assert!(outcome.all_read_ms > 0 && outcome.all_read_ms <= RESTORE_MAX_MS + 500, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.declared_dead, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn entries_in_copy_cost_no_write() {
    let run = |method| simulate(Scenario { seed: 1, nodes: 195, rates: LARGE, lost: Lost::Latest, method });
    let (kept, rewritten) = (run(RecoveryMethod::RelaysKeep), run(RecoveryMethod::Relays));
    assert!(kept.writes * 5 < rewritten.writes, "{kept:?} {rewritten:?}");
}

/// Returns the number of rounds until information of one node has reached all `nodes` nodes, where each node exchanges
/// with three random others per round and information passes in both directions.
fn rounds_until_all_informed(nodes: usize, seed: u64) -> usize {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut informed = vec![false; nodes];
    informed[0] = true;
    let mut rounds = 0;
    while !informed.iter().all(|informed| *informed) {
        let before = informed.clone();
        for asker in 0..nodes {
            for asked in rng.choose_multiple((0..nodes).filter(|other| *other != asker), 3) {
                informed[asked] |= before[asker];
                informed[asker] |= before[asked];
            }
        }
        rounds += 1;
    }
    rounds
}

#[test_case(13, 3)]
#[test_case(195, 5)]
#[test_case(1_000, 5)]
fn information_reaches_all_nodes_within_few_rounds(nodes: usize, rounds_max: usize) {
    let rounds: Vec<usize> = (0..20).map(|seed| rounds_until_all_informed(nodes, seed)).collect();
    assert!(rounds.iter().all(|rounds| *rounds <= rounds_max), "{rounds:?}");
}
