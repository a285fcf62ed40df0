//! What proves that the store has not come back from a copy, and who may know what a page lacks.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::claim::continuity::{Answered, Attestation, Continuity, Course};
use crate::claim::recovery::{Finding, Lives, OpenGap, Recovery};
use crate::claim::{ClaimNews, PeerNews};
use crate::member::{Member, Members, Phase};
use crate::store::{Era, HistoryName, Position};

const SILENT_US: u64 = 2_500_000;
/// A moment at which a gap opens, in microseconds.
const OPENED_US: u64 = 100_000_000;

fn at(era: u64, revision: u64) -> Position {
    Position::new(Era::new(era), revision)
}

fn answered(at: Position, sent_us: u64) -> Answered {
    Answered { at, history: Some(HistoryName(1)), sent_us }
}

fn told(since_revision: u64, latest_revision: u64, verified_ago_us: u64) -> Attestation {
    Attestation { since_revision, latest_revision, verified_ago_us }
}

/// Returns what a node knows that was first answered at revision 50, at 1,000 us.
fn connected() -> Continuity {
    let mut continuity = Continuity::default();
    assert_eq!(continuity.answered(answered(at(1, 50), 900), 1_000), Course::Unbroken);
    continuity
}

#[test]
fn a_connection_proves_what_was_written_while_it_lasted() {
    let mut continuity = connected();
    assert_eq!(continuity.answered(answered(at(1, 70), 2_000), 2_100), Course::Unbroken);
    assert!(continuity.covers(at(1, 51)) && !continuity.covers(at(1, 50)) && !continuity.covers(at(2, 70)));
    assert_eq!(continuity.answered(answered(at(2, 71), 3_000), 3_100), Course::Reconnected);
    assert!(!continuity.covers(at(2, 71)) && !continuity.is_first());
}

#[test]
fn a_lower_revision_or_another_name_shows_a_return_though_the_connection_lasts() {
    let mut continuity = connected();
    assert_eq!(continuity.answered(answered(at(1, 49), 2_000), 2_100), Course::Returned);
    let renamed = Answered { history: Some(HistoryName(2)), ..answered(at(1, 60), 2_000) };
    assert_eq!(continuity.answered(renamed, 2_100), Course::Returned);
}

#[test]
fn others_prove_what_was_before_if_their_connection_overlaps() {
    let mut continuity = connected();
    assert!(!continuity.attested(told(10, 50, 600), 1_500), "it was last seen before the own connection began");
    assert!(continuity.attested(told(10, 80, 400), 1_500));
    assert!(continuity.covers(at(1, 11)));
    assert_eq!(continuity.answered(answered(at(1, 60), 2_000), 2_100), Course::Returned, "others have seen 80");
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
    }
}

struct Scene {
    members: Members,
    lives: Lives,
    continuity: Continuity,
}

impl Scene {
    /// Returns two nodes, a that judges and b, after both have lost touch with the store.
    fn new() -> Self {
        let mut continuity = connected();
        continuity.answered(answered(at(2, 60), OPENED_US - 10), OPENED_US);
        let mut scene = Self { members: Members::default(), lives: Lives::default(), continuity };
        scene.hear("b", 1, Phase::Serving, OPENED_US);
        scene
    }

    fn hear(&mut self, vm: &str, incarnation: u64, phase: Phase, now_us: u64) {
        let member = member(vm, incarnation, phase);
        self.members.merge(&member);
        self.members.heard(&member.vm, now_us);
        self.lives.look(self.members.iter(), now_us);
    }

    fn say(&mut self, vm: &str, asked_us: u64, remembers: u8, is_first_contact: bool) {
        let news = ClaimNews { remembers, is_first_contact, ..ClaimNews::default() };
        let heard = PeerNews { incarnation: 1, asked_us, news };
        self.members.claims_mut().reply(&Arc::from(vm), heard, asked_us);
    }

    fn assess(&self, gap: &OpenGap, now_us: u64) -> Finding {
        let Self { members, lives, continuity } = self;
        let recovery = Recovery { me: "a", service: "s", members, lives, continuity, silent_us: SILENT_US };
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
        is_blind: false,
    }
}

#[test]
fn a_home_waits_until_every_other_node_has_spoken() {
    let mut scene = Scene::new();
    assert_eq!(scene.assess(&gap_of_home(), OPENED_US + 10), Finding::Waiting);
    scene.say("b", OPENED_US - 1, 0, false);
    assert_eq!(scene.assess(&gap_of_home(), OPENED_US + 10), Finding::Waiting, "it spoke before the gap opened");
    scene.say("b", OPENED_US + 1, 1, false);
    assert_eq!(scene.assess(&gap_of_home(), OPENED_US + 10), Finding::Waiting, "it knows something of the page");
    scene.say("b", OPENED_US + 2, 2, false);
    assert_eq!(scene.assess(&gap_of_home(), OPENED_US + 10), Finding::AllAnswered);
}

#[test]
fn whoever_is_silent_or_over_cannot_speak() {
    let mut scene = Scene::new();
    let silent = scene.assess(&gap_of_home(), OPENED_US + SILENT_US + 1);
    assert_eq!(silent, Finding::Unreachable(Some(Arc::from("b"))));
    scene.hear("b", 2, Phase::Serving, OPENED_US + 5);
    scene.say("b", OPENED_US + 6, 0, false);
    assert_eq!(scene.assess(&gap_of_home(), OPENED_US + 10), Finding::Unreachable(Some(Arc::from("b"))));
    let confirmed_later = OpenGap { confirmed_us: OPENED_US + 6, ..gap_of_home() };
    assert_eq!(scene.assess(&confirmed_later, OPENED_US + 10), Finding::Waiting, "its earlier life ended before that");
}

#[test]
fn a_node_that_was_not_the_home_trusts_the_unbroken_history_alone() {
    let mut scene = Scene::new();
    scene.say("b", OPENED_US + 1, 0, true);
    let gap = OpenGap { was_home: false, ..gap_of_home() };
    assert_eq!(scene.assess(&gap, OPENED_US + 10), Finding::Waiting);
    assert_eq!(scene.assess(&gap, OPENED_US + 2_000_000), Finding::Unreachable(None));
    scene.continuity.attested(told(30, 60, 0), OPENED_US + 1);
    assert_eq!(scene.assess(&gap, OPENED_US + 10), Finding::Unbroken);
}

#[test]
fn a_page_that_never_was_is_new_while_no_node_has_lost_touch() {
    let mut scene = Scene::new();
    let gap = OpenGap { was_home: false, found: Some(at(1, 0)), ..gap_of_home() };
    scene.say("b", OPENED_US + 1, 0, true);
    assert_eq!(scene.assess(&gap, OPENED_US + 10), Finding::Waiting, "this node has lost touch itself");
    scene.continuity = connected();
    assert_eq!(scene.assess(&gap, OPENED_US + 10), Finding::New);
    scene.say("b", OPENED_US + 2, 0, false);
    assert_eq!(scene.assess(&gap, OPENED_US + 10), Finding::Waiting, "the other one has");
}
