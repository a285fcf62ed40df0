//! Interface of a store with leases: items that expire with their lease, reads by prefix, changes after a revision, and
//! transactions.

use std::time::Duration;

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use super::message::StoreError;
use super::position::{Era, Position};

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub key: String,
    pub value: Vec<u8>,
    /// Position of its last change.
    pub position: Position,
    /// The lease that the item expires with; `None` if it doesn't expire.
    pub lease: Option<u64>,
}

/// A change of an item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The item was written.
    Put(Item),
    /// The item was removed or expired.
    Gone {
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

    /// Returns the key of the changed item.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(item) => &item.key,
            Self::Gone { key, .. } => key,
        }
    }

    /// Returns the item if the change wrote it.
    pub fn item(&self) -> Option<&Item> {
        match self {
            Self::Put(item) => Some(item),
            Self::Gone { .. } => None,
        }
    }
}

/// One page of the items under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The items, ordered by key.
    pub items: Vec<Item>,
    /// Whether more items follow the last one.
    pub has_more: bool,
    /// Position of the store when it read the page.
    pub at: Position,
}

/// The changes after a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The changes in order; empty if the wait ended without one.
    pub changes: Vec<Change>,
    /// Position up to which the changes are complete. If the store was rolled back, the position is of another era than
    /// the one in the request, and the changes in between are not included.
    pub at: Position,
}

/// A granted lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    pub id: u64,
    /// Time until the lease expires if it isn't renewed.
    pub ttl_ms: u64,
    /// The era in which the lease was granted. In a later era, the id may belong to another lease.
    pub era: Era,
}

/// A conditional write of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeasedWrite {
    pub key: String,
    /// Position of its last change that must still be current; `None` if the key must not exist.
    ///
    /// The store compares only the revision: after a store rollback, the write may replace a value that was never read.
    /// The position in [`CommitOutcome::At`] then is of another era.
    pub expected: Option<Position>,
    pub value: Vec<u8>,
    /// The lease that the item expires with; `None` if it doesn't expire.
    pub lease: Option<u64>,
}

/// One change of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeasedChange {
    /// Writes a key.
    Put(LeasedWrite),
    /// Removes a key if the position of its last change is still current.
    Remove {
        key: String,
        /// Position of its last change that must still be current.
        expected: Position,
    },
}

impl LeasedChange {
    /// Returns the key of the change.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(write) => &write.key,
            Self::Remove { key, .. } => key,
        }
    }

    /// Returns the position of the key's last change that must still be current; `None` if the key must not exist.
    pub fn expected(&self) -> Option<Position> {
        match self {
            Self::Put(write) => write.expected,
            Self::Remove { expected, .. } => Some(*expected),
        }
    }
}

/// Outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// All changes took effect at this position.
    At(Position),
    /// A condition failed and nothing changed. Lists each key in the transaction with its current item; `None` for a key
    /// that doesn't exist.
    Conflict(Vec<(String, Option<Item>)>),
}

/// Most changes in one transaction. The platform accepts 32 entries, and each change needs a condition as well.
pub const TRANSACTION_MAX: usize = 16;

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The write took effect at this position.
    At(Position),
    /// The condition failed and nothing changed. Holds the current item; `None` if the key doesn't exist.
    Conflict(Option<Item>),
}

/// How old the result of a read may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The result shows the current state of the store.
    Current,
    /// The result may be some seconds old, as of the position in the page. It costs a fraction of a current read.
    Earlier,
}

/// Operations that valetrack uses of a store with leases.
pub trait LeaseStore: Send + Sync {
    /// Reads a page of the items under a prefix, starting behind the key `after` if it is given.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        freshness: Freshness,
    ) -> BoxFuture<'a, Result<Page, StoreError>>;

    /// Waits up to `wait` for changes under a prefix after a position.
    ///
    /// Fails with [`StoreError::HistoryGone`] if the store no longer has the changes since that position, and with
    /// [`StoreError::ChangesTooLarge`] if they do not fit into an answer.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: Position,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, StoreError>>;

    /// Grants a lease.
    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, Result<Lease, StoreError>>;

    /// Renews a lease and returns the era of the store. Fails with [`StoreError::LeaseOver`] if the lease has ended.
    fn renew(&self, lease: u64) -> BoxFuture<'_, Result<Era, StoreError>>;

    /// Removes a key if its last change is still at `expected`. The lease is left to expire, because its id may belong
    /// to another lease by now.
    fn remove<'a>(&'a self, key: &'a str, expected: Position) -> BoxFuture<'a, Result<CommitOutcome, StoreError>>;

    /// Makes up to [`TRANSACTION_MAX`] changes, all or none. Fails with [`StoreError::LeaseOver`] if a lease in the
    /// changes has ended.
    fn transact<'a>(&'a self, changes: &'a [LeasedChange]) -> BoxFuture<'a, Result<TransactionOutcome, StoreError>>;

    /// Writes a key under a condition. Fails with [`StoreError::LeaseOver`] if the lease has ended.
    fn commit<'a>(&'a self, write: &'a LeasedWrite) -> BoxFuture<'a, Result<CommitOutcome, StoreError>>;
}
