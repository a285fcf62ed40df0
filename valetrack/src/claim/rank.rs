//! Assignment of keys to pages, and of pages to nodes.

use std::sync::Arc;

use sha2::{Digest, Sha256};

use super::message::KeyDigest;

/// Number of pages that the keys of one service are spread over.
///
/// It must never change in a fleet: a key that moved to another page would lose its claim.
pub const PAGES: u16 = 4;

/// Returns the digest of a key.
pub fn digest(service: &str, key: &str) -> KeyDigest {
    let hash = Sha256::new().chain_update(service).chain_update([0]).chain_update(key).finalize();
    let mut digest = [0; 16];
    digest.copy_from_slice(&hash[..16]);
    KeyDigest(digest)
}

/// Returns the digest of a call's method, path and body, which detects a key that is used for two different calls.
pub fn call_digest(method: &str, path: &str, body: &[u8]) -> u64 {
    let hash = Sha256::new()
        .chain_update(method)
        .chain_update([0])
        .chain_update(path)
        .chain_update([0])
        .chain_update(body)
        .finalize();
    first_u64(&hash)
}

/// Returns the page of a key.
pub fn page_of(key: KeyDigest) -> u16 {
    (first_u64(&key.0) % u64::from(PAGES)) as u16
}

/// Returns the store's key of a page.
pub fn store_key(service: &str, page: u16) -> String {
    format!("/valetrack/claim/{service}/{page}")
}

/// Sorts nodes by their preference as the home of a page (rendezvous hashing).
pub fn rank<T>(service: &str, page: u16, nodes: &mut [T], vm: impl Fn(&T) -> Arc<str>) {
    nodes.sort_by_cached_key(|node| std::cmp::Reverse(weight(service, page, &vm(node))));
}

fn weight(service: &str, page: u16, vm: &str) -> u64 {
    let hash = Sha256::new()
        .chain_update(service)
        .chain_update([0])
        .chain_update(page.to_be_bytes())
        .chain_update(vm)
        .finalize();
    first_u64(&hash)
}

fn first_u64(bytes: &[u8]) -> u64 {
    bytes.iter().take(8).fold(0, |sum, &byte| sum << 8 | u64::from(byte))
}
