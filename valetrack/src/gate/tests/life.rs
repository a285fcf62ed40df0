//! Upstreams that start again under the id that they had.

use std::sync::Arc;

use proptest::prelude::*;
use test_case::test_case;

use crate::gate::{Announcement, UpstreamPhase, UpstreamState};

/// Pause between two heartbeats, in microseconds.
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
    }
}

fn deregistration(born_ms: Option<u64>) -> Announcement {
    Announcement { id: Arc::from("a"), born_ms, sequence: None, ready: false, slots: None, version: None, cold_ms: 0 }
}

#[test]
fn a_new_life_takes_work_whatever_the_one_before_said() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat(Some(100), 90, true), 0);
    state.take(&deregistration(Some(100)), 0);
    assert!(state.take(&heartbeat(Some(200), 1, true), 0));
    assert_eq!((state.start, state.phase), (2, UpstreamPhase::Ready));
    assert!(state.take(&heartbeat(Some(200), 2, false), 0), "its count starts anew");
}

#[test]
fn a_crash_without_a_word_is_a_new_life_too() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat(Some(100), 9, true), 0);
    let cold = Announcement { cold_ms: 3_000, ..heartbeat(Some(200), 1, true) };
    assert!(state.take(&cold, 1_000_000));
    assert_eq!((state.start, state.cold_until_us), (2, 4_000_000));
}

#[test]
fn late_words_of_the_life_before_change_nothing() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat(Some(100), 7, true), 0);
    state.take(&heartbeat(Some(200), 1, true), 0);
    let before = state.clone();
    assert!(!state.take(&heartbeat(Some(100), 8, false), 1_000));
    assert!(!state.take(&deregistration(Some(100)), 1_000));
    assert_eq!(state, before);
}

#[test]
fn a_node_that_has_started_again_takes_the_later_birth_for_the_present_one() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat(Some(200), 1, true), 0);
    assert!(!state.take(&heartbeat(Some(100), 8, false), 1_000), "it never heard of the life before");
    assert_eq!((state.start, state.phase), (1, UpstreamPhase::Ready));
}

#[test]
fn a_health_answer_names_no_birth_and_is_of_the_life_that_is_heard_next() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat(None, 0, true), 0);
    assert!(!state.take(&heartbeat(Some(200), 1, true), 0), "nothing is new");
    assert_eq!(state.start, 1);
    assert!(state.take(&heartbeat(Some(300), 1, true), 0));
}

#[test]
fn after_a_clock_that_was_set_back_the_living_one_is_heard_once_the_other_is_silent() {
    let mut state = UpstreamState::unknown();
    state.take(&heartbeat(Some(900), 5, true), 0);
    state.take(&deregistration(Some(900)), 0);
    assert!(!state.take(&heartbeat(Some(200), 1, true), HEARTBEAT_US));
    assert!(state.take(&heartbeat(Some(200), 2, true), 2 * HEARTBEAT_US));
    assert_eq!(state.phase, UpstreamPhase::Ready);
}

#[test_case(2_600, 4_600_000; "told again a little later it stays")]
#[test_case(4_000, 6_000_000; "a new cold time counts from then on")]
fn a_cold_time_ends_as_first_told_unless_another_one_begins(cold_ms: u64, expected_us: u64) {
    let mut state = UpstreamState::unknown();
    state.take(&Announcement { cold_ms: 4_500, ..heartbeat(Some(1), 1, true) }, 100_000);
    state.take(&Announcement { cold_ms, ..heartbeat(Some(1), 2, true) }, 2_000_000);
    assert_eq!(state.cold_until_us, expected_us);
}

proptest! {
    /// Two lives of one id, the words of each in any order and mixed with the other's: once the second
    /// one has been heard, nothing that the first one said counts, and what it said last itself holds.
    #[test]
    fn whatever_the_order_the_second_life_holds(
        order in Just((0..12usize).collect::<Vec<_>>()).prop_shuffle(),
        first_leaves in any::<bool>(),
        second_leaves in any::<bool>(),
    ) {
        let words = |born_ms: u64, leaves: bool| {
            (1..=6u64).map(move |sequence| heartbeat(Some(born_ms), sequence, !(leaves && sequence >= 5)))
        };
        let said: Vec<Announcement> = words(100, first_leaves).chain(words(200, second_leaves)).collect();
        let mut state = UpstreamState::unknown();
        let mut second_heard = false;
        let mut left = false;
        for at in order {
            state.take(&said[at], 0);
            second_heard |= at >= 6;
            left |= at >= 6 && !said[at].ready;
            if second_heard {
                let phase = if left { UpstreamPhase::Leaving } else { UpstreamPhase::Ready };
                prop_assert_eq!(state.phase, phase);
            }
        }
        // Both were heard or only the later one.
        prop_assert!(state.start <= 2);
    }
}
