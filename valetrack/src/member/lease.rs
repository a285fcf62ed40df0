//! Pure decisions of keeping this node's own entry in the store.

use crate::store::{Era, Lease, Position, Relation};

/// Part of a lease's time after which it is renewed, as a divisor: two renewals may be lost
/// before it runs out.
const RENEW_SHARE: u64 = 3;
/// Longest time between two renewals, in microseconds: they are also how a node notices that the
/// store does not answer, which a call that waits for changes would not show.
const RENEW_MAX_US: u64 = 2_000_000;
/// Pause after the first failed call, in microseconds.
const BACKOFF_MIN_US: u64 = 200_000;
/// Longest pause between failed calls, in microseconds: an entry that lapsed in an outage is to
/// be back within two seconds of its end.
const BACKOFF_MAX_US: u64 = 1_000_000;

/// Longest time for which an entry is looked for in a store that came back older before it is written anew with another
/// lease, in microseconds: a relay reads the store within 0.2 s of its return and tells its followers, and an entry is to
/// be back within two seconds.
const DOUBT_US: u64 = 600_000;

/// What is to be done next for the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryStep {
    /// Ask for a lease.
    Grant,
    /// Write the entry.
    Write {
        /// The lease that it goes with.
        lease: u64,
        /// Position of the key's last change that must still hold; none when it must not exist.
        expected: Option<Position>,
    },
    /// Renew the lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Ask the store by a read whether it answers.
    Ask,
    /// Nothing until this moment, in microseconds, or until the state changes.
    Wait {
        /// When to look again.
        until_us: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    id: u64,
    /// The era in which the store was last known to hold it for this node.
    era: Era,
    ttl_us: u64,
    /// When the call that last confirmed it was sent.
    confirmed_us: u64,
}

/// The own entry as the store shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenEntry {
    /// Position of its last change.
    pub position: Position,
    /// The lease that it goes with.
    pub lease: Option<u64>,
}

/// Keeps one entry alive through lost leases, lost answers, outages and a store that comes back older.
///
/// In a store that came back older a lease may be gone and its id be somebody else's. It is kept only where the very
/// write that this node was last told of stands there with it, since that makes it older than the copy; else the
/// entry is written anew with another one.
#[derive(Debug, Default)]
pub struct EntryKeeper {
    lease: Option<HeldLease>,
    /// Version of the entry that is wanted in the store.
    wanted: u64,
    /// Version that is known to be there.
    written: Option<u64>,
    /// Position of the key's last change as far as is known; none when it does not exist.
    position: Option<Position>,
    /// The latest era that the store was heard to be in.
    era: Era,
    /// Until when the entry is looked for in a store that came back older, in microseconds.
    doubt_until_us: Option<u64>,
    failures: u32,
    retry_us: u64,
    /// Whether the store has answered since the last failure.
    answered: bool,
}

impl EntryKeeper {
    /// Asks for the entry to be written anew, since what it says has changed.
    pub fn change(&mut self) {
        self.wanted += 1;
    }

    /// Returns what is to be done at `now_us`.
    pub fn next(&self, now_us: u64) -> EntryStep {
        if now_us < self.retry_us {
            return EntryStep::Wait { until_us: self.retry_us };
        }
        if self.failures > 0 && !self.answered {
            // The cheapest call tells whether the store is back: a read of an earlier state costs a tenth of the
            // others. A node that is turned away for nine seconds after its lease was taken pays for 2.3 calls in
            // place of 14. A renewal costs as little, and would prolong somebody else's lease where the store has
            // come back older and given the id out again.
            return EntryStep::Ask;
        }
        if let Some(until_us) = self.doubt_until_us
            && now_us < until_us
        {
            return EntryStep::Wait { until_us };
        }
        // What is known of another era says nothing of this one.
        let Some(lease) = self.lease.filter(|lease| lease.era == self.era) else {
            return EntryStep::Grant;
        };
        if self.written != Some(self.wanted) {
            let expected = self.position.filter(|position| position.era() == self.era);
            return EntryStep::Write { lease: lease.id, expected };
        }
        let renew_us = lease.confirmed_us + (lease.ttl_us / RENEW_SHARE).min(RENEW_MAX_US);
        if now_us >= renew_us { EntryStep::Renew { lease: lease.id } } else { EntryStep::Wait { until_us: renew_us } }
    }

    /// Returns the version that is to be written now.
    pub fn wanted(&self) -> u64 {
        self.wanted
    }

    /// Returns the position of the key's last change as far as is known; none when it does not exist.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns the lease that is held in the present era, and when the call that last confirmed it was sent, in
    /// microseconds.
    pub fn lease(&self) -> Option<(Lease, u64)> {
        let held = self.lease.filter(|lease| lease.era == self.era)?;
        Some((Lease { id: held.id, ttl_ms: held.ttl_us / 1_000, era: held.era }, held.confirmed_us))
    }

    /// Returns the latest era that the store was heard to be in.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Notes at `now_us` that the store has come back older.
    pub fn enter(&mut self, era: Era, now_us: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.doubt_until_us = self.lease.map(|_| now_us + DOUBT_US);
    }

    /// Takes a lease that was granted by a call sent at `sent_us`.
    pub fn granted(&mut self, lease: Lease, sent_us: u64) {
        self.succeeded();
        if lease.era < self.era {
            // Granted by what the store has lost since.
            return;
        }
        let (id, era, ttl_us) = (lease.id, lease.era, lease.ttl_ms * 1000);
        self.lease = Some(HeldLease { id, era, ttl_us, confirmed_us: sent_us });
        // What was written before went with an earlier lease.
        self.written = None;
    }

    /// Notes that a version was written at a position.
    pub fn wrote(&mut self, version: u64, position: Position) {
        self.succeeded();
        if position.era() < self.era {
            return;
        }
        self.written = Some(version);
        if self.position.is_none_or(|known| position.supersedes(known)) {
            self.position = Some(position);
        }
        if self.lease.is_some_and(|lease| lease.era < position.era()) {
            // The store came back older before it took the write, which now stands there with an id that may be
            // somebody else's lease.
            self.lose_lease();
        }
    }

    /// Notes that the key stands at another position than was expected.
    pub fn conflicted(&mut self, position: Option<Position>) {
        self.succeeded();
        self.position = position;
    }

    /// Notes that the lease was renewed by a call sent at `sent_us`, which the store answered in an era.
    pub fn renewed(&mut self, era: Era, sent_us: u64) {
        self.answered();
        if let Some(lease) = self.lease.as_mut().filter(|lease| lease.era == era) {
            lease.confirmed_us = sent_us;
        }
    }

    /// Notes that the store has answered.
    pub fn answered(&mut self) {
        self.answered = true;
        self.retry_us = 0;
        let kept = self.lease.is_some() && self.written == Some(self.wanted);
        if kept {
            self.failures = 0;
        }
    }

    /// Notes that the lease is over, and the key with it; another one is asked for at once.
    pub fn lease_over(&mut self) {
        self.succeeded();
        self.lose_lease();
        self.position = None;
    }

    /// Notes that a call failed at `now_us`; the next one waits, longer each time.
    pub fn failed(&mut self, now_us: u64, rng: &mut fastrand::Rng) {
        let longest_us = (BACKOFF_MIN_US << self.failures.min(8)).min(BACKOFF_MAX_US);
        self.failures += 1;
        self.answered = false;
        // Not all nodes come back to a store at once that has just got well.
        self.retry_us = now_us + rng.u64(longest_us / 2..=longest_us);
    }

    /// Notes that the store answers again, so that no pause is waited out.
    pub fn store_is_back(&mut self) {
        self.succeeded();
    }

    /// Notes the own entry as a read or a watch has shown it.
    pub fn seen(&mut self, entry: SeenEntry) {
        if entry.position.era() < self.era {
            return;
        }
        match self.position.map(|known| entry.position.relation_to(known)) {
            Some(Relation::LaterEra) => self.seen_again(entry),
            Some(Relation::Behind) | None => self.position = Some(entry.position),
            Some(Relation::EarlierEra | Relation::Before | Relation::Same) => {}
        }
    }

    /// Takes the own entry as a store shows it that has come back older.
    fn seen_again(&mut self, entry: SeenEntry) {
        let told = |known: Position| known.wire_revision() == entry.position.wire_revision();
        let untouched = self.position.is_some_and(told);
        self.position = Some(entry.position);
        match &mut self.lease {
            Some(lease) if untouched && entry.lease == Some(lease.id) => {
                lease.era = entry.position.era();
                // How much of its time is left there is not known.
                lease.confirmed_us = 0;
                self.doubt_until_us = None;
            }
            Some(_) | None => self.lose_lease(),
        }
    }

    /// Notes that the own key does not exist at a position of the store.
    pub fn missing(&mut self, at: Position) {
        if at.era() < self.era || self.position.is_some_and(|known| known.supersedes(at)) {
            // A state from before the entry was written does not show that it is gone.
            return;
        }
        if self.lease.is_some_and(|lease| lease.era < at.era()) {
            self.lose_lease();
        }
        // The lease ran out, or the key was taken away: it is written anew at once.
        self.position = None;
        self.written = None;
    }

    /// Notes that another writer has put something else at the own key; it is written anew at once.
    pub fn overwritten(&mut self, position: Position) {
        self.position = Some(position);
        self.written = None;
    }

    fn lose_lease(&mut self) {
        self.doubt_until_us = None;
        self.lease = None;
        self.written = None;
    }

    fn succeeded(&mut self) {
        self.failures = 0;
        self.retry_us = 0;
    }
}
