//! Tracks since which revision the store's history is unbroken, which means without a store rollback.
//!
//! A connection to the store never outlasts a rollback. A connection therefore proves that the history is unbroken from
//! its first answer on, and overlapping connections of several nodes prove it for as long as any of them was open.

use serde::{Deserialize, Serialize};

use crate::store::{Era, HistoryName, Position};

/// A node's report to other nodes of the unbroken part of the store's history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attestation {
    /// The history is unbroken from this revision on.
    pub since_revision: u64,
    /// The latest revision that the node has seen or received.
    pub latest_revision: u64,
    /// Time since the store was last called over the connection that proves this.
    pub verified_ago_us: u64,
}

/// Position and history identifier of the store in the answer to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreAnswer {
    /// Position of the store when it answered.
    pub at: Position,
    /// Identifier of the store's history; `None` if the answer doesn't include it.
    pub history: Option<HistoryName>,
    /// When the call was sent.
    pub sent_us: u64,
}

/// Whether an answer of the store continues the history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryOutcome {
    /// The answer continues the history.
    Unbroken,
    /// The answer came over another connection than the last one, so the store may have been rolled back.
    Reconnected,
    /// The store was rolled back although the connection is still open.
    RolledBack,
}

/// A node's record of the unbroken part of the store's history.
#[derive(Debug, Clone, Default)]
pub struct Continuity {
    /// The current connection, as numbered by the store's client.
    era: Era,
    /// The first connection that returned an answer.
    first: Option<Era>,
    /// Identifier of the history in the first answer over the connection that included one.
    history: Option<HistoryName>,
    /// The history is unbroken from this revision on.
    since_revision: u64,
    /// The latest revision that this node has seen or received.
    latest_revision: u64,
    /// When the first answer over the connection arrived.
    connected_us: u64,
    /// When the latest answered call over the connection was sent.
    verified_us: u64,
}

impl Continuity {
    /// Records an answer that arrived at `now_us`.
    pub fn record_answer(&mut self, answer: StoreAnswer, now_us: u64) -> HistoryOutcome {
        let StoreAnswer { at, history, sent_us } = answer;
        if self.first.is_none() || at.era() != self.era {
            let is_first = self.first.is_none();
            self.start_connection(answer, now_us);
            return if is_first { HistoryOutcome::Unbroken } else { HistoryOutcome::Reconnected };
        }
        let has_other_name = history.is_some() && self.history.is_some() && history != self.history;
        // A later answer may overtake this one, but not if this call was sent after that answer had arrived.
        if has_other_name || (at.wire_revision() < self.latest_revision && sent_us >= self.verified_us) {
            return HistoryOutcome::RolledBack;
        }
        self.history = self.history.or(history);
        self.latest_revision = self.latest_revision.max(at.wire_revision());
        self.verified_us = self.verified_us.max(sent_us);
        HistoryOutcome::Unbroken
    }

    fn start_connection(&mut self, answer: StoreAnswer, now_us: u64) {
        self.first.get_or_insert(answer.at.era());
        self.era = answer.at.era();
        self.history = answer.history;
        self.since_revision = answer.at.wire_revision();
        self.latest_revision = self.since_revision;
        self.connected_us = now_us;
        self.verified_us = now_us;
    }

    /// Applies an attestation of another node, received in reply to a request sent at `asked_us`. Returns whether the
    /// unbroken history extends further back now.
    ///
    /// The attestation counts only if the other node's connection was still open after this node's own connection
    /// began: then one of the two was open at any time.
    pub fn apply_attestation(&mut self, attestation: Attestation, asked_us: u64) -> bool {
        let overlaps =
            self.first.is_some() && asked_us.saturating_sub(attestation.verified_ago_us) >= self.connected_us;
        if !overlaps {
            return false;
        }
        self.latest_revision = self.latest_revision.max(attestation.latest_revision);
        let extends_back = attestation.since_revision < self.since_revision;
        self.since_revision = self.since_revision.min(attestation.since_revision);
        extends_back
    }

    /// Returns whether a change at a position belongs to the unbroken history.
    pub fn covers(&self, position: Position) -> bool {
        self.first.is_some() && position.era() == self.era && position.wire_revision() > self.since_revision
    }

    /// Returns whether the first connection is still open, or none has been opened yet.
    pub fn is_first(&self) -> bool {
        self.first.is_none_or(|first| first == self.era)
    }

    /// Returns when the connection was last known to be open.
    pub fn verified_us(&self) -> u64 {
        self.verified_us
    }

    /// Returns this node's attestation as of `now_us`; `None` before the store has answered.
    pub fn attestation(&self, now_us: u64) -> Option<Attestation> {
        let verified_ago_us = now_us.saturating_sub(self.verified_us);
        let Self { since_revision, latest_revision, .. } = *self;
        self.first.map(|_| Attestation { since_revision, latest_revision, verified_ago_us })
    }
}
