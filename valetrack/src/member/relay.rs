//! What a node has read of the store, kept for the nodes that follow it in place of the store, and
//! which node that is.
//!
//! Each call to the store is paid for and its rate grows more slowly than the fleet. So one node of
//! a failure domain, the relay, follows the store closely, and the others follow the relay.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::message::{Member, Phase};
use super::state::Members;
use crate::store::{Change, Era, Item, Position, Relation};

/// News older than this are not relied on, in microseconds: an operator's change is to be in force
/// within two seconds, and a node that finds its relay behind still has to ask the store itself.
pub const AGE_MAX_US: u64 = 1_200_000;
/// Longest wait of one call for changes of a relay, in milliseconds: it says how old the news of
/// its followers may be.
const RELAY_WAIT_MS: u64 = 700;
/// The same when it is about to be behind, in milliseconds.
const RELAY_WAIT_MIN_MS: u64 = 50;
/// A relay's call is to end this long before its news are too old, in milliseconds: the answer is
/// on its way for some milliseconds, and a relay may be short of processor time.
const RELAY_AHEAD_MS: u64 = 250;
/// Nodes that follow one relay; a domain with more of them has several relays.
const GROUP_MAX: usize = 64;
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
    /// How long ago the store was known to stand there, in milliseconds.
    pub age_ms: u32,
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
#[derive(Debug, Clone, Default)]
pub struct ChangeLog {
    items: BTreeMap<String, Item>,
    changes: VecDeque<Change>,
    /// `changes` holds all that came after this position.
    complete_after: Position,
    /// Position up to which the store was read.
    at: Position,
    /// When the store was last known to stand at `at`; none when a call has failed since.
    confirmed_us: Option<u64>,
}

impl ChangeLog {
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
        *self = Self { at: Position::start_of(era), complete_after: Position::start_of(era), ..Self::default() };
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
        self.confirmed_us.map(|confirmed_us| confirmed_us + AGE_MAX_US)
    }

    /// Returns how long a relay's next call for changes may wait, in milliseconds, so that its
    /// answer comes before the log is too old for followers.
    pub fn relay_wait_ms(&self, now_us: u64) -> u64 {
        let left_ms = self.current_until_us().map_or(0, |until_us| until_us.saturating_sub(now_us) / 1000);
        left_ms.saturating_sub(RELAY_AHEAD_MS).clamp(RELAY_WAIT_MIN_MS, RELAY_WAIT_MS)
    }

    /// Returns whether there is something that a node lacks which has read the store up to `after`.
    pub fn is_newer_than(&self, after: Position) -> bool {
        self.at.supersedes(after)
    }

    /// Returns what a node lacks that has read the store up to `after`: everything, where that is a position that
    /// this log cannot go on from.
    pub fn since(&self, after: Position, now_us: u64) -> StoreNews {
        let goes_on = match after.relation_to(self.at) {
            Relation::Before | Relation::Same => !self.complete_after.supersedes(after),
            Relation::Behind | Relation::EarlierEra | Relation::LaterEra => false,
        };
        let changes = match goes_on {
            true => self.changes.iter().filter(|change| change.position().supersedes(after)).cloned().collect(),
            false => self.items.values().cloned().map(Change::Put).collect(),
        };
        let age_us = self.confirmed_us.map_or(u64::MAX, |confirmed_us| now_us.saturating_sub(confirmed_us));
        let age_ms = (age_us / 1000).min(u64::from(u32::MAX)) as u32;
        StoreNews { whole: !goes_on, changes, at: self.at, age_ms }
    }
}

/// Returns the node that `me` follows in place of the store; none where it is the relay itself, or
/// there is nobody else to follow. Nodes that `avoided` names are passed over.
pub fn relay_of<'a>(members: &'a Members, me: &Member, avoided: impl Fn(&str) -> bool) -> Option<&'a Member> {
    let serving: Vec<&Member> = members
        .iter()
        .filter(|member| member.domain == me.domain && member.phase == Phase::Serving)
        .filter(|member| !avoided(&member.vm))
        .collect();
    let groups = serving.len().div_ceil(GROUP_MAX).max(1) as u64;
    let group = rank(&me.vm) % groups;
    let in_group = serving.into_iter().filter(|member| rank(&member.vm) % groups == group);
    in_group.min_by_key(|member| rank(&member.vm)).filter(|relay| relay.vm != me.vm)
}

fn rank(vm: &Arc<str>) -> u64 {
    let hash = Sha256::digest(vm.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(first)
}
