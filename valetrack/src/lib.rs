//! Decisions and shells of valetrack, a load balancer for servers whose load shifts in
//! milliseconds.
//!
//! The pure decisions can be used without the process around them, on any test bench with a
//! clock and a network of its own. Each takes its state, an event and `now` and appends actions:
//!
//! - [`placement::Call`] with [`placement::ServiceView`]: the life of a call at its entry;
//! - [`gate::Gate`]: slots and the queue before one server;
//! - [`claim::PageHome`]: at most once for calls with a key;
//! - [`crash::CrashBook`], [`crash::CrashDetector`]: calls that crash upstreams;
//! - [`member::Members`], [`bundle::Adoption`]: views that only go forward;
//! - [`placement::RateBudget`], [`placement::RepeatBudget`]: budgets;
//! - [`timeline::HybridClock`]: the order of events.

pub mod admin;
pub mod bundle;
pub mod caller;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod code;
pub mod crash;
pub mod gate;
mod jobs;
pub mod link;
pub mod member;
pub mod metric;
pub mod node;
pub mod placement;
pub mod platform;
pub mod quota;
mod rendezvous;
pub mod rollout;
pub mod settings;
pub mod store;
pub mod timeline;

#[cfg(test)]
mod tests;
