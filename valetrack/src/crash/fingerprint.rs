//! Fingerprints of calls: the same request has the same fingerprint under any call id, at any node.

use std::hash::Hasher;

use ring::rand::{SecureRandom, SystemRandom};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::link::message::CallHead;

/// Headers that tell callers apart: whose request it is decides what it does to an upstream.
const CALLER_HEADERS: &[&str] = &["authorization", "x-api-key"];
/// Header with the name that the caller reached the service by; routes of other names are other requests.
const HOST_HEADER: &str = "host";

/// Secret that fingerprints are made with, so that nobody outside the fleet can make two requests collide.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FingerprintKey(u64, u64);

impl FingerprintKey {
    /// Draws a key; none where the system has no randomness to give.
    pub fn draw() -> Option<Self> {
        let mut bytes = [0; 16];
        SystemRandom::new().fill(&mut bytes).ok()?;
        let [low, high] = [0, 8].map(|at| bytes[at..at + 8].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)));
        Some(Self(low, high))
    }

    /// Makes a key that is no secret, for tests and models.
    pub const fn of_parts(low: u64, high: u64) -> Self {
        Self(low, high)
    }

    fn hasher(self) -> SipHasher13 {
        SipHasher13::new_with_keys(self.0, self.1)
    }

    /// Returns the fingerprint of all of a request but its body, whose length alone is part of it.
    ///
    /// It is what most calls are told apart by, so that the body of a call need not be read again unless a
    /// request with the same head has crashed an upstream.
    pub fn head_fingerprint(self, head: &CallHead) -> u64 {
        let mut hasher = self.hasher();
        let mut add = |part: &[u8]| {
            // Lengths keep the parts of two requests from running into each other.
            hasher.write_usize(part.len());
            hasher.write(part);
        };
        add(head.method.as_bytes());
        add(head.path.as_bytes());
        for (name, value) in &head.headers {
            if name == HOST_HEADER || CALLER_HEADERS.contains(&name.as_str()) {
                add(name.as_bytes());
                add(value);
            }
        }
        if let Some(account) = &head.account {
            hasher.write(account.as_bytes());
        }
        hasher.write_u32(head.body_bytes);
        hasher.finish()
    }

    /// Returns the fingerprint of a body.
    pub fn body_fingerprint(self, body: &[u8]) -> u64 {
        let mut hasher = self.hasher();
        hasher.write(body);
        hasher.finish()
    }

    /// Returns the fingerprint of a whole request.
    pub fn fingerprint(self, head: &CallHead, body: &[u8]) -> Fingerprint {
        Fingerprint { head: self.head_fingerprint(head), body: self.body_fingerprint(body) }
    }
}

/// What a request is known by under one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Fingerprint of all but the body.
    pub head: u64,
    /// Fingerprint of the body.
    pub body: u64,
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}{:016x}", self.head, self.body)
    }
}
