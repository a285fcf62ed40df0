//! Ranks of nested calls. With rank first, a lookup of little worth went before a caller's urgent call.

use test_case::test_case;

use crate::gate::{AttemptId, Gate, GateAction, GateConfig, GateEvent, NestedRank, Objective, QueueTimeout};

const DEADLINE_US: u64 = 500_000;

fn attempt(seq: u64) -> AttemptId {
    AttemptId { entry: 9, seq }
}

/// Returns the arrival of an attempt whose objective ends long before its deadline.
fn arrive(seq: u64, priority: u8, is_nested: bool) -> GateEvent {
    let objective =
        Some(Objective { left_us: 300_000, work_us: 20_000, elsewhere_permille: 0, wait_max_us: DEADLINE_US });
    let (attempt, deadline_us, patience) = (attempt(seq), DEADLINE_US, QueueTimeout::Long);
    GateEvent::Arrive { attempt, deadline_us, patience, priority, objective, is_nested }
}

fn handle(gate: &mut Gate, event: GateEvent, now_us: u64) -> Vec<GateAction> {
    let mut out = Vec::new();
    gate.handle(event, now_us, &mut out);
    out
}

fn busy_gate() -> Gate {
    let mut gate = Gate::new(GateConfig { slots: 1, rescue: false, ..GateConfig::default() }, 0);
    assert_eq!(handle(&mut gate, arrive(0, 9, false), 0), [GateAction::Start { attempt: attempt(0) }]);
    gate
}

#[test_case(NestedRank::First, &[3, 1, 2, 4]; "nested calls first")]
#[test_case(NestedRank::Root, &[1, 3, 2, 4]; "nested calls by the call at their root")]
fn waiting_calls_start_by_rank(nested_rank: NestedRank, expected: &[u64]) {
    let mut gate = busy_gate();
    for (seq, priority, is_nested) in [(1, 0, false), (2, 1, false), (3, 1, true), (4, 2, false)] {
        handle(&mut gate, arrive(seq, nested_rank.rank(priority, is_nested), is_nested), seq);
    }
    let mut running = 0;
    for &next in expected {
        let done = GateEvent::Done { attempt: attempt(running), healthy: true };
        assert_eq!(handle(&mut gate, done, 1_000), [GateAction::Start { attempt: attempt(next) }]);
        running = next;
    }
}

#[test]
fn every_priority_keeps_its_order() {
    for nested_rank in [NestedRank::First, NestedRank::Root] {
        let ranks: Vec<u8> = (0..=u8::MAX).map(|priority| nested_rank.rank(priority, false)).collect();
        assert!(ranks.is_sorted(), "{nested_rank:?}");
    }
    assert!(NestedRank::Root.rank(0, false) < NestedRank::Root.rank(1, true));
    assert!(NestedRank::Root.rank(1, true) < NestedRank::Root.rank(1, false));
}

#[test]
fn nested_call_waits_past_objective_not_past_deadline() {
    let mut gate = busy_gate();
    assert!(handle(&mut gate, arrive(1, 4, true), 0).is_empty(), "it waits");
    assert!(handle(&mut gate, GateEvent::Tick, 450_000).is_empty(), "its objective has passed");
    let bounced = handle(&mut gate, GateEvent::Tick, 480_000);
    assert!(matches!(bounced[..], [GateAction::Bounce { .. }]), "no run would end in time: {bounced:?}");
    let (deadline_us, patience) = (485_000, QueueTimeout::Long);
    let late =
        GateEvent::Arrive { attempt: attempt(2), deadline_us, patience, priority: 4, objective: None, is_nested: true };
    assert!(matches!(handle(&mut gate, late, 484_000)[..], [GateAction::Bounce { .. }]), "it cannot start in time");
}
