//! Tests of the document that a node writes after a store rollback.

use std::sync::Arc;

use test_case::test_case;

use crate::bundle::message::{CurrentDoc, PublishedDoc};
use crate::bundle::recover::PublishedHistory;
use crate::member::Evacuation;
use crate::store::HistoryName;

const NAME: Option<HistoryName> = Some(HistoryName(7));

fn published(number: u64, version: &str) -> PublishedDoc {
    PublishedDoc { number, version: version.into(), operator: "ana".into(), rolled_ms: number * 1_000 }
}

/// Returns the document of the last of these publications, numbered from 1.
fn doc(versions: &[&str]) -> CurrentDoc {
    let mut publications: Vec<PublishedDoc> =
        (1..).zip(versions).map(|(number, version)| published(number, version)).collect();
    let PublishedDoc { number, version, operator, rolled_ms } = publications.pop().expect("a publication");
    publications.reverse();
    let evacuation = Evacuation::default();
    CurrentDoc {
        number,
        version,
        operator,
        rolled_ms,
        before: publications,
        evacuation,
        history: NAME,
        restored: false,
    }
}

fn evacuated(doc: CurrentDoc, number: u64, domains: &[&str]) -> CurrentDoc {
    let domains = domains.iter().map(|domain| Arc::from(*domain)).collect();
    CurrentDoc { evacuation: Evacuation { number, domains, ..Evacuation::default() }, ..doc }
}

/// Returns the history of a node that has read these documents, one after the other.
fn history(docs: &[CurrentDoc]) -> PublishedHistory {
    let mut history = PublishedHistory::default();
    for doc in docs {
        assert_eq!(history.reconcile(Some(doc), doc.number, NAME), None);
    }
    history
}

#[test]
fn later_publication_is_kept() {
    let mut history = history(&[doc(&["a"]), doc(&["a", "b"])]);
    assert_eq!(history.reconcile(Some(&doc(&["a", "b"])), 2, NAME), None);
    assert_eq!(history.reconcile(Some(&doc(&["a", "b", "c"])), 2, NAME), None);
}

#[test]
fn lost_publication_is_written_again() {
    let last = doc(&["a", "b", "c"]);
    let mut history = history(std::slice::from_ref(&last));
    let restored = CurrentDoc { restored: true, ..last };
    assert_eq!(history.reconcile(Some(&doc(&["a"])), 3, NAME), Some(restored.clone()));
    assert_eq!(history.reconcile(None, 3, NAME), Some(restored));
}

#[test_case(&["a", "c"]; "with the number of the lost publication")]
#[test_case(&["a"]; "with the number of the lost one and the first version again")]
fn publication_on_top_of_copy_gets_unseen_number(found: &[&str]) {
    let mut history = history(&[doc(&["a", "b"])]);
    let mut found = doc(found);
    found.number = 2;
    found.rolled_ms = 9_000;
    let next = history.reconcile(Some(&found), 2, NAME).expect("another number");
    assert_eq!((next.number, &next.version, next.rolled_ms), (3, &found.version, 9_000));
    assert_eq!(next.before, [published(2, "b"), published(1, "a")]);
}

#[test]
fn diverged_publication_is_distinguished_from_earlier_one() {
    let mut history = history(&[doc(&["a", "b", "c", "d"])]);
    let earlier = doc(&["a", "b"]);
    let diverged = doc(&["a", "x"]);
    assert_eq!(history.reconcile(Some(&earlier), 4, NAME).map(|next| next.version), Some("d".into()));
    assert_eq!(
        history.reconcile(Some(&diverged), 4, NAME).map(|next| (next.number, next.version)),
        Some((5, "x".into()))
    );
}

#[test]
fn node_without_last_document_writes_nothing() {
    let mut history = history(&[doc(&["a"])]);
    assert_eq!(history.reconcile(Some(&doc(&["a"])), 2, NAME), None, "the second bundle came from another node");
    let mut fresh = PublishedHistory::default();
    assert_eq!(fresh.reconcile(None, 0, NAME), None);
    assert_eq!(fresh.reconcile(Some(&doc(&["a"])), 0, NAME), None);
}

#[test]
fn lost_evacuation_is_written_again() {
    let last = evacuated(doc(&["a"]), 1, &["kranj"]);
    let mut history = history(&[doc(&["a"]), last.clone()]);
    assert_eq!(history.reconcile(Some(&doc(&["a"])), 1, NAME), Some(last));
}

#[test]
fn lost_return_to_service_is_written_again() {
    let out = evacuated(doc(&["a"]), 1, &["kranj"]);
    let back = evacuated(doc(&["a"]), 2, &[]);
    let mut history = history(&[out.clone(), back.clone()]);
    assert_eq!(history.reconcile(Some(&out), 1, NAME), Some(back));
}

#[test]
fn independent_evacuations_are_merged() {
    let mut history = history(&[doc(&["a"]), evacuated(doc(&["a"]), 1, &["kranj"])]);
    let other = evacuated(doc(&["a"]), 1, &["loka"]);
    let next = history.reconcile(Some(&other), 1, NAME).expect("both");
    assert_eq!(next.evacuation, evacuated(doc(&["a"]), 2, &["kranj", "loka"]).evacuation);
}

#[test]
fn document_is_rewritten_under_new_history_name() {
    let mut history = history(&[doc(&["a"])]);
    let renamed = Some(HistoryName(8));
    let next = history.reconcile(Some(&doc(&["a"])), 1, renamed).expect("the new name");
    assert_eq!((next.number, next.history), (1, renamed));
}
