//! Single decisions of the gate.

use test_case::test_case;

use super::caller_arrival;
use crate::gate::{
    AttemptId, CancelResult, ColdRule, DeclineReason, Gate, GateAction, GateConfig, GateEvent, Objective, QueueTimeout,
    RESULT_RETENTION_US,
};

const CONFIG: GateConfig = GateConfig {
    slots: 1,
    queue_max_us: 10_000,
    ramp_us: 0,
    rescue: true,
    learn_limit: false,
    cold: ColdRule { starts_per_s: None, first_second: 0, length_ms: None, by_rank: false },
};

fn attempt(seq: u64) -> AttemptId {
    AttemptId { entry: 9, seq }
}

fn arrive(seq: u64, patience: QueueTimeout) -> GateEvent {
    caller_arrival(attempt(seq), 1_000_000, patience, 0, None)
}

fn process(gate: &mut Gate, event: GateEvent, now_us: u64) -> Vec<GateAction> {
    let mut out = Vec::new();
    gate.handle(event, now_us, &mut out);
    out
}

fn one_slot_gate() -> Gate {
    Gate::new(GateConfig { slots: 1, rescue: false, ..GateConfig::default() }, 0)
}

/// Returns the running attempt at the arrival of `seq`, in a queue in which 1 waits and all attempts from 2 on overtake
/// it.
fn running_before(seq: u64) -> AttemptId {
    attempt(if seq == 2 { 0 } else { seq - 1 })
}

#[test]
fn call_that_would_miss_deadline_is_declined_not_started() {
    let mut gate = one_slot_gate();
    let mut actions = Vec::new();
    let objective = Objective { left_us: 400_000, work_us: 20_000, elsewhere_permille: 0, wait_max_us: 1_000_000 };
    for number in [1, 2] {
        let (deadline_us, patience, objective) = (500_000, QueueTimeout::Last, Some(objective));
        let arrive = caller_arrival(attempt(number), deadline_us, patience, 1, objective);
        gate.handle(arrive, 0, &mut actions);
    }
    actions.clear();
    gate.handle(GateEvent::Done { attempt: attempt(1), healthy: true }, 490_000, &mut actions);
    assert_eq!(actions, [GateAction::Bounce { attempt: attempt(2), reason: DeclineReason::Full }]);
}

#[test_case(false, 20; "unless it is promoted")]
#[test_case(true, 1; "until it is promoted")]
fn call_of_a_route_classified_late_is_overtaken(is_promoted: bool, expected: usize) {
    let mut gate = one_slot_gate();
    let arrive = |seq: u64, priority: u8| caller_arrival(attempt(seq), 10_000_000, QueueTimeout::Last, priority, None);
    process(&mut gate, arrive(0, 2), 0);
    process(&mut gate, arrive(1, 2), 0);
    if is_promoted {
        gate.promote(attempt(1));
    }
    // From now on the calls of the route rank first, and one waits whenever a slot becomes free.
    let mut started = 0;
    for seq in 2..22 {
        process(&mut gate, arrive(seq, 0), seq * 1_000);
        started += 1;
        let running = running_before(seq);
        let next = process(&mut gate, GateEvent::Done { attempt: running, healthy: true }, seq * 1_000);
        if next == [GateAction::Start { attempt: attempt(1) }] {
            break;
        }
    }
    assert_eq!(started, expected);
}

/// Guards against a promotion at each arrival of the route that moves the call behind the others of its rank, so that it
/// never starts.
#[test]
fn repeated_promotion_keeps_position() {
    let mut gate = one_slot_gate();
    let arrive = |seq: u64, priority: u8| caller_arrival(attempt(seq), 10_000_000, QueueTimeout::Last, priority, None);
    process(&mut gate, arrive(0, 2), 0);
    process(&mut gate, arrive(1, 2), 0);
    for seq in 2..5 {
        gate.promote(attempt(1));
        process(&mut gate, arrive(seq, 0), seq * 1_000);
    }
    gate.promote(attempt(1));
    let next = process(&mut gate, GateEvent::Done { attempt: attempt(0), healthy: true }, 10_000);
    assert_eq!(next, [GateAction::Start { attempt: attempt(1) }]);
}

/// Guards against calls that nested calls overtake until just before their deadline, so that they start with too little
/// time left and end as work that may have run.
#[test_case(None, 100_000; "without an objective after twice the queue's limit")]
#[test_case(Some(300_000), 280_000; "once its objective cannot be met")]
fn overtaken_call_is_declined_long_before_its_deadline(objective_us: Option<u64>, leaves_us: u64) {
    let mut gate = one_slot_gate();
    let objective = objective_us.map(|left_us| Objective {
        left_us,
        work_us: 20_000,
        elsewhere_permille: 0,
        wait_max_us: 1_000_000,
    });
    let arrive = |seq: u64, priority: u8, objective| {
        let (deadline_us, patience) = (1_000_000, QueueTimeout::Last);
        caller_arrival(attempt(seq), deadline_us, patience, priority, objective)
    };
    process(&mut gate, arrive(0, 0, None), 0);
    process(&mut gate, arrive(1, 2, objective), 0);
    let mut declined_us = None;
    for seq in 2..100 {
        let now_us = seq * 10_000;
        let mut actions = process(&mut gate, arrive(seq, 0, None), now_us - 5_000);
        let running = running_before(seq);
        actions.extend(process(&mut gate, GateEvent::Done { attempt: running, healthy: true }, now_us));
        if actions.contains(&GateAction::Bounce { attempt: attempt(1), reason: DeclineReason::Full }) {
            declined_us = Some(now_us);
            break;
        }
    }
    assert_eq!(declined_us, Some(leaves_us));
}

#[test]
fn cancel_reports_rejection_by_upstream() {
    let mut gate = Gate::new(GateConfig::default(), 0);
    let mut actions = Vec::new();
    let (deadline_us, patience) = (1_000_000, QueueTimeout::Long);
    let arrive = caller_arrival(attempt(1), deadline_us, patience, 0, None);
    gate.handle(arrive, 0, &mut actions);
    gate.handle(GateEvent::Refused { attempt: attempt(1), reason: DeclineReason::Rejected }, 1_000, &mut actions);
    actions.clear();
    gate.handle(GateEvent::Cancel { attempt: attempt(1) }, 2_000, &mut actions);
    assert_eq!(actions, [GateAction::ReportCancel { attempt: attempt(1), result: CancelResult::Rejected }]);
}

#[test]
fn late_copy_of_cancelled_attempt_is_declined() {
    let mut gate = Gate::new(CONFIG, 0);
    let actions = process(&mut gate, GateEvent::Cancel { attempt: attempt(1) }, 0);
    assert_eq!(actions, [GateAction::ReportCancel { attempt: attempt(1), result: CancelResult::NeverStarted }]);
    let late = process(&mut gate, arrive(1, QueueTimeout::Long), RESULT_RETENTION_US - 1);
    assert_eq!(late, [GateAction::Bounce { attempt: attempt(1), reason: DeclineReason::Cancelled }]);
}

#[test_case(QueueTimeout::Short, 2_000; "short timeout, one service time")]
#[test_case(QueueTimeout::Last, 1_000_000; "last timeout, up to the deadline")]
fn waiting_attempt_is_declined_at_its_timeout(patience: QueueTimeout, at_us: u64) {
    let mut gate = Gate::new(GateConfig { slots: 4, ..CONFIG }, 0);
    for seq in 0..4 {
        process(&mut gate, arrive(seq, QueueTimeout::Last), 0);
    }
    assert_eq!(process(&mut gate, arrive(4, patience), 0), []);
    assert!(gate.next_tick_us(0).is_some_and(|next_us| next_us <= at_us));
    assert_eq!(process(&mut gate, GateEvent::Tick, at_us - 1), []);
    let declined = process(&mut gate, GateEvent::Tick, at_us);
    assert_eq!(declined, [GateAction::Bounce { attempt: attempt(4), reason: DeclineReason::Full }]);
}

#[test]
fn call_that_cannot_meet_deadline_is_declined_before_waiting() {
    let mut gate = Gate::new(CONFIG, 0);
    process(&mut gate, arrive(1, QueueTimeout::Long), 0);
    let urgent = caller_arrival(attempt(2), 500, QueueTimeout::Long, 0, None);
    let declined = process(&mut gate, urgent, 0);
    assert_eq!(declined, [GateAction::Bounce { attempt: attempt(2), reason: DeclineReason::Full }]);
}

#[test_case(QueueTimeout::Long, Some(DeclineReason::Stalled); "an attempt that may go elsewhere is declined")]
#[test_case(QueueTimeout::Last, None; "an attempt without another server stays")]
fn stall_declines_waiting_attempts(patience: QueueTimeout, expected: Option<DeclineReason>) {
    let config = GateConfig { slots: 4, queue_max_us: 500_000, ..CONFIG };
    let mut gate = Gate::new(config, 0);
    for seq in 0..40 {
        process(&mut gate, arrive(100 + seq, QueueTimeout::Long), seq * 1_000);
        process(&mut gate, GateEvent::Done { attempt: attempt(100 + seq), healthy: true }, seq * 1_000 + 1_000);
    }
    for seq in 0..4 {
        process(&mut gate, arrive(seq, QueueTimeout::Long), 40_000);
    }
    assert_eq!(process(&mut gate, arrive(4, patience), 40_100), []);
    let actions = process(&mut gate, GateEvent::Tick, 60_000);
    assert!(gate.load(60_000).stalled);
    let reason = actions.iter().find_map(|action| match action {
        GateAction::Bounce { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(reason, expected);
}

#[test]
fn drain_declines_waiting_and_finishes_running_attempts() {
    let mut gate = Gate::new(CONFIG, 0);
    process(&mut gate, arrive(1, QueueTimeout::Short), 0);
    process(&mut gate, arrive(2, QueueTimeout::Long), 0);
    let actions = process(&mut gate, GateEvent::Drain, 100);
    assert_eq!(actions, [GateAction::Bounce { attempt: attempt(2), reason: DeclineReason::Leaving }]);
    assert!(!gate.idle());
    process(&mut gate, GateEvent::Done { attempt: attempt(1), healthy: true }, 200);
    assert!(gate.idle());
    let declined = process(&mut gate, arrive(3, QueueTimeout::Short), 300);
    assert_eq!(declined, [GateAction::Bounce { attempt: attempt(3), reason: DeclineReason::Leaving }]);
}

#[test]
fn cold_server_opens_its_slots_gradually() {
    let gate = Gate::new(GateConfig { slots: 10, ramp_us: 1_000_000, ..CONFIG }, 0);
    let limits: Vec<u16> = [0, 250_000, 500_000, 1_000_000].iter().map(|&now_us| gate.limit(now_us)).collect();
    assert_eq!(limits, [1, 2, 5, 10]);
}

#[test]
fn immediate_failures_increase_service_time() {
    let mut gate = Gate::new(CONFIG, 0);
    let before_us = gate.load(0).service_us;
    for seq in 0..20 {
        process(&mut gate, arrive(seq, QueueTimeout::Long), seq * 100);
        process(&mut gate, GateEvent::Done { attempt: attempt(seq), healthy: false }, seq * 100 + 10);
    }
    assert!(gate.load(3_000).service_us > before_us);
}

#[test]
fn a_long_run_does_not_close_free_slots() {
    let config = GateConfig { slots: 12, rescue: false, ..CONFIG };
    let mut gate = Gate::new(config, 0);
    process(&mut gate, arrive(1, QueueTimeout::Short), 0);
    // Well past the time at which eight runs of the initial estimate should have ended.
    let started = process(&mut gate, arrive(2, QueueTimeout::Short), 500_000);
    assert_eq!(started, [GateAction::Start { attempt: attempt(2) }]);
}

/// Returns the arrival of a call whose run takes `work_us` and which waits at most 100 ms.
fn arrive_with_work(seq: u64, work_us: u64) -> GateEvent {
    let objective = Objective { left_us: 200_000, work_us, elsewhere_permille: 0, wait_max_us: 100_000 };
    caller_arrival(attempt(seq), 400_000, QueueTimeout::Long, 0, Some(objective))
}

#[test_case(1_000, &[]; "short runs ahead")]
#[test_case(80_000, &[GateAction::Bounce { attempt: attempt(9), reason: DeclineReason::Full }]; "long runs ahead")]
fn expected_wait_depends_on_runs_ahead(ahead_us: u64, expected: &[GateAction]) {
    let mut gate = Gate::new(GateConfig { rescue: false, ..CONFIG }, 0);
    // The server's runs took 30 ms on average.
    for seq in 100..200 {
        process(&mut gate, arrive(seq, QueueTimeout::Last), 0);
        process(&mut gate, GateEvent::Done { attempt: attempt(seq), healthy: true }, 30_000);
    }
    process(&mut gate, arrive(0, QueueTimeout::Last), 0);
    for seq in 1..4 {
        process(&mut gate, arrive_with_work(seq, ahead_us), 0);
    }
    assert_eq!(process(&mut gate, arrive_with_work(9, 10_000), 0), expected);
}

#[test]
fn run_without_spare_time_is_not_started() {
    let mut gate = Gate::new(GateConfig { rescue: false, ..CONFIG }, 0);
    process(&mut gate, arrive(0, QueueTimeout::Last), 0);
    // Its run of 40 ms must end by 400 ms. On a busy machine, the run ahead of it ends too late for that.
    process(&mut gate, arrive_with_work(1, 40_000), 0);
    let ended = process(&mut gate, GateEvent::Done { attempt: attempt(0), healthy: true }, 359_000);
    assert_eq!(ended, [GateAction::Bounce { attempt: attempt(1), reason: DeclineReason::Full }]);
}

#[test]
fn call_with_short_deadline_starts_if_slot_is_free() {
    let mut gate = Gate::new(GateConfig { rescue: false, ..CONFIG }, 0);
    // A run of 380 ms has 400 ms to its deadline.
    assert_eq!(process(&mut gate, arrive_with_work(1, 380_000), 0), [GateAction::Start { attempt: attempt(1) }]);
}
