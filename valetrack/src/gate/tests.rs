//! Tests of the gate: its state machine under random events, and connections to a misbehaving server.

mod account_share;
mod acknowledgement;
mod cold;
mod connection;
mod crash;
mod departure;
mod endless;
mod evacuation;
mod life;
mod limit;
mod node_start;
mod origin;
mod outage;
mod property;
mod rank;
mod rate_limit;
mod rate_limited_gate;
mod speed;
mod steps;
mod suspect;
mod suspension;
mod upstream;

use super::{AttemptId, GateEvent, Objective, QueueTimeout};

/// Returns the arrival of an attempt of a call that no run made.
fn caller_arrival(
    attempt: AttemptId,
    deadline_us: u64,
    patience: QueueTimeout,
    priority: u8,
    objective: Option<Objective>,
) -> GateEvent {
    GateEvent::Arrive { attempt, deadline_us, patience, priority, objective, is_nested: false }
}
