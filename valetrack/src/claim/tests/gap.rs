//! Single decisions of a home whose store may have come back from a copy.

use super::events::{KEY, NOW_S, feed, home, press};
use crate::claim::{
    ClaimAction, ClaimEvent, ClaimRule, Holder, KeptAnswer, KeyDigest, Page, PageEntry, PageHome, PressId, PressReply,
    Record, RunEnd,
};
use crate::code::Code;
use crate::store::{Era, Position};

const OTHER: KeyDigest = KeyDigest([2; 16]);
const LIFETIME_S: u64 = 600;

fn at(era: u64, revision: u64) -> Position {
    Position::new(Era::new(era), revision)
}

fn answer() -> KeptAnswer {
    KeptAnswer { status: 201, headers: Vec::new(), body: Some(b"paid".to_vec()) }
}

fn page_of(vm: &str, term: u64) -> Page {
    Page { home: Some(home(vm)), term, held: false, blind_until_s: 0, entries: Vec::new() }
}

fn read(position: Position, page: Option<Page>, holder: Holder) -> ClaimEvent {
    ClaimEvent::Read { position, page, complete: position.era() == Era::new(1), holder }
}

fn replies(actions: &[ClaimAction]) -> Vec<PressReply> {
    let reply = |action: &ClaimAction| match action {
        ClaimAction::Reply { reply, .. } => Some(reply.clone()),
        _ => None,
    };
    actions.iter().filter_map(reply).collect()
}

fn written(actions: &[ClaimAction]) -> Option<(Position, Page)> {
    actions.iter().find_map(|action| match action {
        ClaimAction::Write { expected, page } => Some((*expected, page.clone())),
        _ => None,
    })
}

fn runs(actions: &[ClaimAction]) -> bool {
    actions.iter().any(|action| matches!(action, ClaimAction::Run { .. }))
}

/// Returns a home of term 3 under which a key has run, at revision 5 of the first era.
fn home_that_ran() -> PageHome {
    let rule = ClaimRule { lifetime_s: LIFETIME_S, held: false, entries_max: 10 };
    let mut page = PageHome::new(home("a"), rule);
    let taken = read(at(1, 4), Some(page_of("b", 2)), Holder::Over);
    feed(&mut page, [press(1, KEY), taken, ClaimEvent::Wrote { position: at(1, 5) }]);
    feed(&mut page, [ClaimEvent::RunEnded { key: KEY, end: RunEnd::Ran(answer()) }]);
    assert!(page.holds() && !page.has_gap());
    page
}

fn newcomer() -> PageHome {
    PageHome::new(home("a"), ClaimRule { lifetime_s: LIFETIME_S, held: false, entries_max: 10 })
}

fn has_key(page: &Page, key: KeyDigest) -> bool {
    page.entries.iter().any(|entry| entry.key == key && entry.record == Record::Finished(answer()))
}

#[test]
fn a_home_writes_what_the_copy_lacks_and_is_blind_until_others_have_spoken() {
    let mut page = home_that_ran();
    let actions = feed(&mut page, [ClaimEvent::Doubt, read(at(2, 3), Some(page_of("a", 3)), Holder::Alive)]);
    let (expected, text) = written(&actions).expect("a write");
    assert!(page.has_gap_as_home());
    assert_eq!((expected, text.blind_until_s), (at(2, 3), NOW_S + LIFETIME_S));
    assert!(has_key(&text, KEY));
    assert_eq!(feed(&mut page, [press(2, OTHER)]), [], "an unknown key waits");
    assert_eq!(replies(&feed(&mut page, [press(3, KEY)])), [PressReply::Ran(answer())]);
    feed(&mut page, [ClaimEvent::Wrote { position: at(2, 4) }]);
    let actions = feed(&mut page, [ClaimEvent::Complete { era: Era::new(2) }]);
    let (expected, text) = written(&actions).expect("a write");
    assert_eq!((expected, text.blind_until_s), (at(2, 4), 0));
    assert!(runs(&feed(&mut page, [ClaimEvent::Wrote { position: at(2, 5) }])), "the key is new to all");
}

#[test]
fn a_word_of_an_earlier_era_closes_no_gap() {
    let mut page = home_that_ran();
    feed(&mut page, [ClaimEvent::Doubt, read(at(2, 3), Some(page_of("a", 3)), Holder::Alive)]);
    feed(&mut page, [ClaimEvent::Complete { era: Era::new(1) }]);
    assert!(page.has_gap());
}

#[test]
fn whoever_waits_for_those_who_cannot_speak_is_told_that_the_key_may_have_run() {
    let mut page = home_that_ran();
    feed(&mut page, [ClaimEvent::Doubt, read(at(2, 3), Some(page_of("a", 3)), Holder::Alive), press(2, OTHER)]);
    let unknown = PressReply::Unknown { code: Code::ClaimHistoryUnknown };
    assert_eq!(replies(&feed(&mut page, [ClaimEvent::Waited])), vec![unknown.clone()]);
    assert_eq!(replies(&feed(&mut page, [press(3, OTHER)])), vec![unknown.clone()], "at once from then on");
    let mut page = home_that_ran();
    feed(&mut page, [ClaimEvent::Doubt, read(at(2, 3), Some(page_of("a", 3)), Holder::Alive), press(2, OTHER)]);
    let actions = feed(&mut page, [ClaimEvent::Expire { press: PressId(2) }]);
    assert_eq!(replies(&actions), [unknown], "also at the deadline of its press");
}

#[test]
fn a_claim_that_was_not_confirmed_before_the_return_is_decided_anew() {
    let mut page = home_that_ran();
    feed(&mut page, [press(2, OTHER), ClaimEvent::Refused]);
    let actions = feed(&mut page, [read(at(2, 3), Some(page_of("a", 3)), Holder::Alive)]);
    let (_, text) = written(&actions).expect("a write");
    assert!(!text.entries.iter().any(|entry| entry.key == OTHER));
    assert!(!runs(&feed(&mut page, [ClaimEvent::Wrote { position: at(2, 4) }])));
}

#[test]
fn a_later_home_takes_its_page_back_from_the_one_in_the_copy() {
    let mut page = home_that_ran();
    let actions = feed(&mut page, [ClaimEvent::Doubt, read(at(2, 4), Some(page_of("b", 2)), Holder::Alive)]);
    let (_, text) = written(&actions).expect("a write");
    assert_eq!((text.home.as_ref(), text.term), (Some(&home("a")), 4));
    assert!(has_key(&text, KEY) && page.has_gap_as_home());
}

#[test]
fn what_another_home_does_not_know_is_reported_to_it() {
    let mut page = home_that_ran();
    let taken = page_of("b", 4);
    let actions = feed(&mut page, [ClaimEvent::Doubt, read(at(2, 6), Some(taken), Holder::Alive)]);
    let (expected, text) = written(&actions).expect("a write");
    assert_eq!((expected, text.home.as_ref(), text.term), (at(2, 6), Some(&home("b")), 5));
    assert!(has_key(&text, KEY) && page.remembers() && !page.holds());
    let actions = feed(&mut page, [ClaimEvent::Wrote { position: at(2, 7) }]);
    assert_eq!(actions, [ClaimAction::Read]);
    feed(&mut page, [read(at(2, 7), Some(text), Holder::Alive)]);
    assert!(!page.remembers(), "the page tells it");
}

#[test]
fn a_report_that_is_lost_is_made_again() {
    let mut page = home_that_ran();
    let taken = page_of("b", 4);
    feed(&mut page, [ClaimEvent::Doubt, read(at(2, 6), Some(taken.clone()), Holder::Alive)]);
    assert_eq!(feed(&mut page, [ClaimEvent::WriteLost]), [ClaimAction::RetryLater]);
    let actions = feed(&mut page, [ClaimEvent::Retry, read(at(2, 6), Some(taken), Holder::Alive)]);
    assert!(written(&actions).is_some_and(|(_, text)| has_key(&text, KEY)));
}

#[test]
fn a_home_learns_what_was_reported_to_it() {
    let mut page = home_that_ran();
    let mut reported = page_of("a", 4);
    reported.entries = vec![PageEntry { key: OTHER, call: 7, claimed_s: NOW_S, record: Record::Finished(answer()) }];
    feed(&mut page, [press(2, OTHER), ClaimEvent::Refused]);
    let actions = feed(&mut page, [read(at(1, 6), Some(reported), Holder::Alive)]);
    assert_eq!(replies(&actions), [PressReply::Ran(answer())], "the press that waited gets the first run's answer");
    assert!(!runs(&feed(&mut page, [ClaimEvent::Wrote { position: at(1, 7) }])));
}

#[test]
fn a_newcomer_writes_nothing_before_it_knows_whether_the_page_is_whole() {
    let mut page = newcomer();
    let lost = read(at(2, 4), Some(page_of("b", 2)), Holder::Over);
    assert_eq!(feed(&mut page, [press(1, KEY), lost]), []);
    assert!(page.has_gap() && !page.has_gap_as_home());
    let actions = feed(&mut page, [ClaimEvent::Waited]);
    assert_eq!(replies(&actions), [PressReply::Unknown { code: Code::ClaimHistoryUnknown }]);
    let (_, text) = written(&actions).expect("a write");
    assert_eq!((text.term, text.blind_until_s), (3, NOW_S + LIFETIME_S));
}

#[test]
fn a_gap_is_over_after_a_lifetime_of_keys() {
    let mut page = newcomer();
    feed(&mut page, [press(1, KEY), read(at(2, 4), Some(page_of("b", 2)), Holder::Over), ClaimEvent::Waited]);
    feed(&mut page, [ClaimEvent::Wrote { position: at(2, 5) }]);
    let mut actions = Vec::new();
    page.handle(press(2, KEY), NOW_S + LIFETIME_S, &mut actions);
    assert!(!page.has_gap() && written(&actions).is_some_and(|(_, text)| text.blind_until_s == 0), "{actions:?}");
}

#[test]
fn a_gap_stays_open_where_the_page_is_taken_over_once_more() {
    let mut page = newcomer();
    let lost = || read(at(2, 4), Some(page_of("b", 2)), Holder::Silent);
    feed(&mut page, [press(1, KEY), lost(), ClaimEvent::Waited, ClaimEvent::Refused, lost()]);
    let actions = feed(&mut page, [ClaimEvent::Wrote { position: at(2, 5) }, press(2, KEY)]);
    assert_eq!(replies(&actions), [PressReply::Unknown { code: Code::ClaimHistoryUnknown }]);
}

#[test]
fn a_newcomer_to_a_whole_page_is_its_home_by_one_write() {
    let mut page = newcomer();
    feed(&mut page, [press(1, KEY), read(at(2, 4), Some(page_of("b", 2)), Holder::Over)]);
    let actions = feed(&mut page, [ClaimEvent::Complete { era: Era::new(2) }]);
    assert!(written(&actions).is_some_and(|(_, text)| text.blind_until_s == 0));
    assert!(runs(&feed(&mut page, [ClaimEvent::Wrote { position: at(2, 5) }])));
}

#[test]
fn a_page_handed_over_is_remembered_and_reported() {
    let mut page = home_that_ran();
    let actions = feed(&mut page, [ClaimEvent::Release]);
    assert!(written(&actions).is_some_and(|(_, text)| text.home.is_none()));
    feed(&mut page, [ClaimEvent::Wrote { position: at(1, 6) }]);
    assert!(page.released() && page.remembers());
    assert_eq!(feed(&mut page, [ClaimEvent::Doubt]), [ClaimAction::Read]);
    let actions = feed(&mut page, [read(at(2, 4), Some(page_of("b", 2)), Holder::Alive)]);
    assert!(written(&actions).is_some_and(|(_, text)| has_key(&text, KEY)));
}

#[test]
fn presses_that_wait_for_a_store_that_went_away_are_ended_at_once() {
    let mut page = home_that_ran();
    feed(&mut page, [press(2, OTHER), ClaimEvent::Refused]);
    let actions = feed(&mut page, [ClaimEvent::ReadFailed]);
    assert_eq!(replies(&actions).len(), 1, "{actions:?}");
}
