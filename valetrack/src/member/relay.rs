//! Contents of the store as a node has read them, with the latest changes, for the nodes that follow this one.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::store::{Change, Era, Item, Position, Relation};

/// Age above which a node does not rely on what it has read, where an operator's change must be in force within two
/// seconds: a node whose relay is behind needs the rest of that time to find another relay.
pub const AGE_MAX_US: u64 = 1_200_000;
/// Longest wait of a watch call, in twelfths of the age limit: it bounds the age of the changes that followers get.
const WAIT_TWELFTHS: u64 = 7;
/// Longest wait of a watch call of the reader, in twelfths of the age limit: the changes age further while relays
/// forward them.
const POLL_TWELFTHS: u64 = 5;
/// Time for which changes are collected before they are read, in twelfths of the age limit.
const GATHER_TWELFTHS: u64 = 2;
/// Part of a relay's wait for the reader that it uses in a fleet of several regions, in percent; a relay that follows it
/// uses the rest, so that the third step makes the updates of followers no older.
const REGION_WAIT_PERCENT: u64 = 60;
/// Shortest wait of a call for changes.
const RELAY_WAIT_MIN_MS: u64 = 50;
/// A relay's call ends this long before its log exceeds the age limit: the answer is in flight for some milliseconds,
/// and a relay may be short of processor time.
const RELAY_AHEAD_MS: u64 = 250;
/// Number of changes that are kept for followers; a follower that is further behind is sent all items.
const CHANGES_MAX: usize = 512;

/// Latest bundle in the store. Updates announce it; its text, which may be large, is requested apart from them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedBundle {
    /// Number of the bundle.
    pub number: u64,
    /// Position of its item.
    pub position: Position,
}

/// Update of a follower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// Whether the changes are a complete copy, so that keys that are not among them do not exist.
    pub whole: bool,
    /// The changes, in their order, without those of the bundle.
    pub changes: Vec<Change>,
    /// The latest bundle, if it is among the changes.
    pub bundle: Option<PublishedBundle>,
    /// Position up to which the changes are complete.
    pub at: Position,
}

/// Age of an update when its follower receives it.
#[derive(Debug, Clone, Copy)]
pub struct UpdateAge {
    /// Age of the relay's log when it replied.
    pub at_relay_ms: u32,
    /// Latest time at which the relay can have replied if the request reached it at once, in microseconds.
    pub replied_by_us: u64,
}

impl UpdateAge {
    /// Returns the time of the relay's last confirmation, without the time that the reply was in transit or lay here
    /// while the VM was suspended.
    pub fn confirmed_us(self, now_us: u64) -> u64 {
        now_us.min(self.replied_by_us).saturating_sub(u64::from(self.at_relay_ms) * 1_000)
    }
}

/// Outcome of applying a read to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The read was applied and is the newest state.
    Newest,
    /// The read shows an earlier state than the log holds, and was dropped.
    Outdated,
    /// The changes do not continue from the log's position, for example after a store rollback; all items must be read.
    Disconnected,
}

/// Items of the store as this node has read them, with their latest changes.
#[derive(Debug, Clone)]
pub struct ChangeLog {
    items: BTreeMap<String, Item>,
    changes: VecDeque<Change>,
    /// The latest bundle, which is not among the items.
    bundle: Option<PublishedBundle>,
    /// `changes` holds all changes after this position.
    complete_after: Position,
    /// Position up to which the store was read.
    at: Position,
    /// When the store was last known to be at `at`; none if a call has failed since.
    confirmed_us: Option<u64>,
    /// Age limit above which the log is not relied on.
    age_max_us: u64,
}

impl Default for ChangeLog {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            changes: VecDeque::new(),
            bundle: None,
            complete_after: Position::default(),
            at: Position::default(),
            confirmed_us: None,
            age_max_us: AGE_MAX_US,
        }
    }
}

impl ChangeLog {
    /// Creates an empty log with an age limit.
    pub fn with_age_max(age_max_us: u64) -> Self {
        Self { age_max_us, ..Self::default() }
    }

    /// Returns the age limit above which the log is not relied on.
    pub fn age_max_us(&self) -> u64 {
        self.age_max_us
    }

    /// Returns the position of a key's last change, if the key exists.
    pub fn position_of(&self, key: &str) -> Option<Position> {
        self.items.get(key).map(|item| item.position)
    }

    /// Returns the position up to which the store was read; the start of its era before the first read.
    pub fn position(&self) -> Position {
        self.at
    }

    /// Returns the latest era that was observed.
    pub fn era(&self) -> Era {
        self.at.era()
    }

    /// Returns all items.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// Returns the latest bundle.
    pub fn bundle(&self) -> Option<PublishedBundle> {
        self.bundle
    }

    /// Records the latest bundle as of the log's position.
    pub fn set_bundle(&mut self, bundle: PublishedBundle) {
        self.bundle = Some(bundle);
    }

    /// Records that the store is in an era. A later era than the log's empties the log; returns whether it was later.
    pub fn enter(&mut self, era: Era) -> bool {
        if era <= self.at.era() {
            return false;
        }
        let start = Position::start_of(era);
        *self = Self { at: start, complete_after: start, ..Self::with_age_max(self.age_max_us) };
        true
    }

    /// Replaces all items by those that the store held at position `at` and time `confirmed_us`. Within an era, what differs
    /// from the items before is kept for followers, which would otherwise all be sent all items.
    ///
    /// A later era supersedes an earlier one, whatever the revisions are: after a rollback the store is at a lower
    /// revision than was read before, and a comparison by revision would drop its reads until it reaches that one
    /// again.
    pub fn read(&mut self, items: &[Item], at: Position, confirmed_us: u64) -> ApplyOutcome {
        if self.at.supersedes(at) {
            return ApplyOutcome::Outdated;
        }
        let items: BTreeMap<String, Item> = items.iter().map(|item| (item.key.clone(), item.clone())).collect();
        if self.at.is_start() || self.at.era() != at.era() {
            self.changes.clear();
            self.complete_after = at;
        } else {
            difference(&self.items, &items, at).into_iter().for_each(|change| self.keep_for_followers(change));
        }
        self.items = items;
        self.bundle = None;
        self.at = at;
        self.confirmed_us = Some(confirmed_us);
        ApplyOutcome::Newest
    }

    /// Applies the changes between `after` and `at`, where the store was at `confirmed_us`.
    ///
    /// They are applied only if they continue from the log's position. An answer of a later era holds the changes after
    /// the same revision, but neither the changes that the rollback lost nor those written in their place.
    pub fn apply(&mut self, changes: &[Change], after: Position, at: Position, confirmed_us: u64) -> ApplyOutcome {
        if at.era() == self.at.era() && (self.at.is_start() || after.relation_to(self.at).misses_changes()) {
            return ApplyOutcome::Disconnected;
        }
        match at.relation_to(self.at) {
            // `Before` occurs when the relay has read less than this node.
            Relation::EarlierEra | Relation::Before => return ApplyOutcome::Outdated,
            Relation::LaterEra => return ApplyOutcome::Disconnected,
            Relation::Same | Relation::After => self.at = at,
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
            self.keep_for_followers(change.clone());
        }
        self.confirmed_us = self.confirmed_us.max(Some(confirmed_us));
        ApplyOutcome::Newest
    }

    /// Keeps a change for followers in place of an earlier one of its key, so that an update is never much larger than all
    /// items.
    fn keep_for_followers(&mut self, change: Change) {
        self.changes.retain(|earlier| earlier.key() != change.key());
        self.changes.push_back(change);
        while self.changes.len() > CHANGES_MAX {
            if let Some(dropped) = self.changes.pop_front()
                && dropped.position().supersedes(self.complete_after)
            {
                self.complete_after = dropped.position();
            }
        }
    }

    /// Marks the log as stale, since the store or the relay did not answer.
    pub fn mark_stale(&mut self) {
        self.confirmed_us = None;
    }

    /// Returns until when the log may be relied on; none if it is stale.
    pub fn current_until_us(&self) -> Option<u64> {
        self.confirmed_us.map(|confirmed_us| confirmed_us + self.age_max_us)
    }

    /// Returns how long a relay's next call for changes may wait, so that its answer arrives before the log is too old
    /// for followers.
    pub fn relay_wait_ms(&self, now_us: u64) -> u64 {
        let left_ms = self.current_until_us().map_or(0, |until_us| until_us.saturating_sub(now_us) / 1000);
        left_ms.saturating_sub(RELAY_AHEAD_MS).clamp(RELAY_WAIT_MIN_MS, self.wait_max_ms())
    }

    /// Returns how long the reader's next call for changes may wait, so that its log always stays fresh enough for
    /// relays to forward it.
    pub fn reader_poll_ms(&self, now_us: u64) -> u64 {
        let left_ms = self.twelfths_ms(POLL_TWELFTHS).saturating_sub(self.age_us(now_us) / 1_000);
        left_ms.max(RELAY_WAIT_MIN_MS)
    }

    /// Returns how long changes are collected before they are read, so that changes in quick succession are read in one
    /// call.
    pub fn gather_ms(&self) -> u64 {
        self.twelfths_ms(GATHER_TWELFTHS)
    }

    /// Returns how long the reader collects further changes after an answer: a large answer has made the log old, and the
    /// next one confirms it.
    pub fn gather_left_ms(&self, now_us: u64) -> u64 {
        let left_ms = self.twelfths_ms(POLL_TWELFTHS + GATHER_TWELFTHS).saturating_sub(self.age_us(now_us) / 1_000);
        self.gather_ms().min(left_ms)
    }

    /// Returns whether an update of the reader is older than it would be if the store answered the reader.
    pub fn is_reader_late(&self, age_ms: u32) -> bool {
        u64::from(age_ms) > self.twelfths_ms(POLL_TWELFTHS + GATHER_TWELFTHS) + RELAY_AHEAD_MS / 2
    }

    /// Returns whether an update of a relay that follows the reader is older than it would be if the store answered the
    /// reader.
    pub fn is_regional_relay_late(&self, age_ms: u32) -> bool {
        self.is_reader_late(age_ms.saturating_sub(self.region_wait_ms(false) as u32))
    }

    /// Returns how long a relay's request waits in a fleet of several regions, to the reader or to the first relay of
    /// its region.
    pub fn region_wait_ms(&self, to_regional_relay: bool) -> u64 {
        let percent = if to_regional_relay { 100 - REGION_WAIT_PERCENT } else { REGION_WAIT_PERCENT };
        (self.reader_wait_ms() * percent / 100).max(RELAY_WAIT_MIN_MS)
    }

    /// Returns how long a relay's request to the reader waits, so that the delays of both together do not exceed the
    /// age limit of followers.
    pub fn reader_wait_ms(&self) -> u64 {
        let reader_ms = self.twelfths_ms(POLL_TWELFTHS + GATHER_TWELFTHS) + RELAY_AHEAD_MS;
        (self.age_max_us / 1_000).saturating_sub(reader_ms).max(RELAY_WAIT_MIN_MS)
    }

    /// Returns the longest wait of a call for changes.
    fn wait_max_ms(&self) -> u64 {
        self.twelfths_ms(WAIT_TWELFTHS)
    }

    const fn twelfths_ms(&self, twelfths: u64) -> u64 {
        self.age_max_us / 1_000 * twelfths / 12
    }

    /// Returns whether the log goes beyond `after`.
    pub fn is_newer_than(&self, after: Position) -> bool {
        self.at.supersedes(after)
    }

    /// Returns how long ago the store was known to be at the log's position.
    pub fn age_ms(&self, now_us: u64) -> u32 {
        (self.age_us(now_us) / 1_000).min(u64::from(u32::MAX)) as u32
    }

    fn age_us(&self, now_us: u64) -> u64 {
        self.confirmed_us.map_or(u64::MAX, |confirmed_us| now_us.saturating_sub(confirmed_us))
    }

    /// Returns the update for a node that has read the store up to `after`: the later changes, or all items if the log
    /// does not hold every change after that position.
    pub fn since(&self, after: Position) -> StoreUpdate {
        let is_continuous = match after.relation_to(self.at) {
            Relation::Before | Relation::Same => !self.complete_after.supersedes(after),
            Relation::After | Relation::EarlierEra | Relation::LaterEra => false,
        };
        let changes = match is_continuous {
            true => self.changes.iter().filter(|change| change.position().supersedes(after)).cloned().collect(),
            false => self.items.values().cloned().map(Change::Put).collect(),
        };
        let bundle = self.bundle.filter(|bundle| !is_continuous || bundle.position.supersedes(after));
        StoreUpdate { whole: !is_continuous, changes, bundle, at: self.at }
    }
}

/// Returns the changes that lead from the items of one state to those of a later one at position `at`, in order.
fn difference(before: &BTreeMap<String, Item>, after: &BTreeMap<String, Item>, at: Position) -> Vec<Change> {
    let removed = before.keys().filter(|key| !after.contains_key(*key));
    let is_written = |item: &&Item| before.get(&item.key).is_none_or(|known| known.position != item.position);
    let mut changes: Vec<Change> = removed.map(|key| Change::Gone { key: key.clone(), position: at }).collect();
    changes.extend(after.values().filter(is_written).cloned().map(Change::Put));
    changes.sort_by_key(|change| change.position().wire_revision());
    changes
}
