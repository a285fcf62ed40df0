//! What a node has read of the store, kept for the nodes that follow it in place of the store.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::store::{Change, Era, Item, Position, Relation};

/// News older than this are not relied on where an operator's change is to be in force within two seconds, in
/// microseconds: a node that finds its relay behind still has to find another one.
pub const AGE_MAX_US: u64 = 1_200_000;
/// Part of the age up to which news are relied on for which one call for changes waits, in twelfths: it says how old the
/// news of followers may be.
const WAIT_TWELFTHS: u64 = 7;
/// The same where relays pass the news on, which then grow older on their way.
const POLL_TWELFTHS: u64 = 5;
/// The same part for which changes are gathered.
const GATHER_TWELFTHS: u64 = 2;
/// The same when it is about to be behind, in milliseconds.
const RELAY_WAIT_MIN_MS: u64 = 50;
/// A relay's call is to end this long before its news are too old, in milliseconds: the answer is
/// on its way for some milliseconds, and a relay may be short of processor time.
const RELAY_AHEAD_MS: u64 = 250;
/// Changes that are kept for followers; one that is further behind is sent everything.
const CHANGES_MAX: usize = 512;

/// What a follower is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreNews {
    /// Whether the changes are all items there are, and what is not among them does not exist.
    pub whole: bool,
    /// The changes, in their order.
    pub changes: Vec<Change>,
    /// Position up to which they go.
    pub at: Position,
}

/// What became of something that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It is the newest that is known.
    Newest,
    /// It shows an earlier state than is known, and was dropped.
    Outdated,
    /// It does not go on from what is known, since the store has come back older; everything is to be read.
    Disconnected,
}

/// Items of the store as this node has read them, with their latest changes.
#[derive(Debug, Clone)]
pub struct ChangeLog {
    items: BTreeMap<String, Item>,
    changes: VecDeque<Change>,
    /// `changes` holds all that came after this position.
    complete_after: Position,
    /// Position up to which the store was read.
    at: Position,
    /// When the store was last known to stand at `at`; none when a call has failed since.
    confirmed_us: Option<u64>,
    /// Age up to which it is relied on, in microseconds.
    age_max_us: u64,
}

impl Default for ChangeLog {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            changes: VecDeque::new(),
            complete_after: Position::default(),
            at: Position::default(),
            confirmed_us: None,
            age_max_us: AGE_MAX_US,
        }
    }
}

impl ChangeLog {
    /// Makes an empty log that is relied on up to an age, in microseconds.
    pub fn with_age_max(age_max_us: u64) -> Self {
        Self { age_max_us, ..Self::default() }
    }

    /// Returns the age up to which news are relied on, in microseconds.
    pub fn age_max_us(&self) -> u64 {
        self.age_max_us
    }

    /// Returns where a key's last change stands, if the key exists.
    pub fn position_of(&self, key: &str) -> Option<Position> {
        self.items.get(key).map(|item| item.position)
    }

    /// Returns the position up to which the store was read; the start of its era before the first read.
    pub fn position(&self) -> Position {
        self.at
    }

    /// Returns the latest era that was heard of.
    pub fn era(&self) -> Era {
        self.at.era()
    }

    /// Returns all items.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Notes that the store is in an era; returns whether it is a later one, of which nothing is known yet.
    pub fn enter(&mut self, era: Era) -> bool {
        if era <= self.at.era() {
            return false;
        }
        let start = Position::start_of(era);
        *self = Self { at: start, complete_after: start, ..Self::with_age_max(self.age_max_us) };
        true
    }

    /// Takes all items, as the store held them at `at` and at `confirmed_us`.
    ///
    /// Across eras the later one counts, whatever the revisions are: a store that came back older stands at a
    /// lower revision than was read before, and its reads would be dropped until it has reached that one again.
    pub fn read(&mut self, items: &[Item], at: Position, confirmed_us: u64) -> Taken {
        if self.at.supersedes(at) {
            return Taken::Outdated;
        }
        self.items = items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        self.changes.clear();
        self.complete_after = at;
        self.at = at;
        self.confirmed_us = Some(confirmed_us);
        Taken::Newest
    }

    /// Takes the changes between `after` and `at`, where the store stood at `confirmed_us`.
    ///
    /// They are taken only where they go on from what is known. An answer of a later era tells the changes behind the
    /// same revision, and nothing of what the store has lost and has written up to there instead.
    pub fn apply(&mut self, changes: &[Change], after: Position, at: Position, confirmed_us: u64) -> Taken {
        if at.era() == self.at.era() && (self.at.is_start() || after.relation_to(self.at).is_gap()) {
            return Taken::Disconnected;
        }
        match at.relation_to(self.at) {
            // The second is of a relay that has read less than this node.
            Relation::EarlierEra | Relation::Before => return Taken::Outdated,
            Relation::LaterEra => return Taken::Disconnected,
            Relation::Same | Relation::Behind => self.at = at,
        }
        for change in changes {
            match change {
                Change::Put(item) => {
                    self.items.insert(item.key.clone(), item.clone());
                }
                Change::Gone { key, .. } => {
                    self.items.remove(key);
                }
            }
            self.changes.push_back(change.clone());
        }
        while self.changes.len() > CHANGES_MAX {
            if let Some(dropped) = self.changes.pop_front()
                && dropped.position().supersedes(self.complete_after)
            {
                self.complete_after = dropped.position();
            }
        }
        self.confirmed_us = self.confirmed_us.max(Some(confirmed_us));
        Taken::Newest
    }

    /// Notes that the store, or the relay in its place, did not answer.
    pub fn lose(&mut self) {
        self.confirmed_us = None;
    }

    /// Returns until when the log may be relied on, in microseconds; none when it may not.
    pub fn current_until_us(&self) -> Option<u64> {
        self.confirmed_us.map(|confirmed_us| confirmed_us + self.age_max_us)
    }

    /// Returns how long a relay's next call for changes may wait, in milliseconds, so that its
    /// answer comes before the log is too old for followers.
    pub fn relay_wait_ms(&self, now_us: u64) -> u64 {
        let left_ms = self.current_until_us().map_or(0, |until_us| until_us.saturating_sub(now_us) / 1000);
        left_ms.saturating_sub(RELAY_AHEAD_MS).clamp(RELAY_WAIT_MIN_MS, self.wait_max_ms())
    }

    /// Returns how long the next call for changes of the reader may wait, in milliseconds, so that its news are never
    /// older than they may be for relays to pass them on.
    pub fn reader_poll_ms(&self, now_us: u64) -> u64 {
        let left_ms = self.part_ms(POLL_TWELFTHS).saturating_sub(self.age_us(now_us) / 1_000);
        left_ms.max(RELAY_WAIT_MIN_MS)
    }

    /// Returns for how long changes are gathered before they are read, in milliseconds: those that come together are then
    /// read in one call.
    pub fn gather_ms(&self) -> u64 {
        self.part_ms(GATHER_TWELFTHS)
    }

    /// Returns whether the news of a reader are older than those of one that the store answers.
    pub fn is_reader_late(&self, age_ms: u32) -> bool {
        u64::from(age_ms) > self.part_ms(POLL_TWELFTHS + GATHER_TWELFTHS) + RELAY_AHEAD_MS / 2
    }

    /// Returns how long one question of a relay to the reader waits, in milliseconds, so that the news of both together
    /// are not too old for followers.
    pub fn reader_wait_ms(&self) -> u64 {
        let taken_ms = self.part_ms(POLL_TWELFTHS + GATHER_TWELFTHS) + RELAY_AHEAD_MS;
        (self.age_max_us / 1_000).saturating_sub(taken_ms).max(RELAY_WAIT_MIN_MS)
    }

    /// Returns the longest wait of a call for changes, in milliseconds.
    fn wait_max_ms(&self) -> u64 {
        self.part_ms(WAIT_TWELFTHS)
    }

    const fn part_ms(&self, twelfths: u64) -> u64 {
        self.age_max_us / 1_000 * twelfths / 12
    }

    /// Returns whether there is something that a node lacks which has read the store up to `after`.
    pub fn is_newer_than(&self, after: Position) -> bool {
        self.at.supersedes(after)
    }

    /// Returns how long ago the store was known to stand at the position of the log, in milliseconds.
    pub fn age_ms(&self, now_us: u64) -> u32 {
        (self.age_us(now_us) / 1_000).min(u64::from(u32::MAX)) as u32
    }

    fn age_us(&self, now_us: u64) -> u64 {
        self.confirmed_us.map_or(u64::MAX, |confirmed_us| now_us.saturating_sub(confirmed_us))
    }

    /// Returns what a node lacks that has read the store up to `after`: everything, where that is a position that
    /// this log cannot go on from.
    pub fn since(&self, after: Position) -> StoreNews {
        let goes_on = match after.relation_to(self.at) {
            Relation::Before | Relation::Same => !self.complete_after.supersedes(after),
            Relation::Behind | Relation::EarlierEra | Relation::LaterEra => false,
        };
        let changes = match goes_on {
            true => self.changes.iter().filter(|change| change.position().supersedes(after)).cloned().collect(),
            false => self.items.values().cloned().map(Change::Put).collect(),
        };
        StoreNews { whole: !goes_on, changes, at: self.at }
    }
}
