//! Entries of other nodes never return to an earlier state, and missing entries are kept for a while.

use std::sync::Arc;

use proptest::prelude::*;

use super::at;
use crate::member::{Directory, MISSING_US, Member, Phase, entry_key};
use crate::store::{Change, Item};

fn member(vm: &str, phase: Phase) -> Member {
    Member {
        vm: Arc::from(vm),
        incarnation: 1,
        phase,
        domain: Arc::from("kranj"),
        service: Arc::from("intake"),
        link_addr: ([127, 0, 0, 1], 7_000).into(),
        version: None,
        is_relay: false,
        departure: None,
    }
}

fn item(vm: &str, phase: Phase, revision: u64) -> Item {
    let value = serde_json::to_vec(&member(vm, phase)).expect("json");
    Item { key: entry_key(vm), value, position: at(revision), lease: None }
}

fn missing(vm: &str, revision: u64) -> Change {
    Change::Gone { key: entry_key(vm), position: at(revision) }
}

fn phases(directory: &Directory) -> Vec<(String, Phase)> {
    directory.members().map(|member| (member.vm.to_string(), member.phase)).collect()
}

#[test]
fn entry_is_not_replaced_by_an_older_revision() {
    let mut directory = Directory::default();
    assert!(directory.apply(&Change::Put(item("a", Phase::Leaving, 9)), 0));
    assert!(!directory.apply(&Change::Put(item("a", Phase::Serving, 8)), 0));
    assert!(!directory.replace(&[item("a", Phase::Serving, 8)], 0));
    assert_eq!(phases(&directory), [("a".to_owned(), Phase::Leaving)]);
}

#[test]
fn missing_entry_is_kept_until_it_expires() {
    let mut directory = Directory::default();
    directory.replace(&[item("a", Phase::Serving, 1), item("b", Phase::Serving, 2)], 0);
    directory.apply(&missing("a", 3), 1_000);
    assert_eq!(directory.expire(1_000 + MISSING_US - 1), Vec::<Arc<str>>::new());
    assert_eq!(directory.expire(1_000 + MISSING_US), [Arc::from("a")]);
    assert_eq!(phases(&directory), [("b".to_owned(), Phase::Serving)]);
}

#[test]
fn entry_written_again_before_expiry_does_not_expire() {
    let mut directory = Directory::default();
    directory.replace(&[item("a", Phase::Serving, 1)], 0);
    directory.apply(&missing("a", 2), 0);
    directory.apply(&Change::Put(item("a", Phase::Serving, 3)), 1_000_000);
    assert_eq!(directory.expire(10 * MISSING_US), Vec::<Arc<str>>::new());
}

#[test]
fn missing_entries_restart_their_timers_when_store_is_reachable() {
    let mut directory = Directory::default();
    directory.replace(&[item("a", Phase::Serving, 1)], 0);
    directory.replace(&[], 1_000);
    directory.on_store_reachable(9_000_000);
    assert_eq!(directory.next_expiry_us(), Some(9_000_000 + MISSING_US));
    assert_eq!(directory.expire(9_000_000 + MISSING_US - 1), Vec::<Arc<str>>::new());
}

#[test]
fn unreadable_entry_changes_nothing() {
    let mut directory = Directory::default();
    directory.replace(&[item("a", Phase::Serving, 1)], 0);
    let damaged = Item { value: b"{".to_vec(), ..item("a", Phase::Leaving, 2) };
    let foreign = Item { key: entry_key("a"), ..item("b", Phase::Leaving, 3) };
    assert!(!directory.apply(&Change::Put(damaged), 0));
    assert!(!directory.apply(&Change::Put(foreign), 0));
    assert_eq!(phases(&directory), [("a".to_owned(), Phase::Serving)]);
}

#[test]
fn peer_report_does_not_replace_a_stored_entry() {
    let mut directory = Directory::default();
    directory.replace(&[item("a", Phase::Leaving, 1)], 0);
    assert!(!directory.learn_from_peer(&member("a", Phase::Serving), 0));
    assert!(directory.learn_from_peer(&member("b", Phase::Serving), 0));
    assert_eq!(directory.expire(MISSING_US), [Arc::from("b")], "the store has no entry for it");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Revisions decide which change is the newest, whatever order the changes are applied in.
    #[test]
    fn directory_holds_newest_of_changes_in_any_order(seed: u64, count in 1..12u64) {
        let phases = [Phase::Joining, Phase::Serving, Phase::Leaving];
        let mut changes: Vec<Item> = (1..=count).map(|n| item("a", phases[n as usize % 3], n)).collect();
        fastrand::Rng::with_seed(seed).shuffle(&mut changes);
        let mut directory = Directory::default();
        for change in changes {
            directory.apply(&Change::Put(change), 0);
        }
        prop_assert_eq!(directory.members().next().map(|member| member.phase), Some(phases[count as usize % 3]));
    }
}
