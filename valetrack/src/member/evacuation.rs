//! Failure domains whose servers are to get nothing, by an operator's word.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::store::{Era, Position};

/// The failure domains that are evacuated, as of one change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Era of the store in which `number` counts.
    #[serde(default)]
    pub era: Era,
    /// Rises with each change in one era; zero before the first one.
    pub number: u64,
    /// The failure domains.
    pub domains: BTreeSet<Arc<str>>,
}

impl Evacuation {
    /// Returns whether the servers of a failure domain are to get nothing.
    pub fn covers(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// Returns the domains as they stand in log lines.
    pub fn domain_list(&self) -> String {
        let domains: Vec<&str> = self.domains.iter().map(|domain| &**domain).collect();
        format!("\"{}\"", domains.join(","))
    }

    /// Returns where in the store's history it stood.
    pub fn position(&self) -> Position {
        Position::new(self.era, self.number)
    }

    /// Takes what another node or the store tells; returns whether it says more than was known.
    pub fn merge(&mut self, news: &Self) -> bool {
        let newer = news.position().supersedes(self.position());
        if newer {
            *self = news.clone();
        }
        newer
    }

    /// Takes the failure domains as they stood at a position of the store; returns whether they changed.
    pub fn set(&mut self, domains: BTreeSet<Arc<str>>, at: Position) -> bool {
        if self.position().supersedes(at) || domains == self.domains {
            return false;
        }
        *self = Self { era: at.era(), number: at.wire_revision(), domains };
        true
    }
}

/// For how long the operators' last word is kept against a store that came back older, in microseconds. A copy is some
/// seconds old, and operators write again what is missing in it; half a minute is several times that. Whoever has
/// not by then is taken at the store's word, since a removal of a key that is missing anyway shows nowhere.
const REWRITE_US: u64 = 30_000_000;

/// Which failure domains are evacuated, by the operators' keys in a store that may come back older.
///
/// What a copy does not hold is no removal, and what it holds again is no new word, until the operators have written
/// again what they wrote.
#[derive(Debug, Clone, Default)]
pub struct EvacuationKeys {
    /// The keys as they were read last, each with its position.
    stored: BTreeMap<Arc<str>, Position>,
    /// Keys that were removed, with their last position before.
    removed: BTreeMap<Arc<str>, Position>,
    /// What the store has lost, and until when it counts all the same, in microseconds.
    kept: Option<Kept>,
}

/// The operators' word from before the store came back older.
#[derive(Debug, Clone)]
struct Kept {
    until_us: u64,
    evacuated: BTreeSet<Arc<str>>,
    /// Domains that returned, with the revision of the key that evacuated them.
    returned: BTreeMap<Arc<str>, Position>,
}

impl EvacuationKeys {
    /// Notes that the store has come back older, where it is known that `evacuated` were in force.
    pub fn enter_era(&mut self, evacuated: &BTreeSet<Arc<str>>, now_us: u64) {
        let returned = self.removed.clone();
        self.kept = Some(Kept { until_us: now_us + REWRITE_US, evacuated: evacuated.clone(), returned });
    }

    /// Takes the keys as the whole store shows them.
    pub fn read(&mut self, stored: BTreeMap<Arc<str>, Position>) {
        for (domain, position) in std::mem::replace(&mut self.stored, stored) {
            if !self.stored.contains_key(&domain) {
                self.removed.insert(domain, position);
            }
        }
    }

    /// Takes one key that was written.
    pub fn put(&mut self, domain: &str, position: Position) {
        let domain: Arc<str> = Arc::from(domain);
        self.forget_word(&domain);
        self.stored.insert(domain, position);
    }

    /// Takes one key that was removed.
    pub fn remove(&mut self, domain: &str) {
        let domain: Arc<str> = Arc::from(domain);
        self.forget_word(&domain);
        if let Some(position) = self.stored.remove(&domain) {
            self.removed.insert(domain, position);
        }
    }

    /// Takes what a node that was there before the store came back older tells; it counts as the own word from before.
    pub fn told(&mut self, evacuated: &BTreeSet<Arc<str>>, now_us: u64) {
        let kept = self.kept.get_or_insert_with(|| Kept {
            until_us: now_us + REWRITE_US,
            evacuated: BTreeSet::new(),
            returned: BTreeMap::new(),
        });
        kept.evacuated.extend(evacuated.iter().cloned());
    }

    /// Returns the failure domains that are evacuated at `now_us`.
    pub fn domains(&mut self, now_us: u64) -> BTreeSet<Arc<str>> {
        self.kept = self.kept.take().filter(|kept| now_us < kept.until_us);
        let mut domains: BTreeSet<Arc<str>> = self.stored.keys().cloned().collect();
        if let Some(kept) = &self.kept {
            // The very write that was undone stands there again.
            let undone = |domain: &Arc<str>| {
                let revision = |position: &Position| position.wire_revision();
                let before = kept.returned.get(domain).map(revision);
                before.is_some() && before == self.stored.get(domain).map(revision)
            };
            domains.retain(|domain| !undone(domain));
            domains.extend(kept.evacuated.iter().cloned());
        }
        domains
    }

    /// Forgets what was known of a domain before, since the operators have spoken again.
    fn forget_word(&mut self, domain: &Arc<str>) {
        if let Some(kept) = &mut self.kept {
            kept.evacuated.remove(domain);
            kept.returned.remove(domain);
        }
    }
}
