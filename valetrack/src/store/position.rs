//! Positions in the history of a store that may be rolled back to an older copy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of store rollbacks, including suspected ones.
///
/// A store that counts its rollbacks returns the era in all its answers. For a store that doesn't, each process counts
/// its own connections, because a connection never outlasts a rollback. Such an era has no meaning in other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Era(u64);

impl Era {
    /// Creates an era from the number that the store reported.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the era after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A point in the history of a store.
///
/// A rolled-back store reuses its revisions, so that a revision alone may stand for two states. Positions have no `Ord`
/// for that reason: [`Position::relation_to`] compares both the era and the revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Position {
    era: Era,
    revision: u64,
}

/// Relation of one position to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// The position is of an earlier era, regardless of the revisions.
    EarlierEra,
    /// The position is before the other one in the same era.
    Before,
    /// Both positions are equal.
    Same,
    /// The position is after the other one in the same era.
    After,
    /// The position is of a later era, regardless of the revisions.
    LaterEra,
}

impl Relation {
    /// Returns whether a list of changes that starts at the one position misses changes since the other one.
    pub const fn misses_changes(self) -> bool {
        match self {
            Self::Before | Self::Same => false,
            Self::EarlierEra | Self::After | Self::LaterEra => true,
        }
    }
}

impl Position {
    /// Creates the position at a revision of an era.
    pub const fn new(era: Era, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the position before all changes of an era.
    pub const fn start_of(era: Era) -> Self {
        Self { era, revision: 0 }
    }

    /// Returns whether the position is before all changes of its era.
    pub const fn is_start(self) -> bool {
        self.revision == 0
    }

    /// Returns the era.
    pub const fn era(self) -> Era {
        self.era
    }

    /// Returns the revision for use in calls to the store. Two such revisions must not be compared.
    pub const fn wire_revision(self) -> u64 {
        self.revision
    }

    /// Returns the relation of this position to another one.
    pub fn relation_to(self, other: Self) -> Relation {
        use std::cmp::Ordering::{Equal, Greater, Less};
        match (self.era.cmp(&other.era), self.revision.cmp(&other.revision)) {
            (Less, _) => Relation::EarlierEra,
            (Greater, _) => Relation::LaterEra,
            (Equal, Less) => Relation::Before,
            (Equal, Equal) => Relation::Same,
            (Equal, Greater) => Relation::After,
        }
    }

    /// Returns whether a value at this position replaces a value at another position.
    pub fn supersedes(self, other: Self) -> bool {
        matches!(self.relation_to(other), Relation::After | Relation::LaterEra)
    }

    /// Returns the number of revisions since another position of the same era.
    pub fn revisions_since(self, other: Self) -> Option<u64> {
        (self.era == other.era).then(|| self.revision.checked_sub(other.revision)).flatten()
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
