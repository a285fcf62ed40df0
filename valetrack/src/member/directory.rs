//! Pure view of the nodes' entries in the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::message::Member;
use crate::code::Code;
use crate::store::{Change, Era, Item, Position};

/// Prefix of the nodes' entries.
pub const ENTRY_PREFIX: &str = "valetrack/node/";
/// A node whose entry is missing this long is gone, in microseconds: a node that lives and
/// reaches the store writes its entry anew within two seconds.
pub const MISSING_US: u64 = 2_000_000;
/// Entries that a fleet writes anew in a second: each takes a lease and a write, and the platform lets a fleet make 400
/// such calls a second. Where many are missing, as after the store has come back without its leases, the last of them
/// cannot be back sooner, and its node is not to be taken for gone.
pub const REWRITES_PER_S: u64 = 200;

/// Keys with entries that could not be read of which the position is remembered, so that each is logged
/// once: more than any failure domain has nodes.
const INVALID_MAX: usize = 1_024;

/// Returns the key of a VM's entry.
pub fn entry_key(vm: &str) -> String {
    format!("{ENTRY_PREFIX}{vm}")
}

/// A node's entry as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryDoc {
    /// The node.
    #[serde(flatten)]
    pub member: Member,
    /// Era of the store that the node knew of when it wrote it; the first one where an earlier release wrote it.
    #[serde(default)]
    pub era: Era,
}

impl EntryDoc {
    /// Reads the entry of the VM that a key names.
    ///
    /// # Errors
    ///
    /// Returns why another writer than that VM's node must have written it.
    pub fn read(item: &Item) -> Result<Self, String> {
        let doc = serde_json::from_slice::<Self>(&item.value).map_err(|error| error.to_string())?;
        match &*doc.member.vm == vm_of(&item.key) {
            true => Ok(doc),
            false => Err(format!("it names {}", doc.member.vm)),
        }
    }

    /// Returns where in the store's history it was written. An older copy shows it at the revision that it had, under a
    /// later era; what a node has written since it knew of that era goes before it, what it wrote earlier does so by
    /// its revision.
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
    /// Where in the store's history it was written, or was last seen to be gone.
    written: Position,
    missing_since_us: Option<u64>,
}

/// The nodes as the store's entries show them.
///
/// An entry never goes back to an earlier one, also where the store does, and one that is missing is believed in for
/// [`MISSING_US`] more; while the store is out of reach nothing goes missing.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    entries: BTreeMap<Arc<str>, Entry>,
    /// Positions at which keys held what no node writes.
    invalid: BTreeMap<String, Position>,
    /// Entries that could not be read since they were last counted.
    invalid_count: u64,
}

impl Directory {
    /// Takes all entries as they were read at `now_us`; returns whether the nodes changed.
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

    /// Takes one change that came at `now_us`; returns whether the nodes changed.
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

    /// Returns how many entries could not be read since the last call.
    pub fn take_invalid(&mut self) -> u64 {
        std::mem::take(&mut self.invalid_count)
    }

    /// Takes what another node tells of a VM of which the store has shown nothing; it is believed
    /// as long as an entry that has just gone missing. Returns whether the nodes changed.
    pub fn hint(&mut self, member: &Member, now_us: u64) -> bool {
        if self.entries.contains_key(&member.vm) {
            return false;
        }
        let entry = Entry { member: member.clone(), written: Position::default(), missing_since_us: Some(now_us) };
        self.entries.insert(member.vm.clone(), entry);
        true
    }

    /// Starts the time of all missing entries anew, since the store answers again.
    pub fn store_is_back(&mut self, now_us: u64) {
        for entry in self.entries.values_mut().filter(|entry| entry.missing_since_us.is_some()) {
            entry.missing_since_us = Some(now_us);
        }
    }

    /// Forgets nodes whose entries have been missing too long; returns their names. It is to be
    /// called only while the store answers.
    pub fn expire(&mut self, now_us: u64) -> Vec<Arc<str>> {
        let patience_us = self.patience_us();
        let over = |entry: &Entry| entry.missing_since_us.is_some_and(|since| now_us >= since + patience_us);
        let gone: Vec<Arc<str>> =
            self.entries.iter().filter(|(_, entry)| over(entry)).map(|(vm, _)| vm.clone()).collect();
        for vm in &gone {
            self.entries.remove(vm);
        }
        gone
    }

    /// Returns when the next missing entry is over, in microseconds.
    pub fn next_expiry_us(&self) -> Option<u64> {
        let first = self.entries.values().filter_map(|entry| entry.missing_since_us).min();
        first.map(|since_us| since_us + self.patience_us())
    }

    /// Returns whether a node's entry stands in the store and says just this.
    pub fn shows(&self, member: &Member) -> bool {
        let entry = self.entries.get(&member.vm);
        entry.is_some_and(|entry| entry.missing_since_us.is_none() && entry.member == *member)
    }

    /// Returns how many entries are missing.
    pub fn missing(&self) -> usize {
        self.entries.values().filter(|entry| entry.missing_since_us.is_some()).count()
    }

    /// Returns for how long a missing entry is believed in, in microseconds.
    fn patience_us(&self) -> u64 {
        // One that is missing alone is not waited for any longer.
        let others = self.missing().saturating_sub(1) as u64;
        MISSING_US + others * 1_000_000 / REWRITES_PER_S
    }

    /// Returns all nodes that are believed in.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Counts an entry that cannot be read; the node of that VM, if it lives, writes its own anew.
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
