//! Calls that may crash the server run one after the other.

use proptest::prelude::*;

use crate::gate::{AttemptId, BounceReason, Gate, GateAction, GateConfig, GateEvent, Patience};

fn attempt(seq: u64) -> AttemptId {
    AttemptId { entry: 9, seq }
}

fn gate() -> Gate {
    Gate::new(GateConfig { slots: 4, rescue: false, ..GateConfig::default() }, 0)
}

/// Lets a call arrive at a gate, as a suspect or not; returns what the gate does.
fn arrive(gate: &mut Gate, seq: u64, suspect: bool, patience: Patience) -> Vec<GateAction> {
    if suspect {
        gate.suspect(attempt(seq));
    }
    let arrive =
        GateEvent::Arrive { attempt: attempt(seq), deadline_us: 1_000_000, patience, priority: 0, objective: None };
    feed(gate, arrive, seq)
}

fn feed(gate: &mut Gate, event: GateEvent, now_us: u64) -> Vec<GateAction> {
    let mut out = Vec::new();
    gate.handle(event, now_us, &mut out);
    out
}

fn start(seq: u64) -> GateAction {
    GateAction::Start { attempt: attempt(seq) }
}

#[test]
fn a_suspect_runs_beside_usual_calls_and_not_beside_another_suspect() {
    let mut gate = gate();
    assert_eq!(arrive(&mut gate, 1, true, Patience::Long), [start(1)]);
    assert_eq!(arrive(&mut gate, 2, false, Patience::Long), [start(2)]);
    assert_eq!(arrive(&mut gate, 3, true, Patience::Long), []);
    assert_eq!(arrive(&mut gate, 4, false, Patience::Long), [start(4)], "usual calls pass it by");
    let ended = feed(&mut gate, GateEvent::Done { attempt: attempt(1), healthy: true }, 10);
    assert_eq!(ended, [start(3)]);
}

#[test]
fn a_hedge_that_is_a_suspect_does_not_wait_for_another_one() {
    let mut gate = gate();
    arrive(&mut gate, 1, true, Patience::Long);
    let said = arrive(&mut gate, 2, true, Patience::None);
    assert_eq!(said, [GateAction::Bounce { attempt: attempt(2), reason: BounceReason::Slow }]);
}

#[test]
fn a_suspect_whose_server_has_refused_it_holds_nobody_up() {
    let mut gate = gate();
    arrive(&mut gate, 1, true, Patience::Long);
    arrive(&mut gate, 2, true, Patience::Long);
    let said = feed(&mut gate, GateEvent::Refused { attempt: attempt(1), reason: BounceReason::Rejected }, 5);
    assert!(said.contains(&start(2)), "{said:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(34),
        ..Default::default()
    })]

    #[test]
    fn no_two_suspects_ever_run_at_once_and_none_is_forgotten(
        steps in prop::collection::vec((0..4u8, any::<bool>(), 0..8usize), 1..60),
    ) {
        let mut gate = gate();
        let mut suspects = Vec::new();
        let mut running: Vec<u64> = Vec::new();
        let mut open = 0;
        for (seq, (kind, suspect, pick)) in (1_u64..).zip(steps) {
            let now_us = seq * 100;
            let said = match (kind, running.get(pick).copied()) {
                (0, Some(done)) => {
                    running.retain(|seq| *seq != done);
                    open -= 1;
                    feed(&mut gate, GateEvent::Done { attempt: attempt(done), healthy: true }, now_us)
                }
                (1, Some(refused)) => {
                    running.retain(|seq| *seq != refused);
                    let reason = BounceReason::Rejected;
                    feed(&mut gate, GateEvent::Refused { attempt: attempt(refused), reason }, now_us)
                }
                _ => {
                    open += 1;
                    suspects.extend(suspect.then_some(seq));
                    arrive(&mut gate, seq, suspect, Patience::Last)
                }
            };
            for action in said {
                match action {
                    GateAction::Start { attempt } => running.push(attempt.seq),
                    GateAction::Bounce { .. } => open -= 1,
                    GateAction::ReportCancel { .. } => {}
                }
            }
            prop_assert!(running.iter().filter(|seq| suspects.contains(seq)).count() <= 1);
        }
        // With all that runs ended, one after the other, everybody has run or was given back.
        while let Some(done) = running.pop() {
            open -= 1;
            for action in feed(&mut gate, GateEvent::Done { attempt: attempt(done), healthy: true }, 900_000) {
                match action {
                    GateAction::Start { attempt } => running.push(attempt.seq),
                    GateAction::Bounce { .. } => open -= 1,
                    GateAction::ReportCancel { .. } => {}
                }
            }
        }
        prop_assert_eq!(open, 0);
        prop_assert!(gate.idle());
    }
}
