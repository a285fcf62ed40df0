//! Positions in the history of a store that may come back from an older copy.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How often a store has come back from an older copy, or may have.
///
/// A store that counts its returns names the era in all that it answers. Of one that does not, each process counts its
/// own connections: no store comes back from a copy while a connection to it lasts. Such eras mean nothing to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Era(u64);

impl Era {
    /// Makes the era of a number, as the store counts.
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

/// A point in a store's history.
///
/// A store that came back older gives its revisions out again, so that a revision alone names two states. It has no
/// order of its own for that reason: [`Position::relation_to`] names both the order and the era.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct Position {
    era: Era,
    revision: u64,
}

/// How one position stands to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// It is of an earlier era, whatever the revisions are.
    EarlierEra,
    /// It comes before the other one in the same era.
    Before,
    /// It is the same.
    Same,
    /// It comes behind the other one in the same era.
    Behind,
    /// It is of a later era, whatever the revisions are.
    LaterEra,
}

impl Relation {
    /// Returns whether changes behind the one position leave out some that came after the other one.
    pub const fn is_gap(self) -> bool {
        match self {
            Self::Before | Self::Same => false,
            Self::EarlierEra | Self::Behind | Self::LaterEra => true,
        }
    }
}

impl Position {
    /// Makes the position at a revision of an era.
    pub const fn new(era: Era, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the position before everything in an era, at which nothing of it is known.
    pub const fn start_of(era: Era) -> Self {
        Self { era, revision: 0 }
    }

    /// Returns whether nothing of its era is known at it.
    pub const fn is_start(self) -> bool {
        self.revision == 0
    }

    /// Returns the era.
    pub const fn era(self) -> Era {
        self.era
    }

    /// Returns the revision as calls to the store name it; two of them are not to be compared.
    pub const fn wire_revision(self) -> u64 {
        self.revision
    }

    /// Returns how it stands to another position.
    pub fn relation_to(self, other: Self) -> Relation {
        use std::cmp::Ordering::{Equal, Greater, Less};
        match (self.era.cmp(&other.era), self.revision.cmp(&other.revision)) {
            (Less, _) => Relation::EarlierEra,
            (Greater, _) => Relation::LaterEra,
            (Equal, Less) => Relation::Before,
            (Equal, Equal) => Relation::Same,
            (Equal, Greater) => Relation::Behind,
        }
    }

    /// Returns whether what stands at it replaces what stood at another position.
    pub fn supersedes(self, other: Self) -> bool {
        matches!(self.relation_to(other), Relation::Behind | Relation::LaterEra)
    }

    /// Returns how many revisions it is behind another position of the same era.
    pub fn revisions_since(self, other: Self) -> Option<u64> {
        (self.era == other.era).then(|| self.revision.checked_sub(other.revision)).flatten()
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
