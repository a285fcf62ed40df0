//! Nodes that follow a relay see what the store holds, and know how old it is.

use proptest::prelude::*;
use test_case::test_case;

use super::at;
use crate::member::{AGE_MAX_US, ChangeLog};
use crate::store::{Change, Item};

#[test]
fn a_log_is_current_only_while_the_store_answers() {
    let mut log = ChangeLog::default();
    assert_eq!(log.current_until_us(), None);
    log.read(&[], at(5), 1_000);
    assert_eq!(log.current_until_us(), Some(1_000 + AGE_MAX_US));
    log.lose();
    assert_eq!(log.current_until_us(), None);
    assert_eq!(log.age_ms(2_000), u32::MAX);
    log.apply(&[], at(5), at(5), 3_000);
    assert_eq!(log.age_ms(13_000), 10);
}

#[test_case(0, 700; "after an answer at the end of its wait")]
#[test_case(630_000, 320; "after an answer with changes, which may be as old as its call")]
#[test_case(1_190_000, 50; "when it is nearly too old")]
fn a_relay_asks_again_before_its_news_are_too_old(age_us: u64, wait_ms: u64) {
    let mut log = ChangeLog::default();
    log.read(&[], at(5), 1_000);
    assert_eq!(log.relay_wait_ms(1_000 + age_us), wait_ms);
}

/// What the store does next: writes or removes one of a few keys.
fn steps() -> impl Strategy<Value = Vec<(u8, bool, bool)>> {
    prop::collection::vec((0..6u8, any::<bool>(), prop::bool::weighted(0.3)), 1..900)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// However rarely a follower asks, it ends with the items of its relay, and so with the store's.
    #[test]
    fn a_follower_sees_what_its_relay_has_read(steps in steps()) {
        let mut relay = ChangeLog::default();
        let mut follower = ChangeLog::default();
        relay.read(&[], at(1), 0);
        for (step, (key, put, asks)) in steps.into_iter().enumerate() {
            let revision = step as u64 + 2;
            let position = at(revision);
            let key = format!("node/{key}");
            let change = match put {
                true => Change::Put(Item { key, value: vec![step as u8], position, lease: None }),
                false => Change::Gone { key, position },
            };
            let after = relay.position();
            relay.apply(&[change], after, position, revision);
            if asks {
                follow(&mut follower, &relay);
                prop_assert_eq!(follower.position(), position);
                prop_assert_eq!(all(&follower), all(&relay));
            }
        }
    }
}

fn follow(follower: &mut ChangeLog, relay: &ChangeLog) {
    let news = relay.since(follower.position());
    if news.whole {
        let items: Vec<Item> = news.changes.iter().filter_map(Change::item).cloned().collect();
        follower.read(&items, news.at, 0);
    } else {
        let after = follower.position();
        follower.apply(&news.changes, after, news.at, 0);
    }
}

/// Returns all items of a log, as a node is sent them that has read nothing.
fn all(log: &ChangeLog) -> Vec<Change> {
    log.since(at(u64::MAX)).changes
}
