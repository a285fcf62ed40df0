//! An in-memory store with injected failures.

use std::collections::BTreeMap;
use std::sync::Mutex;

use futures::future::BoxFuture;
use tokio::sync::mpsc;

use crate::store::{Era, HistoryName, Position, ReadResult, Store, StoreError, SwapOutcome, Versioned, WatchUpdate};

/// Outcome of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    Done,
    /// The write takes effect and its answer is lost.
    AnswerLost,
    /// The write takes no effect and its answer is lost.
    Dropped,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Name of its history; it changes with each restore from a copy.
    history: u64,
    entries: BTreeMap<String, Versioned>,
    outcomes: Vec<WriteOutcome>,
    down: bool,
    /// Key and value of another operator's write, applied just before the next write.
    competing_write: Option<(String, Vec<u8>)>,
}

#[derive(Default)]
pub struct FakeStore(Mutex<State>);

impl FakeStore {
    pub fn set_outcomes(&self, outcomes: &[WriteOutcome]) {
        self.0.lock().expect("no panic").outcomes = outcomes.iter().rev().copied().collect();
    }

    pub fn set_down(&self, down: bool) {
        self.0.lock().expect("no panic").down = down;
    }

    pub fn set_competing_write(&self, key: &str, value: Vec<u8>) {
        self.0.lock().expect("no panic").competing_write = Some((key.to_owned(), value));
    }

    /// Writes a key unconditionally.
    pub fn put(&self, key: &str, value: Vec<u8>) {
        self.0.lock().expect("no panic").put(key, value);
    }

    /// Returns a copy of the store's contents, to be restored later.
    pub fn copy(&self) -> (u64, BTreeMap<String, Versioned>) {
        let state = self.0.lock().expect("no panic");
        (state.revision, state.entries.clone())
    }

    /// Restores a copy and renames the history.
    pub fn restore(&self, copy: (u64, BTreeMap<String, Versioned>)) {
        self.restore_without_rename(copy);
        self.0.lock().expect("no panic").history += 1;
    }

    /// Restores a copy without renaming the history.
    pub fn restore_without_rename(&self, (revision, entries): (u64, BTreeMap<String, Versioned>)) {
        let mut state = self.0.lock().expect("no panic");
        state.revision = revision;
        state.entries = entries;
    }

    pub fn keys(&self) -> Vec<String> {
        self.0.lock().expect("no panic").entries.keys().cloned().collect()
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>) -> u64 {
        self.revision += 1;
        let kv = Versioned { key: key.to_owned(), value, position: self.at(self.revision) };
        self.entries.insert(key.to_owned(), kv);
        self.revision
    }

    fn at(&self, revision: u64) -> Position {
        Position::new(Era::default(), revision)
    }

    fn swap(&mut self, key: &str, expected: Option<Position>, value: Vec<u8>) -> Result<SwapOutcome, StoreError> {
        if self.down {
            return Err(StoreError::Unreachable { reason: "down".into() });
        }
        let outcome = self.outcomes.pop().unwrap_or(WriteOutcome::Done);
        if outcome == WriteOutcome::Dropped {
            return Err(StoreError::Lost { reason: "dropped".into() });
        }
        if let Some((other_key, other_value)) = self.competing_write.take() {
            self.put(&other_key, other_value);
        }
        let found = self.entries.get(key).map_or(self.at(0), |kv| kv.position);
        let is_expected = expected.unwrap_or(self.at(0)) == found;
        let written = match is_expected {
            true => {
                let revision = self.put(key, value);
                SwapOutcome::At(self.at(revision))
            }
            false => SwapOutcome::Refused,
        };
        if outcome == WriteOutcome::AnswerLost {
            return Err(StoreError::Lost { reason: "answer lost".into() });
        }
        Ok(written)
    }
}

impl Store for FakeStore {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<ReadResult, StoreError>> {
        let state = self.0.lock().expect("no panic");
        let found = match state.down {
            true => Err(StoreError::Unreachable { reason: "down".into() }),
            false => {
                let value = state.entries.get(key).cloned();
                Ok(ReadResult { at: state.at(state.revision), history: Some(HistoryName(state.history)), value })
            }
        };
        Box::pin(async move { found })
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Option<Position>,
        value: Vec<u8>,
    ) -> BoxFuture<'a, Result<SwapOutcome, StoreError>> {
        let written = self.0.lock().expect("no panic").swap(key, expected, value);
        Box::pin(async move { written })
    }

    fn watch<'a>(
        &'a self,
        _key: &'a str,
        _from_revision: u64,
        _updates: mpsc::Sender<WatchUpdate>,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(async { Ok(()) })
    }

    fn end_era(&self) {}

    fn has_lost_contact(&self) -> bool {
        false
    }
}
