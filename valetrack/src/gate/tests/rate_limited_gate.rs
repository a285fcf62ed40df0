//! A gate in front of an upstream that limits its rate.

use proptest::prelude::*;
use test_case::test_case;

use super::caller_arrival;
use crate::gate::{
    AnswerKind, AttemptId, DeclineReason, Gate, GateAction, GateConfig, GateEvent, LoadReport, Objective, QueueTimeout,
    RequestedRate,
};

const SECOND_US: u64 = 1_000_000;
/// Duration of a run.
const RUN_US: u64 = 20_000;

fn gate() -> Gate {
    Gate::new(GateConfig { slots: 6, rescue: false, ..GateConfig::default() }, 0)
}

fn answer(gate: &mut Gate, requested: RequestedRate, begun_us: u64, now_us: u64) {
    gate.rate_limit().on_answer(requested, AnswerKind::Call, begun_us, now_us);
}

fn attempt(seq: u64) -> AttemptId {
    AttemptId { entry: 1, seq }
}

fn arrive(gate: &mut Gate, seq: u64, priority: u8, wait_max_us: u64, now_us: u64) -> Vec<GateAction> {
    let objective = Objective { left_us: SECOND_US, work_us: RUN_US, elsewhere_permille: 0, wait_max_us };
    let event = caller_arrival(attempt(seq), now_us + 2 * SECOND_US, QueueTimeout::Long, priority, Some(objective));
    let mut out = Vec::new();
    gate.handle(event, now_us, &mut out);
    out
}

fn tick(gate: &mut Gate, now_us: u64) -> Vec<GateAction> {
    let mut out = Vec::new();
    gate.handle(GateEvent::Tick, now_us, &mut out);
    out
}

#[test]
fn call_far_from_its_token_is_declined_immediately() {
    let mut gate = gate();
    answer(&mut gate, RequestedRate::PerS(2.0), 0, 0);
    let reason = DeclineReason::RateLimited;
    assert_eq!(arrive(&mut gate, 1, 1, 100_000, 0), [GateAction::Bounce { attempt: attempt(1), reason }]);
    let load = gate.load(0);
    assert_eq!((load.limit, load.in_flight), (0, 0), "an idle server without tokens does not look free");
    assert!((500..=2_500).contains(&load.start_delay_ms), "{}", load.start_delay_ms);
    assert_eq!(arrive(&mut gate, 2, 1, 600_000, 0), [], "the token comes in time");
    assert_eq!(gate.next_tick_us(0), Some(500_000));
    assert_eq!(tick(&mut gate, 500_000), [GateAction::Start { attempt: attempt(2) }]);
}

#[test]
fn queued_call_is_declined_when_the_limit_begins() {
    let mut gate = gate();
    for seq in 0..6 {
        assert_eq!(arrive(&mut gate, seq, 1, SECOND_US, 0), [GateAction::Start { attempt: attempt(seq) }]);
    }
    assert_eq!(arrive(&mut gate, 6, 1, SECOND_US, 0), []);
    answer(&mut gate, RequestedRate::PerS(0.2), 0, 1_000);
    let reason = DeclineReason::RateLimited;
    assert_eq!(tick(&mut gate, 1_000), [GateAction::Bounce { attempt: attempt(6), reason }]);
}

#[test]
fn nested_call_takes_token_before_callers() {
    let mut gate = gate();
    answer(&mut gate, RequestedRate::PerS(4.0), 0, 0);
    assert_eq!(arrive(&mut gate, 1, 1, SECOND_US, 0), []);
    assert_eq!(arrive(&mut gate, 2, 0, SECOND_US, 0), []);
    assert_eq!(tick(&mut gate, 250_000), [GateAction::Start { attempt: attempt(2) }]);
}

#[test]
fn restarted_node_runs_two_calls_until_answered() {
    let mut gate = gate();
    gate.rate_limit().restart(false, 0);
    let starts =
        (0..6).filter(|seq| arrive(&mut gate, *seq, 1, SECOND_US, 0) == [GateAction::Start { attempt: attempt(*seq) }]);
    assert_eq!(starts.count(), 2);
    answer(&mut gate, RequestedRate::None, 0, 1_000);
    assert_eq!(tick(&mut gate, 1_000).len(), 4);
}

#[test]
fn limited_server_gets_no_requests_for_its_speed() {
    let mut gate = gate();
    gate.on_slowdown_reported(400, 0);
    gate.on_slowdown_reported(100, 1_000);
    answer(&mut gate, RequestedRate::PerS(4.0), 0, 1_000);
    assert!(!gate.needs_speed_update(RUN_US, SECOND_US) && !gate.needs_episode_update(SECOND_US));
}

#[test_case(LoadReport { limit: 6, in_flight: 2, ..LoadReport::default() }; "without a limit")]
#[test_case(LoadReport { limit: 0, start_delay_ms: 2_345, ..LoadReport::default() }; "without a token")]
#[test_case(LoadReport { limit: 0, ..LoadReport::default() }; "a cold server without starts")]
fn start_delay_survives_packing(load: LoadReport) {
    let bytes = postcard::to_stdvec(&load).expect("a report");
    assert_eq!(postcard::from_bytes::<LoadReport>(&bytes), Ok(load));
}

#[test]
fn load_report_without_limit_keeps_its_size() {
    let load = LoadReport { limit: 6, in_flight: 2, service_us: 20_000, ..LoadReport::default() };
    assert_eq!(postcard::to_stdvec(&load).map(|bytes| bytes.len()), Ok(11));
}

/// One step of the property.
#[derive(Debug, Clone, Copy)]
enum Step {
    Arrive {
        priority: u8,
        wait_ms: u64,
    },
    /// An answer to a call that began this long ago.
    Answer {
        rate_per_s: Option<f64>,
        ago_ms: u64,
    },
    Restart,
    Pass {
        ms: u64,
    },
}

fn some_step() -> impl Strategy<Value = Step> {
    let rates = vec![None, Some(0.0), Some(0.4), Some(6.5), Some(40.0)];
    prop_oneof![
        6 => (0..3_u8, 0..400_u64).prop_map(|(priority, wait_ms)| Step::Arrive { priority, wait_ms }),
        1 => (prop::sample::select(rates), 0..300_u64)
            .prop_map(|(rate_per_s, ago_ms)| Step::Answer { rate_per_s, ago_ms }),
        1 => Just(Step::Restart),
        4 => (1..200_u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(49),
        ..Default::default()
    })]

    #[test]
    fn no_window_exceeds_a_limit_that_holds(steps in prop::collection::vec(some_step(), 1..200)) {
        let (mut gate, mut now_us) = (gate(), 0_u64);
        // Time since which the present limit holds, and the starts since then.
        let (mut held_since_us, mut starts_us, mut limit) = (0, Vec::new(), None);
        for (seq, step) in steps.into_iter().enumerate() {
            let mut actions = Vec::new();
            match step {
                Step::Arrive { priority, wait_ms } => {
                    actions = arrive(&mut gate, seq as u64, priority, wait_ms * 1000, now_us);
                }
                Step::Answer { rate_per_s, ago_ms } => {
                    let requested = rate_per_s.map_or(RequestedRate::None, RequestedRate::PerS);
                    answer(&mut gate, requested, now_us.saturating_sub(ago_ms * 1000), now_us);
                }
                Step::Restart => gate.rate_limit().restart(true, now_us),
                Step::Pass { ms } => {
                    now_us += ms * 1000;
                    actions = tick(&mut gate, now_us);
                }
            }
            if gate.rate_limit().rate_per_s() != limit {
                limit = gate.rate_limit().rate_per_s();
                (held_since_us, starts_us) = (now_us, Vec::new());
            }
            for action in actions {
                if let GateAction::Start { attempt } = action {
                    starts_us.push(now_us);
                    gate.handle(GateEvent::Done { attempt, healthy: true }, now_us, &mut Vec::new());
                }
            }
            if let Some(rate_per_s) = limit {
                let held_s = (now_us - held_since_us) as f64 / 1e6;
                let allowed = rate_per_s * held_s + 1.0 + 0.25 * rate_per_s;
                prop_assert!(starts_us.len() as f64 <= allowed + 1e-6, "{} of {allowed}", starts_us.len());
            }
        }
        prop_assert_eq!(gate.drain_over_limit(), 0);
    }
}
