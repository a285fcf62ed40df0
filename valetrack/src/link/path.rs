//! Round trips of the connections to other nodes, as QUIC measures them with every acknowledgement.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Largest number of nodes whose round trips are kept; those of nodes that are gone are dropped together with the others
/// when it is reached.
const PATHS_MAX: usize = 4_096;

/// Latest round trip to each node that has replied, for the tasks of the thread that runs the links.
#[derive(Debug, Default)]
pub struct PathTimes {
    round_trips: RefCell<HashMap<SocketAddr, Duration>>,
}

impl PathTimes {
    /// Records the round trip of the connection to a node.
    pub fn record(&self, node: SocketAddr, round_trip: Duration) {
        let mut round_trips = self.round_trips.borrow_mut();
        if round_trips.len() >= PATHS_MAX {
            round_trips.clear();
        }
        round_trips.insert(node, round_trip);
    }

    /// Returns the round trip of the connection to a node, if it has replied.
    pub fn round_trip(&self, node: SocketAddr) -> Option<Duration> {
        self.round_trips.borrow().get(&node).copied()
    }
}
