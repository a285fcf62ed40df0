//! Events for the tests of single decisions.

use std::sync::Arc;

use crate::claim::{ClaimAction, ClaimEvent, Home, KeyDigest, KeyedCallId, PageHome};

pub const KEY: KeyDigest = KeyDigest([1; 16]);
/// Time of every event.
pub const NOW_S: u64 = 5_000;

pub fn home(vm: &str) -> Home {
    Home { vm: Arc::from(vm), incarnation: 1 }
}

/// Delivers events in order and returns the actions of the last one.
pub fn deliver(page: &mut PageHome, events: impl IntoIterator<Item = ClaimEvent>) -> Vec<ClaimAction> {
    let mut last = Vec::new();
    for event in events {
        last.clear();
        page.handle(event, NOW_S, &mut last);
    }
    last
}

pub fn keyed_call(number: u64, key: KeyDigest) -> ClaimEvent {
    ClaimEvent::KeyedCall { id: KeyedCallId(number), key, call: 7 }
}
