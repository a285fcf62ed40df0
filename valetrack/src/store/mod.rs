//! Client of the platform's store: compare-and-swap, leases and watches over HTTP.
//!
//! Contract: every call is counted, a waiting watch as one; a call ends within its time limit; a
//! write whose answer is lost is told apart from one that was refused.

mod client;
mod message;
#[cfg(test)]
mod tests;

pub use client::{HttpStore, StoreCounts};
pub use message::{Store, StoreError, Versioned, WatchNews, Written};
