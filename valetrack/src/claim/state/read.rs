//! Handling of a page that was read: the node keeps it, takes it over, or yields it to another home.

use super::super::entry::{Entry, Hold, Purpose, State};
use super::super::message::{ClaimAction, Holder, Home, KeyedCallId, KeyedCallReply, Page, Record};
use super::{PageHome, PageRead};
use crate::code::Code;
use crate::store::Position;

impl PageHome {
    pub(super) fn read(&mut self, read: PageRead, now_s: u64, out: &mut Vec<ClaimAction>) {
        if !matches!(self.hold, Hold::Reading | Hold::Uncertain | Hold::Reporting) {
            return;
        }
        let PageRead { position, page, complete, holder } = read;
        if position.era() < self.era {
            // The read was answered before the store rollback.
            out.push(ClaimAction::Read);
            return;
        }
        let was_home = self.hold == Hold::Uncertain;
        self.confirmed &= was_home;
        let was_confirmed = self.confirmed;
        let is_later_era = position.era() > self.era;
        self.era = position.era();
        self.outage = false;
        if is_later_era {
            self.enter_era();
        }
        let may_lack = !complete && (is_later_era || !was_home);
        let Some(page) = page else {
            if may_lack {
                self.open_gap(was_confirmed, now_s);
            }
            return self.keep(position, now_s, out);
        };
        if page.home.as_ref() == Some(&self.me) {
            self.read_own(&page, was_home, now_s);
            if may_lack {
                self.open_gap(was_confirmed, now_s);
            }
            return self.keep(position, now_s, out);
        }
        // This node took the page over from the home that the page names, and the rollback undid the takeover.
        let is_later_home = self.confirmed && self.gap_or(may_lack) && self.term > page.term;
        let free = match (&page.home, holder) {
            (None, _) | (Some(_), Holder::Dead) => true,
            (Some(_), Holder::Unresponsive) => !page.held,
            (Some(_), Holder::Alive) => false,
        };
        if (free || is_later_home) && !self.releasing {
            self.take_over(position, &page, now_s, out);
            if may_lack {
                self.open_gap(was_confirmed, now_s);
            }
            self.admit_pending(now_s, out);
        } else if self.has_keys_missing_from(&page, now_s) {
            self.report(position, page, out);
        } else {
            self.yield_page(page.home.as_ref(), holder, out);
        }
    }

    /// Continues as the home of the page at a position.
    fn keep(&mut self, position: Position, now_s: u64, out: &mut Vec<ClaimAction>) {
        if position.is_start() {
            self.is_suspect = true;
        }
        // A takeover that another node decided on during a pause may still be in flight. Only a write on this position
        // makes it fail.
        self.dirty |= self.is_suspect;
        self.urgent |= self.is_suspect;
        self.hold = Hold::Held { position };
        self.admit_pending(now_s, out);
    }

    /// Applies a page that names this node as its home.
    fn read_own(&mut self, page: &Page, was_home: bool, now_s: u64) {
        self.held_in_store = page.held;
        if !was_home {
            self.adopt(page, now_s);
        } else if page.term > self.term {
            // Another node has written its own records to the page.
            self.term = page.term;
            self.merge_entries(page, now_s);
        }
    }

    fn take_over(&mut self, position: Position, page: &Page, now_s: u64, out: &mut Vec<ClaimAction>) {
        self.is_suspect = true;
        self.refuse_fresh(out);
        let term = self.term.max(page.term) + 1;
        // A run of this node that is still on after the node lost the page is still ended by this node.
        let own = std::mem::take(&mut self.entries);
        self.adopt(page, now_s);
        for (key, entry) in own {
            let is_page_newer = self.entries.get(&key).is_some_and(|read| matches!(read.state, State::Finished(_)));
            if entry.state == State::Running || !is_page_newer {
                self.entries.insert(key, entry);
            }
        }
        self.held_in_store = false;
        self.confirmed = false;
        self.term = term;
        if page.held && page.home.is_some() {
            self.blind_until_s = self.blind_until_s.max(now_s + self.rule.lifetime_s);
            self.no_gap_code = Code::ClaimUnfinished;
        }
        self.hold = Hold::Held { position };
        self.dirty = true;
        self.urgent = true;
    }

    /// Applies the content of a page. A key that was claimed and not finished may have run.
    fn adopt(&mut self, page: &Page, now_s: u64) {
        self.term = page.term;
        self.blind_until_s = page.blind_until_s;
        self.no_gap_code = if page.held { Code::ClaimUnfinished } else { Code::ClaimHistoryUnknown };
        self.merge_entries(page, now_s);
    }

    /// Adds the keys of a page that are unknown here or have not started here. Calls that wait for such a key are
    /// decided again.
    fn merge_entries(&mut self, page: &Page, now_s: u64) {
        let lifetime_s = self.rule.lifetime_s;
        for entry in page.entries.iter().filter(|entry| now_s <= entry.claimed_s + lifetime_s) {
            let own = self.entries.get(&entry.key);
            if own.is_some_and(Entry::may_have_run) {
                continue;
            }
            if let Some(fresh) = self.entries.insert(entry.key, Entry::read(entry)) {
                self.pending.extend(fresh.into_pending(entry.key));
            }
        }
    }

    /// Returns whether a page lacks a key that may have run according to this node's records.
    fn has_keys_missing_from(&self, page: &Page, now_s: u64) -> bool {
        self.entries.iter().any(|(key, entry)| {
            let is_old = now_s > entry.claimed_s + self.rule.lifetime_s;
            !is_old && entry.may_have_run() && !page.entries.iter().any(|written| written.key == *key)
        })
    }

    /// Writes this node's records to the page of another home, so that the home doesn't treat those keys as new.
    fn report(&mut self, position: Position, mut page: Page, out: &mut Vec<ClaimAction>) {
        self.refuse_or_move(page.home.as_ref(), out);
        for (&key, entry) in &self.entries {
            let written = page.entries.iter_mut().find(|written| written.key == key);
            let own = entry.written(key);
            match written {
                Some(written) if matches!(own.record, Record::Finished(_)) => *written = own,
                Some(_) => {}
                None => page.entries.push(own),
            }
        }
        // The higher term shows the home that another node has written its page.
        page.term += 1;
        self.held_in_store = false;
        self.confirmed = false;
        self.gap = None;
        self.is_suspect = true;
        self.dirty = false;
        self.hold = Hold::Writing { expected: position, purpose: Purpose::Report, is_suspect: false };
        out.push(ClaimAction::Write { expected: position, page });
    }

    /// Yields the page to another home, if there is one. Calls that have not started are sent there.
    fn yield_page(&mut self, home: Option<&Home>, holder: Holder, out: &mut Vec<ClaimAction>) {
        self.refuse_or_move(home, out);
        if home.is_some() && holder == Holder::Alive {
            // The home is alive and has all records of this node.
            self.entries.retain(|_, entry| entry.state == State::Running);
        }
        self.drop_hold(out);
    }

    pub(super) fn drop_hold(&mut self, out: &mut Vec<ClaimAction>) {
        self.refuse_pending(out);
        self.is_suspect = true;
        self.confirmed = false;
        self.gap = None;
        self.hold = Hold::NotHeld;
        self.dirty = false;
    }

    /// Answers the calls that have not started: refers them to the home, or refuses them if there is none.
    fn refuse_or_move(&mut self, home: Option<&Home>, out: &mut Vec<ClaimAction>) {
        let Some(home) = home else {
            self.refuse_pending(out);
            self.refuse_fresh(out);
            return;
        };
        let pending = std::mem::take(&mut self.pending).into_iter().map(|pending| pending.id);
        let waiting: Vec<KeyedCallId> = pending.chain(self.drop_fresh()).collect();
        for id in waiting {
            self.reply(id, KeyedCallReply::Moved { home: home.clone() }, out);
        }
    }

    fn drop_fresh(&mut self) -> Vec<KeyedCallId> {
        let mut waiting = Vec::new();
        self.entries.retain(|_, entry| {
            if !entry.may_have_run() {
                waiting.append(&mut entry.keyed_calls);
            }
            entry.may_have_run()
        });
        waiting
    }
}
