//! Limits on the calls of a cold upstream.

use proptest::prelude::*;
use test_case::test_case;

use super::caller_arrival;
use crate::gate::{AttemptId, ColdBound, ColdRule, Gate, GateAction, GateConfig, GateEvent, Objective, QueueTimeout};

const SECOND_US: u64 = 1_000_000;
/// Window in which starts are counted.
const WINDOW_US: u64 = 1_100_000;
const STARTS_PER_S: u32 = 24;
const RULE: ColdRule =
    ColdRule { starts_per_s: Some(STARTS_PER_S), first_second: 8, length_ms: Some(3_000), by_rank: false };

fn gate(now_us: u64) -> Gate {
    let mut gate = Gate::new(GateConfig::default(), 0);
    gate.configure(GateConfig { slots: 11, rescue: false, cold: RULE, ..GateConfig::default() });
    gate.set_cold(now_us + 3 * SECOND_US, now_us);
    gate
}

fn arrival(seq: u64, priority: u8, now_us: u64, wait_max_us: u64) -> GateEvent {
    let (attempt, deadline_us) = (AttemptId { entry: 1, seq }, now_us + SECOND_US);
    let objective = Objective { left_us: 200_000, work_us: 1_000, elsewhere_permille: 0, wait_max_us };
    caller_arrival(attempt, deadline_us, QueueTimeout::Long, priority, Some(objective))
}

/// Sends the gate one call per millisecond, each of which runs for a millisecond; returns the times of their starts.
fn send_calls(gate: &mut Gate, from_us: u64, until_us: u64) -> Vec<u64> {
    let mut starts_us = Vec::new();
    let mut out = Vec::new();
    for now_us in (from_us..until_us).step_by(1_000) {
        gate.handle(arrival(now_us, 1, now_us, 0), now_us, &mut out);
        for action in std::mem::take(&mut out) {
            if let GateAction::Start { attempt } = action {
                starts_us.push(now_us);
                gate.handle(GateEvent::Done { attempt, healthy: true }, now_us, &mut Vec::new());
            }
        }
    }
    starts_us
}

fn max_in_a_second(starts_us: &[u64]) -> usize {
    let within = |first: &u64| starts_us.iter().filter(|at| *at >= first && **at < first + SECOND_US).count();
    starts_us.iter().map(within).max().unwrap_or(0)
}

#[test]
fn only_cold_upstream_has_limited_starts() {
    let from_us = 10 * SECOND_US;
    let mut gate = gate(from_us);
    let cold = send_calls(&mut gate, from_us, from_us + 3 * SECOND_US);
    assert_eq!(max_in_a_second(&cold), STARTS_PER_S as usize);
    assert_eq!(cold.len(), 3 * STARTS_PER_S as usize);
    let warm = send_calls(&mut gate, from_us + 3 * SECOND_US, from_us + 4 * SECOND_US);
    assert_eq!(warm.len(), 1_000);
}

#[test]
fn second_cold_period_is_limited_again() {
    let from_us = 10 * SECOND_US;
    let mut gate = gate(from_us);
    let again_us = from_us + 5 * SECOND_US;
    send_calls(&mut gate, from_us, again_us);
    gate.set_cold(again_us + 2 * SECOND_US, again_us);
    let cold = send_calls(&mut gate, again_us, again_us + 2 * SECOND_US);
    assert!(max_in_a_second(&cold) <= STARTS_PER_S as usize, "{}", cold.len());
}

#[test_case(2_800_000, 8; "an upstream that started before its node")]
#[test_case(2_950_000, 24; "an upstream that started with its node, as after a power loss")]
fn restarted_node_allows_for_starts_of_earlier_incarnation(cold_us: u64, expected: usize) {
    let mut gate = gate(0);
    gate.set_cold(cold_us, 0);
    assert_eq!(send_calls(&mut gate, 0, SECOND_US).len(), expected);
}

#[test]
fn load_of_exhausted_cold_upstream_reports_zero_limit() {
    let from_us = 10 * SECOND_US;
    let mut gate = gate(from_us);
    assert_eq!(gate.load(from_us).limit, 11);
    send_calls(&mut gate, from_us, from_us + 100_000);
    let load = gate.load(from_us + 100_000);
    assert_eq!((load.limit, load.in_flight), (0, 0), "slots that may not be filled do not count as free");
}

#[test]
fn waiting_call_starts_when_cold_limit_allows() {
    let from_us = 10 * SECOND_US;
    let mut gate = gate(from_us);
    send_calls(&mut gate, from_us, from_us + 100_000);
    let late_us = from_us + 1_050_000;
    let mut out = Vec::new();
    gate.handle(arrival(1, 1, late_us, 100_000), late_us, &mut out);
    assert_eq!(out, [], "the call must wait");
    let tick_us = gate.next_tick_us(late_us).expect("a tick");
    assert_eq!(tick_us, from_us + WINDOW_US, "the call waits until the first start leaves the window");
    gate.handle(GateEvent::Tick, tick_us, &mut out);
    assert_eq!(out, [GateAction::Start { attempt: AttemptId { entry: 1, seq: 1 } }]);
}

proptest! {
    /// For any sequence of cold periods and calls, no second of a cold period has more starts than the upstream
    /// supports.
    #[test]
    fn no_sliding_second_exceeds_cold_limit(
        steps in prop::collection::vec((0..40_000u64, prop::option::weighted(0.05, 0..3_000_000u64)), 1..600)
    ) {
        let mut bound = ColdBound::new(0);
        bound.configure(RULE);
        let (mut now_us, mut until_us) = (0, 0);
        let mut starts_us = Vec::new();
        for (pause_us, cold_us) in steps {
            now_us += pause_us;
            if let Some(cold_us) = cold_us {
                until_us = now_us + cold_us;
                bound.set_until(until_us);
            }
            if bound.remaining(now_us) == Some(0) {
                let wait_us = bound.wait_us(0, now_us);
                prop_assert!(wait_us > 0 && wait_us <= WINDOW_US);
                continue;
            }
            bound.record_start(now_us);
            starts_us.push(now_us);
            if now_us < until_us {
                let recent = starts_us.iter().filter(|at| **at + WINDOW_US > now_us).count();
                prop_assert!(recent <= STARTS_PER_S as usize, "{recent} starts");
            }
        }
    }
}

/// Guards against calls of a low rank that use up a cold upstream's starts right after a power loss: an urgent call
/// cannot wait for the next window.
///
/// An upstream may start 24 calls in a window; 8 urgent calls and 80 others a second arrive for three seconds. The
/// others use what the urgent calls leave.
#[test_case(false, "7 of 24 urgent calls, 65 others"; "in the order of arrival")]
#[test_case(true, "22 of 24 urgent calls, 46 others"; "by rank")]
fn urgent_calls_get_starts_of_cold_upstream(by_rank: bool, expected: &str) {
    let from_us = 10 * SECOND_US;
    let mut gate = gate(from_us);
    gate.configure(GateConfig {
        slots: 11,
        rescue: false,
        cold: ColdRule { by_rank, ..RULE },
        ..GateConfig::default()
    });
    let (mut urgent, mut others) = (0, 0);
    let mut out = Vec::new();
    for step in 0..264 {
        let now_us = from_us + step * 12_500 * 10 / 11;
        let is_urgent = step % 11 == 10;
        let arrive = arrival(step, if is_urgent { 1 } else { 3 }, now_us, 0);
        gate.handle(arrive, now_us, &mut out);
        for action in std::mem::take(&mut out) {
            if let GateAction::Start { attempt } = action {
                *if is_urgent { &mut urgent } else { &mut others } += 1;
                gate.handle(GateEvent::Done { attempt, healthy: true }, now_us, &mut Vec::new());
            }
        }
    }
    assert_eq!(format!("{urgent} of 24 urgent calls, {others} others"), expected);
}
