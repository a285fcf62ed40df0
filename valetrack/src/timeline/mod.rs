//! The timeline: events of all processes in causal order.
//!
//! Contract: the stamps of a process only grow. A message carries its sender's stamp, and the receiver's clock advances
//! to it, so an event is never ordered before its cause, even if the wall clocks of the VMs differ.

pub mod log;
mod message;
mod sink;
mod state;
#[cfg(test)]
mod tests;

pub use message::{Event, Field, LineError, OrNone, Quoted, parse};
pub use sink::{LineSink, admits};
pub use state::{AHEAD_MAX_MS, HybridClock, merge, stamp_ms};
