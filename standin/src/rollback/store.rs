//! Model of a store in virtual time that has been restored from an older copy.

use std::collections::BTreeMap;

use valetrack::member::SeenEntry;
use valetrack::store::{Era, Lease, Position};

/// Era of the restored store.
pub const ERA: Era = Era::new(2);
/// Era before the rollback.
pub const ERA_BEFORE: Era = Era::new(1);
/// Lifetime of a lease.
pub const LEASE_MS: u64 = 8_000;
/// Window of the rate limits.
const WINDOW_MS: u64 = 1_000;
/// One entry of this many was written or leased after the copy was taken.
const LATE_SHARE: usize = 10;

/// Entries and leases that the copy lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// The entries of the last seconds, with their leases.
    Latest,
    /// All leases, and the entries with them.
    Leases,
}

impl Lost {
    /// All variants.
    pub const ALL: [Self; 2] = [Self::Latest, Self::Leases];

    /// Returns the name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Latest => "latest",
            Self::Leases => "leases",
        }
    }
}

/// Rate limits of the store for all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rates {
    /// Writes a second.
    pub writes_per_s: u64,
    /// Reads a second.
    pub reads_per_s: u64,
}

/// Cost of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cost {
    /// A write, counted against the limit of writes.
    Write,
    /// A read, counted against the limit of reads.
    Read,
    /// A lease renewal, counted against the limit of reads, at a tenth of the cost.
    Renewal,
    /// A read of an earlier state, not limited, at a tenth of the cost.
    Earlier,
}

/// Model of the store.
pub struct Store {
    rates: Rates,
    window: u64,
    in_window: (u64, u64),
    revision: u64,
    next_lease: u64,
    entries: BTreeMap<usize, SeenEntry>,
    /// Answered calls: writes, reads, and those at a tenth of the cost.
    pub calls: (u64, u64, u64),
    /// Refused calls.
    pub refused: u64,
}

impl Store {
    /// Creates a store that was restored without the `lost` entries of `nodes` nodes. The entry of node `at` was written
    /// at revision `at + 2`, under a lease with that id.
    pub fn new(rates: Rates, lost: Lost, nodes: usize) -> Self {
        let kept = |at: &usize| lost == Lost::Latest && !at.is_multiple_of(LATE_SHARE);
        let entry = |at: usize| {
            let revision = at as u64 + 2;
            (at, SeenEntry { position: Position::new(ERA, revision), lease: Some(revision) })
        };
        Self {
            rates,
            window: 0,
            in_window: (0, 0),
            revision: nodes as u64 + 2,
            next_lease: nodes as u64 + 2,
            entries: (0..nodes).filter(kept).map(entry).collect(),
            calls: (0, 0, 0),
            refused: 0,
        }
    }

    /// Counts a call at `now_ms`; returns whether it is within the limits.
    pub fn admit(&mut self, cost: Cost, now_ms: u64) -> bool {
        if now_ms / WINDOW_MS != self.window {
            self.window = now_ms / WINDOW_MS;
            self.in_window = (0, 0);
        }
        let (counted, rate) = match cost {
            Cost::Write => (&mut self.in_window.0, self.rates.writes_per_s),
            Cost::Read | Cost::Renewal => (&mut self.in_window.1, self.rates.reads_per_s),
            Cost::Earlier => {
                self.calls.2 += 1;
                return true;
            }
        };
        *counted += 1;
        if *counted > rate {
            self.refused += 1;
            return false;
        }
        match cost {
            Cost::Write => self.calls.0 += 1,
            Cost::Read => self.calls.1 += 1,
            Cost::Renewal | Cost::Earlier => self.calls.2 += 1,
        }
        true
    }

    /// Grants a new lease.
    pub fn grant(&mut self) -> Lease {
        self.next_lease += 1;
        Lease { id: self.next_lease, ttl_ms: LEASE_MS, era: ERA }
    }

    /// Writes the entry of a node if its position is `expected`; returns the new position, or the one found as an error.
    pub fn write(&mut self, at: usize, expected: Option<Position>, lease: u64) -> Result<Position, Option<Position>> {
        let found = self.entries.get(&at).map(|entry| entry.position);
        if found != expected {
            return Err(found);
        }
        self.revision += 1;
        let position = Position::new(ERA, self.revision);
        self.entries.insert(at, SeenEntry { position, lease: Some(lease) });
        Ok(position)
    }

    /// Returns the entry of a node.
    pub fn entry(&self, at: usize) -> Option<SeenEntry> {
        self.entries.get(&at).copied()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the position of the last change.
    pub fn position(&self) -> Position {
        Position::new(ERA, self.revision)
    }
}
