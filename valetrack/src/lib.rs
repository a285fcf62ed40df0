//! State machines and I/O shells of valetrack, a load balancer for servers whose load shifts in milliseconds.
//!
//! The state machines do no I/O and can be used without the rest of the process, for example in a simulation with its
//! own clock and network. Each processes an event at the time `now` and appends actions:
//!
//! - [`placement::Call`] with [`placement::ServiceView`]: the lifecycle of a call at its entry;
//! - [`gate::Gate`]: the slots and the queue of one server;
//! - [`claim::PageHome`]: at-most-once execution of keyed calls;
//! - [`crash::CrashHistory`], [`crash::CrashDetector`]: detection of calls that crash upstreams;
//! - [`member::Members`], [`bundle::Adoption`]: views that never go back to an older state;
//! - [`memory::Budget`]: the memory for clients, peers and the upstream, and the connections that give way;
//! - [`placement::RateBudget`], [`placement::RetryBudget`]: budgets;
//! - [`timeline::HybridClock`]: the causal order of events.

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
pub mod memory;
pub mod metric;
pub mod node;
pub mod placement;
pub mod platform;
pub mod quota;
pub mod region;
mod rendezvous;
pub mod rollout;
pub mod settings;
pub mod store;
pub mod timeline;
pub mod token_bucket;

#[cfg(test)]
mod tests;
