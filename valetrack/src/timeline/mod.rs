//! The time line: events of all processes in causal order.
//!
//! Contract: a process's stamps only grow; a message carries its sender's stamp and its receiver
//! goes on from there, so an event never stands before one that caused it, whatever the clocks
//! of the VMs say.

pub mod log;
mod message;
mod sink;
mod state;
#[cfg(test)]
mod tests;

pub use message::{Event, Field, LineError, OrNone, Quoted, parse};
pub use sink::{LineSink, admits};
pub use state::{AHEAD_MAX_MS, HybridClock, merge, stamp_ms};
