//! Since when the store's history is known to be one, not broken by a return from a copy.
//!
//! No store comes back from a copy while a connection to it lasts. So one connection proves that the history is unbroken
//! from its first answer on, and the connections of several nodes that overlap prove it for as long as any of them
//! lasted.

use serde::{Deserialize, Serialize};

use crate::store::{Era, HistoryName, Position};

/// What one node tells others of the store's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attestation {
    /// The history is unbroken from this revision on.
    pub since_revision: u64,
    /// The latest revision that it has seen.
    pub latest_revision: u64,
    /// How long ago the store was asked last over the connection that proves it, in microseconds.
    pub verified_ago_us: u64,
}

/// Where the store stood as it answered a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answered {
    /// Its position.
    pub at: Position,
    /// Name of its history, where the answer has told it.
    pub history: Option<HistoryName>,
    /// When the call was sent, in microseconds.
    pub sent_us: u64,
}

/// What an answer says of the store's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Course {
    /// It goes on.
    Unbroken,
    /// It came over another connection than the last: the store may have come back from a copy.
    Reconnected,
    /// The store has come back from a copy, though the connection has lasted.
    Returned,
}

/// What one node knows of the store's history.
#[derive(Debug, Clone, Default)]
pub struct Continuity {
    /// The connection, as the store's client counts them.
    era: Era,
    /// The first connection that answered.
    first: Option<Era>,
    /// The name of the history, as it was first told over the connection.
    history: Option<HistoryName>,
    /// The history is unbroken from this revision on.
    since_revision: u64,
    /// The latest revision of it that anybody has seen.
    latest_revision: u64,
    /// When the connection was first known to be there, in microseconds.
    began_us: u64,
    /// When the last call that was answered over it was sent, in microseconds.
    verified_us: u64,
}

impl Continuity {
    /// Notes an answer that came at `now_us`.
    pub fn answered(&mut self, answered: Answered, now_us: u64) -> Course {
        let Answered { at, history, sent_us } = answered;
        if self.first.is_none() || at.era() != self.era {
            let is_first = self.first.is_none();
            self.begin(answered, now_us);
            return if is_first { Course::Unbroken } else { Course::Reconnected };
        }
        let is_renamed = history.is_some() && self.history.is_some() && history != self.history;
        // An answer may be overtaken by a later one, but not by one to a call that was sent after it had come.
        if is_renamed || (at.wire_revision() < self.latest_revision && sent_us >= self.verified_us) {
            return Course::Returned;
        }
        self.history = self.history.or(history);
        self.latest_revision = self.latest_revision.max(at.wire_revision());
        self.verified_us = self.verified_us.max(sent_us);
        Course::Unbroken
    }

    fn begin(&mut self, answered: Answered, now_us: u64) {
        self.first.get_or_insert(answered.at.era());
        self.era = answered.at.era();
        self.history = answered.history;
        self.since_revision = answered.at.wire_revision();
        self.latest_revision = self.since_revision;
        self.began_us = now_us;
        self.verified_us = now_us;
    }

    /// Takes what another node told in reply to a question that was sent at `asked_us`; returns whether the history is
    /// known to go further back now.
    ///
    /// It counts only if that node's connection was there after this node's own had begun: then one of both was there
    /// at any time.
    pub fn attested(&mut self, told: Attestation, asked_us: u64) -> bool {
        let overlaps = self.first.is_some() && asked_us.saturating_sub(told.verified_ago_us) >= self.began_us;
        if !overlaps {
            return false;
        }
        self.latest_revision = self.latest_revision.max(told.latest_revision);
        let goes_back = told.since_revision < self.since_revision;
        self.since_revision = self.since_revision.min(told.since_revision);
        goes_back
    }

    /// Returns whether a change at a position belongs to the unbroken history.
    pub fn covers(&self, position: Position) -> bool {
        self.first.is_some() && position.era() == self.era && position.wire_revision() > self.since_revision
    }

    /// Returns whether the first connection still lasts, or there was none yet.
    pub fn is_first(&self) -> bool {
        self.first.is_none_or(|first| first == self.era)
    }

    /// Returns when the connection was last known to be there, in microseconds.
    pub fn verified_us(&self) -> u64 {
        self.verified_us
    }

    /// Returns what this node may tell others at `now_us`; none before the store has answered.
    pub fn attestation(&self, now_us: u64) -> Option<Attestation> {
        let verified_ago_us = now_us.saturating_sub(self.verified_us);
        let Self { since_revision, latest_revision, .. } = *self;
        self.first.map(|_| Attestation { since_revision, latest_revision, verified_ago_us })
    }
}
