//! Recovery after a store rollback: publications and evacuations that a node has read and the store has lost.
//!
//! Only the store confirms operators' commands, and a copy lacks the latest ones. A node that has read them from the
//! store writes them again. A bundle that was published on top of the copy gets a number that no node has seen, because
//! nodes accept no other bundle under a number that was once in force.

use super::message::{CurrentDoc, HISTORY_MAX, PublishedDoc};
use crate::member::Evacuation;
use crate::store::HistoryName;

/// Evacuations that are remembered.
const EVACUATIONS_MAX: usize = 50;

/// Documents in force that one node has read.
#[derive(Debug, Default)]
pub struct PublishedHistory {
    /// Document with the highest number.
    last: Option<CurrentDoc>,
    /// Evacuations, the latest last.
    evacuations: Vec<Evacuation>,
}

/// Relation of the publication in the store to the last one that the node has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Relation {
    /// It is the last one, or a later one.
    Current,
    /// It precedes the last one.
    Earlier,
    /// It was published without a record of the last one.
    Diverged,
}

impl PublishedHistory {
    /// Compares the document in the store, none if it has none, with the ones read before. `in_force` is the number of
    /// the bundle in force here, and `history` the name of the store's history. Returns the document that the store has
    /// to hold instead, if any; otherwise, the found one is remembered unless its number is below `in_force`.
    pub fn reconcile(
        &mut self,
        found: Option<&CurrentDoc>,
        in_force: u64,
        history: Option<HistoryName>,
    ) -> Option<CurrentDoc> {
        let Some(found) = found else {
            let last = self.last.clone().filter(|last| last.number >= in_force);
            return last.map(|last| CurrentDoc { restored: true, history: history.or(last.history), ..last });
        };
        let Some(last) = self.last.clone().filter(|last| last.number >= in_force) else {
            if found.number >= in_force {
                self.remember(found);
            }
            return None;
        };
        let mut next = match relation_to(&last, found) {
            Relation::Current => found.clone(),
            Relation::Earlier => CurrentDoc { restored: true, ..last.clone() },
            Relation::Diverged => renumber(&last, found),
        };
        next.evacuation = self.evacuation(&found.evacuation);
        next.history = history.or(found.history);
        if next.is_equivalent(found) && (found.history.is_none() || next.history == found.history) {
            self.remember(found);
            return None;
        }
        Some(next)
    }

    /// Records a document that the store holds.
    pub fn remember(&mut self, doc: &CurrentDoc) {
        if self.last.as_ref().is_none_or(|last| doc.number >= last.number) {
            self.last = Some(doc.clone());
        }
        if self.evacuations.last() != Some(&doc.evacuation) {
            self.evacuations.push(doc.evacuation.clone());
            let excess = self.evacuations.len().saturating_sub(EVACUATIONS_MAX);
            self.evacuations.drain(..excess);
        }
    }

    /// Returns the evacuation that applies if the store holds `found`. If two operators ordered evacuations and the
    /// second one had no record of the first, both apply.
    fn evacuation(&self, found: &Evacuation) -> Evacuation {
        let Some(last) = self.evacuations.last() else {
            return found.clone();
        };
        if found.number > last.number || found == last {
            return found.clone();
        }
        if self.evacuations.contains(found) || found.domains.is_empty() {
            return last.clone();
        }
        let mut both = last.clone();
        both.number += 1;
        both.domains.extend(found.domains.iter().cloned());
        both
    }
}

fn relation_to(last: &CurrentDoc, found: &CurrentDoc) -> Relation {
    let found = found.published();
    if found.number > last.number || found == last.published() {
        return Relation::Current;
    }
    // Beyond the history in the document, only the time decides; operators' clocks do not differ that much.
    let is_beyond = last.before.len() >= HISTORY_MAX && last.before.iter().all(|old| old.number > found.number);
    if last.before.contains(&found) || (is_beyond && found.rolled_ms <= last.rolled_ms) {
        return Relation::Earlier;
    }
    Relation::Diverged
}

/// Renumbers a publication as the one after the last.
fn renumber(last: &CurrentDoc, found: &CurrentDoc) -> CurrentDoc {
    let mut before: Vec<PublishedDoc> = std::iter::once(last.published()).chain(last.before.iter().cloned()).collect();
    before.truncate(HISTORY_MAX);
    CurrentDoc { number: last.number + 1, before, restored: false, ..found.clone() }
}
