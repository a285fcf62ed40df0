//! The border of a store with leases: items that go when their lease goes, prefix reads, changes
//! after a revision, and transactions.

use std::time::Duration;

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};

use super::message::StoreError;

/// One item of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
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
        /// Revision of the change.
        revision: u64,
    },
}

impl Change {
    /// Returns the revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Put(item) => item.revision,
            Self::Gone { revision, .. } => *revision,
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
    /// Revision of the store as the page was read.
    pub at_revision: u64,
}

/// What has changed after a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The changes, in their order; none when the wait ended without one.
    pub changes: Vec<Change>,
    /// Revision up to which they go.
    pub at_revision: u64,
}

/// A lease as it was granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// Its id.
    pub id: u64,
    /// How long it holds without being renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// One write of a key under a condition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeasedWrite {
    /// The key.
    pub key: String,
    /// Revision of its last change that must still hold; zero when it must not exist.
    pub expected: u64,
    /// The value.
    pub value: Vec<u8>,
    /// The lease that it goes with.
    pub lease: u64,
}

/// How a write under a condition ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Committed {
    /// It took effect at this revision.
    At(u64),
    /// The key stands at this revision instead of the expected one, so nothing changed; zero when
    /// it does not exist.
    Conflict(u64),
}

/// How old what a read shows may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It shows the store as it stands.
    Current,
    /// It may show the store as it stood some seconds ago, at the revision that the page names; it
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

    /// Waits up to `wait` for changes below a prefix after a revision.
    ///
    /// Fails with [`StoreError::HistoryGone`] when the store no longer knows what changed since.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after_revision: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, StoreError>>;

    /// Makes a lease.
    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, Result<Lease, StoreError>>;

    /// Renews a lease; fails with [`StoreError::LeaseOver`] when it is over.
    fn renew(&self, lease: u64) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Ends a lease and removes its items.
    fn end(&self, lease: u64) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Writes a key under a condition; fails with [`StoreError::LeaseOver`] when the lease is over.
    fn commit<'a>(&'a self, write: &'a LeasedWrite) -> BoxFuture<'a, Result<Committed, StoreError>>;
}
