//! Pure view of the nodes' entries in the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::message::Member;
use crate::code::Code;
use crate::store::{Change, Era, Item, Position};

/// Prefix of the nodes' entries.
pub const ENTRY_PREFIX: &str = "valetrack/node/";
/// A node whose entry is missing for this long counts as dead: a live node that reaches the store rewrites its entry
/// within two seconds.
pub const MISSING_US: u64 = 2_000_000;
/// Entries that a fleet can rewrite in one second: each needs a lease and a write, and the platform limits a fleet to
/// 400 such calls a second. When many entries are missing, for example after a store rollback that lost their leases,
/// the last one is not rewritten sooner, and its node must not be declared dead before that.
pub const REWRITES_PER_S: u64 = 200;

/// Maximum number of keys with unreadable entries whose position is remembered, so that each is logged once. It exceeds
/// the number of nodes of any failure domain.
const INVALID_MAX: usize = 1_024;

/// Returns the key of a VM's entry.
pub fn entry_key(vm: &str) -> String {
    format!("{ENTRY_PREFIX}{vm}")
}

/// A node's entry as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryDoc {
    /// The node.
    #[serde(flatten)]
    pub member: Member,
    /// Latest era that the node had observed when it wrote the entry; the first era if an earlier release wrote it.
    #[serde(default)]
    pub era: Era,
}

impl EntryDoc {
    /// Parses the entry of the VM that the item's key names.
    ///
    /// # Errors
    ///
    /// Returns why the value cannot have been written by the node of that VM.
    pub fn read(item: &Item) -> Result<Self, String> {
        let doc = serde_json::from_slice::<Self>(&item.value).map_err(|error| error.to_string())?;
        match &*doc.member.vm == vm_of(&item.key) {
            true => Ok(doc),
            false => Err(format!("the entry names VM {}", doc.member.vm)),
        }
    }

    /// Returns the position at which the entry was written.
    ///
    /// A store restored from an older copy reports the entry's original revision under a later era. The era that the
    /// node put into the entry therefore decides first, and the revision orders entries of the same era.
    fn written(&self, item: &Item) -> Position {
        match self.era == Era::default() {
            true => item.position,
            false => Position::new(self.era, item.position.wire_revision()),
        }
    }
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    /// Position at which the entry was written, or was last observed to be missing.
    written: Position,
    missing_since_us: Option<u64>,
}

/// The nodes that have an entry in the store.
///
/// An entry is never replaced by an earlier one, even after a store rollback. A missing entry is kept for another
/// [`MISSING_US`] before its node is dropped, and while the store is unreachable no entry counts as missing.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    entries: BTreeMap<Arc<str>, Entry>,
    /// Positions at which keys held a value that no node writes.
    invalid: BTreeMap<String, Position>,
    /// Number of unreadable entries since the last call of `take_invalid`.
    invalid_count: u64,
}

impl Directory {
    /// Replaces all entries by those read at `now_us`; returns whether the nodes changed.
    pub fn replace(&mut self, items: &[Item], now_us: u64) -> bool {
        let mut changed = false;
        let mut listed = Vec::new();
        for item in items.iter().filter(|item| item.key.starts_with(ENTRY_PREFIX)) {
            listed.push(vm_of(&item.key));
            changed |= self.put(item, now_us);
        }
        for (vm, entry) in &mut self.entries {
            if !listed.contains(&&**vm) {
                entry.missing_since_us.get_or_insert(now_us);
            }
        }
        changed
    }

    /// Applies one change that was received at `now_us`; returns whether the nodes changed.
    pub fn apply(&mut self, change: &Change, now_us: u64) -> bool {
        match change {
            Change::Put(item) if item.key.starts_with(ENTRY_PREFIX) => self.put(item, now_us),
            Change::Gone { key, position } if key.starts_with(ENTRY_PREFIX) => {
                if let Some(entry) = self.entries.get_mut(vm_of(key))
                    && position.supersedes(entry.written)
                {
                    entry.written = *position;
                    entry.missing_since_us = Some(now_us);
                }
                false
            }
            Change::Put(_) | Change::Gone { .. } => false,
        }
    }

    /// Returns how many unreadable entries were found since the last call, and resets the count.
    pub fn take_invalid(&mut self) -> u64 {
        std::mem::take(&mut self.invalid_count)
    }

    /// Adds a VM that another node has reported and that has no entry here. It is kept for as long as an entry that has
    /// just gone missing. Returns whether the nodes changed.
    pub fn learn_from_peer(&mut self, member: &Member, now_us: u64) -> bool {
        if self.entries.contains_key(&member.vm) {
            return false;
        }
        let entry = Entry { member: member.clone(), written: Position::default(), missing_since_us: Some(now_us) };
        self.entries.insert(member.vm.clone(), entry);
        true
    }

    /// Restarts the timers of all missing entries, since the store is reachable again.
    pub fn on_store_reachable(&mut self, now_us: u64) {
        for entry in self.entries.values_mut().filter(|entry| entry.missing_since_us.is_some()) {
            entry.missing_since_us = Some(now_us);
        }
    }

    /// Removes nodes whose entries have been missing too long, and returns their names. It must be called only while
    /// the store is reachable.
    pub fn expire(&mut self, now_us: u64) -> Vec<Arc<str>> {
        let expiry_delay_us = self.expiry_delay_us();
        let expired = |entry: &Entry| entry.missing_since_us.is_some_and(|since| now_us >= since + expiry_delay_us);
        let dead: Vec<Arc<str>> =
            self.entries.iter().filter(|(_, entry)| expired(entry)).map(|(vm, _)| vm.clone()).collect();
        for vm in &dead {
            self.entries.remove(vm);
        }
        dead
    }

    /// Returns when the next missing entry expires.
    pub fn next_expiry_us(&self) -> Option<u64> {
        let first = self.entries.values().filter_map(|entry| entry.missing_since_us).min();
        first.map(|since_us| since_us + self.expiry_delay_us())
    }

    /// Returns whether the store holds an entry for the node with exactly this content.
    pub fn holds(&self, member: &Member) -> bool {
        let entry = self.entries.get(&member.vm);
        entry.is_some_and(|entry| entry.missing_since_us.is_none() && entry.member == *member)
    }

    /// Returns how many entries are missing.
    pub fn missing(&self) -> usize {
        self.entries.values().filter(|entry| entry.missing_since_us.is_some()).count()
    }

    /// Returns how long a missing entry is kept.
    fn expiry_delay_us(&self) -> u64 {
        // A single missing entry gets no additional time.
        let others = self.missing().saturating_sub(1) as u64;
        MISSING_US + others * 1_000_000 / REWRITES_PER_S
    }

    /// Returns all nodes, including those whose entries are missing and not expired yet.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Counts an unreadable entry and treats it as missing; the node of that VM rewrites its entry if it is alive.
    fn reject(&mut self, item: &Item, reason: &str, now_us: u64) {
        if self.invalid.get(&item.key).is_some_and(|known| !item.position.supersedes(*known)) {
            return;
        }
        if let Some(entry) = self.entries.get_mut(vm_of(&item.key))
            && item.position.supersedes(entry.written)
        {
            entry.missing_since_us.get_or_insert(now_us);
        }
        self.invalid_count += 1;
        if self.invalid.len() < INVALID_MAX {
            self.invalid.insert(item.key.clone(), item.position);
        }
        log::warn!("event=member.entry_invalid code={} key={} reason=\"{reason}\"", Code::EntryInvalid, item.key);
    }

    fn put(&mut self, item: &Item, now_us: u64) -> bool {
        let doc = match EntryDoc::read(item) {
            Ok(doc) => doc,
            Err(reason) => {
                self.reject(item, &reason, now_us);
                return false;
            }
        };
        let written = doc.written(item);
        let member = doc.member;
        let known = self.entries.get(&member.vm);
        if known.is_some_and(|known| known.written.supersedes(written)) {
            return false;
        }
        let changed = known.is_none_or(|known| known.member != member);
        self.invalid.remove(&item.key);
        let entry = Entry { member, written, missing_since_us: None };
        self.entries.insert(entry.member.vm.clone(), entry);
        changed
    }
}

fn vm_of(key: &str) -> &str {
    key.strip_prefix(ENTRY_PREFIX).unwrap_or(key)
}
