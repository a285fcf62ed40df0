//! Incarnations of upstreams that have stated in an answer that they leave.
//!
//! An entry remembers them from the answers that it passed on and attaches them to later calls, so an owner that has
//! restarted, and relies on a late announcement, does not send such a call to an upstream that leaves.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::header::LEAVING_HEADER;
use crate::clock::now_us;

/// Largest number of remembered departures.
const DEPARTURES_MAX: usize = 64;
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

/// Departures that one node remembers, oldest first.
#[derive(Debug, Default)]
pub struct Departures {
    known: RefCell<VecDeque<(u64, Departure)>>,
}

impl Departures {
    /// Removes the departures in the headers of a message between nodes, and remembers them.
    pub fn take_from(&self, headers: &mut Vec<(String, Vec<u8>)>) {
        headers.retain(|(name, value)| {
            if name != LEAVING_HEADER {
                return true;
            }
            match postcard::from_bytes(value) {
                Ok(departure) => self.record(departure),
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
        let is_current = |(since_us, _): &&(u64, Departure)| now_us < since_us + RETENTION_US;
        let current = known.iter().rev().filter(is_current).map(|(_, departure)| departure);
        let attached = current.filter(|departure| vm.is_none_or(|vm| *departure.vm == *vm)).take(ATTACHED_MAX);
        headers.extend(attached.filter_map(header));
    }

    /// Remembers a departure.
    pub fn record(&self, departure: Departure) {
        let mut known = self.known.borrow_mut();
        if known.iter().any(|(_, other)| *other == departure) {
            return;
        }
        log::info!("event=departure.recorded peer={} id={}", departure.vm, departure.id);
        if known.len() >= DEPARTURES_MAX {
            known.pop_front();
        }
        known.push_back((now_us(), departure));
    }

    /// Returns whether an incarnation of an upstream is known to leave.
    pub fn includes(&self, incarnation: &Departure) -> bool {
        self.known.borrow().iter().any(|(_, departure)| departure.matches(incarnation))
    }
}

/// Returns the header of a message between nodes that states a departure.
pub fn header(departure: &Departure) -> Option<(String, Vec<u8>)> {
    // Encoding fails only for lack of memory.
    let value = postcard::to_stdvec(departure).ok()?;
    Some((LEAVING_HEADER.to_owned(), value))
}
