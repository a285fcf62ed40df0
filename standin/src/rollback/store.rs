//! A store in virtual time that has come back from a copy.

use std::collections::BTreeMap;

use valetrack::member::SeenEntry;
use valetrack::store::{Era, Lease, Position};

/// The era that the store is in now.
pub const ERA: Era = Era::new(2);
/// The era before it.
pub const ERA_BEFORE: Era = Era::new(1);
/// How long a lease holds, in milliseconds.
pub const LEASE_MS: u64 = 8_000;
/// Window over which calls are counted, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// One entry of this many was written or leased after the copy was taken.
const LATE_SHARE: usize = 10;

/// What the copy lacks of the nodes' entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// The entries of the last seconds, with their leases.
    Latest,
    /// All leases, and the entries with them.
    Leases,
}

impl Lost {
    /// All of them.
    pub const ALL: [Self; 2] = [Self::Latest, Self::Leases];

    /// Returns its name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Latest => "latest",
            Self::Leases => "leases",
        }
    }
}

/// Calls that the store takes from all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rates {
    /// Calls a second that write.
    pub writes_per_s: u64,
    /// Calls a second that read.
    pub reads_per_s: u64,
}

/// Calls by what they cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Price {
    /// It counts among those that write.
    Write,
    /// It counts among those that read.
    Read,
    /// A renewal: it counts among those that read, at a tenth of the price.
    Renewal,
    /// A read of an earlier state: a tenth of the price, and not counted.
    Earlier,
}

/// The store.
pub struct Store {
    rates: Rates,
    window: u64,
    in_window: (u64, u64),
    revision: u64,
    next_lease: u64,
    entries: BTreeMap<usize, SeenEntry>,
    /// Calls that were answered, by price: writes, reads, cheap ones.
    pub calls: (u64, u64, u64),
    /// Calls that were turned away.
    pub refused: u64,
}

impl Store {
    /// Makes a store that has come back without what is lost of the entries of `nodes` nodes, each of which was written
    /// at the revision of its number and two more, under a lease of that id.
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

    /// Counts a call at `now_ms`; returns whether it is answered.
    pub fn admit(&mut self, price: Price, now_ms: u64) -> bool {
        if now_ms / WINDOW_MS != self.window {
            self.window = now_ms / WINDOW_MS;
            self.in_window = (0, 0);
        }
        let (counted, rate) = match price {
            Price::Write => (&mut self.in_window.0, self.rates.writes_per_s),
            Price::Read | Price::Renewal => (&mut self.in_window.1, self.rates.reads_per_s),
            Price::Earlier => {
                self.calls.2 += 1;
                return true;
            }
        };
        *counted += 1;
        if *counted > rate {
            self.refused += 1;
            return false;
        }
        match price {
            Price::Write => self.calls.0 += 1,
            Price::Read => self.calls.1 += 1,
            Price::Renewal | Price::Earlier => self.calls.2 += 1,
        }
        true
    }

    /// Grants a lease.
    pub fn grant(&mut self) -> Lease {
        self.next_lease += 1;
        Lease { id: self.next_lease, ttl_ms: LEASE_MS, era: ERA }
    }

    /// Writes the entry of a node where it stands at `expected`; returns its position, or where it stands instead.
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

    /// Returns how many entries stand there.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the position of the last change.
    pub fn position(&self) -> Position {
        Position::new(ERA, self.revision)
    }
}
