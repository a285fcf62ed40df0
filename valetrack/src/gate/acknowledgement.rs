//! When a departure of this node's upstream is acknowledged.
//!
//! An acknowledged departure holds after the end of the process, so somebody else has to know it first. The store outlives
//! an end of all nodes, a peer does not. An upstream whose departure is not acknowledged leaves all the same, so the wait
//! is bounded.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use super::departure::Departure;

/// Time for which only a record in the store is accepted.
const PEER_DELAY: Duration = Duration::from_millis(300);
/// Longest delay of an acknowledgement: an upstream repeats an announcement that is not acknowledged within a second.
const DELAY_MAX: Duration = Duration::from_millis(600);

/// Who has recorded a departure, besides the process that learned of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordedBy {
    /// Nobody.
    #[default]
    Nobody,
    /// Another node.
    Peer,
    /// The store.
    Store,
}

impl RecordedBy {
    /// Returns the name used in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Nobody => "nobody",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }

    /// Returns how long after its arrival a departure with this record is acknowledged.
    pub const fn acknowledgement_delay(self) -> Duration {
        match self {
            Self::Nobody => DELAY_MAX,
            Self::Peer => PEER_DELAY,
            Self::Store => Duration::ZERO,
        }
    }
}

/// Latest departure of this node's upstream, and who has recorded it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DepartureRecord {
    departure: Option<Departure>,
    by: RecordedBy,
}

impl DepartureRecord {
    /// Returns the record of a departure that this process has just learned of.
    pub fn new(departure: Departure) -> Self {
        Self { departure: Some(departure), by: RecordedBy::Nobody }
    }

    /// Returns whether this is the record of a departure.
    pub fn is_of(&self, departure: &Departure) -> bool {
        self.departure.as_ref() == Some(departure)
    }

    /// Records who knows a departure; returns whether that changed anything.
    pub fn confirm(&mut self, departure: &Departure, by: RecordedBy) -> bool {
        let is_more = self.is_of(departure) && by > self.by;
        if is_more {
            self.by = by;
        }
        is_more
    }

    /// Returns who has recorded the departure of an id.
    pub fn of(&self, id: &str) -> RecordedBy {
        let is_known = self.departure.as_ref().is_some_and(|departure| *departure.id == *id);
        if is_known { self.by } else { RecordedBy::Nobody }
    }
}

/// Delays the acknowledgements of departures until they are recorded.
#[derive(Debug, Clone)]
pub struct DepartureAcknowledger {
    record: watch::Receiver<DepartureRecord>,
}

impl DepartureAcknowledger {
    /// Creates an acknowledger that follows the record.
    pub fn new(record: watch::Receiver<DepartureRecord>) -> Self {
        Self { record }
    }

    /// Waits until the departure of an id that has just arrived may be acknowledged; returns who has recorded it.
    pub async fn wait(&self, id: &str) -> RecordedBy {
        let arrived = Instant::now();
        let mut record = self.record.clone();
        loop {
            let by = record.borrow_and_update().of(id);
            let until = arrived + by.acknowledgement_delay();
            if Instant::now() >= until {
                return by;
            }
            // The record is read again after the timeout or the change; without a member thread nothing changes it.
            if let Ok(Err(_)) = timeout_at(until, record.changed()).await {
                return by;
            }
        }
    }
}
