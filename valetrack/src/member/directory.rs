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
}

impl Directory {
    /// Takes all entries as they were read at `now_us`; returns whether the nodes changed.
    pub fn replace(&mut self, items: &[Item], now_us: u64) -> bool {
        let mut changed = false;
        let mut listed = Vec::new();
        for item in items.iter().filter(|item| item.key.starts_with(ENTRY_PREFIX)) {
            listed.push(vm_of(&item.key));
            changed |= self.put(item);
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
            Change::Put(item) if item.key.starts_with(ENTRY_PREFIX) => self.put(item),
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

    fn put(&mut self, item: &Item) -> bool {
        let member = match serde_json::from_slice::<Member>(&item.value) {
            Ok(member) if &*member.vm == vm_of(&item.key) => member,
            Ok(_) => {
                log::warn!("event=member.entry_invalid code={} key={}", Code::EntryInvalid, item.key);
                return false;
            }
            Err(error) => {
                let code = Code::EntryInvalid;
                log::warn!("event=member.entry_invalid code={code} key={} reason=\"{error}\"", item.key);
                return false;
            }
        };
        let known = self.entries.get(&member.vm);
        if known.is_some_and(|known| item.revision < known.revision) {
            return false;
        }
        let changed = known.is_none_or(|known| known.member != member);
        let entry = Entry { member, revision: item.revision, missing_since_us: None };
        self.entries.insert(entry.member.vm.clone(), entry);
        changed
    }
}

fn vm_of(key: &str) -> &str {
    key.strip_prefix(ENTRY_PREFIX).unwrap_or(key)
}
