//! The border of the store: what may be asked of it and how it may fail.

use futures::future::BoxFuture;
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::code::Code;

/// A value with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of its last change; it only grows.
    pub revision: u64,
}

/// How a compare-and-swap ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// It took effect at this revision.
    At(u64),
    /// The key had another revision than expected, so nothing changed.
    Refused,
}

/// How a call to the store may fail.
#[derive(Debug, Clone, Snafu, PartialEq, Eq)]
pub enum StoreError {
    /// The call was not sent, or was a read.
    #[snafu(display("store not reached: {reason}"))]
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// The store turned the call away and did nothing.
    #[snafu(display("store turned the call away: {reason}"))]
    Refused {
        /// What it said.
        reason: String,
    },
    /// The store no longer knows what changed since the revision that was asked for.
    #[snafu(display("store has dropped that part of its history"))]
    HistoryGone,
    /// The lease is over, or there never was one.
    #[snafu(display("lease is over"))]
    LeaseOver,
    /// The answer could not be read.
    #[snafu(display("store answered what cannot be read: {reason}"))]
    Invalid {
        /// What was wrong.
        reason: String,
    },
    /// A write was sent and may have taken effect.
    #[snafu(display("store write may or may not have taken effect: {reason}"))]
    Lost {
        /// What happened.
        reason: String,
    },
}

impl StoreError {
    /// Returns the numbered code.
    pub const fn code(&self) -> Code {
        match self {
            Self::Unreachable { .. } => Code::StoreUnreachable,
            Self::Refused { .. } => Code::StoreRefused,
            Self::HistoryGone => Code::StoreHistoryGone,
            Self::LeaseOver => Code::LeaseOver,
            Self::Invalid { .. } => Code::StoreAnswerInvalid,
            Self::Lost { .. } => Code::StoreOutcomeUnknown,
        }
    }
}

/// A change that a watch has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchNews {
    /// The new value; none when the key was deleted.
    pub value: Option<Versioned>,
}

/// The platform's store, as far as valetrack uses it.
pub trait Store: Send + Sync {
    /// Reads one key; none when it does not exist.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Versioned>, StoreError>>;

    /// Writes a key if the revision of its last change is `expected`; zero when it must not
    /// exist.
    fn swap<'a>(&'a self, key: &'a str, expected: u64, value: Vec<u8>) -> BoxFuture<'a, Result<Written, StoreError>>;

    /// Watches one key from a revision on until the connection ends.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        from_revision: u64,
        news: mpsc::Sender<WatchNews>,
    ) -> BoxFuture<'a, Result<(), StoreError>>;
}
