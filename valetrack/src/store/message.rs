//! The border of the store: what may be asked of it and how it may fail.

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use tokio::sync::mpsc;

use super::position::Position;
use crate::code::Code;

/// The store's own name of its history, as decoded from the header of an answer.
///
/// A store that was restored from a copy usually has another name. The name does not say which of two histories came
/// later, and operators may keep it, so an equal name proves nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HistoryName(pub u64);

/// What a read of one key has found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// Where the store stood when it answered.
    pub at: Position,
    /// Name of its history; none where the store tells none.
    pub history: Option<HistoryName>,
    /// The value; none when the key does not exist.
    pub value: Option<Versioned>,
}

impl Found {
    /// Returns where the key stands, as a condition of its next write: the start of the era when it does not exist.
    pub fn position(&self) -> Position {
        self.value.as_ref().map_or(Position::start_of(self.at.era()), |value| value.position)
    }
}

/// A value with the position of its last change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Position of its last change.
    pub position: Position,
}

/// How a compare-and-swap ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// It took effect at this position.
    At(Position),
    /// The key did not stand at the expected position, or that position is of an earlier era, so nothing changed.
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
    /// Reads one key.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Found, StoreError>>;

    /// Writes a key if its last change stands at `expected`; at the start of an era where it must not exist there, none
    /// where it must not exist, whatever the era.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Option<Position>,
        value: Vec<u8>,
    ) -> BoxFuture<'a, Result<Written, StoreError>>;

    /// Watches one key from a revision on until the connection ends.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        from_revision: u64,
        news: mpsc::Sender<WatchNews>,
    ) -> BoxFuture<'a, Result<(), StoreError>>;

    /// Ends the era: the next call begins another one. For whoever has seen that the store has come back from a copy.
    fn end_era(&self);

    /// Returns whether the connection that the era of its positions stands for is known to have ended.
    fn has_lost_contact(&self) -> bool;
}
