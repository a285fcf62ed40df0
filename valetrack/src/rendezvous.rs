//! Rendezvous hashing: every node computes the same weights, which rank the nodes for a name.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Returns the weight of the node on `vm` for `name`.
pub fn weight(name: &str, vm: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.write_u8(0);
    hasher.write(vm.as_bytes());
    hasher.finish()
}
