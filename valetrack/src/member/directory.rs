//! Pure view of the nodes' entries in the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::message::Member;
use crate::code::Code;
use crate::store::{Change, Item};

/// Prefix of the nodes' entries.
pub const ENTRY_PREFIX: &str = "valetrack/node/";
/// A node whose entry is missing this long is gone, in microseconds: a node that lives and
/// reaches the store writes its entry anew within two seconds.
pub const MISSING_US: u64 = 2_000_000;

/// Keys with entries that could not be read of which the revision is remembered, so that each is logged
/// once: more than any failure domain has nodes.
const INVALID_MAX: usize = 1_024;

/// Returns the key of a VM's entry.
pub fn entry_key(vm: &str) -> String {
    format!("{ENTRY_PREFIX}{vm}")
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    revision: u64,
    missing_since_us: Option<u64>,
}

/// The nodes as the store's entries show them.
///
/// An entry never goes back to an earlier revision, and one that is missing is believed in for
/// [`MISSING_US`] more; while the store is out of reach nothing goes missing.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    entries: BTreeMap<Arc<str>, Entry>,
    /// Revisions at which keys held what no node writes.
    invalid: BTreeMap<String, u64>,
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
            Change::Gone { key, revision } if key.starts_with(ENTRY_PREFIX) => {
                if let Some(entry) = self.entries.get_mut(vm_of(key))
                    && *revision > entry.revision
                {
                    entry.revision = *revision;
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
        let entry = Entry { member: member.clone(), revision: 0, missing_since_us: Some(now_us) };
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
        let over = |entry: &Entry| entry.missing_since_us.is_some_and(|since| now_us >= since + MISSING_US);
        let gone: Vec<Arc<str>> =
            self.entries.iter().filter(|(_, entry)| over(entry)).map(|(vm, _)| vm.clone()).collect();
        for vm in &gone {
            self.entries.remove(vm);
        }
        gone
    }

    /// Returns when the next missing entry is over, in microseconds.
    pub fn next_expiry_us(&self) -> Option<u64> {
        self.entries.values().filter_map(|entry| entry.missing_since_us).min().map(|since| since + MISSING_US)
    }

    /// Returns all nodes that are believed in.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Counts an entry that cannot be read; the node of that VM, if it lives, writes its own anew.
    fn reject(&mut self, item: &Item, reason: &str, now_us: u64) {
        if self.invalid.get(&item.key).is_some_and(|revision| *revision >= item.revision) {
            return;
        }
        if let Some(entry) = self.entries.get_mut(vm_of(&item.key))
            && item.revision > entry.revision
        {
            entry.missing_since_us.get_or_insert(now_us);
        }
        self.invalid_count += 1;
        if self.invalid.len() < INVALID_MAX {
            self.invalid.insert(item.key.clone(), item.revision);
        }
        log::warn!("event=member.entry_invalid code={} key={} reason=\"{reason}\"", Code::EntryInvalid, item.key);
    }

    fn put(&mut self, item: &Item, now_us: u64) -> bool {
        let member = match member_of(item) {
            Ok(member) => member,
            Err(reason) => {
                self.reject(item, &reason, now_us);
                return false;
            }
        };
        let known = self.entries.get(&member.vm);
        if known.is_some_and(|known| item.revision < known.revision) {
            return false;
        }
        let changed = known.is_none_or(|known| known.member != member);
        self.invalid.remove(&item.key);
        let entry = Entry { member, revision: item.revision, missing_since_us: None };
        self.entries.insert(entry.member.vm.clone(), entry);
        changed
    }
}

/// Reads the entry of the VM that a key names.
///
/// # Errors
///
/// Returns why another writer than that VM's node must have written it.
pub fn member_of(item: &Item) -> Result<Member, String> {
    let member = serde_json::from_slice::<Member>(&item.value).map_err(|error| error.to_string())?;
    match &*member.vm == vm_of(&item.key) {
        true => Ok(member),
        false => Err(format!("it names {}", member.vm)),
    }
}

fn vm_of(key: &str) -> &str {
    key.strip_prefix(ENTRY_PREFIX).unwrap_or(key)
}
