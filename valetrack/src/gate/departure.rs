//! Incarnations of upstreams that have stated that they leave, in an answer or in an announcement.
//!
//! Every node remembers them from the answers that it passed on and from the entries of other nodes, and attaches them to
//! later calls. An owner that has restarted, and has only a late announcement or a health check that succeeds, does not
//! send such a call to an upstream that leaves.

use std::cell::RefCell;
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
    fn matches(&self, other: &Self) -> bool {
        let is_other_start = matches!((self.born_ms, other.born_ms), (Some(born), Some(other)) if born != other);
        self.vm == other.vm && self.id == other.id && !is_other_start
    }
}

/// Departures of one VM, oldest first, with the time of each record.
type RecordedDepartures = VecDeque<(u64, Departure)>;

/// Departures that one node remembers, by VM.
#[derive(Debug, Default)]
pub struct Departures {
    known: RefCell<HashMap<Arc<str>, RecordedDepartures>>,
}

impl Departures {
    /// Removes the departures in the headers of a message between nodes, and remembers them.
    pub fn take_from(&self, headers: &mut Vec<(String, Vec<u8>)>) {
        headers.retain(|(name, value)| {
            if name != LEAVING_HEADER {
                return true;
            }
            match postcard::from_bytes(value) {
                Ok(departure) => self.record(&departure),
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
        let mut attached: Vec<&(u64, Departure)> = match vm {
            Some(vm) => known.get(vm).into_iter().flatten().collect(),
            None => known.values().flatten().collect(),
        };
        attached.retain(|(since_us, _)| is_current(*since_us, now_us));
        attached.sort_by_key(|(since_us, _)| std::cmp::Reverse(*since_us));
        headers.extend(attached.into_iter().take(ATTACHED_MAX).filter_map(|(_, departure)| header(departure)));
    }

    /// Remembers a departure.
    pub fn record(&self, departure: &Departure) {
        let mut known = self.known.borrow_mut();
        if known.get(&departure.vm).is_some_and(|of_vm| of_vm.iter().any(|(_, other)| other == departure)) {
            return;
        }
        log::info!("event=departure.recorded peer={} id={}", departure.vm, departure.id);
        let now_us = now_us();
        known.retain(|_, of_vm| {
            of_vm.retain(|(since_us, _)| is_current(*since_us, now_us));
            !of_vm.is_empty()
        });
        let of_vm = known.entry(departure.vm.clone()).or_default();
        if of_vm.len() >= DEPARTURES_MAX {
            of_vm.pop_front();
        }
        of_vm.push_back((now_us, departure.clone()));
    }

    /// Returns the departure of an incarnation of an upstream, if it is known to leave.
    pub fn of(&self, incarnation: &Departure) -> Option<Departure> {
        let known = self.known.borrow();
        let mut of_vm = known.get(&incarnation.vm)?.iter().map(|(_, departure)| departure);
        of_vm.find(|departure| departure.matches(incarnation)).cloned()
    }
}

fn is_current(since_us: u64, now_us: u64) -> bool {
    now_us < since_us + RETENTION_US
}

/// Returns the header of a message between nodes that states a departure.
pub fn header(departure: &Departure) -> Option<(String, Vec<u8>)> {
    // Encoding fails only for lack of memory.
    let value = postcard::to_stdvec(departure).ok()?;
    Some((LEAVING_HEADER.to_owned(), value))
}
