//! State machine that keeps the entries of a relay's followers in the store, under the relay's lease and many in one
//! transaction.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::directory::{EntryDoc, entry_key};
use super::lease::{EntryKeeper, EntryStep, SeenEntry};
use super::message::{Member, Phase};
use crate::store::{Era, Lease, LeasedChange, LeasedWrite, Position, StoreError, TRANSACTION_MAX};

/// A follower whose last request is no older than this counts as live and as following this node: it sends a request at
/// least once a second.
const FRESH_US: u64 = 1_500_000;
/// Quarters of a lease's lifetime after which the entry of an unresponsive follower is removed.
const SILENT_QUARTERS: u64 = 3;
/// Shortest time for which a follower is unresponsive before its entry is removed.
const SILENT_MIN_US: u64 = 3_000_000;

/// A follower and its entry.
#[derive(Debug)]
struct Follower {
    member: Member,
    keeper: EntryKeeper,
    last_request_us: u64,
    /// Whether it has reported that it is about to exit.
    has_left: bool,
}

/// Changes that are written in one transaction, with the followers that they belong to.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The changes.
    pub changes: Vec<LeasedChange>,
    /// The followers, in the order of the changes, each with the version of the entry that is written; none if the
    /// entry is removed.
    pub followers: Vec<(Arc<str>, Option<u64>)>,
    /// Whether an entry that is written names a departure, whose acknowledgement waits for it.
    pub names_departure: bool,
}

/// The nodes that follow this one and the state of their entries.
#[derive(Debug)]
pub struct Registrar {
    followers: BTreeMap<Arc<str>, Follower>,
    era: Era,
    silent_us: u64,
}

impl Registrar {
    /// Creates a registrar without followers, for leases of `lease_ms`.
    pub fn new(lease_ms: u64) -> Self {
        let silent_us = (lease_ms * 1_000 / 4 * SILENT_QUARTERS).max(SILENT_MIN_US);
        Self { followers: BTreeMap::new(), era: Era::default(), silent_us }
    }

    /// Returns whether this node has no followers.
    pub fn is_empty(&self) -> bool {
        self.followers.is_empty()
    }

    /// Returns how many nodes follow this one.
    pub fn len(&self) -> usize {
        self.followers.len()
    }

    /// Records the state that a follower has sent; returns whether its entry must be written. `stored` is the position
    /// of its entry as this node last read it from the store.
    pub fn record_follower(&mut self, member: &Member, stored: Option<Position>, now_us: u64) -> bool {
        let era = self.era;
        let follower = self.followers.entry(member.vm.clone()).or_insert_with(|| {
            let mut keeper = EntryKeeper::default();
            keeper.enter(era, now_us);
            if let Some(position) = stored {
                keeper.conflicted(Some(position));
            }
            Follower { member: member.clone(), keeper, last_request_us: now_us, has_left: false }
        });
        follower.last_request_us = now_us;
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

    /// Returns the state that a follower has sent last.
    pub fn member(&self, vm: &str) -> Option<&Member> {
        self.followers.get(vm).map(|follower| &follower.member)
    }

    /// Removes a follower whose entry is kept by another node or by the follower itself.
    pub fn forget(&mut self, vm: &str) {
        self.followers.remove(vm);
    }

    /// Removes all followers, since this node is no longer a relay; they find another one.
    pub fn forget_all(&mut self) {
        self.followers.clear();
    }

    /// Records a store rollback.
    pub fn enter(&mut self, era: Era, now_us: u64) {
        self.era = self.era.max(era);
        self.each(|keeper| keeper.enter(era, now_us));
    }

    /// Records that the lease of the entries has expired and the entries were removed with it.
    pub fn lease_over(&mut self) {
        self.each(EntryKeeper::lease_over);
    }

    /// Records the entry of a follower as read from the store; `own` is the id of this node's lease.
    pub fn seen(&mut self, vm: &str, entry: SeenEntry, own: Option<u64>) {
        let Some(follower) = self.followers.get_mut(vm) else {
            return;
        };
        let known = follower.keeper.position();
        let is_newer = known.is_none_or(|known| entry.position.supersedes(known));
        if is_newer && entry.lease != own {
            // The node that wrote it keeps it from now on. A follower that still follows this node is recorded again
            // with its next request.
            self.followers.remove(vm);
            return;
        }
        follower.keeper.seen(entry);
    }

    /// Records that the entry of a follower does not exist at a position of the store.
    pub fn missing(&mut self, vm: &str, at: Position) {
        if let Some(follower) = self.followers.get_mut(vm) {
            follower.keeper.missing(at);
        }
    }

    /// Returns the followers.
    pub fn vms(&self) -> impl Iterator<Item = &Arc<str>> {
        self.followers.keys()
    }

    /// Returns the changes that are due, to be written under a lease that was confirmed by a call sent at
    /// `confirmed_us`.
    ///
    /// # Errors
    ///
    /// Returns an error if an entry cannot be serialized.
    pub fn batch(&mut self, lease: Lease, confirmed_us: u64, now_us: u64) -> Result<Batch, StoreError> {
        let mut batch = Batch::default();
        let mut expired = Vec::new();
        for (vm, follower) in &mut self.followers {
            if batch.changes.len() >= TRANSACTION_MAX {
                break;
            }
            if follower.has_left || now_us >= follower.last_request_us + self.silent_us {
                match follower.keeper.position() {
                    Some(expected) => batch.push(vm, LeasedChange::Remove { key: entry_key(vm), expected }, None),
                    None => expired.push(vm.clone()),
                }
                continue;
            }
            if now_us >= follower.last_request_us + FRESH_US {
                continue;
            }
            if let Some(expected) = follower.due(lease, confirmed_us, now_us) {
                let version = follower.keeper.wanted();
                batch.push(vm, follower.put(lease, expected)?, Some(version));
                batch.names_departure |= follower.member.departure.is_some();
            }
        }
        for vm in expired {
            self.followers.remove(&vm);
        }
        Ok(batch)
    }

    /// Records that a batch took effect at a position.
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

    /// Records the positions of the entries of a batch that did not take effect. An entry that was due for removal and
    /// has changed since was written by another relay that its node follows now, so that the follower is removed here.
    pub fn conflicted(&mut self, batch: &Batch, found: &[(String, Option<Position>)]) {
        for ((vm, version), (_, position)) in batch.followers.iter().zip(found) {
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
    /// Returns, if the entry must be written now, its expected position in the store; the inner value is none if it is
    /// expected not to exist.
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

    /// Returns the names of the followers in the format of log lines.
    pub fn names(&self) -> String {
        let names: Vec<&str> = self.followers.iter().map(|(vm, _)| &**vm).collect();
        format!("\"{}\"", names.join(","))
    }

    fn push(&mut self, vm: &Arc<str>, change: LeasedChange, version: Option<u64>) {
        self.changes.push(change);
        self.followers.push((vm.clone(), version));
    }
}
