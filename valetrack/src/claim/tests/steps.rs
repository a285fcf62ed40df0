//! Single decisions of a home, one by one.

use std::sync::Arc;

use test_case::test_case;

use super::events::{KEY, NOW_S, feed, home, press};
use crate::claim::rank::{PAGES, digest, page_of, rank};
use crate::claim::{
    ClaimAction, ClaimEvent, ClaimRule, Holder, KeptAnswer, KeyDigest, Page, PageEntry, PageHome, PressId, PressReply,
    Record, RunEnd,
};
use crate::code::Code;
use crate::store::{Era, Position};

/// Returns a position in the first era.
fn at(revision: u64) -> Position {
    Position::new(Era::default(), revision)
}

fn page_home() -> PageHome {
    PageHome::new(home("a"), ClaimRule { lifetime_s: 600, held: false, entries_max: 2 })
}

fn fresh_page() -> ClaimEvent {
    ClaimEvent::Read { position: at(0), page: None, complete: true, holder: Holder::Alive }
}

fn reply_of(actions: &[ClaimAction]) -> Option<&PressReply> {
    actions.iter().find_map(|action| match action {
        ClaimAction::Reply { reply, .. } => Some(reply),
        _ => None,
    })
}

#[test]
fn a_press_runs_only_after_its_claim_is_confirmed() {
    let mut page = page_home();
    let actions = feed(&mut page, [press(1, KEY), fresh_page()]);
    assert!(matches!(actions.as_slice(), [ClaimAction::Write { expected, .. }] if *expected == at(0)), "{actions:?}");
    let actions = feed(&mut page, [ClaimEvent::Wrote { position: at(4) }]);
    assert_eq!(actions, [ClaimAction::Run { key: KEY, press: PressId(1) }]);
}

#[test]
fn a_second_press_joins_the_first_and_gets_the_same_answer() {
    let mut page = page_home();
    feed(&mut page, [press(1, KEY), fresh_page(), ClaimEvent::Wrote { position: at(4) }]);
    assert_eq!(feed(&mut page, [press(2, KEY)]), []);
    let answer = KeptAnswer { status: 201, headers: Vec::new(), body: Some(b"ok".to_vec()) };
    let actions = feed(&mut page, [ClaimEvent::RunEnded { key: KEY, end: RunEnd::Ran(answer.clone()) }]);
    let told = actions
        .iter()
        .filter(|action| matches!(action, ClaimAction::Reply { reply: PressReply::Ran(said), .. } if *said == answer));
    assert_eq!(told.count(), 2);
    let later = feed(&mut page, [press(3, KEY)]);
    assert_eq!(reply_of(&later), Some(&PressReply::Ran(answer)));
}

#[test]
fn a_key_used_for_another_call_is_refused() {
    let mut page = page_home();
    feed(&mut page, [press(1, KEY), fresh_page()]);
    let other = ClaimEvent::Press { press: PressId(2), key: KEY, call: 8 };
    assert_eq!(reply_of(&feed(&mut page, [other])), Some(&PressReply::Reused));
}

#[test]
fn a_full_page_says_so_and_loses_nothing() {
    let mut page = page_home();
    feed(&mut page, [press(1, KEY), fresh_page(), ClaimEvent::Wrote { position: at(1) }, press(2, KeyDigest([2; 16]))]);
    let actions = feed(&mut page, [press(3, KeyDigest([3; 16]))]);
    assert_eq!(reply_of(&actions), Some(&PressReply::NotRun { code: Code::ClaimPageFull }));
    assert_eq!(page.len(), 2);
}

#[test]
fn a_store_that_is_down_ends_presses_at_once() {
    let mut page = page_home();
    feed(&mut page, [press(1, KEY), fresh_page(), ClaimEvent::Wrote { position: at(1) }]);
    feed(&mut page, [press(2, KeyDigest([2; 16]))]);
    let actions = feed(&mut page, [ClaimEvent::WriteLost]);
    assert_eq!(reply_of(&actions), Some(&PressReply::NotRun { code: Code::ClaimNotKept }));
    let actions = feed(&mut page, [press(3, KeyDigest([2; 16]))]);
    assert_eq!(reply_of(&actions), Some(&PressReply::NotRun { code: Code::ClaimNotKept }));
}

#[test_case(Holder::Alive, false, false; "a live home keeps its page")]
#[test_case(Holder::Silent, false, true; "a silent home loses its page")]
#[test_case(Holder::Over, false, true; "a home that is over loses its page")]
#[test_case(Holder::Silent, true, false; "a silent home with held claims keeps its page")]
#[test_case(Holder::Over, true, true; "a home with held claims that is over loses its page")]
fn a_takeover_asks_what_is_known_of_the_home(holder: Holder, held: bool, taken: bool) {
    let mut page = page_home();
    let entry = PageEntry { key: KEY, call: 7, claimed_s: NOW_S, record: Record::Claimed };
    let found = Page { home: Some(home("b")), term: 3, held, blind_until_s: 0, entries: vec![entry] };
    feed(&mut page, [press(1, KEY)]);
    let actions = feed(&mut page, [ClaimEvent::Read { position: at(9), page: Some(found), complete: true, holder }]);
    let wrote =
        actions.iter().any(|action| matches!(action, ClaimAction::Write { expected, .. } if *expected == at(9)));
    assert_eq!(wrote, taken, "{actions:?}");
    let expected =
        if taken { PressReply::Unknown { code: Code::ClaimUnfinished } } else { PressReply::Moved { home: home("b") } };
    assert_eq!(reply_of(&actions), Some(&expected));
}

#[test]
fn a_page_taken_from_held_claims_trusts_no_unseen_key() {
    let mut page = page_home();
    let found = Page { home: Some(home("b")), term: 3, held: true, blind_until_s: 0, entries: Vec::new() };
    feed(&mut page, [press(1, KEY)]);
    let actions = feed(
        &mut page,
        [ClaimEvent::Read { position: at(9), page: Some(found), complete: true, holder: Holder::Over }],
    );
    assert_eq!(reply_of(&actions), Some(&PressReply::Unknown { code: Code::ClaimUnfinished }));
}

#[test]
fn a_large_answer_is_given_once_and_kept_without_its_body() {
    let mut page = page_home();
    feed(&mut page, [press(1, KEY), fresh_page(), ClaimEvent::Wrote { position: at(4) }]);
    let answer = KeptAnswer { status: 200, headers: Vec::new(), body: Some(vec![0; 5_000]) };
    let actions = feed(&mut page, [ClaimEvent::RunEnded { key: KEY, end: RunEnd::Ran(answer.clone()) }]);
    assert_eq!(reply_of(&actions), Some(&PressReply::Ran(answer)));
    let later = feed(&mut page, [press(2, KEY)]);
    assert!(matches!(reply_of(&later), Some(PressReply::Ran(kept)) if kept.body.is_none()));
}

#[test]
fn pages_share_the_keys_and_nodes_share_the_pages() {
    let mut counts = vec![0u32; usize::from(PAGES)];
    for number in 0..4_000 {
        counts[usize::from(page_of(digest("intake", &number.to_string())))] += 1;
    }
    assert!(counts.iter().all(|&count| (800..1_200).contains(&count)), "{counts:?}");
    let mut firsts = std::collections::BTreeSet::new();
    for page in 0..64 {
        let mut nodes: Vec<Arc<str>> = ["a", "b", "c"].map(Arc::from).to_vec();
        rank("intake", page, &mut nodes, Arc::clone);
        firsts.insert(nodes[0].clone());
        let gone = nodes.remove(0);
        let mut left: Vec<Arc<str>> = ["a", "b", "c"].map(Arc::from).into_iter().filter(|vm| *vm != gone).collect();
        rank("intake", page, &mut left, Arc::clone);
        assert_eq!(left, nodes, "the others keep their order when one goes");
    }
    assert_eq!(firsts.len(), 3);
}
