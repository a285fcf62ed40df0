//! The gate of a server whose failure domain is evacuated.

use super::caller_arrival;
use crate::gate::{AttemptId, ColdRule, DeclineReason, Gate, GateAction, GateConfig, GateEvent, QueueTimeout};

fn arrival(seq: u64) -> GateEvent {
    let attempt = AttemptId { entry: 1, seq };
    caller_arrival(attempt, u64::MAX / 2, QueueTimeout::Long, 1, None)
}

fn declined(seq: u64) -> GateAction {
    GateAction::Bounce { attempt: AttemptId { entry: 1, seq }, reason: DeclineReason::Evacuated }
}

#[test]
fn evacuated_gate_finishes_running_calls_and_declines_others() {
    let mut gate = Gate::new(GateConfig { slots: 1, rescue: false, ..GateConfig::default() }, 0);
    let mut out = Vec::new();
    gate.handle(arrival(1), 0, &mut out);
    gate.handle(arrival(2), 0, &mut out);
    out.clear();
    gate.handle(GateEvent::Evacuate, 1_000, &mut out);
    gate.handle(arrival(3), 2_000, &mut out);
    assert_eq!(out, [declined(2), declined(3)]);
    assert!(!gate.idle(), "the running call continues");
    out.clear();
    // An announcement of the upstream does not end the evacuation.
    gate.handle(GateEvent::Open, 3_000, &mut out);
    gate.handle(arrival(4), 4_000, &mut out);
    assert_eq!(out, [declined(4)]);
}

#[test]
fn end_of_evacuation_respects_cold_limit() {
    let cold = ColdRule { starts_per_s: Some(3), first_second: 3, length_ms: None, by_rank: false };
    let mut gate = Gate::new(GateConfig::default(), 0);
    gate.configure(GateConfig { slots: 50, queue_max_us: 0, rescue: false, cold, ..GateConfig::default() });
    let mut out = Vec::new();
    gate.handle(GateEvent::Evacuate, 0, &mut out);
    gate.handle(GateEvent::Return { cold_until_us: 6_000_000 }, 5_000_000, &mut out);
    (1..=10).for_each(|seq| gate.handle(arrival(seq), 5_000_000, &mut out));
    let starts = out.iter().filter(|action| matches!(action, GateAction::Start { .. })).count();
    assert_eq!(starts, 3);
    out.clear();
    (11..=20).for_each(|seq| gate.handle(arrival(seq), 6_000_000, &mut out));
    assert_eq!(out.len(), 10);
    assert!(out.iter().all(|action| matches!(action, GateAction::Start { .. })), "{out:?}");
}
