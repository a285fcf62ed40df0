//! Nodes that follow a relay read the contents of the store and their age.

use std::collections::BTreeMap;

use proptest::prelude::*;
use test_case::test_case;

use super::at;
use crate::member::relay::UpdateAge;
use crate::member::{AGE_MAX_US, ChangeLog};
use crate::store::{Change, Item};

#[test]
fn log_is_current_only_while_the_store_answers() {
    let mut log = ChangeLog::default();
    assert_eq!(log.current_until_us(), None);
    log.read(&[], at(5), 1_000);
    assert_eq!(log.current_until_us(), Some(1_000 + AGE_MAX_US));
    log.mark_stale();
    assert_eq!(log.current_until_us(), None);
    assert_eq!(log.age_ms(2_000), u32::MAX);
    log.apply(&[], at(5), at(5), 3_000);
    assert_eq!(log.age_ms(13_000), 10);
}

#[test_case(0, 700; "after an answer at the end of its wait")]
#[test_case(630_000, 320; "after an answer with changes, which may be as old as its call")]
#[test_case(1_190_000, 50; "when it is nearly too old")]
fn relay_calls_again_before_its_log_is_too_old(age_us: u64, wait_ms: u64) {
    let mut log = ChangeLog::default();
    log.read(&[], at(5), 1_000);
    assert_eq!(log.relay_wait_ms(1_000 + age_us), wait_ms);
}

/// Steps of the store, each a write or a removal of one of a few keys, whether the follower then sends a request, and
/// whether the relay reads all items in place of the changes since its last read.
fn steps() -> impl Strategy<Value = Vec<(u8, bool, bool, bool)>> {
    prop::collection::vec((0..6u8, any::<bool>(), prop::bool::weighted(0.3), prop::bool::weighted(0.1)), 1..900)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// However rarely a follower sends requests, it ends with the items of its relay, and so of the store.
    #[test]
    fn follower_holds_the_items_of_its_relay(steps in steps()) {
        let mut relay = ChangeLog::default();
        let mut follower = ChangeLog::default();
        let mut store = BTreeMap::new();
        relay.read(&[], at(1), 0);
        for (step, (key, put, requests, rereads)) in steps.into_iter().enumerate() {
            let revision = step as u64 + 2;
            let position = at(revision);
            let key = format!("node/{key}");
            let change = match put {
                true => Change::Put(Item { key, value: vec![step as u8], position, lease: None }),
                false => Change::Gone { key, position },
            };
            match &change {
                Change::Put(item) => store.insert(item.key.clone(), item.clone()),
                Change::Gone { key, .. } => store.remove(key),
            };
            let after = relay.position();
            if rereads {
                let items: Vec<Item> = store.values().cloned().collect();
                relay.read(&items, position, revision);
            } else {
                relay.apply(&[change], after, position, revision);
            }
            if requests {
                follow(&mut follower, &relay);
                prop_assert_eq!(follower.position(), position);
                prop_assert_eq!(all(&follower), all(&relay));
                prop_assert!(store.values().cloned().map(Change::Put).eq(all(&follower)));
            }
        }
    }
}

fn item(key: &str, revision: u64) -> Item {
    Item { key: key.to_owned(), value: vec![revision as u8], position: at(revision), lease: None }
}

fn change(key: &str, revision: u64) -> Change {
    Change::Put(item(key, revision))
}

/// Guards against relays that send all items to all followers after they have read all items again.
#[test]
fn followers_get_difference_after_whole_read() {
    let mut relay = ChangeLog::default();
    relay.read(&[item("a", 2), item("b", 3), item("c", 4)], at(4), 0);
    // The store was at 8 when it read the first page, and at 9 when it read the one of `d`.
    relay.read(&[item("a", 2), item("c", 7), item("d", 9)], at(8), 0);
    let update = relay.since(at(4));
    assert!(!update.whole);
    let gone = Change::Gone { key: "b".into(), position: at(8) };
    assert_eq!(update.changes, [change("c", 7), gone, change("d", 9)]);
    assert!(relay.since(at(3)).whole, "changes before the first read are not known");
}

/// Guards against updates that hold every version of a large item, and are too large to be sent.
#[test]
fn update_holds_last_change_of_each_key() {
    let mut relay = ChangeLog::default();
    relay.read(&[], at(1), 0);
    for revision in 2..=9 {
        let changes = [change(if revision % 2 == 0 { "a" } else { "b" }, revision)];
        relay.apply(&changes, at(revision - 1), at(revision), 0);
    }
    assert_eq!(relay.since(at(1)).changes, [change("a", 8), change("b", 9)]);
    assert_eq!(relay.since(at(8)).changes, [change("b", 9)]);
}

fn follow(follower: &mut ChangeLog, relay: &ChangeLog) {
    let update = relay.since(follower.position());
    if update.whole {
        let items: Vec<Item> = update.changes.iter().filter_map(Change::item).cloned().collect();
        follower.read(&items, update.at, 0);
    } else {
        let after = follower.position();
        follower.apply(&update.changes, after, update.at, 0);
    }
}

/// Returns all items of a log, as it sends them to a node that has read nothing.
fn all(log: &ChangeLog) -> Vec<Change> {
    log.since(at(u64::MAX)).changes
}

#[test_case(1_400_000, 1_100_000; "reply at the end of the wait")]
#[test_case(4_000_000, 1_200_000; "reply that was in transit for long")]
fn confirmation_by_update_excludes_transit_after_the_wait(received_us: u64, expected_us: u64) {
    let age = UpdateAge { at_relay_ms: 300, replied_by_us: 1_500_000 };
    assert_eq!(age.confirmed_us(received_us), expected_us);
}
