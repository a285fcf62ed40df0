//! Tests of the proof that the store was not rolled back, and of the recovery of a page's gap.

use std::net::SocketAddr;
use std::sync::Arc;

use test_case::test_case;

use super::events::{KEY, deliver, home, keyed_call};
use crate::claim::continuity::{Attestation, Continuity, HistoryOutcome, StoreAnswer};
use crate::claim::recovery::{GapStatus, OpenGap, Recovery, VmIncarnations};
use crate::claim::{
    ClaimAction, ClaimEvent, ClaimReport, ClaimRule, Holder, KeyedCallReply, Page, PageHome, PeerReport,
};
use crate::code::Code;
use crate::member::{Member, Members, Phase};
use crate::store::{Era, HistoryName, Position};

const SILENT_US: u64 = 2_500_000;
/// Time at which a gap opens.
const OPENED_US: u64 = 100_000_000;

fn at(era: u64, revision: u64) -> Position {
    Position::new(Era::new(era), revision)
}

fn answer_at(at: Position, sent_us: u64) -> StoreAnswer {
    StoreAnswer { at, history: Some(HistoryName(1)), sent_us }
}

fn attestation(since_revision: u64, latest_revision: u64, verified_ago_us: u64) -> Attestation {
    Attestation { since_revision, latest_revision, verified_ago_us }
}

/// Returns the history after a first answer at revision 50, which arrived at 1,000 us.
fn connected() -> Continuity {
    let mut continuity = Continuity::default();
    assert_eq!(continuity.record_answer(answer_at(at(1, 50), 900), 1_000), HistoryOutcome::Unbroken);
    continuity
}

#[test]
fn connection_covers_writes_made_while_it_was_open() {
    let mut continuity = connected();
    assert_eq!(continuity.record_answer(answer_at(at(1, 70), 2_000), 2_100), HistoryOutcome::Unbroken);
    assert!(continuity.covers(at(1, 51)) && !continuity.covers(at(1, 50)) && !continuity.covers(at(2, 70)));
    assert_eq!(continuity.record_answer(answer_at(at(2, 71), 3_000), 3_100), HistoryOutcome::Reconnected);
    assert!(!continuity.covers(at(2, 71)) && !continuity.is_first());
}

#[test]
fn lower_revision_or_other_name_proves_rollback() {
    let mut continuity = connected();
    assert_eq!(continuity.record_answer(answer_at(at(1, 49), 2_000), 2_100), HistoryOutcome::RolledBack);
    let renamed = StoreAnswer { history: Some(HistoryName(2)), ..answer_at(at(1, 60), 2_000) };
    assert_eq!(continuity.record_answer(renamed, 2_100), HistoryOutcome::RolledBack);
}

#[test]
fn attestation_of_overlapping_connection_extends_history_back() {
    let mut continuity = connected();
    assert!(
        !continuity.apply_attestation(attestation(10, 50, 600), 1_500),
        "the other connection was last verified before this one began"
    );
    assert!(continuity.apply_attestation(attestation(10, 80, 400), 1_500));
    assert!(continuity.covers(at(1, 11)));
    assert_eq!(
        continuity.record_answer(answer_at(at(1, 60), 2_000), 2_100),
        HistoryOutcome::RolledBack,
        "the attestation includes revision 80"
    );
}

fn member(vm: &str, incarnation: u64, phase: Phase) -> Member {
    let link_addr = SocketAddr::from(([127, 0, 0, 1], 1));
    Member {
        vm: Arc::from(vm),
        incarnation,
        phase,
        domain: Arc::from("d"),
        service: Arc::from("s"),
        link_addr,
        version: None,
        is_relay: false,
        departure: None,
    }
}

struct Fixture {
    members: Members,
    incarnations: VmIncarnations,
    continuity: Continuity,
}

impl Fixture {
    /// Returns node a, which assesses the gap, and node b, after both have lost their connection to the store.
    fn new() -> Self {
        let mut continuity = connected();
        continuity.record_answer(answer_at(at(2, 60), OPENED_US - 10), OPENED_US);
        let mut fixture = Self { members: Members::default(), incarnations: VmIncarnations::default(), continuity };
        fixture.add_member("b", 1, Phase::Serving, OPENED_US);
        fixture
    }

    fn add_member(&mut self, vm: &str, incarnation: u64, phase: Phase, now_us: u64) {
        let member = member(vm, incarnation, phase);
        self.members.merge(&member);
        self.members.heard(&member.vm, now_us);
        self.incarnations.update(self.members.iter(), now_us);
    }

    fn report(&mut self, vm: &str, asked_us: u64, remembers: u8, is_first_contact: bool) {
        let news = ClaimReport { remembers, is_first_contact, ..ClaimReport::default() };
        let peer = PeerReport { incarnation: 1, asked_us, news };
        self.members.claims_mut().reply(&Arc::from(vm), peer, asked_us);
    }

    fn assess(&self, gap: &OpenGap, now_us: u64) -> GapStatus {
        let Self { members, incarnations, continuity } = self;
        let recovery = Recovery { me: "a", service: "s", members, incarnations, continuity, silent_us: SILENT_US };
        recovery.assess(0, gap, now_us)
    }
}

fn gap_of_home() -> OpenGap {
    OpenGap {
        era: Era::new(2),
        opened_us: OPENED_US,
        found: Some(at(2, 40)),
        was_home: true,
        confirmed_us: OPENED_US - 1_000,
        has_wait_ended: false,
    }
}

#[test]
fn home_waits_until_every_other_node_has_reported() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.assess(&gap_of_home(), OPENED_US + 10), GapStatus::Waiting);
    fixture.report("b", OPENED_US - 1, 0, false);
    assert_eq!(fixture.assess(&gap_of_home(), OPENED_US + 10), GapStatus::Waiting, "the report is older than the gap");
    fixture.report("b", OPENED_US + 1, 1, false);
    assert_eq!(
        fixture.assess(&gap_of_home(), OPENED_US + 10),
        GapStatus::Waiting,
        "node b has recorded keys of the page"
    );
    fixture.report("b", OPENED_US + 2, 2, false);
    assert_eq!(fixture.assess(&gap_of_home(), OPENED_US + 10), GapStatus::AllAnswered);
}

#[test]
fn silent_or_dead_node_makes_gap_unreachable() {
    let mut fixture = Fixture::new();
    let silent = fixture.assess(&gap_of_home(), OPENED_US + SILENT_US + 1);
    assert_eq!(silent, GapStatus::Unreachable(Some(Arc::from("b"))));
    fixture.add_member("b", 2, Phase::Serving, OPENED_US + 5);
    fixture.report("b", OPENED_US + 6, 0, false);
    assert_eq!(fixture.assess(&gap_of_home(), OPENED_US + 10), GapStatus::Unreachable(Some(Arc::from("b"))));
    let confirmed_later = OpenGap { confirmed_us: OPENED_US + 6, ..gap_of_home() };
    assert_eq!(
        fixture.assess(&confirmed_later, OPENED_US + 10),
        GapStatus::Waiting,
        "the earlier incarnation of b ended before the confirmation"
    );
}

#[test]
fn newcomer_closes_gap_only_by_unbroken_history() {
    let mut fixture = Fixture::new();
    fixture.report("b", OPENED_US + 1, 0, true);
    let gap = OpenGap { was_home: false, ..gap_of_home() };
    assert_eq!(fixture.assess(&gap, OPENED_US + 10), GapStatus::Waiting);
    assert_eq!(fixture.assess(&gap, OPENED_US + 2_000_000), GapStatus::Unreachable(None));
    fixture.continuity.apply_attestation(attestation(30, 60, 0), OPENED_US + 1);
    assert_eq!(fixture.assess(&gap, OPENED_US + 10), GapStatus::Unbroken);
}

#[test]
fn missing_page_is_new_while_no_node_has_reconnected() {
    let mut fixture = Fixture::new();
    let gap = OpenGap { was_home: false, found: Some(at(1, 0)), ..gap_of_home() };
    fixture.report("b", OPENED_US + 1, 0, true);
    assert_eq!(fixture.assess(&gap, OPENED_US + 10), GapStatus::Waiting, "this node has reconnected itself");
    fixture.continuity = connected();
    assert_eq!(fixture.assess(&gap, OPENED_US + 10), GapStatus::New);
    fixture.report("b", OPENED_US + 2, 0, false);
    assert_eq!(fixture.assess(&gap, OPENED_US + 10), GapStatus::Waiting, "node b has reconnected");
}

/// Plays the order of events in which a key can run twice: it ran, its answer was in the store and at its home, the store
/// was restored from an older copy, and no node of before is left. Only the copy decides then. If it has the page, the
/// key's outcome is unknown. If it is older than the page, nothing shows that the page existed (docs/OPERATIONS.md), and
/// the key runs again. A test that kills all nodes therefore takes its copy after the pages were written.
#[test_case(Some(Page { home: Some(home("c")), term: 1, held: false, blind_until_s: 0, entries: Vec::new() }), 40, false; "copy with the page")]
#[test_case(None, 0, true; "copy from before the page")]
fn key_runs_again_only_on_copy_without_page(page: Option<Page>, revision: u64, runs_again: bool) {
    let mut fixture = Fixture { continuity: connected(), ..Fixture::new() };
    fixture.report("b", OPENED_US + 1, 0, true);
    let rule = ClaimRule { lifetime_s: 600, held: false, entries_max: 10 };
    let mut newcomer = PageHome::new(home("a"), rule);
    let found = at(1, revision);
    let complete = fixture.continuity.covers(found);
    let read = ClaimEvent::Read { position: found, page, complete, holder: Holder::Dead };
    deliver(&mut newcomer, [keyed_call(1, KEY), read]);
    assert!(newcomer.has_gap());
    let gap = OpenGap { era: Era::new(1), found: Some(found), was_home: false, ..gap_of_home() };
    let ended = match fixture.assess(&gap, OPENED_US + 2_000_000) {
        GapStatus::New => ClaimEvent::Complete { era: Era::new(1) },
        GapStatus::Unreachable(None) => ClaimEvent::WaitEnded,
        status => panic!("{status:?}"),
    };
    let mut actions = deliver(&mut newcomer, [ended]);
    actions.extend(deliver(&mut newcomer, [ClaimEvent::Wrote { position: at(1, 51) }]));
    let runs = actions.iter().any(|action| matches!(action, ClaimAction::Run { .. }));
    let unknown = KeyedCallReply::Unknown { code: Code::ClaimHistoryUnknown };
    let is_unknown =
        actions.iter().any(|action| matches!(action, ClaimAction::Reply { reply, .. } if *reply == unknown));
    assert_eq!((runs, is_unknown), (runs_again, !runs_again), "{actions:?}");
}
