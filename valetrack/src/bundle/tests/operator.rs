//! Operators who race, approve their own work, or lose an answer.

use test_case::test_case;

use super::fake::{FakeStore, Fate};
use crate::bundle::operator::{OperatorError, approve, current, roll, set_evacuated, write};
use crate::bundle::{CURRENT_KEY, CurrentDoc};
use crate::code::Code;
use crate::member::Evacuation;

const TEXT: &str = "[[service]]\nname = \"intake\"\n";
const OTHER: &str = "[[service]]\nname = \"prizes\"\n";

async fn approved(store: &FakeStore, text: &str) -> String {
    let version = write(store, "ana", text).await.expect("written");
    approve(store, "bor", &version).await.expect("approved");
    version
}

#[tokio::test]
async fn a_faulty_bundle_is_never_written() {
    let store = FakeStore::default();
    let refused = write(&store, "ana", "[[service]]\nname = 7\n").await;
    assert!(matches!(refused, Err(OperatorError::Faulty { faults }) if faults.len() == 1));
    assert_eq!(store.keys(), Vec::<String>::new());
}

#[tokio::test]
async fn one_operators_word_is_not_enough() {
    let store = FakeStore::default();
    let version = write(&store, "ana", TEXT).await.expect("written");
    let early = roll(&store, "ana", &version).await;
    assert_eq!(early.map_err(|error| error.code()), Err(Code::BundleNotApproved));
    let own = approve(&store, "ana", &version).await;
    assert_eq!(own.map_err(|error| error.code()), Err(Code::BundleSelfApproval));
    approve(&store, "bor", &version).await.expect("approved");
    assert_eq!(roll(&store, "ana", &version).await.ok(), Some(1));
}

#[tokio::test]
async fn what_was_never_written_cannot_be_rolled() {
    let store = FakeStore::default();
    let missing = roll(&store, "ana", "00").await;
    assert_eq!(missing.map_err(|error| error.code()), Err(Code::BundleNotFound));
}

#[tokio::test]
async fn of_two_who_roll_at_once_one_is_told_who_won() {
    let store = FakeStore::default();
    let version = approved(&store, TEXT).await;
    let rival = CurrentDoc {
        number: 1,
        version: "rival".into(),
        operator: "cene".into(),
        rolled_ms: 5,
        before: Vec::new(),
        evacuation: Evacuation::default(),
        history: None,
        restored: false,
    };
    store.rival(CURRENT_KEY, serde_json::to_vec(&rival).expect("a document"));
    match roll(&store, "ana", &version).await {
        Err(OperatorError::RaceLost { winner, number, .. }) => assert_eq!((winner.as_str(), number), ("cene", 1)),
        other => panic!("{other:?}"),
    }
    assert_eq!(current(&store).await.expect("read"), Some(rival));
}

#[test_case(&[Fate::AnswerLost]; "the answer is lost")]
#[test_case(&[Fate::Dropped]; "the write is lost")]
#[test_case(&[Fate::Dropped, Fate::AnswerLost]; "the write and then the answer")]
#[tokio::test]
async fn a_lost_answer_is_read_back(fates: &[Fate]) {
    let store = FakeStore::default();
    let first = approved(&store, TEXT).await;
    let second = approved(&store, OTHER).await;
    assert_eq!(roll(&store, "ana", &first).await.ok(), Some(1));
    store.fate(fates);
    assert_eq!(roll(&store, "ana", &second).await.ok(), Some(2), "rolled once, and told so");
    let doc = current(&store).await.expect("read").expect("a bundle in force");
    assert_eq!((doc.number, doc.version, doc.before.len()), (2, second, 1));
}

#[test_case(&[Fate::AnswerLost]; "the answer is lost")]
#[test_case(&[Fate::Dropped, Fate::Dropped]; "two writes are lost")]
#[tokio::test]
async fn a_lost_write_is_written_again(fates: &[Fate]) {
    let store = FakeStore::default();
    store.fate(fates);
    let version = write(&store, "ana", TEXT).await.expect("written");
    assert_eq!(store.keys(), [format!("/valetrack/bundle/text/{version}")]);
}

#[tokio::test]
async fn a_store_that_is_down_is_told_as_such() {
    let store = FakeStore::default();
    let version = approved(&store, TEXT).await;
    store.set_down(true);
    let rolled = roll(&store, "ana", &version).await;
    assert_eq!(rolled.map_err(|error| error.code()), Err(Code::StoreUnreachable));
}

#[tokio::test]
async fn a_domain_is_evacuated_and_returned_and_a_roll_keeps_it() {
    let store = FakeStore::default();
    let first = approved(&store, TEXT).await;
    let second = approved(&store, OTHER).await;
    let early = set_evacuated(&store, "kranj", true).await;
    assert_eq!(early.map_err(|error| error.code()), Err(Code::BundleNotFound));
    roll(&store, "ana", &first).await.expect("rolled");
    assert_eq!(set_evacuated(&store, "kranj", true).await.ok(), Some(1));
    assert_eq!(set_evacuated(&store, "kranj", true).await.ok(), Some(1), "it is evacuated already");
    roll(&store, "ana", &second).await.expect("rolled");
    let doc = current(&store).await.expect("read").expect("a bundle in force");
    assert!(doc.evacuation.covers("kranj"));
    assert_eq!(set_evacuated(&store, "kranj", false).await.ok(), Some(2));
    let doc = current(&store).await.expect("read").expect("a bundle in force");
    assert_eq!((doc.number, doc.evacuation.domains.len()), (2, 0));
}

#[test_case(&[Fate::AnswerLost]; "the answer is lost")]
#[test_case(&[Fate::Dropped]; "the write is lost")]
#[tokio::test]
async fn an_evacuation_whose_answer_is_lost_is_read_back(fates: &[Fate]) {
    let store = FakeStore::default();
    let version = approved(&store, TEXT).await;
    roll(&store, "ana", &version).await.expect("rolled");
    store.fate(fates);
    assert_eq!(set_evacuated(&store, "kranj", true).await.ok(), Some(1));
}

#[tokio::test]
async fn an_evacuation_in_the_middle_of_a_roll_does_not_win_over_it() {
    let store = FakeStore::default();
    let first = approved(&store, TEXT).await;
    let second = approved(&store, OTHER).await;
    roll(&store, "ana", &first).await.expect("rolled");
    let mut rival = current(&store).await.expect("read").expect("a bundle in force");
    rival.evacuation =
        Evacuation { number: 1, era: Default::default(), domains: [std::sync::Arc::from("kranj")].into() };
    store.rival(CURRENT_KEY, serde_json::to_vec(&rival).expect("a document"));
    assert_eq!(roll(&store, "ana", &second).await.ok(), Some(2));
    let doc = current(&store).await.expect("read").expect("a bundle in force");
    assert!(doc.evacuation.covers("kranj"), "the roll has kept it");
}

#[tokio::test]
async fn a_roll_goes_on_top_of_what_a_node_has_restored_meanwhile() {
    let store = FakeStore::default();
    let first = approved(&store, TEXT).await;
    let second = approved(&store, OTHER).await;
    roll(&store, "ana", &first).await.expect("rolled");
    let before = current(&store).await.expect("read").expect("a bundle in force");
    roll(&store, "ana", &second).await.expect("rolled");
    let lost = current(&store).await.expect("read").expect("a bundle in force");
    store.put(CURRENT_KEY, serde_json::to_vec(&before).expect("a document"));
    store.rival(CURRENT_KEY, serde_json::to_vec(&CurrentDoc { restored: true, ..lost }).expect("a document"));
    assert_eq!(roll(&store, "bor", &first).await.ok(), Some(3), "no operator was faster");
    let doc = current(&store).await.expect("read").expect("a bundle in force");
    assert_eq!((doc.version, doc.before.len(), doc.restored), (first, 2, false));
}

/// A roll was confirmed and in force nowhere. Its number counted on from the document that the store held; the store had come
/// back from a copy that lacked the roll in force, so both got number 2, and nodes take nothing under a number that was in
/// force: "number 2 is no later one than 2 at a node". Now the document names the store's history. Where the store calls
/// it otherwise, the number leaves room for all that the copy may lack; where it does not, nodes write again what they
/// have read (`RollMemory`).
#[tokio::test]
async fn a_roll_after_the_store_came_back_older_is_in_force_at_nodes() {
    let store = FakeStore::default();
    let first = approved(&store, TEXT).await;
    let second = approved(&store, OTHER).await;
    roll(&store, "ana", &first).await.expect("rolled");
    let copy = store.copy();
    let in_force = roll(&store, "ana", &second).await.expect("rolled");
    store.restore(copy);
    let next = roll(&store, "ana", &first).await.expect("rolled");
    let mut node = crate::bundle::Adoption::default();
    assert!(node.hear(in_force));
    assert!(next > in_force, "number {next} is no later one than {in_force} at a node");
}
