//! Memory that this process holds for clients, peers and the upstream: one account, bounded by the VM's memory.
//!
//! Contract: bytes are charged before they are read, and the charge ends with their last copy. When the account is full,
//! the connections whose clients hold the most for the longest time without progress are closed first; short requests
//! have room that long ones can't use.

mod account;
mod budget;
mod buffer;
mod client;
mod collect;
mod limit;
#[cfg(test)]
pub mod tests;

pub use account::{Charge, MemoryAccount, Patience};
pub use budget::{Activity, Budget, HeldKind, SMALL_MAX_BYTES, STALL_US};
pub use buffer::ChargedBuffer;
pub use client::ClientConnection;
pub use collect::{CollectError, collect};
pub use limit::{MachineLimits, connections_max};
