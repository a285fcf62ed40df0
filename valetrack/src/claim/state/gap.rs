//! Gaps of a page: keys that may be missing after a store rollback.
//!
//! While the gap is open, calls with unknown keys first wait for reports of the nodes that may have a record of the
//! key. When the wait has ended, they are answered with an unknown outcome. The page is written with its history marked
//! as unavailable for the lifetime of a key, so that the next home trusts it no more than this one does.

use super::super::entry::Hold;
use super::super::message::ClaimAction;
use super::PageHome;
use crate::code::Code;
use crate::store::Era;

/// A gap in a page.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Gap {
    /// Latest end of the gap, in seconds since 1970. By then, every key that ran before it has expired.
    until_s: u64,
    /// Whether this node was the home before the gap, and so has a record of every key that it had confirmed.
    was_home: bool,
    /// Whether calls with unknown keys wait for reports of other nodes. Otherwise they are answered with an unknown
    /// outcome at once.
    waits: bool,
}

impl Gap {
    /// Returns whether calls with unknown keys wait.
    pub(super) fn waits(&self) -> bool {
        self.waits
    }

    /// Returns whether writing the page can wait: this node has recorded nothing that the page lacks, and the page may
    /// soon be known to be complete.
    pub(super) fn defers_write(&self) -> bool {
        self.waits && !self.was_home
    }
}

impl PageHome {
    /// Returns whether the page may lack keys that ran.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Returns whether the page may lack keys that ran, and this node was its home before the rollback, so that only
    /// later homes may have a record of them.
    pub fn has_gap_as_home(&self) -> bool {
        self.gap.as_ref().is_some_and(|gap| gap.was_home)
    }

    /// Returns whether this node may have recorded a key that the page lacks.
    pub fn remembers(&self) -> bool {
        !matches!(self.hold, Hold::NotHeld) || !self.entries.is_empty()
    }

    /// Returns the latest era in which the page was read.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Removes a gap that has been open for the lifetime of a key.
    pub(super) fn expire_gap(&mut self, now_s: u64) {
        self.gap.take_if(|gap| now_s >= gap.until_s);
    }

    /// Returns whether a gap is open or about to be opened.
    pub(super) fn gap_or(&self, may_lack: bool) -> bool {
        self.gap.is_some() || may_lack
    }

    /// Handles a possible store rollback: claims that are not confirmed yet are decided again.
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
                self.pending.extend(entry.into_pending(key));
            }
        }
        // The records of this node are written, whatever the older copy of the page contains.
        self.is_suspect = true;
    }

    /// Records that the page may lack keys that ran.
    pub(super) fn open_gap(&mut self, was_home: bool, now_s: u64) {
        let until_s = now_s + self.rule.lifetime_s;
        match &mut self.gap {
            Some(gap) => gap.until_s = until_s,
            None => self.gap = Some(Gap { until_s, was_home, waits: true }),
        }
        self.dirty = true;
        self.urgent = true;
    }

    /// Returns until when a key that is unknown here may have run all the same, in seconds since 1970.
    pub(super) fn uncertain_until_s(&self) -> u64 {
        self.gap.as_ref().map_or(self.blind_until_s, |gap| gap.until_s.max(self.blind_until_s))
    }

    /// Returns the code of the reply to a call with such a key.
    pub(super) fn uncertain_code(&self) -> Code {
        if self.gap.is_some() { Code::ClaimHistoryUnknown } else { self.no_gap_code }
    }

    /// Closes the gap after all nodes that may have recorded other keys have written them to the page.
    ///
    /// If they wrote after this node read the page, the page has changed: the next write of this node is refused, and
    /// it reads the page again before anything runs.
    pub(super) fn complete(&mut self, era: Era, now_s: u64, out: &mut Vec<ClaimAction>) {
        if era != self.era || !self.holds() {
            return;
        }
        if self.gap.take().is_none() {
            return;
        }
        self.dirty = true;
        self.urgent = true;
        self.admit_pending(now_s, out);
    }

    /// Ends the wait of calls with unknown keys.
    pub(super) fn end_wait(&mut self, now_s: u64, out: &mut Vec<ClaimAction>) {
        let Some(gap) = self.gap.as_mut().filter(|gap| gap.waits) else {
            return;
        };
        gap.waits = false;
        if self.holds() {
            self.admit_pending(now_s, out);
        }
    }
}
