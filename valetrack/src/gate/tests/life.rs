//! Upstreams that restart under the same id.

use std::sync::Arc;

use proptest::prelude::*;
use test_case::test_case;

use crate::gate::{Announcement, UpstreamPhase, UpstreamState};

/// Interval between two heartbeats.
const HEARTBEAT_US: u64 = 1_500_000;

fn heartbeat(born_ms: Option<u64>, sequence: u64, ready: bool) -> Announcement {
    Announcement {
        id: Arc::from("a"),
        born_ms,
        sequence: Some(sequence),
        ready,
        slots: Some(12),
        version: None,
        cold_ms: 0,
        is_solicited: false,
    }
}

fn deregistration(born_ms: Option<u64>) -> Announcement {
    Announcement { sequence: None, ready: false, slots: None, ..heartbeat(born_ms, 0, false) }
}

#[test]
fn new_start_is_ready_after_earlier_one_left() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat(Some(100), 90, true), 0);
    state.take(&deregistration(Some(100)), 0);
    assert!(state.take(&heartbeat(Some(200), 1, true), 0));
    assert_eq!((state.start, state.phase), (2, UpstreamPhase::Ready));
    assert!(state.take(&heartbeat(Some(200), 2, false), 0), "its sequence numbers start again");
}

#[test]
fn start_after_unannounced_crash_counts_as_new() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat(Some(100), 9, true), 0);
    let cold = Announcement { cold_ms: 3_000, ..heartbeat(Some(200), 1, true) };
    assert!(state.take(&cold, 1_000_000));
    assert_eq!((state.start, state.cold_until_us), (2, 4_000_000));
}

#[test]
fn late_announcements_of_earlier_start_change_nothing() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat(Some(100), 7, true), 0);
    state.take(&heartbeat(Some(200), 1, true), 0);
    let before = state.clone();
    assert!(!state.take(&heartbeat(Some(100), 8, true), 1_000));
    assert_eq!(state, before);
    assert!(!state.take(&heartbeat(Some(100), 8, false), 1_000));
    assert!(!state.take(&deregistration(Some(100)), 1_000));
    let visible = |state: &UpstreamState| {
        let UpstreamState { id, start, phase, slots, version, cold_until_us, .. } = state.clone();
        (id, start, phase, slots, version, cold_until_us)
    };
    assert_eq!(visible(&state), visible(&before));
    assert!(!state.take(&heartbeat(Some(100), 9, true), 60_000_000), "the earlier start has left for good");
}

#[test]
fn restarted_node_keeps_start_with_later_start_time() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat(Some(200), 1, true), 0);
    assert!(!state.take(&heartbeat(Some(100), 8, false), 1_000), "it has no record of the earlier start");
    assert_eq!((state.start, state.phase), (1, UpstreamPhase::Ready));
}

#[test]
fn health_answer_without_start_time_joins_next_start() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat(None, 0, true), 0);
    assert!(!state.take(&heartbeat(Some(200), 1, true), 0), "the announcement changes nothing");
    assert_eq!(state.start, 1);
    assert!(state.take(&heartbeat(Some(300), 1, true), 0));
}

#[test]
fn start_with_clock_set_back_is_accepted_after_silence() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat(Some(900), 5, true), 0);
    state.take(&deregistration(Some(900)), 0);
    assert!(!state.take(&heartbeat(Some(200), 1, true), HEARTBEAT_US));
    assert!(state.take(&heartbeat(Some(200), 2, true), 2 * HEARTBEAT_US));
    assert_eq!(state.phase, UpstreamPhase::Ready);
}

#[test_case(2_600, 4_600_000; "a slightly later report does not move it")]
#[test_case(4_000, 6_000_000; "a new cold period replaces it")]
fn cold_period_keeps_first_reported_end(cold_ms: u64, expected_us: u64) {
    let mut state = UpstreamState::unknown();
    state.take(&Announcement { cold_ms: 4_500, ..heartbeat(Some(1), 1, true) }, 100_000);
    state.take(&Announcement { cold_ms, ..heartbeat(Some(1), 2, true) }, 2_000_000);
    assert_eq!(state.cold_until_us, expected_us);
}

proptest! {
    /// Two starts under one id, with their announcements in any order: once one of the second start has arrived, no
    /// announcement of the first counts, and the latest phase of the second start applies.
    #[test]
    fn second_start_prevails_in_any_order(
        order in Just((0..12usize).collect::<Vec<_>>()).prop_shuffle(),
        first_leaves in any::<bool>(),
        second_leaves in any::<bool>(),
    ) {
        let announcements = |born_ms: u64, leaves: bool| {
            (1..=6u64).map(move |sequence| heartbeat(Some(born_ms), sequence, !(leaves && sequence >= 5)))
        };
        let received: Vec<Announcement> =
            announcements(100, first_leaves).chain(announcements(200, second_leaves)).collect();
        let mut state = UpstreamState::unknown();
        let mut second_received = false;
        let mut left = false;
        for at in order {
            state.take(&received[at], 0);
            second_received |= at >= 6;
            left |= at >= 6 && !received[at].ready;
            if second_received {
                let phase = if left { UpstreamPhase::Leaving } else { UpstreamPhase::Ready };
                prop_assert_eq!(state.phase, phase);
            }
        }
        // Either both starts were observed, or only the later one.
        prop_assert!(state.start <= 2);
    }
}
