//! Calls that may crash the server run one at a time.

use proptest::prelude::*;

use super::caller_arrival;
use crate::gate::{AttemptId, DeclineReason, Gate, GateAction, GateConfig, GateEvent, QueueTimeout};

fn attempt(seq: u64) -> AttemptId {
    AttemptId { entry: 9, seq }
}

fn gate() -> Gate {
    Gate::new(GateConfig { slots: 4, rescue: false, ..GateConfig::default() }, 0)
}

/// Sends a call to a gate, as a suspect or not; returns the actions of the gate.
fn arrive(gate: &mut Gate, seq: u64, suspect: bool, patience: QueueTimeout) -> Vec<GateAction> {
    if suspect {
        gate.suspect(attempt(seq));
    }
    let arrive = caller_arrival(attempt(seq), 1_000_000, patience, 0, None);
    process(gate, arrive, seq)
}

fn process(gate: &mut Gate, event: GateEvent, now_us: u64) -> Vec<GateAction> {
    let mut out = Vec::new();
    gate.handle(event, now_us, &mut out);
    out
}

fn start(seq: u64) -> GateAction {
    GateAction::Start { attempt: attempt(seq) }
}

#[test]
fn suspect_runs_beside_other_calls_but_not_another_suspect() {
    let mut gate = gate();
    assert_eq!(arrive(&mut gate, 1, true, QueueTimeout::Long), [start(1)]);
    assert_eq!(arrive(&mut gate, 2, false, QueueTimeout::Long), [start(2)]);
    assert_eq!(arrive(&mut gate, 3, true, QueueTimeout::Long), []);
    assert_eq!(arrive(&mut gate, 4, false, QueueTimeout::Long), [start(4)], "other calls overtake it");
    let ended = process(&mut gate, GateEvent::Done { attempt: attempt(1), healthy: true }, 10);
    assert_eq!(ended, [start(3)]);
}

#[test]
fn suspect_hedge_is_declined_while_another_suspect_runs() {
    let mut gate = gate();
    arrive(&mut gate, 1, true, QueueTimeout::Long);
    let actions = arrive(&mut gate, 2, true, QueueTimeout::None);
    assert_eq!(actions, [GateAction::Bounce { attempt: attempt(2), reason: DeclineReason::Slow }]);
}

#[test]
fn rejected_suspect_lets_next_suspect_start() {
    let mut gate = gate();
    arrive(&mut gate, 1, true, QueueTimeout::Long);
    arrive(&mut gate, 2, true, QueueTimeout::Long);
    let actions = process(&mut gate, GateEvent::Refused { attempt: attempt(1), reason: DeclineReason::Rejected }, 5);
    assert!(actions.contains(&start(2)), "{actions:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(34),
        ..Default::default()
    })]

    #[test]
    fn suspects_run_one_at_a_time_and_all_end(
        steps in prop::collection::vec((0..4u8, any::<bool>(), 0..8usize), 1..60),
    ) {
        let mut gate = gate();
        let mut suspects = Vec::new();
        let mut running: Vec<u64> = Vec::new();
        let mut open = 0;
        for (seq, (kind, suspect, pick)) in (1_u64..).zip(steps) {
            let now_us = seq * 100;
            let actions = match (kind, running.get(pick).copied()) {
                (0, Some(done)) => {
                    running.retain(|seq| *seq != done);
                    open -= 1;
                    process(&mut gate, GateEvent::Done { attempt: attempt(done), healthy: true }, now_us)
                }
                (1, Some(refused)) => {
                    running.retain(|seq| *seq != refused);
                    let reason = DeclineReason::Rejected;
                    process(&mut gate, GateEvent::Refused { attempt: attempt(refused), reason }, now_us)
                }
                _ => {
                    open += 1;
                    suspects.extend(suspect.then_some(seq));
                    arrive(&mut gate, seq, suspect, QueueTimeout::Last)
                }
            };
            for action in actions {
                match action {
                    GateAction::Start { attempt } => running.push(attempt.seq),
                    GateAction::Bounce { .. } => open -= 1,
                    GateAction::ReportCancel { .. } => {}
                }
            }
            prop_assert!(running.iter().filter(|seq| suspects.contains(seq)).count() <= 1);
        }
        // Once all running calls have ended one by one, every call has run or was declined.
        while let Some(done) = running.pop() {
            open -= 1;
            for action in process(&mut gate, GateEvent::Done { attempt: attempt(done), healthy: true }, 900_000) {
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
