//! What the store is to hold where it has come back from a copy: rolls and evacuations that nodes have seen.
//!
//! The operators' word is confirmed by the store alone, and a copy lacks the last of it. Whoever has read it from the store
//! has it written again; and what was rolled on top of the copy gets a number that no node has seen, since nodes take
//! no other bundle under a number that was once in force.

use super::message::{CurrentDoc, HISTORY_MAX, RolledDoc};
use crate::member::Evacuation;
use crate::store::HistoryName;

/// Evacuations that are remembered.
const EVACUATIONS_MAX: usize = 50;

/// What one node has read of the document in force.
#[derive(Debug, Default)]
pub struct RollMemory {
    /// The document of the highest number.
    last: Option<CurrentDoc>,
    /// Evacuations, the latest last.
    evacuations: Vec<Evacuation>,
}

/// What the store is found to hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// The last roll, or a later one.
    Current,
    /// A roll before the last one.
    Earlier,
    /// A roll that was made without knowing of the last one.
    Sideways,
}

impl RollMemory {
    /// Takes the document as the store shows it, none where it has none; `in_force` is the number of the bundle in force
    /// here, and `history` what the store calls its history. Returns what the store is to hold instead, if anything.
    pub fn take(
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
        let mut next = match standing(&last, found) {
            Standing::Current => found.clone(),
            Standing::Earlier => CurrentDoc { restored: true, ..last.clone() },
            Standing::Sideways => after(&last, found),
        };
        next.evacuation = self.evacuation(&found.evacuation);
        next.history = history.or(found.history);
        if next.is_like(found) && (found.history.is_none() || next.history == found.history) {
            self.remember(found);
            return None;
        }
        Some(next)
    }

    /// Notes what the store holds.
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

    /// Returns the evacuation that is to hold where the store shows this one: both operators' words, where the one was
    /// given without knowing of the other.
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

fn standing(last: &CurrentDoc, found: &CurrentDoc) -> Standing {
    let found = found.rolled();
    if found.number > last.number || found == last.rolled() {
        return Standing::Current;
    }
    // Beyond the history that the document keeps, only the time tells; operators' clocks are not that far apart.
    let is_beyond = last.before.len() >= HISTORY_MAX && last.before.iter().all(|old| old.number > found.number);
    if last.before.contains(&found) || (is_beyond && found.rolled_ms <= last.rolled_ms) {
        return Standing::Earlier;
    }
    Standing::Sideways
}

/// Returns a roll as the next one after the last.
fn after(last: &CurrentDoc, found: &CurrentDoc) -> CurrentDoc {
    let mut before: Vec<RolledDoc> = std::iter::once(last.rolled()).chain(last.before.iter().cloned()).collect();
    before.truncate(HISTORY_MAX);
    CurrentDoc { number: last.number + 1, before, restored: false, ..found.clone() }
}
