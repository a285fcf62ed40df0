//! State machine of a home over one page of claims, without I/O.
//!
//! The safety of a run rests on one rule: [`ClaimAction::Run`] is requested only after the store has confirmed a write
//! that contains the claim and was made on the revision that this home last saw. A takeover is also a write on that
//! revision, so only one of the two takes effect. Time decides when a takeover is tried, never whether a run is safe.
//!
//! A rolled-back store has lost claims that it had confirmed, and a page from its older copy is no proof that a key is
//! new. An unknown key therefore doesn't run until all nodes that may have a record of it have reported ([`gap`]).

use std::collections::BTreeMap;

use self::gap::Gap;
use super::entry::{ClaimRule, Entry, Hold, Pending, Purpose, State};
use super::message::{ClaimAction, ClaimEvent, Holder, Home, KeyDigest, KeyedCallId, KeyedCallReply, Page, RunEnd};
use crate::code::Code;
use crate::store::{Era, Position};

mod gap;
mod read;

/// One node's state of one page.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PageHome {
    me: Home,
    rule: ClaimRule,
    hold: Hold,
    term: u64,
    /// Whether a write of this node has been confirmed since it took over the page.
    confirmed: bool,
    /// The latest era in which the page was read.
    era: Era,
    /// The gap that a store rollback left; `None` while the page is known to be complete.
    gap: Option<Gap>,
    /// Until when a key that is unknown here may have run all the same, in seconds since 1970.
    blind_until_s: u64,
    /// Code of the reply to a call with such a key while no gap is open.
    no_gap_code: Code,
    entries: BTreeMap<KeyDigest, Entry>,
    /// Keyed calls that wait until the home is known or the gap is closed.
    pending: Vec<Pending>,
    /// Unstarted keys in the write that is in flight.
    in_write: Vec<KeyDigest>,
    /// Whether memory has changes that are not in the store.
    dirty: bool,
    /// Whether these changes must be written without waiting for the next claim.
    urgent: bool,
    /// Whether a flush is scheduled.
    flush_due: bool,
    /// Whether the last call to the store failed.
    outage: bool,
    releasing: bool,
    /// Whether a retry is scheduled.
    retry_due: bool,
    /// Whether the page in the store allows its home to run calls on claims in memory.
    held_in_store: bool,
    /// Whether another node may have become the home unnoticed: until this node's first write is confirmed, and after
    /// other nodes may have taken this node for dead.
    is_suspect: bool,
}

impl PageHome {
    /// Creates a page that has not been read yet.
    pub fn new(me: Home, rule: ClaimRule) -> Self {
        Self {
            me,
            rule,
            hold: Hold::NotHeld,
            term: 0,
            confirmed: false,
            era: Era::default(),
            gap: None,
            blind_until_s: 0,
            no_gap_code: Code::ClaimHistoryUnknown,
            entries: BTreeMap::new(),
            pending: Vec::new(),
            in_write: Vec::new(),
            dirty: false,
            urgent: false,
            flush_due: false,
            outage: false,
            releasing: false,
            retry_due: false,
            held_in_store: false,
            is_suspect: false,
        }
    }

    /// Returns whether this node assumes that it is the home. Only the store can confirm it.
    pub fn holds(&self) -> bool {
        match self.hold {
            Hold::Held { .. } | Hold::Uncertain => true,
            Hold::Writing { purpose, .. } => purpose != Purpose::Report,
            Hold::NotHeld | Hold::Reading | Hold::Reporting => false,
        }
    }

    /// Returns whether nothing is left to hand over.
    pub fn released(&self) -> bool {
        matches!(self.hold, Hold::NotHeld)
    }

    /// Returns the number of recorded keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Applies the rules of the bundle in force.
    pub fn configure(&mut self, rule: ClaimRule) {
        self.rule = rule;
    }

    /// Handles one event at `now_s` (seconds since 1970) and appends the resulting actions to `out`.
    pub fn handle(&mut self, event: ClaimEvent, now_s: u64, out: &mut Vec<ClaimAction>) {
        self.expire_gap(now_s);
        match event {
            ClaimEvent::KeyedCall { id, key, call } => self.submit(Pending { id, key, call }, now_s, out),
            ClaimEvent::Expire { id } => self.expire(id, out),
            ClaimEvent::RunEnded { key, end } => self.run_ended(key, end, out),
            ClaimEvent::Read { position, page, complete, holder } => {
                self.read(PageRead { position, page, complete, holder }, now_s, out);
            }
            ClaimEvent::ReadFailed => self.read_failed(out),
            ClaimEvent::Wrote { position } => self.wrote(position, out),
            ClaimEvent::Complete { era } => self.complete(era, now_s, out),
            ClaimEvent::WaitEnded => self.end_wait(now_s, out),
            ClaimEvent::Refused => self.write_refused(out),
            ClaimEvent::WriteLost => self.write_lost(out),
            ClaimEvent::Retry => self.retry(out),
            ClaimEvent::Acquire => self.acquire(out),
            ClaimEvent::SuspectHold => self.suspect_hold(out),
            ClaimEvent::Flush => self.flush(),
            ClaimEvent::Release => self.release(out),
        }
        self.write_if_due(now_s, out);
    }

    fn submit(&mut self, pending: Pending, now_s: u64, out: &mut Vec<ClaimAction>) {
        match self.hold {
            Hold::NotHeld if self.releasing => self.reply(pending.id, not_home(Code::Leaving), out),
            Hold::NotHeld => {
                self.pending.push(pending);
                self.start_read(out);
            }
            Hold::Reading | Hold::Reporting | Hold::Writing { purpose: Purpose::Report, .. } => {
                self.pending.push(pending)
            }
            Hold::Held { .. } | Hold::Writing { .. } | Hold::Uncertain => self.admit(pending, now_s, out),
        }
    }

    /// Decides on a keyed call as the home.
    fn admit(&mut self, pending: Pending, now_s: u64, out: &mut Vec<ClaimAction>) {
        let Pending { id, key, call } = pending;
        if let Some(entry) = self.entries.get_mut(&key) {
            if entry.call != call {
                self.reply(id, KeyedCallReply::Reused, out);
                return;
            }
            match &entry.state {
                State::Fresh | State::Running => entry.keyed_calls.push(id),
                State::Finished(answer) => {
                    let reply = KeyedCallReply::Ran(answer.clone());
                    self.reply(id, reply, out);
                }
                State::Lost => self.reply(id, KeyedCallReply::Unknown { code: Code::ClaimUnfinished }, out),
            }
            return;
        }
        if self.gap.is_some() && self.releasing {
            self.reply(id, not_home(Code::Leaving), out);
            return;
        }
        if self.gap.as_ref().is_some_and(Gap::waits) {
            self.pending.push(Pending { id, key, call });
            return;
        }
        if now_s < self.uncertain_until_s() {
            self.reply(id, KeyedCallReply::Unknown { code: self.uncertain_code() }, out);
            return;
        }
        if self.entries.len() >= self.rule.entries_max {
            self.reply(id, self.not_run(Code::ClaimPageFull), out);
            return;
        }
        if self.releasing {
            self.reply(id, not_home(Code::Leaving), out);
            return;
        }
        if self.outage && !self.held_in_store {
            self.reply(id, self.not_run(Code::ClaimNotKept), out);
            return;
        }
        let entry = Entry { call, claimed_s: now_s, state: State::Fresh, keyed_calls: vec![id] };
        self.entries.insert(key, entry);
        self.dirty = true;
        self.urgent = true;
        if self.outage {
            self.run_fresh(&[key], out);
        }
    }

    fn expire(&mut self, id: KeyedCallId, out: &mut Vec<ClaimAction>) {
        if let Some(at) = self.pending.iter().position(|pending| pending.id == id) {
            self.pending.remove(at);
            let reply = match self.holds() {
                true => KeyedCallReply::Unknown { code: self.uncertain_code() },
                false => not_home(Code::ClaimNotKept),
            };
            self.reply(id, reply, out);
            return;
        }
        let waiting = self.entries.iter_mut().find(|(_, entry)| entry.keyed_calls.contains(&id));
        let Some((&key, entry)) = waiting else {
            return;
        };
        entry.keyed_calls.retain(|&waiting| waiting != id);
        if entry.state != State::Fresh {
            self.reply(id, KeyedCallReply::Unknown { code: Code::DeadlinePassed }, out);
            return;
        }
        if entry.keyed_calls.is_empty() {
            // No caller waits for the call any more, so it must not start when the write is confirmed.
            self.entries.remove(&key);
            self.dirty = true;
        }
        self.reply(id, self.not_run(Code::ClaimNotKept), out);
    }

    fn run_ended(&mut self, key: KeyDigest, end: RunEnd, out: &mut Vec<ClaimAction>) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.state != State::Running {
            return;
        }
        let keyed_calls = std::mem::take(&mut entry.keyed_calls);
        let reply = match end {
            RunEnd::Ran(answer) => {
                entry.state = State::Finished(answer.trimmed());
                KeyedCallReply::Ran(answer)
            }
            RunEnd::NeverStarted { code } => {
                self.entries.remove(&key);
                KeyedCallReply::NotRun { code }
            }
            RunEnd::Unknown { code } => {
                entry.state = State::Lost;
                KeyedCallReply::Unknown { code }
            }
        };
        self.dirty = true;
        for id in keyed_calls {
            self.reply(id, reply.clone(), out);
        }
        if self.hold == Hold::NotHeld {
            // The page has another home now, which alone decides on the key from here on.
            self.entries.remove(&key);
        }
    }

    fn admit_pending(&mut self, now_s: u64, out: &mut Vec<ClaimAction>) {
        for pending in std::mem::take(&mut self.pending) {
            self.admit(pending, now_s, out);
        }
    }

    fn read_failed(&mut self, out: &mut Vec<ClaimAction>) {
        self.outage = true;
        match self.hold {
            Hold::Reading => {
                self.hold = Hold::NotHeld;
                self.outage = false;
                self.refuse_pending(out);
            }
            Hold::Uncertain => self.handle_outage(out),
            Hold::Reporting => self.retry_later(out),
            Hold::NotHeld | Hold::Held { .. } | Hold::Writing { .. } => {}
        }
    }

    fn wrote(&mut self, position: Position, out: &mut Vec<ClaimAction>) {
        let Hold::Writing { purpose, is_suspect, .. } = self.hold else {
            return;
        };
        self.outage = false;
        let claimed = std::mem::take(&mut self.in_write);
        match purpose {
            // The records stay in memory after the hand-over, because a store rollback may still lose the page.
            Purpose::HandOver => return self.drop_hold(out),
            // The current home reads the reported keys with the page. This node reads it as well to verify that they
            // are there.
            Purpose::Report => return self.read_for_report(out),
            Purpose::Update => {}
        }
        self.confirmed = true;
        self.is_suspect = is_suspect;
        self.held_in_store = self.rule.held;
        self.run_fresh(&claimed, out);
        if is_suspect {
            // The write may have taken effect before the pause, and a takeover after it.
            return self.read_as_home(out);
        }
        self.hold = Hold::Held { position };
    }

    /// Reads the page to find out whether this node is still its home.
    fn read_as_home(&mut self, out: &mut Vec<ClaimAction>) {
        self.hold = Hold::Uncertain;
        out.push(ClaimAction::Read);
    }

    /// Reads the page to find out whether it lacks keys that this node has recorded.
    fn read_for_report(&mut self, out: &mut Vec<ClaimAction>) {
        self.hold = Hold::Reporting;
        out.push(ClaimAction::Read);
    }

    fn release(&mut self, out: &mut Vec<ClaimAction>) {
        self.releasing = true;
        if self.holds() {
            self.refuse_pending(out);
        }
    }

    fn run_fresh(&mut self, keys: &[KeyDigest], out: &mut Vec<ClaimAction>) {
        for &key in keys {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            let (State::Fresh, Some(&id)) = (&entry.state, entry.keyed_calls.first()) else {
                continue;
            };
            entry.state = State::Running;
            out.push(ClaimAction::Run { key, id });
        }
    }

    fn write_refused(&mut self, out: &mut Vec<ClaimAction>) {
        let Hold::Writing { purpose, .. } = self.hold else {
            return;
        };
        self.in_write.clear();
        if purpose == Purpose::Report {
            return self.read_for_report(out);
        }
        // An earlier write of this node may have taken effect late, so the page is read to find out its home.
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
        self.hold = Hold::Uncertain;
        self.dirty = true;
        self.handle_outage(out);
    }

    /// Runs the waiting calls on claims in memory where the page allows it, and otherwise ends them at once instead of
    /// waiting for the store.
    fn handle_outage(&mut self, out: &mut Vec<ClaimAction>) {
        self.outage = true;
        if self.held_in_store {
            let keys: Vec<KeyDigest> = self.entries.keys().copied().collect();
            self.run_fresh(&keys, out);
        }
        self.refuse_fresh(out);
        self.retry_later(out);
    }

    /// Refuses every call that waits until the home is known.
    fn refuse_pending(&mut self, out: &mut Vec<ClaimAction>) {
        for pending in std::mem::take(&mut self.pending) {
            self.reply(pending.id, not_home(Code::ClaimNotKept), out);
        }
    }

    /// Ends every call whose claim is not in the store yet. Calls that have not started never will.
    fn refuse_fresh(&mut self, out: &mut Vec<ClaimAction>) {
        let mut refused = Vec::new();
        self.entries.retain(|_, entry| {
            let fresh = entry.state == State::Fresh;
            if fresh {
                refused.append(&mut entry.keyed_calls);
            }
            !fresh
        });
        for id in refused {
            self.reply(id, self.not_run(Code::ClaimNotKept), out);
        }
    }

    fn retry_later(&mut self, out: &mut Vec<ClaimAction>) {
        if !self.retry_due {
            self.retry_due = true;
            out.push(ClaimAction::RetryLater);
        }
    }

    fn acquire(&mut self, out: &mut Vec<ClaimAction>) {
        if self.hold == Hold::NotHeld && !self.releasing {
            self.start_read(out);
        }
    }

    /// Handles that other nodes may have taken this node for dead.
    fn suspect_hold(&mut self, out: &mut Vec<ClaimAction>) {
        match self.hold {
            Hold::Held { .. } => {
                self.is_suspect = true;
                self.read_as_home(out);
            }
            Hold::Writing { expected, purpose, .. } => {
                self.is_suspect = true;
                self.hold = Hold::Writing { expected, purpose, is_suspect: true };
            }
            Hold::Uncertain => self.is_suspect = true,
            Hold::NotHeld if !self.entries.is_empty() => self.read_for_report(out),
            Hold::NotHeld | Hold::Reading | Hold::Reporting => {}
        }
    }

    fn retry(&mut self, out: &mut Vec<ClaimAction>) {
        self.retry_due = false;
        if matches!(self.hold, Hold::Uncertain | Hold::Reporting) {
            out.push(ClaimAction::Read);
        }
    }

    fn start_read(&mut self, out: &mut Vec<ClaimAction>) {
        self.hold = Hold::Reading;
        out.push(ClaimAction::Read);
    }

    /// Writes changes that no caller waits for together with the next claim, or on their own after a pause.
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
        self.remove_expired(now_s);
        self.dirty = false;
        self.urgent = false;
        let purpose = if hand_over { Purpose::HandOver } else { Purpose::Update };
        self.hold = Hold::Writing { expected: position, purpose, is_suspect: false };
        out.push(ClaimAction::Write { expected: position, page: self.page(hand_over) });
    }

    fn remove_expired(&mut self, now_s: u64) {
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
            blind_until_s: self.uncertain_until_s(),
            entries: self.entries.iter().map(|(&key, entry)| entry.written(key)).collect(),
        }
    }

    /// Returns the reply for a call that did not run, unless another home may have run the key unnoticed.
    fn not_run(&self, code: Code) -> KeyedCallReply {
        if self.is_suspect { not_home(Code::ClaimNotKept) } else { KeyedCallReply::NotRun { code } }
    }

    fn reply(&self, id: KeyedCallId, reply: KeyedCallReply, out: &mut Vec<ClaimAction>) {
        out.push(ClaimAction::Reply { id, reply });
    }
}

/// Result of reading a page.
struct PageRead {
    position: Position,
    page: Option<Page>,
    /// Whether the store is known not to have been rolled back since the page was written.
    complete: bool,
    holder: Holder,
}

const fn not_home(code: Code) -> KeyedCallReply {
    KeyedCallReply::NotHome { code }
}
