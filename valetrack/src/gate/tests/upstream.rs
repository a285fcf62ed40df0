//! Effect of announcements on the upstream's state.

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
        is_solicited: false,
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
        is_solicited: false,
    }
}

#[test]
fn late_heartbeat_does_not_undo_leaving() {
    let mut state = UpstreamState::unknown();
    assert!(state.take(&heartbeat("a", 1, true), 0));
    assert!(state.take(&heartbeat("a", 3, false), 0));
    assert!(!state.take(&heartbeat("a", 2, true), 0));
    assert!(!state.take(&heartbeat("a", 4, true), 0), "leaving is final");
    assert_eq!(state.phase, UpstreamPhase::Leaving);
}

#[test]
fn deregistration_alone_means_leaving() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat("a", 1, true), 0);
    assert!(state.take(&deregistration("a"), 0));
    assert_eq!((state.phase, state.slots), (UpstreamPhase::Leaving, Some(12)));
}

#[test]
fn new_start_is_ready_and_earlier_one_is_ignored() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat("a", 9, false), 0);
    assert!(state.take(&heartbeat("b", 1, true), 0));
    assert!(!state.take(&deregistration("a"), 0));
    assert!(!state.take(&heartbeat("a", 10, true), 0));
    assert_eq!((state.id.as_deref(), state.phase), (Some("b"), UpstreamPhase::Ready));
}

#[test]
fn cold_period_ends_at_first_reported_time() {
    let mut state = UpstreamState::unknown();
    state.take(&Announcement { cold_ms: 3_000, ..heartbeat("a", 1, true) }, 1_000_000);
    state.take(&Announcement { cold_ms: 1_500, ..heartbeat("a", 2, true) }, 2_600_000);
    assert_eq!(state.cold_until_us, 4_000_000);
}

#[test]
fn heartbeat_delayed_over_several_starts_is_ignored() {
    let mut state = UpstreamState::unknown();
    for id in ["a", "b", "c"] {
        state.take(&heartbeat(id, 1, true), 0);
    }
    assert!(!state.take(&heartbeat("a", 2, true), 100_000));
    assert!(!state.take(&deregistration("b"), 100_000));
    assert_eq!((state.id.as_deref(), state.phase), (Some("c"), UpstreamPhase::Ready));
}

#[test]
fn late_deregistration_of_unseen_start_changes_nothing() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat("b", 1, true), 0);
    assert!(!state.take(&deregistration("a"), 500_000));
    assert_eq!((state.id.as_deref(), state.phase), (Some("b"), UpstreamPhase::Ready));
}

#[test]
fn live_start_is_accepted_again_after_late_earlier_heartbeat() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat("b", 7, true), 0);
    assert!(state.take(&heartbeat("a", 90, true), 200_000), "nothing shows that this is the earlier start");
    assert!(!state.take(&heartbeat("b", 8, true), 1_500_000));
    assert!(state.take(&heartbeat("b", 9, true), 3_000_000));
    assert_eq!(state.id.as_deref(), Some("b"));
}
