//! Random sequences of arrivals, duplicates, cancellations, ends, pauses, removals of the service and a drain.

use std::collections::{HashMap, HashSet};

use proptest::prelude::*;

use super::caller_arrival;
use crate::gate::{AttemptId, CancelResult, DeclineReason, Gate, GateAction, GateConfig, GateEvent, QueueTimeout};

#[derive(Debug, Clone)]
enum Choice {
    Arrive { seq: u64, limit_us: u64, patience: QueueTimeout },
    End { at: usize, healthy: bool },
    Refuse { at: usize },
    Cancel { seq: u64 },
    Tick,
    Drain,
    Remove,
    Restore,
}

fn choice() -> impl Strategy<Value = Choice> {
    prop_oneof![
        8 => (0..40u64, 0..200_000u64, prop::sample::select(vec![QueueTimeout::None, QueueTimeout::Short, QueueTimeout::Long, QueueTimeout::Last]))
            .prop_map(|(seq, limit_us, patience)| Choice::Arrive { seq, limit_us, patience }),
        6 => (any::<usize>(), any::<bool>()).prop_map(|(at, healthy)| Choice::End { at, healthy }),
        1 => any::<usize>().prop_map(|at| Choice::Refuse { at }),
        3 => (0..40u64).prop_map(|seq| Choice::Cancel { seq }),
        3 => Just(Choice::Tick),
        1 => Just(Choice::Drain),
        1 => Just(Choice::Remove),
        1 => Just(Choice::Restore),
    ]
}

/// State of the gate as observed from its actions.
#[derive(Default)]
struct Observer {
    running: Vec<AttemptId>,
    started: HashSet<AttemptId>,
    ended_unstarted: HashSet<AttemptId>,
    waiting: HashSet<AttemptId>,
    drained: bool,
    removed: bool,
    max_running: usize,
}

impl Observer {
    fn record(&mut self, actions: &[GateAction]) -> Result<(), TestCaseError> {
        for action in actions {
            match *action {
                GateAction::Start { attempt } => {
                    prop_assert!(self.started.insert(attempt), "{attempt} started twice");
                    prop_assert!(
                        !self.ended_unstarted.contains(&attempt),
                        "{attempt} started after it was declined or cancelled"
                    );
                    prop_assert!(!self.drained, "{attempt} started after the drain");
                    prop_assert!(!self.removed, "{attempt} started after the removal of the service");
                    self.waiting.remove(&attempt);
                    self.running.push(attempt);
                }
                GateAction::Bounce { attempt, .. } => {
                    prop_assert!(!self.running.contains(&attempt), "{attempt} was declined while it ran");
                    self.waiting.remove(&attempt);
                    self.ended_unstarted.insert(attempt);
                }
                GateAction::ReportCancel { attempt, result: CancelResult::NeverStarted } => {
                    prop_assert!(
                        !self.started.contains(&attempt),
                        "{attempt} was reported as never started, but it had started"
                    );
                    self.ended_unstarted.insert(attempt);
                }
                GateAction::ReportCancel { attempt, result: CancelResult::Started | CancelResult::Rejected } => {
                    prop_assert!(
                        self.started.contains(&attempt),
                        "{attempt} was reported as started, but it had not started"
                    );
                }
            }
        }
        self.max_running = self.max_running.max(self.running.len());
        Ok(())
    }
}

fn attempt(seq: u64) -> AttemptId {
    AttemptId { entry: 1, seq }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..Default::default()
    })]

    #[test]
    fn slots_are_respected_and_reported_results_are_correct(
        slots in 1..5u16,
        rescue in any::<bool>(),
        choices in prop::collection::vec((choice(), 0..20_000u64), 1..150),
    ) {
        let config = GateConfig { slots, queue_max_us: 50_000, ramp_us: 0, rescue, ..GateConfig::default() };
        let mut gate = Gate::new(config, 0);
        let mut observer = Observer::default();
        let mut answered: HashMap<AttemptId, u32> = HashMap::new();
        let mut now_us = 0;
        for (choice, pause_us) in choices {
            now_us += pause_us;
            let mut actions = Vec::new();
            let event = match choice {
                Choice::Arrive { seq, limit_us, patience } => {
                    let attempt = attempt(seq);
                    if !observer.started.contains(&attempt) && !observer.ended_unstarted.contains(&attempt) {
                        observer.waiting.insert(attempt);
                    }
                    caller_arrival(attempt, now_us + limit_us, patience, 0, None)
                }
                Choice::End { .. } | Choice::Refuse { .. } if observer.running.is_empty() => GateEvent::Tick,
                Choice::End { at, healthy } => {
                    let at = at % observer.running.len();
                    let attempt = observer.running.swap_remove(at);
                    *answered.entry(attempt).or_default() += 1;
                    GateEvent::Done { attempt, healthy }
                }
                Choice::Refuse { at } => {
                    let at = at % observer.running.len();
                    let attempt = observer.running.swap_remove(at);
                    // The server accepted no connection, so the attempt counts as never started.
                    observer.started.remove(&attempt);
                    GateEvent::Refused { attempt, reason: DeclineReason::Refused }
                }
                Choice::Cancel { seq } => GateEvent::Cancel { attempt: attempt(seq) },
                Choice::Tick => GateEvent::Tick,
                Choice::Drain => {
                    observer.drained = true;
                    GateEvent::Drain
                }
                Choice::Remove => {
                    observer.removed = true;
                    GateEvent::Remove
                }
                Choice::Restore => {
                    observer.removed = false;
                    GateEvent::Restore
                }
            };
            gate.handle(event, now_us, &mut actions);
            observer.record(&actions)?;
            prop_assert!(!observer.removed || observer.waiting.is_empty(), "attempts wait though the service has left");
            prop_assert!(observer.running.len() <= usize::from(slots), "{} are running", observer.running.len());
            let load = gate.load(now_us);
            prop_assert_eq!(usize::from(load.in_flight), observer.running.len());
            prop_assert_eq!(usize::from(load.queued), observer.waiting.len());
        }
        prop_assert!(answered.values().all(|&count| count == 1));
    }
}
