//! What tests of single decisions feed to a page.

use std::sync::Arc;

use crate::claim::{ClaimAction, ClaimEvent, Home, KeyDigest, PageHome, PressId};

pub const KEY: KeyDigest = KeyDigest([1; 16]);
/// The moment of every event, in seconds.
pub const NOW_S: u64 = 5_000;

pub fn home(vm: &str) -> Home {
    Home { vm: Arc::from(vm), incarnation: 1 }
}

/// Feeds events one after the other; returns the actions of the last one.
pub fn feed(page: &mut PageHome, events: impl IntoIterator<Item = ClaimEvent>) -> Vec<ClaimAction> {
    let mut last = Vec::new();
    for event in events {
        last.clear();
        page.handle(event, NOW_S, &mut last);
    }
    last
}

pub fn press(number: u64, key: KeyDigest) -> ClaimEvent {
    ClaimEvent::Press { press: PressId(number), key, call: 7 }
}
