//! The admin port: metrics, health, readiness, status and recent events.
//!
//! Contract: the port is read-only.

pub mod run;
