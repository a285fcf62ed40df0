//! Entries that were written by something other than the node that they name.

use proptest::prelude::*;

use super::at;
use crate::member::{Directory, EntryKeeper, EntryStep, MISSING_US, Member, entry_key};
use crate::store::{Change, Era, Item, Lease};

const ENTRY: &str = r#"{"vm":"vm-1","incarnation":7,"phase":"serving","domain":"kranj","service":"rounds","link_addr":"10.0.0.1:7620"}"#;

fn item(vm: &str, value: &[u8], revision: u64) -> Item {
    Item { key: entry_key(vm), value: value.to_vec(), position: at(revision), lease: None }
}

fn names(directory: &Directory) -> Vec<String> {
    directory.members().map(|member: &Member| member.vm.to_string()).collect()
}

#[test]
fn unreadable_entries_are_ignored_and_counted_once() {
    let mut directory = Directory::default();
    let items = [
        item("vm-1", ENTRY.as_bytes(), 1),
        item("vm-2", b"{\"vm\":\"vm-2\"}", 2),
        item("vm-3", &[0xff, 0x00, 0x80], 3),
        item("vm-4", ENTRY.as_bytes(), 4),
        item("vm-5", ENTRY.replace("vm-1", "vm-5").replace("serving", "floating").as_bytes(), 5),
        item("vm-6", b"", 6),
    ];
    assert!(directory.replace(&items, 0));
    assert_eq!(names(&directory), ["vm-1"]);
    assert_eq!(directory.take_invalid(), 5);
    directory.replace(&items, 0);
    assert_eq!(directory.take_invalid(), 0, "each is counted and logged once");
}

#[test]
fn overwritten_entry_is_kept_until_its_node_could_rewrite_it() {
    let mut directory = Directory::default();
    directory.replace(&[item("vm-1", ENTRY.as_bytes(), 1)], 0);
    directory.apply(&Change::Put(item("vm-1", b"[]", 2)), 1_000);
    assert!(directory.expire(1_000 + MISSING_US - 1).is_empty());
    directory.apply(&Change::Put(item("vm-1", ENTRY.as_bytes(), 3)), 1_500_000);
    assert!(directory.expire(10_000_000).is_empty(), "its node has rewritten it");
    directory.apply(&Change::Put(item("vm-1", b"[]", 4)), 10_000_000);
    assert_eq!(directory.expire(10_000_000 + MISSING_US).len(), 1);
    assert_eq!(names(&directory), Vec::<String>::new());
}

#[test]
fn keeper_rewrites_an_entry_that_was_overwritten() {
    let mut keeper = EntryKeeper::default();
    keeper.change();
    keeper.granted(Lease { id: 5, ttl_ms: 8_000, era: Era::default() }, 0);
    keeper.wrote(1, at(10));
    assert!(matches!(keeper.next(0), EntryStep::Wait { .. }));
    keeper.overwritten(at(11));
    assert_eq!(keeper.next(0), EntryStep::Write { lease: 5, expected: Some(at(11)) });
}

proptest! {
    #[test]
    fn directory_ignores_arbitrary_bytes(
        value in prop::collection::vec(any::<u8>(), 0..120),
        place in 0..120usize,
        byte in any::<u8>(),
    ) {
        let mut directory = Directory::default();
        let mut changed = ENTRY.as_bytes().to_vec();
        let place = place % changed.len();
        changed[place] = byte;
        directory.replace(&[item("vm-1", ENTRY.as_bytes(), 1), item("vm-2", &value, 2), item("vm-1", &changed, 3)], 0);
        prop_assert!(names(&directory).iter().all(|name| name == "vm-1"));
    }
}
