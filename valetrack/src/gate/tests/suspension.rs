//! A VM that is suspended at any point: what waited at its gate never starts, and what ran ends.

use std::collections::BTreeMap;

use proptest::prelude::*;

use crate::gate::{AttemptId, BounceReason, CancelResult, Gate, GateAction, GateConfig, GateEvent, Patience};

/// Slots of the server.
const SLOTS: u16 = 2;

/// What became of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Waits,
    Runs,
    GivenBack,
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
    fn what_waited_through_a_suspension_never_starts(steps in prop::collection::vec(some_step(), 1..60)) {
        let config = GateConfig { slots: SLOTS, queue_max_us: 10_000_000, rescue: false, ..GateConfig::default() };
        let mut gate = Gate::new(config, 0);
        let mut fates: BTreeMap<AttemptId, Fate> = BTreeMap::new();
        for (number, step) in steps.into_iter().enumerate() {
            let now_us = number as u64 * 1_000;
            let attempt = |seq: usize| AttemptId { entry: 7, seq: seq as u64 };
            let event = match step {
                Step::Arrive => {
                    fates.insert(attempt(number), Fate::Waits);
                    let (deadline_us, patience) = (now_us + 90_000_000, Patience::Last);
                    GateEvent::Arrive { attempt: attempt(number), deadline_us, patience, priority: 0, objective: None }
                }
                Step::End(seq) => GateEvent::Done { attempt: attempt(seq), healthy: true },
                Step::Cancel(seq) => GateEvent::Cancel { attempt: attempt(seq) },
                Step::Resume => GateEvent::Resumed,
            };
            let mut said = Vec::new();
            gate.handle(event, now_us, &mut said);
            if let GateEvent::Done { attempt, .. } = event
                && let Some(fate @ Fate::Runs) = fates.get_mut(&attempt)
            {
                *fate = Fate::Ended;
            }
            for action in said {
                match action {
                    GateAction::Start { attempt } => {
                        let before = fates.insert(attempt, Fate::Runs);
                        prop_assert_eq!(before, Some(Fate::Waits));
                    }
                    GateAction::Bounce { attempt, reason } => {
                        let before = fates.insert(attempt, Fate::GivenBack);
                        prop_assert_eq!(before, Some(Fate::Waits));
                        let resumed = matches!(event, GateEvent::Resumed);
                        prop_assert!(!resumed || reason == BounceReason::NotReady, "{:?}", reason);
                    }
                    GateAction::ReportCancel { attempt, result } => {
                        let ran = matches!(fates.get(&attempt), Some(Fate::Runs | Fate::Ended));
                        prop_assert_eq!(ran, result == CancelResult::Started);
                        // A copy that comes later than the word is no arrival of its own.
                        fates.entry(attempt).or_insert(Fate::GivenBack);
                    }
                }
            }
            if matches!(event, GateEvent::Resumed) {
                prop_assert!(fates.values().all(|fate| *fate != Fate::Waits));
            }
            prop_assert!(fates.values().filter(|fate| **fate == Fate::Runs).count() <= usize::from(SLOTS));
        }
    }
}
