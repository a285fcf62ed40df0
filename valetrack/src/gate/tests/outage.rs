//! Upstreams that refuse connections.

use super::caller_arrival;
use crate::gate::{AttemptId, DeclineReason, Gate, GateAction, GateConfig, GateEvent, QueueTimeout};

fn arrival(seq: u64) -> GateEvent {
    let attempt = AttemptId { entry: 1, seq };
    caller_arrival(attempt, u64::MAX / 2, QueueTimeout::Long, 1, None)
}

/// Sends a call to a gate whose upstream refuses every connection; returns whether the gate started it.
fn try_call(gate: &mut Gate, seq: u64, now_us: u64) -> bool {
    let mut out = Vec::new();
    gate.handle(arrival(seq), now_us, &mut out);
    let attempt = AttemptId { entry: 1, seq };
    if out != [GateAction::Start { attempt }] {
        assert_eq!(out, [GateAction::Bounce { attempt, reason: DeclineReason::NotReady }]);
        return false;
    }
    gate.handle(GateEvent::Refused { attempt, reason: DeclineReason::Refused }, now_us, &mut out);
    true
}

#[test]
fn refusing_upstream_is_probed_at_intervals() {
    let mut gate = Gate::new(GateConfig { slots: 4, rescue: false, ..GateConfig::default() }, 0);
    // A thousand calls in five seconds.
    let attempted = (0..1_000).filter(|seq| try_call(&mut gate, *seq, seq * 5_000)).count();
    assert!((10..=18).contains(&attempted), "{attempted} connections attempted");
}

#[test]
fn announcement_ends_outage_at_once() {
    let mut gate = Gate::new(GateConfig { slots: 4, rescue: false, ..GateConfig::default() }, 0);
    assert!((0..2).all(|seq| try_call(&mut gate, seq, 0)));
    assert!(!try_call(&mut gate, 2, 1_000));
    gate.handle(GateEvent::Open, 2_000, &mut Vec::new());
    assert!(try_call(&mut gate, 3, 3_000), "the announcement ends the outage");
}

#[test]
fn isolated_refusals_are_no_outage() {
    let mut gate = Gate::new(GateConfig { slots: 4, rescue: false, ..GateConfig::default() }, 0);
    for seq in 0..100 {
        let now_us = seq * 1_000;
        if seq % 2 == 0 {
            assert!(try_call(&mut gate, seq, now_us));
            continue;
        }
        let attempt = AttemptId { entry: 1, seq };
        gate.handle(arrival(seq), now_us, &mut Vec::new());
        gate.handle(GateEvent::Done { attempt, healthy: true }, now_us, &mut Vec::new());
    }
}

#[test]
fn no_speed_request_while_upstream_is_down() {
    let mut gate = Gate::new(GateConfig { slots: 4, rescue: false, ..GateConfig::default() }, 0);
    gate.handle(GateEvent::Open, 0, &mut Vec::new());
    assert!(gate.needs_speed_update(100_000, 50_000));
    assert!((0..2).all(|seq| try_call(&mut gate, seq, 50_000)));
    assert!(!gate.needs_speed_update(100_000, 60_000));
    gate.on_health_check_answered();
    assert!(gate.needs_speed_update(100_000, 60_000), "the upstream answered a health check");
}
