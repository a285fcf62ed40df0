//! What a home makes of the page as it was read: keep it, take it over, or give way to another home.

use super::super::entry::{Entry, Hold, Purpose, State};
use super::super::message::{ClaimAction, Holder, Home, Page, PressId, PressReply, Record};
use super::{PageHome, PageRead};
use crate::code::Code;
use crate::store::Position;

impl PageHome {
    pub(super) fn read(&mut self, read: PageRead, now_s: u64, out: &mut Vec<ClaimAction>) {
        if !matches!(self.hold, Hold::Reading | Hold::Unsure | Hold::Reporting) {
            return;
        }
        let PageRead { position, page, complete, holder } = read;
        if position.era() < self.era {
            // It was answered before the store came back.
            out.push(ClaimAction::Read);
            return;
        }
        let was_home = self.hold == Hold::Unsure;
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
        // A later home than the page names has lost its takeover with the store's return.
        let is_later_home = self.confirmed && self.gap_or(may_lack) && self.term > page.term;
        let free = match (&page.home, holder) {
            (None, _) | (Some(_), Holder::Over) => true,
            (Some(_), Holder::Silent) => !page.held,
            (Some(_), Holder::Alive) => false,
        };
        if (free || is_later_home) && !self.releasing {
            self.take_over(position, &page, now_s, out);
            if may_lack {
                self.open_gap(was_confirmed, now_s);
            }
            self.admit_arrived(now_s, out);
        } else if self.knows_more_than(&page, now_s) {
            self.report(position, page, out);
        } else {
            self.give_way(page.home.as_ref(), holder, out);
        }
    }

    /// Goes on as the home of the page at a position.
    fn keep(&mut self, position: Position, now_s: u64, out: &mut Vec<ClaimAction>) {
        if position.is_start() {
            self.doubted = true;
        }
        // A takeover that was decided during a pause may still be on its way; only a write on this position keeps it
        // out.
        self.dirty |= self.doubted;
        self.urgent |= self.doubted;
        self.hold = Hold::Held { position };
        self.admit_arrived(now_s, out);
    }

    /// Takes what a page says that names this node as its home.
    fn read_own(&mut self, page: &Page, was_home: bool, now_s: u64) {
        self.held_in_store = page.held;
        if !was_home {
            self.adopt(page, now_s);
        } else if page.term > self.term {
            // Others have reported what they know.
            self.term = page.term;
            self.learn(page, now_s);
        }
    }

    fn take_over(&mut self, position: Position, page: &Page, now_s: u64, out: &mut Vec<ClaimAction>) {
        self.doubted = true;
        self.refuse_fresh(out);
        let term = self.term.max(page.term) + 1;
        // A run of this node's own that outlived its hold is still its to end.
        let known = std::mem::take(&mut self.entries);
        self.adopt(page, now_s);
        for (key, entry) in known {
            let is_known_better = self.entries.get(&key).is_some_and(|read| matches!(read.state, State::Finished(_)));
            if entry.state == State::Running || !is_known_better {
                self.entries.insert(key, entry);
            }
        }
        self.held_in_store = false;
        self.confirmed = false;
        self.term = term;
        if page.held && page.home.is_some() {
            self.blind_until_s = self.blind_until_s.max(now_s + self.rule.lifetime_s);
            self.blind_code = Code::ClaimUnfinished;
        }
        self.hold = Hold::Held { position };
        self.dirty = true;
        self.urgent = true;
    }

    /// Takes over what a page says; whoever claimed and did not finish may have run.
    fn adopt(&mut self, page: &Page, now_s: u64) {
        self.term = page.term;
        self.blind_until_s = page.blind_until_s;
        self.blind_code = if page.held { Code::ClaimUnfinished } else { Code::ClaimHistoryUnknown };
        self.learn(page, now_s);
    }

    /// Takes the keys of a page that are not known here, or under which nothing has started here: their presses are
    /// decided anew.
    fn learn(&mut self, page: &Page, now_s: u64) {
        let lifetime_s = self.rule.lifetime_s;
        for entry in page.entries.iter().filter(|entry| now_s <= entry.claimed_s + lifetime_s) {
            let known = self.entries.get(&entry.key);
            if known.is_some_and(Entry::may_have_run) {
                continue;
            }
            if let Some(fresh) = self.entries.insert(entry.key, Entry::read(entry)) {
                self.arrived.extend(fresh.into_arrived(entry.key));
            }
        }
    }

    /// Returns whether a page lacks a key that may have run as far as this node knows.
    fn knows_more_than(&self, page: &Page, now_s: u64) -> bool {
        self.entries.iter().any(|(key, entry)| {
            let is_old = now_s > entry.claimed_s + self.rule.lifetime_s;
            !is_old && entry.may_have_run() && !page.entries.iter().any(|written| written.key == *key)
        })
    }

    /// Writes what this node knows into the page of another home, which must not take those keys for new.
    fn report(&mut self, position: Position, mut page: Page, out: &mut Vec<ClaimAction>) {
        self.refuse_or_move(page.home.as_ref(), out);
        for (&key, entry) in &self.entries {
            let written = page.entries.iter_mut().find(|written| written.key == key);
            let known = entry.written(key);
            match written {
                Some(written) if matches!(known.record, Record::Finished(_)) => *written = known,
                Some(_) => {}
                None => page.entries.push(known),
            }
        }
        // By the later term the home sees that somebody else has written its page.
        page.term += 1;
        self.held_in_store = false;
        self.confirmed = false;
        self.gap = None;
        self.doubted = true;
        self.dirty = false;
        self.hold = Hold::Writing { expected: position, purpose: Purpose::Report, doubted: false };
        out.push(ClaimAction::Write { expected: position, page });
    }

    /// Gives way to another home, if there is one: what has not started goes there.
    fn give_way(&mut self, home: Option<&Home>, holder: Holder, out: &mut Vec<ClaimAction>) {
        self.refuse_or_move(home, out);
        if home.is_some() && holder == Holder::Alive {
            // It knows all that this node knew, and lives.
            self.entries.retain(|_, entry| entry.state == State::Running);
        }
        self.leave(out);
    }

    pub(super) fn leave(&mut self, out: &mut Vec<ClaimAction>) {
        self.refuse_arrived(out);
        self.doubted = true;
        self.confirmed = false;
        self.gap = None;
        self.hold = Hold::Away;
        self.dirty = false;
    }

    /// Sends away the presses of which nothing has started: to the home, if there is one.
    fn refuse_or_move(&mut self, home: Option<&Home>, out: &mut Vec<ClaimAction>) {
        let Some(home) = home else {
            self.refuse_arrived(out);
            self.refuse_fresh(out);
            return;
        };
        let arrived = std::mem::take(&mut self.arrived).into_iter().map(|arrived| arrived.press);
        let waiting: Vec<PressId> = arrived.chain(self.drop_fresh()).collect();
        for press in waiting {
            self.reply(press, PressReply::Moved { home: home.clone() }, out);
        }
    }

    fn drop_fresh(&mut self) -> Vec<PressId> {
        let mut waiting = Vec::new();
        self.entries.retain(|_, entry| {
            if !entry.may_have_run() {
                waiting.append(&mut entry.presses);
            }
            entry.may_have_run()
        });
        waiting
    }
}
