//! The admin port: metrics, health, readiness, status and recent events.
//!
//! Contract: it only tells; nothing can be changed through it.

pub mod run;
