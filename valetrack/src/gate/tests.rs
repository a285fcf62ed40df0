//! Tests of the gate: its state machine under random events, and connections to a misbehaving server.

mod account_share;
mod cold;
mod connection;
mod crash;
mod departure;
mod evacuation;
mod life;
mod limit;
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
