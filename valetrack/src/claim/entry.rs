//! Keys of a page in memory, and as the store's document has them.

use super::message::{KeptAnswer, KeyDigest, PageEntry, PressId, Record};
use crate::store::Position;

/// How claims of a service are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ClaimRule {
    /// How long a key is remembered, in seconds.
    pub lifetime_s: u64,
    /// Whether to run on claims in memory while the store is away.
    pub held: bool,
    /// Most keys in one page.
    pub entries_max: usize,
}

/// Whether this node is the home, as far as it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Hold {
    /// Another node may be the home.
    Away,
    /// The page is being read.
    Reading,
    /// This node is the home, as of this position.
    Held { position: Position },
    /// A write on this position is under way.
    Writing { expected: Position, purpose: Purpose, doubted: bool },
    /// This node was the home, and a write of its own may or may not have taken effect.
    Unsure,
    /// Another node is the home, and its page may still lack what this node knows.
    Reporting,
}

/// What a page is written for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Purpose {
    /// This node is the home and writes what it knows.
    Keep,
    /// This node leaves and names no home.
    HandOver,
    /// Another node is the home, and its page lacks what this node knows.
    Report,
}

/// What this node knows of a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum State {
    /// Claimed in memory; no write with the claim is confirmed.
    Fresh,
    /// The run is on.
    Running,
    /// It ran.
    Finished(KeptAnswer),
    /// It may have run.
    Lost,
}

/// One key in memory.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Entry {
    pub(super) call: u64,
    pub(super) claimed_s: u64,
    pub(super) state: State,
    /// Presses that wait for the end.
    pub(super) presses: Vec<PressId>,
}

/// A press as it came.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Arrived {
    pub(super) press: PressId,
    pub(super) key: KeyDigest,
    pub(super) call: u64,
}

impl Entry {
    /// Reads a key from a page; one that was claimed and not finished may have run.
    pub(super) fn read(entry: &PageEntry) -> Self {
        let state = match &entry.record {
            Record::Finished(answer) => State::Finished(answer.clone()),
            Record::Claimed | Record::Lost => State::Lost,
        };
        Self { call: entry.call, claimed_s: entry.claimed_s, state, presses: Vec::new() }
    }

    /// Returns the presses that wait for the end, as they came.
    pub(super) fn into_arrived(self, key: KeyDigest) -> impl Iterator<Item = Arrived> {
        let call = self.call;
        self.presses.into_iter().map(move |press| Arrived { press, key, call })
    }

    /// Returns whether anything may have started under this key.
    pub(super) fn may_have_run(&self) -> bool {
        self.state != State::Fresh
    }

    /// Returns what the page says of this key.
    pub(super) fn written(&self, key: KeyDigest) -> PageEntry {
        let record = match &self.state {
            State::Fresh | State::Running => Record::Claimed,
            State::Finished(answer) => Record::Finished(answer.clone()),
            State::Lost => Record::Lost,
        };
        PageEntry { key, call: self.call, claimed_s: self.claimed_s, record }
    }
}
