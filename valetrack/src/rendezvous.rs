//! Rendezvous hashing: each name draws among nodes by weights that all nodes compute alike.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Returns the weight of a node for whoever draws among nodes by `name`.
pub fn weight(name: &str, vm: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.write_u8(0);
    hasher.write(vm.as_bytes());
    hasher.finish()
}
