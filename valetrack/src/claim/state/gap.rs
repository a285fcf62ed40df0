//! What a page may lack after the store may have come back from a copy.
//!
//! While it is open, presses of unknown keys wait a little for the nodes that may know more, and are then told that it is
//! not known whether the key ran. The page is written as blind for a lifetime of keys, so that whoever takes it over
//! trusts it no more than this home.

use super::super::entry::Hold;
use super::super::message::ClaimAction;
use super::PageHome;
use crate::code::Code;
use crate::store::Era;

/// What is known of a page's completeness.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Gap {
    /// Until when it stays open at the most, in seconds since 1970: no key that ran before is remembered any longer.
    until_s: u64,
    /// Whether this node was the home before, and knows all that it had confirmed.
    was_home: bool,
    /// Whether presses of unknown keys wait for those who may know them; else they are told at once that it is not
    /// known whether the key ran.
    waits: bool,
}

impl Gap {
    /// Returns whether presses of unknown keys wait.
    pub(super) fn waits(&self) -> bool {
        self.waits
    }

    /// Returns whether the page need not be written yet: this node knows nothing that it lacks, and may soon know that it
    /// lacks nothing.
    pub(super) fn defers_write(&self) -> bool {
        self.waits && !self.was_home
    }
}

impl PageHome {
    /// Returns whether the page may lack keys that ran.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Returns whether the page may lack keys that ran, and this node was its home before the store came back, so that
    /// only later homes can know more.
    pub fn has_gap_as_home(&self) -> bool {
        self.gap.as_ref().is_some_and(|gap| gap.was_home)
    }

    /// Returns whether this node may know of a key that the page lacks.
    pub fn remembers(&self) -> bool {
        !matches!(self.hold, Hold::Away) || !self.entries.is_empty()
    }

    /// Returns the era that was heard of last.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Forgets a gap that has been open for a lifetime of keys.
    pub(super) fn expire_gap(&mut self, now_s: u64) {
        self.gap.take_if(|gap| now_s >= gap.until_s);
    }

    /// Returns whether a page counts as one that may lack keys: by a gap that is open, or about to be opened.
    pub(super) fn gap_or(&self, may_lack: bool) -> bool {
        self.gap.is_some() || may_lack
    }

    /// Takes into account that the store may have come back from a copy: what is not confirmed yet is no claim.
    pub(super) fn enter_era(&mut self) {
        if let Some(gap) = &mut self.gap {
            gap.waits = true;
        }
        self.in_write.clear();
        let entries = std::mem::take(&mut self.entries);
        for (key, entry) in entries {
            if entry.may_have_run() {
                self.entries.insert(key, entry);
            } else {
                self.arrived.extend(entry.into_arrived(key));
            }
        }
        // What this node knows is written, whatever the copy holds of it.
        self.doubted = true;
    }

    /// Notes that the page may lack keys that ran.
    pub(super) fn open_gap(&mut self, was_home: bool, now_s: u64) {
        let until_s = now_s + self.rule.lifetime_s;
        match &mut self.gap {
            Some(gap) => gap.until_s = until_s,
            None => self.gap = Some(Gap { until_s, was_home, waits: true }),
        }
        self.dirty = true;
        self.urgent = true;
    }

    /// Returns until when a key that is not known here may have run all the same, in seconds since 1970.
    pub(super) fn unsure_until_s(&self) -> u64 {
        self.gap.as_ref().map_or(self.blind_until_s, |gap| gap.until_s.max(self.blind_until_s))
    }

    /// Returns what a press of such a key is told.
    pub(super) fn unsure_code(&self) -> Code {
        if self.gap.is_some() { Code::ClaimHistoryUnknown } else { self.blind_code }
    }

    /// Closes the gap: all who may know more have written it.
    ///
    /// What they wrote after this node read the page has moved the page on, so that its next write is refused, and it
    /// reads again before anything runs.
    pub(super) fn complete(&mut self, era: Era, now_s: u64, out: &mut Vec<ClaimAction>) {
        if era != self.era || !self.holds() {
            return;
        }
        if self.gap.take().is_none() {
            return;
        }
        self.dirty = true;
        self.urgent = true;
        self.admit_arrived(now_s, out);
    }

    /// Stops letting presses wait for those who may know more.
    pub(super) fn waited(&mut self, now_s: u64, out: &mut Vec<ClaimAction>) {
        let Some(gap) = self.gap.as_mut().filter(|gap| gap.waits) else {
            return;
        };
        gap.waits = false;
        if self.holds() {
            self.admit_arrived(now_s, out);
        }
    }
}
