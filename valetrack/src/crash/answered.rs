//! Which requests were answered here of late: one that upstreams answer does not crash them.
//!
//! Guards a request that is sent often, and so runs on several upstreams at once, when these crash for a
//! cause of their own, such as a loss of power: without it such a request stands under three crashes at once
//! (a fleet in virtual time, `crash::tests`).

use super::fingerprint::FingerprintKey;
use crate::link::message::CallHead;

/// Places of the table, a power of two: requests of some seconds at a busy node, in 64 KB.
const PLACES: usize = 4_096;
/// For how long an answer speaks for its request, in microseconds: a request that runs on three upstreams at
/// once is answered many times in it.
const SPEAKS_US: u64 = 10_000_000;
/// Longest body that is read for it, in bytes; for requests with a longer one nothing is remembered, since
/// their body would be read a second time on its usual way.
const BODY_MAX_BYTES: usize = 1_024;

/// Fingerprints of answered requests, the latest for each place.
#[derive(Debug)]
pub struct RecentAnswers {
    /// Fingerprint and moment; a zero moment is an empty place.
    places: Vec<(u64, u64)>,
}

impl Default for RecentAnswers {
    fn default() -> Self {
        Self { places: vec![(0, 0); PLACES] }
    }
}

impl RecentAnswers {
    /// Takes an answer that came at `now_us`.
    pub fn answered(&mut self, key: FingerprintKey, head: &CallHead, body: &[u8], now_us: u64) {
        if let Some(fingerprint) = short_fingerprint(key, head, body) {
            self.places[place(fingerprint)] = (fingerprint, now_us);
        }
    }

    /// Returns whether a request was answered a short time before `now_us`.
    pub fn holds(&self, key: FingerprintKey, head: &CallHead, body: &[u8], now_us: u64) -> bool {
        let Some(fingerprint) = short_fingerprint(key, head, body) else {
            return false;
        };
        let (known, at_us) = self.places[place(fingerprint)];
        known == fingerprint && at_us > 0 && now_us < at_us + SPEAKS_US
    }
}

/// Returns one number for a request whose body is short.
fn short_fingerprint(key: FingerprintKey, head: &CallHead, body: &[u8]) -> Option<u64> {
    if body.len() > BODY_MAX_BYTES {
        return None;
    }
    let fingerprint = key.fingerprint(head, body);
    Some(fingerprint.head ^ fingerprint.body.rotate_left(1))
}

fn place(fingerprint: u64) -> usize {
    fingerprint as usize % PLACES
}
