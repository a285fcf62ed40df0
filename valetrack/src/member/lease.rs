//! Pure decisions of keeping this node's own entry in the store.

use crate::store::Lease;

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

/// What is to be done next for the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryStep {
    /// Ask for a lease.
    Grant,
    /// Write the entry.
    Write {
        /// The lease that it goes with.
        lease: u64,
        /// Revision that the key must still have.
        expected: u64,
    },
    /// Renew the lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Nothing until this moment, in microseconds, or until the state changes.
    Wait {
        /// When to look again.
        until_us: u64,
    },
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    id: u64,
    ttl_us: u64,
    /// When the call that last confirmed it was sent.
    confirmed_us: u64,
}

/// Keeps one entry alive through lost leases, lost answers and outages.
#[derive(Debug, Default)]
pub struct EntryKeeper {
    lease: Option<HeldLease>,
    /// Version of the entry that is wanted in the store.
    wanted: u64,
    /// Version that is known to be there.
    written: Option<u64>,
    /// Revision of the key as far as is known; zero when it does not exist.
    revision: u64,
    failures: u32,
    retry_us: u64,
    /// The lease that was granted last, whether it still holds or not.
    last_lease: Option<u64>,
    /// Whether the store has answered a renewal since the last failure.
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
        if let (true, Some(lease)) = (self.failures > 0 && !self.answered, self.last_lease) {
            // The cheapest call tells whether the store is back: a renewal costs a tenth of the others,
            // and answers for a lease that is over as well. A node that is turned away for nine seconds
            // after its lease was taken pays for 2.3 calls in place of 14.
            return EntryStep::Renew { lease };
        }
        let Some(lease) = self.lease else {
            return EntryStep::Grant;
        };
        if self.written != Some(self.wanted) {
            return EntryStep::Write { lease: lease.id, expected: self.revision };
        }
        let renew_us = lease.confirmed_us + (lease.ttl_us / RENEW_SHARE).min(RENEW_MAX_US);
        if now_us >= renew_us { EntryStep::Renew { lease: lease.id } } else { EntryStep::Wait { until_us: renew_us } }
    }

    /// Returns the version that is to be written now.
    pub fn wanted(&self) -> u64 {
        self.wanted
    }

    /// Returns the revision of the key as far as is known; zero when it does not exist.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the lease that is held, if one is.
    pub fn lease(&self) -> Option<u64> {
        self.lease.map(|lease| lease.id)
    }

    /// Takes a lease that was granted by a call sent at `sent_us`.
    pub fn granted(&mut self, lease: Lease, sent_us: u64) {
        self.succeeded();
        self.last_lease = Some(lease.id);
        self.lease = Some(HeldLease { id: lease.id, ttl_us: lease.ttl_ms * 1000, confirmed_us: sent_us });
        // What was written before went with an earlier lease.
        self.written = None;
    }

    /// Notes that a version was written at a revision.
    pub fn wrote(&mut self, version: u64, revision: u64) {
        self.succeeded();
        self.written = Some(version);
        self.revision = self.revision.max(revision);
    }

    /// Notes that the key stands at another revision than was expected.
    pub fn conflicted(&mut self, revision: u64) {
        self.succeeded();
        self.revision = revision;
    }

    /// Notes that the lease was renewed by a call sent at `sent_us`.
    pub fn renewed(&mut self, sent_us: u64) {
        self.answered = true;
        self.retry_us = 0;
        let kept = self.lease.is_some() && self.written == Some(self.wanted);
        if kept {
            self.failures = 0;
        }
        if let Some(lease) = self.lease.as_mut() {
            lease.confirmed_us = sent_us;
        }
    }

    /// Notes that the lease is over, and the key with it; another one is asked for at once.
    pub fn lease_over(&mut self) {
        self.succeeded();
        self.lease = None;
        self.revision = 0;
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

    /// Notes a change of the own key that a read or a watch has shown; `present` tells whether
    /// the key exists.
    pub fn seen(&mut self, revision: u64, present: bool) {
        if revision <= self.revision && present {
            return;
        }
        if !present {
            // The lease ran out, or the key was taken away: it is written anew at once.
            self.revision = 0;
            self.written = None;
            return;
        }
        self.revision = revision;
    }

    /// Notes that another writer has put something else at the own key; it is written anew at once.
    pub fn overwritten(&mut self, revision: u64) {
        self.revision = revision;
        self.written = None;
    }

    fn succeeded(&mut self) {
        self.failures = 0;
        self.retry_us = 0;
    }
}
