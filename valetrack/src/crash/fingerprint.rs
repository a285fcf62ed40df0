//! Fingerprints of calls: a request has the same fingerprint under any call id and at any node.

use std::hash::Hasher;

use ring::rand::{SecureRandom, SystemRandom};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::link::message::CallHead;

/// Headers that identify the caller: the effect of a request on an upstream depends on its caller.
const CALLER_HEADERS: &[&str] = &["authorization", "x-api-key"];
/// Header with the name under which the caller reached the service; the same path under another name is another
/// request.
const HOST_HEADER: &str = "host";

/// Secret key of fingerprints, which prevents clients from constructing requests that collide.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FingerprintKey(u64, u64);

impl FingerprintKey {
    /// Returns a random key; `None` if the system returns no random bytes.
    pub fn draw() -> Option<Self> {
        let mut bytes = [0; 16];
        SystemRandom::new().fill(&mut bytes).ok()?;
        let [low, high] = [0, 8].map(|at| bytes[at..at + 8].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)));
        Some(Self(low, high))
    }

    /// Creates a key that is not secret, for tests and models.
    pub const fn of_parts(low: u64, high: u64) -> Self {
        Self(low, high)
    }

    fn hasher(self) -> SipHasher13 {
        SipHasher13::new_with_keys(self.0, self.1)
    }

    /// Returns the fingerprint of a request without its body; it includes the length of the body.
    ///
    /// It is enough to distinguish most calls, so the body of a call is only read again if a request with the same head
    /// has crashed an upstream.
    pub fn head_fingerprint(self, head: &CallHead) -> u64 {
        let mut hasher = self.hasher();
        let mut add = |part: &[u8]| {
            // The length prefix keeps requests apart whose parts are the same when concatenated.
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

/// Fingerprint of a request under one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint {
    /// Fingerprint of the request without its body.
    pub head: u64,
    /// Fingerprint of the body.
    pub body: u64,
}

impl std::fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}{:016x}", self.head, self.body)
    }
}
