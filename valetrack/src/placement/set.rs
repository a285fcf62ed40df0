//! A set of servers that is copied without allocation.

use super::message::ServerIndex;

/// Compact set of server indexes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ServerSet(u64);

impl ServerSet {
    /// Adds a server.
    pub fn insert(&mut self, server: ServerIndex) {
        self.0 |= 1 << server;
    }

    /// Returns the servers that are in either set.
    pub fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns whether the server is in the set.
    pub fn contains(self, server: ServerIndex) -> bool {
        self.0 & (1 << server) != 0
    }

    /// Returns the number of servers in the set.
    pub fn len(self) -> usize {
        self.0.count_ones() as usize
    }

    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}
