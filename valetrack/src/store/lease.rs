//! The border of a store with leases: items that go when their lease goes, prefix reads, changes
//! after a revision, and transactions.

use std::time::Duration;

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use super::message::StoreError;
use super::position::{Era, Position};

/// One item of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Position of its last change.
    pub position: Position,
    /// The lease that it goes with; none where it stays.
    pub lease: Option<u64>,
}

/// One change of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The item was written.
    Put(Item),
    /// The item is no more.
    Gone {
        /// The key.
        key: String,
        /// Position of the change.
        position: Position,
    },
}

impl Change {
    /// Returns the position of the change.
    pub fn position(&self) -> Position {
        match self {
            Self::Put(item) => item.position,
            Self::Gone { position, .. } => *position,
        }
    }

    /// Returns the key that it changed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(item) => &item.key,
            Self::Gone { key, .. } => key,
        }
    }

    /// Returns the item as it was written, if it was.
    pub fn item(&self) -> Option<&Item> {
        match self {
            Self::Put(item) => Some(item),
            Self::Gone { .. } => None,
        }
    }
}

/// Items below a prefix, or a part of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The items, in the order of their keys.
    pub items: Vec<Item>,
    /// Whether more stand behind the last one.
    pub has_more: bool,
    /// Position of the store as the page was read.
    pub at: Position,
}

/// What has changed after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The changes, in their order; none when the wait ended without one.
    pub changes: Vec<Change>,
    /// Position up to which they go; of another era than was asked for where the store has come back older, and then
    /// they tell nothing of what was skipped.
    pub at: Position,
}

/// A lease as it was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Its id.
    pub id: u64,
    /// How long it holds without being renewed, in milliseconds.
    pub ttl_ms: u64,
    /// The era in which it was granted; in a later one its id may be somebody else's.
    pub era: Era,
}

/// One write of a key under a condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeasedWrite {
    /// The key.
    pub key: String,
    /// Position of its last change that must still hold; none when it must not exist.
    ///
    /// The store compares the revision alone: where it has come back older, the write may replace what was never
    /// read. The position that [`Committed::At`] tells is then of another era.
    pub expected: Option<Position>,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that it goes with; none where it stays.
    pub lease: Option<u64>,
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeasedChange {
    /// A key is written.
    Put(LeasedWrite),
    /// A key is removed whose last change is still at this position.
    Remove {
        /// The key.
        key: String,
        /// Position of its last change that must still hold.
        expected: Position,
    },
}

impl LeasedChange {
    /// Returns the key that it changes.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(write) => &write.key,
            Self::Remove { key, .. } => key,
        }
    }

    /// Returns the position of the key's last change that must still hold; none when it must not exist.
    pub fn expected(&self) -> Option<Position> {
        match self {
            Self::Put(write) => write.expected,
            Self::Remove { expected, .. } => Some(*expected),
        }
    }
}

/// How a transaction ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transacted {
    /// All of it took effect at this position.
    At(Position),
    /// Some key does not stand where it was expected, so nothing changed: where each key that was named stands, none
    /// where it does not exist.
    Conflict(Vec<(String, Option<Position>)>),
}

/// Most changes of one transaction: the platform takes 32 entries, and each change is a condition as well.
pub const TRANSACTION_MAX: usize = 16;

/// How a write under a condition ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Committed {
    /// It took effect at this position.
    At(Position),
    /// The key stands at this position instead of the expected one, so nothing changed; none when
    /// it does not exist.
    Conflict(Option<Position>),
}

/// How old what a read shows may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It shows the store as it stands.
    Current,
    /// It may show the store as it stood some seconds ago, at the position that the page names; it
    /// costs a fraction of the other.
    Earlier,
}

/// A store with leases, as far as valetrack uses it.
pub trait LeaseStore: Send + Sync {
    /// Reads a page of the items below a prefix, behind the key `after` where it is given.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        freshness: Freshness,
    ) -> BoxFuture<'a, Result<Page, StoreError>>;

    /// Waits up to `wait` for changes below a prefix after a position.
    ///
    /// Fails with [`StoreError::HistoryGone`] when the store does not know what changed since.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: Position,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, StoreError>>;

    /// Makes a lease.
    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, Result<Lease, StoreError>>;

    /// Renews a lease and returns the era of the store; fails with [`StoreError::LeaseOver`] when it is over.
    fn renew(&self, lease: u64) -> BoxFuture<'_, Result<Era, StoreError>>;

    /// Removes a key if its last change is still at `expected`; it leaves the lease to run out, whose id may be
    /// somebody else's.
    fn remove<'a>(&'a self, key: &'a str, expected: Position) -> BoxFuture<'a, Result<Committed, StoreError>>;

    /// Makes up to [`TRANSACTION_MAX`] changes, all or none; fails with [`StoreError::LeaseOver`] when a lease that they name
    /// is over.
    fn transact<'a>(&'a self, changes: &'a [LeasedChange]) -> BoxFuture<'a, Result<Transacted, StoreError>>;

    /// Writes a key under a condition; fails with [`StoreError::LeaseOver`] when the lease is over.
    fn commit<'a>(&'a self, write: &'a LeasedWrite) -> BoxFuture<'a, Result<Committed, StoreError>>;
}
