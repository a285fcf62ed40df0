//! What a node has the store hold after it came back from a copy.

use std::sync::Arc;

use test_case::test_case;

use crate::bundle::message::{CurrentDoc, RolledDoc};
use crate::bundle::recover::RollMemory;
use crate::member::Evacuation;
use crate::store::HistoryName;

const NAME: Option<HistoryName> = Some(HistoryName(7));

fn rolled(number: u64, version: &str) -> RolledDoc {
    RolledDoc { number, version: version.into(), operator: "ana".into(), rolled_ms: number * 1_000 }
}

/// Returns the document of the last of these rolls, numbered from 1.
fn doc(versions: &[&str]) -> CurrentDoc {
    let mut rolls: Vec<RolledDoc> = (1..).zip(versions).map(|(number, version)| rolled(number, version)).collect();
    let RolledDoc { number, version, operator, rolled_ms } = rolls.pop().expect("a roll");
    rolls.reverse();
    let evacuation = Evacuation::default();
    CurrentDoc { number, version, operator, rolled_ms, before: rolls, evacuation, history: NAME, restored: false }
}

fn evacuated(doc: CurrentDoc, number: u64, domains: &[&str]) -> CurrentDoc {
    let domains = domains.iter().map(|domain| Arc::from(*domain)).collect();
    CurrentDoc { evacuation: Evacuation { number, domains, ..Evacuation::default() }, ..doc }
}

/// Returns a node's memory that has read these documents, one after the other.
fn memory(docs: &[CurrentDoc]) -> RollMemory {
    let mut memory = RollMemory::default();
    for doc in docs {
        assert_eq!(memory.take(Some(doc), doc.number, NAME), None);
    }
    memory
}

#[test]
fn a_later_roll_stands_as_it_is() {
    let mut memory = memory(&[doc(&["a"]), doc(&["a", "b"])]);
    assert_eq!(memory.take(Some(&doc(&["a", "b"])), 2, NAME), None);
    assert_eq!(memory.take(Some(&doc(&["a", "b", "c"])), 2, NAME), None);
}

#[test]
fn a_roll_that_the_copy_lacks_is_written_again() {
    let last = doc(&["a", "b", "c"]);
    let mut memory = memory(std::slice::from_ref(&last));
    let restored = CurrentDoc { restored: true, ..last };
    assert_eq!(memory.take(Some(&doc(&["a"])), 3, NAME), Some(restored.clone()));
    assert_eq!(memory.take(None, 3, NAME), Some(restored));
}

#[test_case(&["a", "c"]; "of the number of the lost roll")]
#[test_case(&["a"]; "of no lower number than the lost one, once more the first version")]
fn a_roll_on_top_of_the_copy_gets_a_number_that_no_node_has_seen(found: &[&str]) {
    let mut memory = memory(&[doc(&["a", "b"])]);
    let mut found = doc(found);
    found.number = 2;
    found.rolled_ms = 9_000;
    let next = memory.take(Some(&found), 2, NAME).expect("another number");
    assert_eq!((next.number, &next.version, next.rolled_ms), (3, &found.version, 9_000));
    assert_eq!(next.before, [rolled(2, "b"), rolled(1, "a")]);
}

#[test]
fn a_roll_on_top_of_an_older_copy_is_told_from_an_earlier_one() {
    let mut memory = memory(&[doc(&["a", "b", "c", "d"])]);
    let earlier = doc(&["a", "b"]);
    let sideways = doc(&["a", "x"]);
    assert_eq!(memory.take(Some(&earlier), 4, NAME).map(|next| next.version), Some("d".into()));
    assert_eq!(memory.take(Some(&sideways), 4, NAME).map(|next| (next.number, next.version)), Some((5, "x".into())));
}

#[test]
fn whoever_has_not_read_the_last_roll_from_the_store_writes_nothing() {
    let mut memory = memory(&[doc(&["a"])]);
    assert_eq!(memory.take(Some(&doc(&["a"])), 2, NAME), None, "the second came from another node");
    let mut fresh = RollMemory::default();
    assert_eq!(fresh.take(None, 0, NAME), None);
    assert_eq!(fresh.take(Some(&doc(&["a"])), 0, NAME), None);
}

#[test]
fn an_evacuation_that_the_copy_lacks_is_written_again() {
    let last = evacuated(doc(&["a"]), 1, &["kranj"]);
    let mut memory = memory(&[doc(&["a"]), last.clone()]);
    assert_eq!(memory.take(Some(&doc(&["a"])), 1, NAME), Some(last));
}

#[test]
fn a_return_to_service_that_the_copy_lacks_is_written_again() {
    let out = evacuated(doc(&["a"]), 1, &["kranj"]);
    let back = evacuated(doc(&["a"]), 2, &[]);
    let mut memory = memory(&[out.clone(), back.clone()]);
    assert_eq!(memory.take(Some(&out), 1, NAME), Some(back));
}

#[test]
fn of_two_evacuations_that_knew_nothing_of_each_other_both_hold() {
    let mut memory = memory(&[doc(&["a"]), evacuated(doc(&["a"]), 1, &["kranj"])]);
    let other = evacuated(doc(&["a"]), 1, &["loka"]);
    let next = memory.take(Some(&other), 1, NAME).expect("both");
    assert_eq!(next.evacuation, evacuated(doc(&["a"]), 2, &["kranj", "loka"]).evacuation);
}

#[test]
fn a_document_of_a_renamed_history_is_written_under_the_new_name() {
    let mut memory = memory(&[doc(&["a"])]);
    let renamed = Some(HistoryName(8));
    let next = memory.take(Some(&doc(&["a"])), 1, renamed).expect("the new name");
    assert_eq!((next.number, next.history), (1, renamed));
}
