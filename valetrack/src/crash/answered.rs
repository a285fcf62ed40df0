//! Records which requests were answered here recently: a request that upstreams answer does not crash them.
//!
//! This protects a request that is sent often, and so runs on several upstreams at once, when these crash for a reason
//! of their own, such as a power failure. Without it, such a request is a suspect of three crashes at once (reproduced
//! by a fleet in virtual time in `crash::tests`).

use super::fingerprint::FingerprintKey;
use crate::link::message::CallHead;

/// Slots of the table, a power of two: they hold the requests of some seconds at a busy node, in 64 KB.
const TABLE_SLOTS: usize = 4_096;
/// Time for which an answer shows that its request is harmless: a request that runs on three upstreams at once is
/// answered many times within it.
const ANSWER_VALID_US: u64 = 10_000_000;
/// Maximum length of a body that is hashed. Requests with a longer body are not recorded, since that would read the
/// body a second time for each answer.
const BODY_MAX_BYTES: usize = 1_024;

/// Table of the fingerprints of answered requests, which holds the latest one for each slot.
#[derive(Debug)]
pub struct RecentAnswers {
    /// Fingerprint and time of the answer in microseconds; a time of zero marks an empty slot.
    slots: Vec<(u64, u64)>,
}

impl Default for RecentAnswers {
    fn default() -> Self {
        Self { slots: vec![(0, 0); TABLE_SLOTS] }
    }
}

impl RecentAnswers {
    /// Records an answer that was received at `now_us`.
    pub fn answered(&mut self, key: FingerprintKey, head: &CallHead, body: &[u8], now_us: u64) {
        if let Some(fingerprint) = short_fingerprint(key, head, body) {
            self.slots[slot(fingerprint)] = (fingerprint, now_us);
        }
    }

    /// Returns whether a request was answered within [`ANSWER_VALID_US`] before `now_us`.
    pub fn holds(&self, key: FingerprintKey, head: &CallHead, body: &[u8], now_us: u64) -> bool {
        let Some(fingerprint) = short_fingerprint(key, head, body) else {
            return false;
        };
        let (stored, at_us) = self.slots[slot(fingerprint)];
        stored == fingerprint && at_us > 0 && now_us < at_us + ANSWER_VALID_US
    }
}

/// Returns a 64-bit fingerprint of a request; `None` if its body exceeds [`BODY_MAX_BYTES`].
fn short_fingerprint(key: FingerprintKey, head: &CallHead, body: &[u8]) -> Option<u64> {
    if body.len() > BODY_MAX_BYTES {
        return None;
    }
    let fingerprint = key.fingerprint(head, body);
    Some(fingerprint.head ^ fingerprint.body.rotate_left(1))
}

fn slot(fingerprint: u64) -> usize {
    fingerprint as usize % TABLE_SLOTS
}
