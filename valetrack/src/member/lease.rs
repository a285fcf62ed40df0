//! State machine that keeps one node's entry in the store.

use crate::store::{Era, Lease, Position, Relation};

/// Divisor of a lease's lifetime that gives the time between renewals: two renewals may be lost before it expires.
const RENEW_SHARE: u64 = 3;
/// Longest time between two renewals. Renewals also detect an unreachable store, which a pending watch does not.
const RENEW_MAX_US: u64 = 2_000_000;
/// Backoff after the first failed call.
const BACKOFF_MIN_US: u64 = 200_000;
/// Longest backoff after failed calls: an entry whose lease expired during an outage must be stored again within two
/// seconds after the outage ends.
const BACKOFF_MAX_US: u64 = 1_000_000;

/// How long the keeper waits after a store rollback to see its entry in the restored copy before it rewrites the entry
/// under another lease. A relay reads the store and updates its followers within 0.2 s after the rollback, and an entry
/// must be stored again within two seconds.
const ENTRY_SEARCH_US: u64 = 600_000;

/// Next action for the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryStep {
    /// Request a lease.
    Grant,
    /// Write the entry.
    Write {
        /// The lease that the entry is bound to.
        lease: u64,
        /// Position of the key's last change that the write requires; none if the key must not exist.
        expected: Option<Position>,
    },
    /// Renew the lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Check by a read whether the store is reachable.
    Ask,
    /// Wait until this moment or until the state changes.
    Wait {
        /// When `next` is due again.
        until_us: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    id: u64,
    /// The latest era in which the store is known to hold this lease for this node.
    era: Era,
    ttl_us: u64,
    /// When the call that last confirmed it was sent.
    confirmed_us: u64,
}

/// A node's entry as read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenEntry {
    /// Position of its last change.
    pub position: Position,
    /// The lease that it is bound to.
    pub lease: Option<u64>,
}

/// Keeps one entry stored through lost leases, lost answers, outages and store rollbacks.
///
/// After a store rollback a lease may no longer exist, and its id may have been assigned to another node. The keeper
/// reuses its lease only if the restored copy holds this node's last confirmed write under that lease, since the lease
/// is then older than the copy. Otherwise it rewrites the entry under another lease.
#[derive(Debug, Default)]
pub struct EntryKeeper {
    lease: Option<HeldLease>,
    /// Version of the entry that is wanted in the store.
    wanted: u64,
    /// Version that the store is known to hold.
    written: Option<u64>,
    /// Last known position of the key's last change; none if the key does not exist.
    position: Option<Position>,
    /// Latest era of the store that was observed.
    era: Era,
    /// Until when the keeper waits after a store rollback to see its entry in the restored copy.
    search_until_us: Option<u64>,
    failures: u32,
    retry_us: u64,
    /// Whether the store has answered since the last failure.
    answered: bool,
}

impl EntryKeeper {
    /// Schedules a write of the entry, since its content has changed.
    pub fn change(&mut self) {
        self.wanted += 1;
    }

    /// Returns the action that is due at `now_us`.
    pub fn next(&self, now_us: u64) -> EntryStep {
        if now_us < self.retry_us {
            return EntryStep::Wait { until_us: self.retry_us };
        }
        if self.failures > 0 && !self.answered {
            // Checks by the cheapest call whether the store is reachable again: a read of an earlier state costs a
            // tenth of the others. Over an outage of nine seconds after the loss of a lease, the checks cost as much
            // as 2.3 calls instead of 14. A renewal is as cheap, but after a store rollback it could prolong the
            // lease of another node that was assigned the same id.
            return EntryStep::Ask;
        }
        if let Some(until_us) = self.search_until_us
            && now_us < until_us
        {
            return EntryStep::Wait { until_us };
        }
        // A lease of an earlier era may not exist in this one.
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

    /// Returns the latest version of the entry; zero if there was none yet.
    pub fn wanted(&self) -> u64 {
        self.wanted
    }

    /// Returns the last known position of the key's last change; none if the key does not exist.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns the lease that is held in the current era, and when the call that last confirmed it was sent, in
    /// microseconds.
    pub fn lease(&self) -> Option<(Lease, u64)> {
        let held = self.lease.filter(|lease| lease.era == self.era)?;
        Some((Lease { id: held.id, ttl_ms: held.ttl_us / 1_000, era: held.era }, held.confirmed_us))
    }

    /// Returns the latest era of the store that was observed.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Records a store rollback that was observed at `now_us`.
    pub fn enter(&mut self, era: Era, now_us: u64) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.search_until_us = self.lease.map(|_| now_us + ENTRY_SEARCH_US);
    }

    /// Records a lease that was granted by a call sent at `sent_us`.
    pub fn granted(&mut self, lease: Lease, sent_us: u64) {
        self.reset_backoff();
        if lease.era < self.era {
            // The store has been rolled back since it granted this lease.
            return;
        }
        let (id, era, ttl_us) = (lease.id, lease.era, lease.ttl_ms * 1000);
        self.lease = Some(HeldLease { id, era, ttl_us, confirmed_us: sent_us });
        // The entry that was written before is bound to an earlier lease.
        self.written = None;
    }

    /// Records that a version was written at a position.
    pub fn wrote(&mut self, version: u64, position: Position) {
        self.reset_backoff();
        if position.era() < self.era {
            return;
        }
        self.written = Some(version);
        if self.position.is_none_or(|known| position.supersedes(known)) {
            self.position = Some(position);
        }
        if self.lease.is_some_and(|lease| lease.era < position.era()) {
            // The store was rolled back before it accepted the write, so that the entry is bound to a lease id that
            // may belong to another node.
            self.drop_lease();
        }
    }

    /// Records that the key's position differs from the expected one.
    pub fn conflicted(&mut self, position: Option<Position>) {
        self.reset_backoff();
        self.position = position;
    }

    /// Records that the lease was renewed by a call sent at `sent_us` and answered in `era`.
    pub fn renewed(&mut self, era: Era, sent_us: u64) {
        self.answered();
        if let Some(lease) = self.lease.as_mut().filter(|lease| lease.era == era) {
            lease.confirmed_us = sent_us;
        }
    }

    /// Records that the store has answered.
    pub fn answered(&mut self) {
        self.answered = true;
        self.retry_us = 0;
        let is_stored = self.lease.is_some() && self.written == Some(self.wanted);
        if is_stored {
            self.failures = 0;
        }
    }

    /// Records that the lease has expired and the key was removed with it; another lease is requested at once.
    pub fn lease_over(&mut self) {
        self.reset_backoff();
        self.drop_lease();
        self.position = None;
    }

    /// Records that a call failed at `now_us`; the backoff grows with each failure.
    pub fn failed(&mut self, now_us: u64, rng: &mut fastrand::Rng) {
        let longest_us = (BACKOFF_MIN_US << self.failures.min(8)).min(BACKOFF_MAX_US);
        self.failures += 1;
        self.answered = false;
        // Randomized, so that not all nodes call a recovered store at the same moment.
        self.retry_us = now_us + rng.u64(longest_us / 2..=longest_us);
    }

    /// Ends the backoff, since the store is reachable again.
    pub fn on_store_reachable(&mut self) {
        self.reset_backoff();
    }

    /// Records the node's entry as returned by a read or a watch.
    pub fn seen(&mut self, entry: SeenEntry) {
        if entry.position.era() < self.era {
            return;
        }
        match self.position.map(|known| entry.position.relation_to(known)) {
            Some(Relation::LaterEra) => self.seen_after_rollback(entry),
            Some(Relation::After) | None => self.position = Some(entry.position),
            Some(Relation::EarlierEra | Relation::Before | Relation::Same) => {}
        }
    }

    /// Records the node's entry as found in the store after a rollback.
    fn seen_after_rollback(&mut self, entry: SeenEntry) {
        let same_revision = |known: Position| known.wire_revision() == entry.position.wire_revision();
        let untouched = self.position.is_some_and(same_revision);
        self.position = Some(entry.position);
        match &mut self.lease {
            Some(lease) if untouched && entry.lease == Some(lease.id) => {
                lease.era = entry.position.era();
                // Its remaining lifetime is unknown, so that it is renewed at once.
                lease.confirmed_us = 0;
                self.search_until_us = None;
            }
            Some(_) | None => self.drop_lease(),
        }
    }

    /// Records that the node's key does not exist at a position of the store.
    pub fn missing(&mut self, at: Position) {
        if at.era() < self.era || self.position.is_some_and(|known| known.supersedes(at)) {
            // This state is older than the last write of the entry.
            return;
        }
        if self.lease.is_some_and(|lease| lease.era < at.era()) {
            self.drop_lease();
        }
        // The lease has expired or the key was removed: the entry is rewritten at once.
        self.position = None;
        self.written = None;
    }

    /// Records that another writer has overwritten the node's key; the entry is rewritten at once.
    pub fn overwritten(&mut self, position: Position) {
        self.position = Some(position);
        self.written = None;
    }

    fn drop_lease(&mut self) {
        self.search_until_us = None;
        self.lease = None;
        self.written = None;
    }

    fn reset_backoff(&mut self) {
        self.failures = 0;
        self.retry_us = 0;
    }
}
