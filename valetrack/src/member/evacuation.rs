//! Failure domains that operators have evacuated, so that their servers get no calls.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::store::{Era, Position};

/// The evacuated failure domains as of one change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Era of the store in which `number` counts.
    #[serde(default)]
    pub era: Era,
    /// Increases with each change within one era; zero before the first change.
    pub number: u64,
    /// The failure domains.
    pub domains: BTreeSet<Arc<str>>,
}

impl Evacuation {
    /// Returns whether a failure domain is evacuated.
    pub fn covers(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// Returns the domains in the format of log lines.
    pub fn domain_list(&self) -> String {
        let domains: Vec<&str> = self.domains.iter().map(|domain| &**domain).collect();
        format!("\"{}\"", domains.join(","))
    }

    /// Returns the position in the store's history at which these domains were in force.
    pub fn position(&self) -> Position {
        Position::new(self.era, self.number)
    }

    /// Adopts the state received from another node or the store if it is newer; returns whether it was.
    pub fn merge(&mut self, received: &Self) -> bool {
        let newer = received.position().supersedes(self.position());
        if newer {
            *self = received.clone();
        }
        newer
    }

    /// Sets the failure domains that were evacuated at a position of the store; returns whether they changed.
    pub fn set(&mut self, domains: BTreeSet<Arc<str>>, at: Position) -> bool {
        if self.position().supersedes(at) || domains == self.domains {
            return false;
        }
        *self = Self { era: at.era(), number: at.wire_revision(), domains };
        true
    }
}

/// How long the evacuations from before a store rollback stay in force. The restored copy is some seconds old, and
/// operators write the lost changes again; half a minute is several times that. After this time the store decides,
/// since the removal of a key that the copy lacks anyway causes no change that a node could observe.
const RETAIN_US: u64 = 30_000_000;

/// Derives the evacuated failure domains from the operators' keys, across store rollbacks.
///
/// After a rollback a key that the restored copy lacks does not count as removed, and a key that it holds again does
/// not count as newly written, until the operators have repeated their changes.
#[derive(Debug, Clone, Default)]
pub struct EvacuationKeys {
    /// The keys that were read last, each with its position.
    stored: BTreeMap<Arc<str>, Position>,
    /// Keys that were removed, each with its last position before the removal.
    removed: BTreeMap<Arc<str>, Position>,
    /// The state from before the last store rollback, while it still counts.
    retained: Option<Retained>,
}

/// The evacuations that were in force before a store rollback.
#[derive(Debug, Clone)]
struct Retained {
    until_us: u64,
    evacuated: BTreeSet<Arc<str>>,
    /// Domains whose evacuation had ended, with the position of the key that evacuated them.
    ended: BTreeMap<Arc<str>, Position>,
}

impl EvacuationKeys {
    /// Records a store rollback, before which the domains in `evacuated` were evacuated.
    pub fn enter_era(&mut self, evacuated: &BTreeSet<Arc<str>>, now_us: u64) {
        let ended = self.removed.clone();
        self.retained = Some(Retained { until_us: now_us + RETAIN_US, evacuated: evacuated.clone(), ended });
    }

    /// Replaces the keys by those of a complete read of the store.
    pub fn read(&mut self, stored: BTreeMap<Arc<str>, Position>) {
        for (domain, position) in std::mem::replace(&mut self.stored, stored) {
            if !self.stored.contains_key(&domain) {
                self.removed.insert(domain, position);
            }
        }
    }

    /// Records that a key was written.
    pub fn put(&mut self, domain: &str, position: Position) {
        let domain: Arc<str> = Arc::from(domain);
        self.discard_retained(&domain);
        self.stored.insert(domain, position);
    }

    /// Records that a key was removed.
    pub fn remove(&mut self, domain: &str) {
        let domain: Arc<str> = Arc::from(domain);
        self.discard_retained(&domain);
        if let Some(position) = self.stored.remove(&domain) {
            self.removed.insert(domain, position);
        }
    }

    /// Records the evacuations reported by a node that was running before the store rollback, as if they had been in
    /// force at this node then.
    pub fn record_peer_report(&mut self, evacuated: &BTreeSet<Arc<str>>, now_us: u64) {
        let retained = self.retained.get_or_insert_with(|| Retained {
            until_us: now_us + RETAIN_US,
            evacuated: BTreeSet::new(),
            ended: BTreeMap::new(),
        });
        retained.evacuated.extend(evacuated.iter().cloned());
    }

    /// Returns the failure domains that are evacuated at `now_us`.
    pub fn domains(&mut self, now_us: u64) -> BTreeSet<Arc<str>> {
        self.retained = self.retained.take().filter(|retained| now_us < retained.until_us);
        let mut domains: BTreeSet<Arc<str>> = self.stored.keys().cloned().collect();
        if let Some(retained) = &self.retained {
            // The copy holds the same write of a key whose removal it lost.
            let restored = |domain: &Arc<str>| {
                let revision = |position: &Position| position.wire_revision();
                let before = retained.ended.get(domain).map(revision);
                before.is_some() && before == self.stored.get(domain).map(revision)
            };
            domains.retain(|domain| !restored(domain));
            domains.extend(retained.evacuated.iter().cloned());
        }
        domains
    }

    /// Discards the state of a domain from before the rollback, since operators have changed its key since.
    fn discard_retained(&mut self, domain: &Arc<str>) {
        if let Some(retained) = &mut self.retained {
            retained.evacuated.remove(domain);
            retained.ended.remove(domain);
        }
    }
}
