//! Incarnations of upstreams that have stated that they leave, in an answer or in an announcement.
//!
//! Every node remembers them from the answers that it passed on and from the entries of other nodes, and attaches them to
//! later calls. An owner that has restarted, and has only a late announcement or a health check that succeeds, does not
//! send such a call to an upstream that leaves.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::header::LEAVING_HEADER;
use crate::clock::now_us;

/// Largest number of remembered departures of one VM.
const DEPARTURES_MAX: usize = 8;
/// Largest number of departures that are attached to a call whose owner is not known yet.
const ATTACHED_MAX: usize = 16;
/// How long a departure is remembered. An upstream that leaves ends within minutes.
const RETENTION_US: u64 = 600_000_000;
/// Minimum time between two log lines about a departure that is attached to calls.
const ATTACHED_LOG_PAUSE_US: u64 = 60_000_000;

/// One incarnation of an upstream that leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Its VM.
    pub vm: Arc<str>,
    /// Id of the upstream.
    pub id: Arc<str>,
    /// Start time by its own clock, in milliseconds since 1970; `None` if unknown.
    pub born_ms: Option<u64>,
}

impl Departure {
    /// Returns whether both may be the same incarnation; a later one may reuse the id with another start time.
    pub fn matches(&self, other: &Self) -> bool {
        let is_other_start = matches!((self.born_ms, other.born_ms), (Some(born), Some(other)) if born != other);
        self.vm == other.vm && self.id == other.id && !is_other_start
    }
}

/// How a node has learned of a departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DepartureSource {
    /// A call that another node has sent.
    Call,
    /// An answer of the VM's node.
    Answer,
    /// The entry of the VM's node.
    Entry,
    /// A message of the VM's node.
    Peer,
}

impl DepartureSource {
    /// Returns the name used in log lines.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Answer => "answer",
            Self::Entry => "entry",
            Self::Peer => "peer",
        }
    }
}

/// A departure that is remembered.
#[derive(Debug)]
struct RecordedDeparture {
    departure: Departure,
    since_us: u64,
    /// When it was last logged that it is attached to a call.
    attached_logged_us: Cell<Option<u64>>,
}

impl RecordedDeparture {
    fn is_current(&self, now_us: u64) -> bool {
        now_us < self.since_us + RETENTION_US
    }

    /// Logs that the departure is attached to a call, unless that was logged within [`ATTACHED_LOG_PAUSE_US`].
    fn log_attached(&self, now_us: u64) {
        let logged_us = self.attached_logged_us.get();
        if logged_us.is_none_or(|logged_us| now_us >= logged_us + ATTACHED_LOG_PAUSE_US) {
            self.attached_logged_us.set(Some(now_us));
            log::info!("event=departure.attached peer={} id={}", self.departure.vm, self.departure.id);
        }
    }

    fn log_dropped(&self, reason: &str) {
        log::info!("event=departure.dropped peer={} id={} reason={reason}", self.departure.vm, self.departure.id);
    }
}

/// Departures of one VM, oldest first.
type RecordedDepartures = VecDeque<RecordedDeparture>;

/// Departures that one node remembers, by VM.
#[derive(Debug, Default)]
pub struct Departures {
    known: RefCell<HashMap<Arc<str>, RecordedDepartures>>,
}

impl Departures {
    /// Removes the departures in the headers of a message between nodes, and remembers them.
    pub fn take_from(&self, headers: &mut Vec<(String, Vec<u8>)>, source: DepartureSource) {
        headers.retain(|(name, value)| {
            if name != LEAVING_HEADER {
                return true;
            }
            match postcard::from_bytes(value) {
                Ok(departure) => self.record(&departure, source),
                Err(error) => log::warn!("event=departure.invalid reason=\"{error}\""),
            }
            false
        });
    }

    /// Attaches the departures of a VM to a message between nodes, or the latest ones if the VM is not known yet.
    pub fn attach(&self, vm: Option<&str>, headers: &mut Vec<(String, Vec<u8>)>) {
        let known = self.known.borrow();
        if known.is_empty() {
            return;
        }
        let now_us = now_us();
        let mut attached: Vec<&RecordedDeparture> = match vm {
            Some(vm) => known.get(vm).into_iter().flatten().collect(),
            None => known.values().flatten().collect(),
        };
        attached.retain(|recorded| recorded.is_current(now_us));
        attached.sort_by_key(|recorded| std::cmp::Reverse(recorded.since_us));
        for recorded in attached.into_iter().take(ATTACHED_MAX) {
            recorded.log_attached(now_us);
            headers.extend(header(&recorded.departure));
        }
    }

    /// Remembers a departure.
    pub fn record(&self, departure: &Departure, source: DepartureSource) {
        let mut known = self.known.borrow_mut();
        if known.get(&departure.vm).is_some_and(|of_vm| of_vm.iter().any(|other| other.departure == *departure)) {
            return;
        }
        log::info!("event=departure.recorded peer={} id={} by={}", departure.vm, departure.id, source.as_str());
        let now_us = now_us();
        known.retain(|_, of_vm| {
            let expired = of_vm.iter().take_while(|recorded| !recorded.is_current(now_us)).count();
            of_vm.drain(..expired).for_each(|recorded| recorded.log_dropped("expired"));
            !of_vm.is_empty()
        });
        let of_vm = known.entry(departure.vm.clone()).or_default();
        if of_vm.len() >= DEPARTURES_MAX
            && let Some(recorded) = of_vm.pop_front()
        {
            recorded.log_dropped("excess");
        }
        let departure = departure.clone();
        of_vm.push_back(RecordedDeparture { departure, since_us: now_us, attached_logged_us: Cell::default() });
    }

    /// Returns the departure of an incarnation of an upstream, if it is known to leave.
    pub fn of(&self, incarnation: &Departure) -> Option<Departure> {
        let known = self.known.borrow();
        let mut of_vm = known.get(&incarnation.vm)?.iter().map(|recorded| &recorded.departure);
        of_vm.find(|departure| departure.matches(incarnation)).cloned()
    }
}

/// Returns the header of a message between nodes that states a departure.
pub fn header(departure: &Departure) -> Option<(String, Vec<u8>)> {
    // Encoding fails only for lack of memory.
    let value = postcard::to_stdvec(departure).ok()?;
    Some((LEAVING_HEADER.to_owned(), value))
}
