//! Pure decisions of a home over one page of claims.
//!
//! The safety of a run rests on one rule: [`ClaimAction::Run`] is ordered only after the store
//! has confirmed a write, made on the revision that this home last knew, which holds the claim.
//! Whoever takes the page over does so by a write on the same revision, so one of the two
//! fails. Time decides when a takeover is tried, never whether a run is safe.
//!
//! A store that came back from a copy has lost claims that it had confirmed. A page that may be from such a copy is no
//! proof that a key is new: until all nodes that may know more have been heard ([`gap`]), an unknown key does not run.

use std::collections::BTreeMap;

use self::gap::Gap;
use super::entry::{Arrived, ClaimRule, Entry, Hold, Purpose, State};
use super::message::{ClaimAction, ClaimEvent, Holder, Home, KeyDigest, Page, PressId, PressReply, RunEnd};
use crate::code::Code;
use crate::store::{Era, Position};

mod gap;
mod read;

/// What one node knows and decides of one page.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PageHome {
    me: Home,
    rule: ClaimRule,
    hold: Hold,
    term: u64,
    /// Whether a write of this node has been confirmed since it took the page.
    confirmed: bool,
    /// The store's era that was heard of last.
    era: Era,
    /// What the page may lack since the store came back; none while it is known to be whole.
    gap: Option<Gap>,
    /// Until when a key that is not known here may have run all the same, in seconds since 1970.
    blind_until_s: u64,
    /// What a press of such a key is told.
    blind_code: Code,
    entries: BTreeMap<KeyDigest, Entry>,
    /// Presses that came before it was known who the home is.
    arrived: Vec<Arrived>,
    /// Fresh keys that the write under way holds.
    in_write: Vec<KeyDigest>,
    /// Whether memory has something that the store lacks.
    dirty: bool,
    /// Whether that cannot wait for the next claim.
    urgent: bool,
    /// Whether a flush is due to come.
    flush_due: bool,
    /// Whether the last call to the store failed.
    outage: bool,
    releasing: bool,
    /// Whether a retry is due to come.
    retry_due: bool,
    /// Whether the page in the store says that its home may run on claims in memory.
    held_in_store: bool,
    /// Whether another node may be the home unseen: until this node's first write is confirmed,
    /// and after it may have been taken for dead.
    doubted: bool,
}

impl PageHome {
    /// Makes a page of which nothing is known yet.
    pub fn new(me: Home, rule: ClaimRule) -> Self {
        Self {
            me,
            rule,
            hold: Hold::Away,
            term: 0,
            confirmed: false,
            era: Era::default(),
            gap: None,
            blind_until_s: 0,
            blind_code: Code::ClaimHistoryUnknown,
            entries: BTreeMap::new(),
            arrived: Vec::new(),
            in_write: Vec::new(),
            dirty: false,
            urgent: false,
            flush_due: false,
            outage: false,
            releasing: false,
            retry_due: false,
            held_in_store: false,
            doubted: false,
        }
    }

    /// Returns whether this node believes that it is the home; only the store knows.
    pub fn holds(&self) -> bool {
        match self.hold {
            Hold::Held { .. } | Hold::Unsure => true,
            Hold::Writing { purpose, .. } => purpose != Purpose::Report,
            Hold::Away | Hold::Reading | Hold::Reporting => false,
        }
    }

    /// Returns whether nothing is left to hand over.
    pub fn released(&self) -> bool {
        matches!(self.hold, Hold::Away)
    }

    /// Returns the number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes new rules from the bundle in force.
    pub fn configure(&mut self, rule: ClaimRule) {
        self.rule = rule;
    }

    /// Takes one event at `now_s` (seconds since 1970) and appends what must be done to `out`.
    pub fn handle(&mut self, event: ClaimEvent, now_s: u64, out: &mut Vec<ClaimAction>) {
        self.expire_gap(now_s);
        match event {
            ClaimEvent::Press { press, key, call } => self.press(Arrived { press, key, call }, now_s, out),
            ClaimEvent::Expire { press } => self.expire(press, out),
            ClaimEvent::RunEnded { key, end } => self.run_ended(key, end, out),
            ClaimEvent::Read { position, page, complete, holder } => {
                self.read(PageRead { position, page, complete, holder }, now_s, out);
            }
            ClaimEvent::ReadFailed => self.read_failed(out),
            ClaimEvent::Wrote { position } => self.wrote(position, out),
            ClaimEvent::Complete { era } => self.complete(era, now_s, out),
            ClaimEvent::Waited => self.waited(now_s, out),
            ClaimEvent::Refused => self.refused(out),
            ClaimEvent::WriteLost => self.write_lost(out),
            ClaimEvent::Retry => self.retry(out),
            ClaimEvent::Acquire => self.acquire(out),
            ClaimEvent::Doubt => self.doubt(out),
            ClaimEvent::Flush => self.flush(),
            ClaimEvent::Release => self.release(out),
        }
        self.write_if_due(now_s, out);
    }

    fn press(&mut self, arrived: Arrived, now_s: u64, out: &mut Vec<ClaimAction>) {
        match self.hold {
            Hold::Away if self.releasing => self.reply(arrived.press, not_home(Code::Leaving), out),
            Hold::Away => {
                self.arrived.push(arrived);
                self.start_read(out);
            }
            Hold::Reading | Hold::Reporting | Hold::Writing { purpose: Purpose::Report, .. } => {
                self.arrived.push(arrived)
            }
            Hold::Held { .. } | Hold::Writing { .. } | Hold::Unsure => self.admit(arrived, now_s, out),
        }
    }

    /// Decides on a press as the home.
    fn admit(&mut self, arrived: Arrived, now_s: u64, out: &mut Vec<ClaimAction>) {
        let Arrived { press, key, call } = arrived;
        if let Some(entry) = self.entries.get_mut(&key) {
            if entry.call != call {
                self.reply(press, PressReply::Reused, out);
                return;
            }
            match &entry.state {
                State::Fresh | State::Running => entry.presses.push(press),
                State::Finished(answer) => {
                    let reply = PressReply::Ran(answer.clone());
                    self.reply(press, reply, out);
                }
                State::Lost => self.reply(press, PressReply::Unknown { code: Code::ClaimUnfinished }, out),
            }
            return;
        }
        if self.gap.is_some() && self.releasing {
            self.reply(press, not_home(Code::Leaving), out);
            return;
        }
        if self.gap.as_ref().is_some_and(Gap::waits) {
            self.arrived.push(Arrived { press, key, call });
            return;
        }
        if now_s < self.unsure_until_s() {
            self.reply(press, PressReply::Unknown { code: self.unsure_code() }, out);
            return;
        }
        if self.entries.len() >= self.rule.entries_max {
            self.reply(press, self.not_run(Code::ClaimPageFull), out);
            return;
        }
        if self.releasing {
            self.reply(press, not_home(Code::Leaving), out);
            return;
        }
        if self.outage && !self.held_in_store {
            self.reply(press, self.not_run(Code::ClaimNotKept), out);
            return;
        }
        let entry = Entry { call, claimed_s: now_s, state: State::Fresh, presses: vec![press] };
        self.entries.insert(key, entry);
        self.dirty = true;
        self.urgent = true;
        if self.outage {
            self.run_fresh(&[key], out);
        }
    }

    fn expire(&mut self, press: PressId, out: &mut Vec<ClaimAction>) {
        if let Some(at) = self.arrived.iter().position(|arrived| arrived.press == press) {
            self.arrived.remove(at);
            let reply = match self.holds() {
                true => PressReply::Unknown { code: self.unsure_code() },
                false => not_home(Code::ClaimNotKept),
            };
            self.reply(press, reply, out);
            return;
        }
        let waiting = self.entries.iter_mut().find(|(_, entry)| entry.presses.contains(&press));
        let Some((&key, entry)) = waiting else {
            return;
        };
        entry.presses.retain(|&waiting| waiting != press);
        if entry.state != State::Fresh {
            self.reply(press, PressReply::Unknown { code: Code::DeadlinePassed }, out);
            return;
        }
        if entry.presses.is_empty() {
            // Nobody waits for it any more, so it must not start when the write is confirmed.
            self.entries.remove(&key);
            self.dirty = true;
        }
        self.reply(press, self.not_run(Code::ClaimNotKept), out);
    }

    fn run_ended(&mut self, key: KeyDigest, end: RunEnd, out: &mut Vec<ClaimAction>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.state != State::Running {
            return;
        }
        let presses = std::mem::take(&mut entry.presses);
        let reply = match end {
            RunEnd::Ran(answer) => {
                entry.state = State::Finished(answer.trimmed());
                PressReply::Ran(answer)
            }
            RunEnd::NeverStarted { code } => {
                self.entries.remove(&key);
                PressReply::NotRun { code }
            }
            RunEnd::Unknown { code } => {
                entry.state = State::Lost;
                PressReply::Unknown { code }
            }
        };
        self.dirty = true;
        for press in presses {
            self.reply(press, reply.clone(), out);
        }
        if self.hold == Hold::Away {
            // The page has another home now; only that one speaks for the key from here on.
            self.entries.remove(&key);
        }
    }

    fn admit_arrived(&mut self, now_s: u64, out: &mut Vec<ClaimAction>) {
        for arrived in std::mem::take(&mut self.arrived) {
            self.admit(arrived, now_s, out);
        }
    }

    fn read_failed(&mut self, out: &mut Vec<ClaimAction>) {
        self.outage = true;
        match self.hold {
            Hold::Reading => {
                self.hold = Hold::Away;
                self.outage = false;
                self.refuse_arrived(out);
            }
            Hold::Unsure => self.do_without_store(out),
            Hold::Reporting => self.retry_later(out),
            Hold::Away | Hold::Held { .. } | Hold::Writing { .. } => {}
        }
    }

    fn wrote(&mut self, position: Position, out: &mut Vec<ClaimAction>) {
        let Hold::Writing { purpose, doubted, .. } = self.hold else {
            return;
        };
        self.outage = false;
        let claimed = std::mem::take(&mut self.in_write);
        match purpose {
            // What this node knows is kept as long as it lives: the page may still be lost with what it says.
            Purpose::HandOver => return self.leave(out),
            // Whoever is the home now reads what was reported, and this node sees that it is there.
            Purpose::Report => return self.read_for_report(out),
            Purpose::Keep => {}
        }
        self.confirmed = true;
        self.doubted = doubted;
        self.held_in_store = self.rule.held;
        self.run_fresh(&claimed, out);
        if doubted {
            // The write may have taken effect before the pause, and a takeover after it.
            return self.read_as_home(out);
        }
        self.hold = Hold::Held { position };
    }

    /// Reads the page to find out whether this node still is its home.
    fn read_as_home(&mut self, out: &mut Vec<ClaimAction>) {
        self.hold = Hold::Unsure;
        out.push(ClaimAction::Read);
    }

    /// Reads the page to find out whether it lacks what this node knows.
    fn read_for_report(&mut self, out: &mut Vec<ClaimAction>) {
        self.hold = Hold::Reporting;
        out.push(ClaimAction::Read);
    }

    fn release(&mut self, out: &mut Vec<ClaimAction>) {
        self.releasing = true;
        if self.holds() {
            self.refuse_arrived(out);
        }
    }

    fn run_fresh(&mut self, keys: &[KeyDigest], out: &mut Vec<ClaimAction>) {
        for &key in keys {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            let (State::Fresh, Some(&press)) = (&entry.state, entry.presses.first()) else {
                continue;
            };
            entry.state = State::Running;
            out.push(ClaimAction::Run { key, press });
        }
    }

    fn refused(&mut self, out: &mut Vec<ClaimAction>) {
        let Hold::Writing { purpose, .. } = self.hold else {
            return;
        };
        self.in_write.clear();
        if purpose == Purpose::Report {
            return self.read_for_report(out);
        }
        // A late write of this home's own may have come first, so the page tells who holds it.
        self.dirty = true;
        self.read_as_home(out);
    }

    fn write_lost(&mut self, out: &mut Vec<ClaimAction>) {
        let Hold::Writing { purpose, .. } = self.hold else {
            return;
        };
        self.in_write.clear();
        if purpose == Purpose::Report {
            self.hold = Hold::Reporting;
            return self.retry_later(out);
        }
        self.hold = Hold::Unsure;
        self.dirty = true;
        self.do_without_store(out);
    }

    /// Ends at once what would have to wait for a store that is away, or runs it on claims in memory.
    fn do_without_store(&mut self, out: &mut Vec<ClaimAction>) {
        self.outage = true;
        if self.held_in_store {
            let keys: Vec<KeyDigest> = self.entries.keys().copied().collect();
            self.run_fresh(&keys, out);
        }
        self.refuse_fresh(out);
        self.retry_later(out);
    }

    /// Sends away every press that came before it was known who the home is.
    fn refuse_arrived(&mut self, out: &mut Vec<ClaimAction>) {
        for arrived in std::mem::take(&mut self.arrived) {
            self.reply(arrived.press, not_home(Code::ClaimNotKept), out);
        }
    }

    /// Ends every press whose claim is not durable: what was not started never will be.
    fn refuse_fresh(&mut self, out: &mut Vec<ClaimAction>) {
        let mut refused = Vec::new();
        self.entries.retain(|_, entry| {
            let fresh = entry.state == State::Fresh;
            if fresh {
                refused.append(&mut entry.presses);
            }
            !fresh
        });
        for press in refused {
            self.reply(press, self.not_run(Code::ClaimNotKept), out);
        }
    }

    fn retry_later(&mut self, out: &mut Vec<ClaimAction>) {
        if !self.retry_due {
            self.retry_due = true;
            out.push(ClaimAction::RetryLater);
        }
    }

    fn acquire(&mut self, out: &mut Vec<ClaimAction>) {
        if self.hold == Hold::Away && !self.releasing {
            self.start_read(out);
        }
    }

    /// Takes into account that this node may have been taken for dead.
    fn doubt(&mut self, out: &mut Vec<ClaimAction>) {
        match self.hold {
            Hold::Held { .. } => {
                self.doubted = true;
                self.read_as_home(out);
            }
            Hold::Writing { expected, purpose, .. } => {
                self.doubted = true;
                self.hold = Hold::Writing { expected, purpose, doubted: true };
            }
            Hold::Unsure => self.doubted = true,
            Hold::Away if !self.entries.is_empty() => self.read_for_report(out),
            Hold::Away | Hold::Reading | Hold::Reporting => {}
        }
    }

    fn retry(&mut self, out: &mut Vec<ClaimAction>) {
        self.retry_due = false;
        if matches!(self.hold, Hold::Unsure | Hold::Reporting) {
            out.push(ClaimAction::Read);
        }
    }

    fn start_read(&mut self, out: &mut Vec<ClaimAction>) {
        self.hold = Hold::Reading;
        out.push(ClaimAction::Read);
    }

    /// Lets what no caller waits for ride on the next claim, or go by itself after a while.
    fn flush_later(&mut self, out: &mut Vec<ClaimAction>) {
        if !self.flush_due {
            self.flush_due = true;
            out.push(ClaimAction::FlushLater);
        }
    }

    fn flush(&mut self) {
        self.flush_due = false;
        self.urgent |= self.dirty;
    }

    fn write_if_due(&mut self, now_s: u64, out: &mut Vec<ClaimAction>) {
        let Hold::Held { position } = self.hold else {
            return;
        };
        if !self.dirty && !self.releasing {
            return;
        }
        if self.gap.as_ref().is_some_and(Gap::defers_write) && !self.releasing {
            return;
        }
        if !self.urgent && !self.releasing {
            self.flush_later(out);
            return;
        }
        let fresh = |entry: &&KeyDigest| self.entries[*entry].state == State::Fresh;
        self.in_write = self.entries.keys().filter(fresh).copied().collect();
        let running = self.entries.values().any(|entry| entry.state == State::Running);
        let hand_over = self.releasing && !running && self.in_write.is_empty();
        if self.releasing && !self.dirty && !hand_over {
            return;
        }
        self.forget_old(now_s);
        self.dirty = false;
        self.urgent = false;
        let purpose = if hand_over { Purpose::HandOver } else { Purpose::Keep };
        self.hold = Hold::Writing { expected: position, purpose, doubted: false };
        out.push(ClaimAction::Write { expected: position, page: self.page(hand_over) });
    }

    fn forget_old(&mut self, now_s: u64) {
        let lifetime_s = self.rule.lifetime_s;
        self.entries.retain(|_, entry| {
            matches!(entry.state, State::Fresh | State::Running) || now_s <= entry.claimed_s + lifetime_s
        });
    }

    fn page(&self, hand_over: bool) -> Page {
        Page {
            home: if hand_over { None } else { Some(self.me.clone()) },
            term: self.term,
            held: self.rule.held,
            blind_until_s: self.unsure_until_s(),
            entries: self.entries.iter().map(|(&key, entry)| entry.written(key)).collect(),
        }
    }

    /// Says that a press did not run, unless another home may have run the key unseen.
    fn not_run(&self, code: Code) -> PressReply {
        if self.doubted { not_home(Code::ClaimNotKept) } else { PressReply::NotRun { code } }
    }

    fn reply(&self, press: PressId, reply: PressReply, out: &mut Vec<ClaimAction>) {
        out.push(ClaimAction::Reply { press, reply });
    }
}

/// A page as it was read.
struct PageRead {
    position: Position,
    page: Option<Page>,
    /// Whether it is known that the store has not come back from a copy since the page was written.
    complete: bool,
    holder: Holder,
}

const fn not_home(code: Code) -> PressReply {
    PressReply::NotHome { code }
}
