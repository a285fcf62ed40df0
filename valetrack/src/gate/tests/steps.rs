//! Single decisions of the gate.

use test_case::test_case;

use crate::gate::{
    AttemptId, BounceReason, CancelResult, ColdRule, Gate, GateAction, GateConfig, GateEvent, MEMORY_US, Objective,
    Patience,
};

const CONFIG: GateConfig = GateConfig {
    slots: 1,
    queue_max_us: 10_000,
    ramp_us: 0,
    rescue: true,
    learn_limit: false,
    cold: ColdRule { starts_per_s: None, first_second: 0, length_ms: None },
};

fn attempt(seq: u64) -> AttemptId {
    AttemptId { entry: 9, seq }
}

fn arrive(seq: u64, patience: Patience) -> GateEvent {
    GateEvent::Arrive { attempt: attempt(seq), deadline_us: 1_000_000, patience, priority: 0, objective: None }
}

fn feed(gate: &mut Gate, event: GateEvent, now_us: u64) -> Vec<GateAction> {
    let mut out = Vec::new();
    gate.handle(event, now_us, &mut out);
    out
}

#[test]
fn a_call_that_could_not_end_before_its_deadline_is_given_back_instead_of_started() {
    let mut gate = Gate::new(GateConfig { slots: 1, rescue: false, ..GateConfig::default() }, 0);
    let mut said = Vec::new();
    let objective = Objective { left_us: 400_000, work_us: 20_000, elsewhere_permille: 0, wait_max_us: 1_000_000 };
    for number in [1, 2] {
        let (deadline_us, patience, objective) = (500_000, Patience::Last, Some(objective));
        let arrive = GateEvent::Arrive { attempt: attempt(number), deadline_us, patience, priority: 1, objective };
        gate.handle(arrive, 0, &mut said);
    }
    said.clear();
    gate.handle(GateEvent::Done { attempt: attempt(1), healthy: true }, 490_000, &mut said);
    assert_eq!(said, [GateAction::Bounce { attempt: attempt(2), reason: BounceReason::Full }]);
}

#[test]
fn a_cancel_tells_that_the_upstream_was_reached_and_rejected_the_attempt() {
    let mut gate = Gate::new(GateConfig::default(), 0);
    let mut said = Vec::new();
    let (deadline_us, patience) = (1_000_000, Patience::Long);
    let arrive = GateEvent::Arrive { attempt: attempt(1), deadline_us, patience, priority: 0, objective: None };
    gate.handle(arrive, 0, &mut said);
    gate.handle(GateEvent::Refused { attempt: attempt(1), reason: BounceReason::Rejected }, 1_000, &mut said);
    said.clear();
    gate.handle(GateEvent::Cancel { attempt: attempt(1) }, 2_000, &mut said);
    assert_eq!(said, [GateAction::ReportCancel { attempt: attempt(1), result: CancelResult::Rejected }]);
}

#[test]
fn a_late_copy_of_a_cancelled_attempt_is_refused() {
    let mut gate = Gate::new(CONFIG, 0);
    let said = feed(&mut gate, GateEvent::Cancel { attempt: attempt(1) }, 0);
    assert_eq!(said, [GateAction::ReportCancel { attempt: attempt(1), result: CancelResult::NeverStarted }]);
    let late = feed(&mut gate, arrive(1, Patience::Long), MEMORY_US - 1);
    assert_eq!(late, [GateAction::Bounce { attempt: attempt(1), reason: BounceReason::Cancelled }]);
}

#[test_case(Patience::Short, 2_000; "one that may go elsewhere leaves after a service time")]
#[test_case(Patience::Last, 1_000_000; "one that was let in for long stays to its deadline")]
fn a_waiting_attempt_is_given_back_when_its_time_is_up(patience: Patience, at_us: u64) {
    let mut gate = Gate::new(GateConfig { slots: 4, ..CONFIG }, 0);
    for seq in 0..4 {
        feed(&mut gate, arrive(seq, Patience::Last), 0);
    }
    assert_eq!(feed(&mut gate, arrive(4, patience), 0), []);
    assert!(gate.next_tick_us(0).is_some_and(|next_us| next_us <= at_us));
    assert_eq!(feed(&mut gate, GateEvent::Tick, at_us - 1), []);
    let given_back = feed(&mut gate, GateEvent::Tick, at_us);
    assert_eq!(given_back, [GateAction::Bounce { attempt: attempt(4), reason: BounceReason::Full }]);
}

#[test]
fn work_that_cannot_meet_its_deadline_is_refused_before_it_waits() {
    let mut gate = Gate::new(CONFIG, 0);
    feed(&mut gate, arrive(1, Patience::Long), 0);
    let hurried = GateEvent::Arrive {
        attempt: attempt(2),
        deadline_us: 500,
        patience: Patience::Long,
        priority: 0,
        objective: None,
    };
    let refused = feed(&mut gate, hurried, 0);
    assert_eq!(refused, [GateAction::Bounce { attempt: attempt(2), reason: BounceReason::Full }]);
}

#[test_case(Patience::Long, Some(BounceReason::Stalled); "one that may go elsewhere goes")]
#[test_case(Patience::Last, None; "one that has nowhere to go stays")]
fn a_stall_gives_waiting_work_back(patience: Patience, expected: Option<BounceReason>) {
    let config = GateConfig { slots: 4, queue_max_us: 500_000, ..CONFIG };
    let mut gate = Gate::new(config, 0);
    for seq in 0..40 {
        feed(&mut gate, arrive(100 + seq, Patience::Long), seq * 1_000);
        feed(&mut gate, GateEvent::Done { attempt: attempt(100 + seq), healthy: true }, seq * 1_000 + 1_000);
    }
    for seq in 0..4 {
        feed(&mut gate, arrive(seq, Patience::Long), 40_000);
    }
    assert_eq!(feed(&mut gate, arrive(4, patience), 40_100), []);
    let actions = feed(&mut gate, GateEvent::Tick, 60_000);
    assert!(gate.load(60_000).stalled);
    let reason = actions.iter().find_map(|action| match action {
        GateAction::Bounce { reason, .. } => Some(*reason),
        _ => None,
    });
    assert_eq!(reason, expected);
}

#[test]
fn a_drain_gives_back_what_waits_and_lets_finish_what_runs() {
    let mut gate = Gate::new(CONFIG, 0);
    feed(&mut gate, arrive(1, Patience::Short), 0);
    feed(&mut gate, arrive(2, Patience::Long), 0);
    let actions = feed(&mut gate, GateEvent::Drain, 100);
    assert_eq!(actions, [GateAction::Bounce { attempt: attempt(2), reason: BounceReason::Leaving }]);
    assert!(!gate.idle());
    feed(&mut gate, GateEvent::Done { attempt: attempt(1), healthy: true }, 200);
    assert!(gate.idle());
    let refused = feed(&mut gate, arrive(3, Patience::Short), 300);
    assert_eq!(refused, [GateAction::Bounce { attempt: attempt(3), reason: BounceReason::Leaving }]);
}

#[test]
fn a_cold_server_is_brought_up_slowly() {
    let gate = Gate::new(GateConfig { slots: 10, ramp_us: 1_000_000, ..CONFIG }, 0);
    let limits: Vec<u16> = [0, 250_000, 500_000, 1_000_000].iter().map(|&now_us| gate.limit(now_us)).collect();
    assert_eq!(limits, [1, 2, 5, 10]);
}

#[test]
fn a_server_that_fails_at_once_looks_slower_not_faster() {
    let mut gate = Gate::new(CONFIG, 0);
    let before_us = gate.load(0).service_us;
    for seq in 0..20 {
        feed(&mut gate, arrive(seq, Patience::Long), seq * 100);
        feed(&mut gate, GateEvent::Done { attempt: attempt(seq), healthy: false }, seq * 100 + 10);
    }
    assert!(gate.load(3_000).service_us > before_us);
}

#[test]
fn a_long_run_does_not_close_free_slots() {
    let config = GateConfig { slots: 12, rescue: false, ..CONFIG };
    let mut gate = Gate::new(config, 0);
    feed(&mut gate, arrive(1, Patience::Short), 0);
    // Long after eight runs of the first estimate should have ended.
    let started = feed(&mut gate, arrive(2, Patience::Short), 500_000);
    assert_eq!(started, [GateAction::Start { attempt: attempt(2) }]);
}

/// Returns an arrival whose run takes `work_us`, and which waits 100 ms at most.
fn arrive_with_work(seq: u64, work_us: u64) -> GateEvent {
    let objective = Objective { left_us: 200_000, work_us, elsewhere_permille: 0, wait_max_us: 100_000 };
    GateEvent::Arrive {
        attempt: attempt(seq),
        deadline_us: 400_000,
        patience: Patience::Long,
        priority: 0,
        objective: Some(objective),
    }
}

#[test_case(1_000, &[]; "short runs ahead")]
#[test_case(80_000, &[GateAction::Bounce { attempt: attempt(9), reason: BounceReason::Full }]; "long ones")]
fn the_wait_is_told_by_the_runs_ahead(ahead_us: u64, then: &[GateAction]) {
    let mut gate = Gate::new(GateConfig { rescue: false, ..CONFIG }, 0);
    // The server's runs took 30 ms on average.
    for seq in 100..200 {
        feed(&mut gate, arrive(seq, Patience::Last), 0);
        feed(&mut gate, GateEvent::Done { attempt: attempt(seq), healthy: true }, 30_000);
    }
    feed(&mut gate, arrive(0, Patience::Last), 0);
    for seq in 1..4 {
        feed(&mut gate, arrive_with_work(seq, ahead_us), 0);
    }
    assert_eq!(feed(&mut gate, arrive_with_work(9, 10_000), 0), then);
}

#[test]
fn a_run_is_not_begun_where_it_would_just_end_in_time() {
    let mut gate = Gate::new(GateConfig { rescue: false, ..CONFIG }, 0);
    feed(&mut gate, arrive(0, Patience::Last), 0);
    // Its run of 40 ms must end by 400 ms; the run ahead of it ends too late for that on a busy machine.
    feed(&mut gate, arrive_with_work(1, 40_000), 0);
    let ended = feed(&mut gate, GateEvent::Done { attempt: attempt(0), healthy: true }, 359_000);
    assert_eq!(ended, [GateAction::Bounce { attempt: attempt(1), reason: BounceReason::Full }]);
}

#[test]
fn a_call_with_a_short_deadline_is_begun_where_it_can_be_at_once() {
    let mut gate = Gate::new(GateConfig { rescue: false, ..CONFIG }, 0);
    // A run of 380 ms has 400.
    assert_eq!(feed(&mut gate, arrive_with_work(1, 380_000), 0), [GateAction::Start { attempt: attempt(1) }]);
}
