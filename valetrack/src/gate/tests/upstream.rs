//! What announcements make of the upstream's state.

use std::sync::Arc;

use crate::gate::{Announcement, UpstreamPhase, UpstreamState};

fn heartbeat(id: &str, sequence: u64, ready: bool) -> Announcement {
    Announcement {
        id: Arc::from(id),
        born_ms: None,
        sequence: Some(sequence),
        ready,
        slots: Some(12),
        version: None,
        cold_ms: 0,
    }
}

fn deregistration(id: &str) -> Announcement {
    Announcement {
        id: Arc::from(id),
        born_ms: None,
        sequence: None,
        ready: false,
        slots: None,
        version: None,
        cold_ms: 0,
    }
}

#[test]
fn a_late_heartbeat_does_not_undo_leaving() {
    let mut state = UpstreamState::unknown();
    assert!(state.take(&heartbeat("a", 1, true), 0));
    assert!(state.take(&heartbeat("a", 3, false), 0));
    assert!(!state.take(&heartbeat("a", 2, true), 0));
    assert!(!state.take(&heartbeat("a", 4, true), 0), "leaving is for good");
    assert_eq!(state.phase, UpstreamPhase::Leaving);
}

#[test]
fn an_upstream_that_only_deregisters_leaves_too() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat("a", 1, true), 0);
    assert!(state.take(&deregistration("a"), 0));
    assert_eq!((state.phase, state.slots), (UpstreamPhase::Leaving, Some(12)));
}

#[test]
fn another_start_takes_work_and_the_earlier_one_is_not_heard_any_more() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat("a", 9, false), 0);
    assert!(state.take(&heartbeat("b", 1, true), 0));
    assert!(!state.take(&deregistration("a"), 0));
    assert!(!state.take(&heartbeat("a", 10, true), 0));
    assert_eq!((state.id.as_deref(), state.phase), (Some("b"), UpstreamPhase::Ready));
}

#[test]
fn a_cold_start_ends_when_it_was_first_said_to() {
    let mut state = UpstreamState::unknown();
    state.take(&Announcement { cold_ms: 3_000, ..heartbeat("a", 1, true) }, 1_000_000);
    state.take(&Announcement { cold_ms: 1_500, ..heartbeat("a", 2, true) }, 2_600_000);
    assert_eq!(state.cold_until_us, 4_000_000);
}

#[test]
fn a_heartbeat_held_up_over_several_starts_is_late() {
    let mut state = UpstreamState::unknown();
    for id in ["a", "b", "c"] {
        state.take(&heartbeat(id, 1, true), 0);
    }
    assert!(!state.take(&heartbeat("a", 2, true), 100_000));
    assert!(!state.take(&deregistration("b"), 100_000));
    assert_eq!((state.id.as_deref(), state.phase), (Some("c"), UpstreamPhase::Ready));
}

#[test]
fn a_late_word_of_leaving_by_a_start_that_was_never_heard_changes_nothing() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat("b", 1, true), 0);
    assert!(!state.take(&deregistration("a"), 500_000));
    assert_eq!((state.id.as_deref(), state.phase), (Some("b"), UpstreamPhase::Ready));
}

#[test]
fn the_living_start_is_believed_again_after_a_late_heartbeat_of_an_earlier_one() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat("b", 7, true), 0);
    assert!(state.take(&heartbeat("a", 90, true), 200_000), "nothing tells that it is the earlier one");
    assert!(!state.take(&heartbeat("b", 8, true), 1_500_000));
    assert!(state.take(&heartbeat("b", 9, true), 3_000_000));
    assert_eq!(state.id.as_deref(), Some("b"));
}
