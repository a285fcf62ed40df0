//! A VM that is suspended at any point: attempts that waited at its gate never start, and running ones end.

use std::collections::BTreeMap;

use proptest::prelude::*;

use super::caller_arrival;
use crate::gate::{AttemptId, CancelResult, DeclineReason, Gate, GateAction, GateConfig, GateEvent, QueueTimeout};

/// Slots of the server.
const SLOTS: u16 = 2;

/// State of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptState {
    Waits,
    Runs,
    Declined,
    Ended,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive,
    End(usize),
    Cancel(usize),
    Resume,
}

fn some_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Arrive),
        2 => (0..30_usize).prop_map(Step::End),
        1 => (0..30_usize).prop_map(Step::Cancel),
        1 => Just(Step::Resume),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(36),
        ..Default::default()
    })]

    #[test]
    fn attempt_that_waited_during_suspension_never_starts(steps in prop::collection::vec(some_step(), 1..60)) {
        let config = GateConfig { slots: SLOTS, queue_max_us: 10_000_000, rescue: false, ..GateConfig::default() };
        let mut gate = Gate::new(config, 0);
        let mut states: BTreeMap<AttemptId, AttemptState> = BTreeMap::new();
        for (number, step) in steps.into_iter().enumerate() {
            let now_us = number as u64 * 1_000;
            let attempt = |seq: usize| AttemptId { entry: 7, seq: seq as u64 };
            let event = match step {
                Step::Arrive => {
                    states.insert(attempt(number), AttemptState::Waits);
                    let (deadline_us, patience) = (now_us + 90_000_000, QueueTimeout::Last);
                    caller_arrival(attempt(number), deadline_us, patience, 0, None)
                }
                Step::End(seq) => GateEvent::Done { attempt: attempt(seq), healthy: true },
                Step::Cancel(seq) => GateEvent::Cancel { attempt: attempt(seq) },
                Step::Resume => GateEvent::Resumed,
            };
            let mut actions = Vec::new();
            gate.handle(event, now_us, &mut actions);
            if let GateEvent::Done { attempt, .. } = event
                && let Some(state @ AttemptState::Runs) = states.get_mut(&attempt)
            {
                *state = AttemptState::Ended;
            }
            for action in actions {
                match action {
                    GateAction::Start { attempt } => {
                        let before = states.insert(attempt, AttemptState::Runs);
                        prop_assert_eq!(before, Some(AttemptState::Waits));
                    }
                    GateAction::Bounce { attempt, reason } => {
                        let before = states.insert(attempt, AttemptState::Declined);
                        prop_assert_eq!(before, Some(AttemptState::Waits));
                        let resumed = matches!(event, GateEvent::Resumed);
                        prop_assert!(!resumed || reason == DeclineReason::NotReady, "{:?}", reason);
                    }
                    GateAction::ReportCancel { attempt, result } => {
                        let ran = matches!(states.get(&attempt), Some(AttemptState::Runs | AttemptState::Ended));
                        prop_assert_eq!(ran, result == CancelResult::Started);
                        // A copy that arrives after the cancellation is not a new arrival.
                        states.entry(attempt).or_insert(AttemptState::Declined);
                    }
                }
            }
            if matches!(event, GateEvent::Resumed) {
                prop_assert!(states.values().all(|state| *state != AttemptState::Waits));
            }
            prop_assert!(states.values().filter(|state| **state == AttemptState::Runs).count() <= usize::from(SLOTS));
        }
    }
}
