//! Pure decisions of a relay on the entries of the nodes that follow it: it keeps them in the store under its own lease,
//! many in one transaction.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::directory::{EntryDoc, entry_key};
use super::lease::{EntryKeeper, EntryStep, SeenEntry};
use super::message::{Member, Phase};
use crate::store::{Era, Lease, LeasedChange, LeasedWrite, Position, StoreError, TRANSACTION_MAX};

/// A follower that was heard of no longer ago than this is believed to live and to follow this node, in microseconds: it
/// asks at least once a second.
const FRESH_US: u64 = 1_500_000;
/// The entry of a follower that is silent for this part of a lease's time is taken away, as a divisor of the rest.
const SILENT_QUARTERS: u64 = 3;
/// A follower is silent for this long at least before its entry is taken away, in microseconds.
const SILENT_MIN_US: u64 = 3_000_000;

/// A follower and its entry.
#[derive(Debug)]
struct Follower {
    member: Member,
    keeper: EntryKeeper,
    heard_us: u64,
    /// Whether it has said that it is about to exit.
    has_left: bool,
}

/// Changes that go to the store at once, with the followers that they are of.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The changes.
    pub changes: Vec<LeasedChange>,
    /// The followers, in the order of the changes, with the version of the entry that is written; none where it is
    /// taken away.
    pub followers: Vec<(Arc<str>, Option<u64>)>,
}

/// The entries of the nodes that follow this one.
#[derive(Debug)]
pub struct Registrar {
    followers: BTreeMap<Arc<str>, Follower>,
    era: Era,
    silent_us: u64,
}

impl Registrar {
    /// Makes a registrar without followers whose lease outlives its last word by `lease_ms`.
    pub fn new(lease_ms: u64) -> Self {
        let silent_us = (lease_ms * 1_000 / 4 * SILENT_QUARTERS).max(SILENT_MIN_US);
        Self { followers: BTreeMap::new(), era: Era::default(), silent_us }
    }

    /// Returns whether nobody follows this node.
    pub fn is_empty(&self) -> bool {
        self.followers.is_empty()
    }

    /// Returns how many nodes follow this one.
    pub fn len(&self) -> usize {
        self.followers.len()
    }

    /// Takes what a follower says of itself; returns whether its entry is to be written. `stands` is where its entry
    /// stands in the store as far as this node has read it.
    pub fn heard(&mut self, member: &Member, stands: Option<Position>, now_us: u64) -> bool {
        let era = self.era;
        let follower = self.followers.entry(member.vm.clone()).or_insert_with(|| {
            let mut keeper = EntryKeeper::default();
            keeper.enter(era, now_us);
            if let Some(position) = stands {
                keeper.conflicted(Some(position));
            }
            Follower { member: member.clone(), keeper, heard_us: now_us, has_left: false }
        });
        follower.heard_us = now_us;
        follower.has_left = member.phase == Phase::Gone;
        let changed = follower.member != *member || follower.keeper.wanted() == 0;
        if changed {
            follower.member = member.clone();
            follower.keeper.change();
        }
        changed
    }

    /// Returns whether a node follows this one.
    pub fn has(&self, vm: &str) -> bool {
        self.followers.contains_key(vm)
    }

    /// Forgets a follower whose entry another node keeps, or that keeps it itself.
    pub fn forget(&mut self, vm: &str) {
        self.followers.remove(vm);
    }

    /// Forgets all followers, since this node is no relay any more; they find another one.
    pub fn forget_all(&mut self) {
        self.followers.clear();
    }

    /// Notes that the store has come back older.
    pub fn enter(&mut self, era: Era, now_us: u64) {
        self.era = self.era.max(era);
        self.each(|keeper| keeper.enter(era, now_us));
    }

    /// Notes that the lease of the entries is over, and the entries with it.
    pub fn lease_over(&mut self) {
        self.each(EntryKeeper::lease_over);
    }

    /// Takes the entry of a follower as the store shows it, where this node's lease is `own`.
    pub fn seen(&mut self, vm: &str, entry: SeenEntry, own: Option<u64>) {
        let Some(follower) = self.followers.get_mut(vm) else {
            return;
        };
        let known = follower.keeper.position();
        let is_newer = known.is_none_or(|known| entry.position.supersedes(known));
        if is_newer && entry.lease != own {
            // Whoever wrote it keeps it, or the follower is about to say that it still follows this node.
            self.followers.remove(vm);
            return;
        }
        follower.keeper.seen(entry);
    }

    /// Takes that the entry of a follower does not exist at a position of the store.
    pub fn missing(&mut self, vm: &str, at: Position) {
        if let Some(follower) = self.followers.get_mut(vm) {
            follower.keeper.missing(at);
        }
    }

    /// Returns the followers.
    pub fn vms(&self) -> impl Iterator<Item = &Arc<str>> {
        self.followers.keys()
    }

    /// Returns what is to be written under a lease that was confirmed by a call sent at `confirmed_us`.
    ///
    /// # Errors
    ///
    /// Returns that an entry cannot be put in writing.
    pub fn batch(&mut self, lease: Lease, confirmed_us: u64, now_us: u64) -> Result<Batch, StoreError> {
        let mut batch = Batch::default();
        let mut silent = Vec::new();
        for (vm, follower) in &mut self.followers {
            if batch.changes.len() >= TRANSACTION_MAX {
                break;
            }
            if follower.has_left || now_us >= follower.heard_us + self.silent_us {
                match follower.keeper.position() {
                    Some(expected) => batch.push(vm, LeasedChange::Remove { key: entry_key(vm), expected }, None),
                    None => silent.push(vm.clone()),
                }
                continue;
            }
            if now_us >= follower.heard_us + FRESH_US {
                continue;
            }
            if let Some(expected) = follower.due(lease, confirmed_us, now_us) {
                let version = follower.keeper.wanted();
                batch.push(vm, follower.put(lease, expected)?, Some(version));
            }
        }
        for vm in silent {
            self.followers.remove(&vm);
        }
        Ok(batch)
    }

    /// Takes that a batch took effect at a position.
    pub fn wrote(&mut self, batch: &Batch, position: Position) {
        for (vm, version) in &batch.followers {
            match (version, self.followers.get_mut(vm)) {
                (Some(version), Some(follower)) => follower.keeper.wrote(*version, position),
                (None, Some(_)) => {
                    self.followers.remove(vm);
                }
                (Some(_) | None, None) => {}
            }
        }
    }

    /// Takes where the entries of a batch stand that did not take effect; whoever is not heard of since the batch was
    /// made has turned to another node, which wrote it.
    pub fn conflicted(&mut self, batch: &Batch, stands: &[(String, Option<Position>)]) {
        for ((vm, version), (_, position)) in batch.followers.iter().zip(stands) {
            let Some(follower) = self.followers.get_mut(vm) else {
                continue;
            };
            let moved = follower.keeper.position() != *position;
            match version {
                Some(_) => follower.keeper.conflicted(*position),
                None if moved => {
                    self.followers.remove(vm);
                }
                None => {}
            }
        }
    }

    fn each(&mut self, change: impl Fn(&mut EntryKeeper)) {
        self.followers.values_mut().for_each(|follower| change(&mut follower.keeper));
    }
}

impl Follower {
    /// Returns where the entry is expected to stand, none where it does not, if it is to be written now.
    fn due(&mut self, lease: Lease, confirmed_us: u64, now_us: u64) -> Option<Option<Position>> {
        if lease.era != self.keeper.era() {
            return None;
        }
        if self.keeper.next(now_us) == EntryStep::Grant
            || self.keeper.lease().is_some_and(|(held, _)| held.id != lease.id)
        {
            self.keeper.granted(lease, confirmed_us);
        }
        match self.keeper.next(now_us) {
            EntryStep::Write { expected, .. } => Some(expected),
            EntryStep::Renew { .. } => {
                self.keeper.renewed(lease.era, confirmed_us);
                None
            }
            EntryStep::Grant | EntryStep::Ask | EntryStep::Wait { .. } => None,
        }
    }

    fn put(&self, lease: Lease, expected: Option<Position>) -> Result<LeasedChange, StoreError> {
        let entry = EntryDoc { member: self.member.clone(), era: self.keeper.era() };
        let value = serde_json::to_vec(&entry).map_err(|error| StoreError::Invalid { reason: error.to_string() })?;
        let key = entry_key(&entry.member.vm);
        Ok(LeasedChange::Put(LeasedWrite { key, expected, value, lease: Some(lease.id) }))
    }
}

impl Batch {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns the names of the followers as they stand in log lines.
    pub fn names(&self) -> String {
        let names: Vec<&str> = self.followers.iter().map(|(vm, _)| &**vm).collect();
        format!("\"{}\"", names.join(","))
    }

    fn push(&mut self, vm: &Arc<str>, change: LeasedChange, version: Option<u64>) {
        self.changes.push(change);
        self.followers.push((vm.clone(), version));
    }
}
