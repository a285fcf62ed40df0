//! Client of the platform's store: compare-and-swap, leases and watches over HTTP.
//!
//! Contract: a call ends within its time limit, and its caller counts it by kind. A write whose answer was lost is
//! reported differently from one that was refused.

mod body;
mod client;
mod lease;
mod message;
mod position;
#[cfg(test)]
mod tests;

pub use body::{BodyError, read_body};
pub use client::HttpStore;
pub use lease::{
    Change, Changes, CommitOutcome, Freshness, Item, Lease, LeaseStore, LeasedChange, LeasedWrite, Page,
    TRANSACTION_MAX, TransactionOutcome,
};
pub use message::{HistoryName, ReadResult, Store, StoreError, SwapOutcome, Versioned, WatchUpdate};
pub use position::{Era, Position, Relation};
