//! Keys of a page in memory, and their conversion from and to the page in the store.

use super::message::{KeptAnswer, KeyDigest, KeyedCallId, PageEntry, Record};
use crate::store::Position;

/// Rules for the claims of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimRule {
    /// How long a key is kept.
    pub lifetime_s: u64,
    /// Whether calls run on claims in memory while the store is unavailable.
    pub held: bool,
    /// Most keys in one page.
    pub entries_max: usize,
}

/// This node's own view of whether it is the home of a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Hold {
    /// Another node may be the home.
    NotHeld,
    /// The page is being read.
    Reading,
    /// This node is the home as of this position.
    Held { position: Position },
    /// A write on this position is in flight.
    Writing { expected: Position, purpose: Purpose, is_suspect: bool },
    /// This node was the home, and the outcome of one of its writes is unknown.
    Uncertain,
    /// Another node is the home, and its page may lack keys that this node has recorded.
    Reporting,
}

/// Purpose of writing a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Purpose {
    /// This node is the home and writes its records.
    Update,
    /// This node leaves and writes the page without a home.
    HandOver,
    /// Another node is the home, and its page lacks keys that this node has recorded.
    Report,
}

/// This node's record of a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum State {
    /// Claimed in memory; no write with the claim is confirmed.
    Fresh,
    /// The call is running.
    Running,
    /// The call ran.
    Finished(KeptAnswer),
    /// The call may have run.
    Lost,
}

/// One key in memory.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Entry {
    pub(super) call: u64,
    pub(super) claimed_s: u64,
    pub(super) state: State,
    /// Keyed calls that wait for the outcome.
    pub(super) keyed_calls: Vec<KeyedCallId>,
}

/// A keyed call that waits to be decided.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Pending {
    pub(super) id: KeyedCallId,
    pub(super) key: KeyDigest,
    pub(super) call: u64,
}

impl Entry {
    /// Converts an entry of a page. A key that was claimed and not finished may have run.
    pub(super) fn read(entry: &PageEntry) -> Self {
        let state = match &entry.record {
            Record::Finished(answer) => State::Finished(answer.clone()),
            Record::Claimed | Record::Lost => State::Lost,
        };
        Self { call: entry.call, claimed_s: entry.claimed_s, state, keyed_calls: Vec::new() }
    }

    /// Returns the keyed calls that wait for the outcome, to be decided again.
    pub(super) fn into_pending(self, key: KeyDigest) -> impl Iterator<Item = Pending> {
        let call = self.call;
        self.keyed_calls.into_iter().map(move |id| Pending { id, key, call })
    }

    /// Returns whether a call with this key may have started.
    pub(super) fn may_have_run(&self) -> bool {
        self.state != State::Fresh
    }

    /// Returns the entry of this key for the page.
    pub(super) fn written(&self, key: KeyDigest) -> PageEntry {
        let record = match &self.state {
            State::Fresh | State::Running => Record::Claimed,
            State::Finished(answer) => Record::Finished(answer.clone()),
            State::Lost => Record::Lost,
        };
        PageEntry { key, call: self.call, claimed_s: self.claimed_s, record }
    }
}
