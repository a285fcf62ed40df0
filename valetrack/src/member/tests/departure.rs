//! Departures of a node's own upstream.

use std::sync::Arc;

use test_case::test_case;

use crate::gate::{Announcement, Departure, UpstreamState};
use crate::member::leased::departure::present_departure;

fn departure(id: &str, born_ms: Option<u64>) -> Departure {
    Departure { vm: "a".into(), id: id.into(), born_ms }
}

/// Returns the state of an upstream that a health check of a new process has found.
pub(super) fn found_by_health_check(id: &str, ready: bool) -> UpstreamState {
    let mut state = UpstreamState::at_node_start(0);
    let answer = Announcement {
        id: id.into(),
        born_ms: None,
        sequence: ready.then_some(0),
        ready,
        slots: None,
        version: None,
        cold_ms: 0,
        is_solicited: true,
    };
    assert!(state.take(&answer, 1));
    state
}

/// Guards against a new process that reports an upstream as serving whose departure an earlier one has recorded.
#[test_case("i-1", Some(5), Some(departure("i-1", Some(5))); "the departure of its start")]
#[test_case("i-2", Some(5), None; "the departure of an earlier start")]
fn recorded_departure_holds_for_ready_upstream(id: &str, born_ms: Option<u64>, expected: Option<Departure>) {
    let recorded = [departure("i-1", born_ms)];
    let vm: Arc<str> = "a".into();
    assert_eq!(present_departure(&found_by_health_check(id, true), &vm, recorded.iter()), expected);
}

#[test]
fn leaving_upstream_departs_without_record() {
    let state = found_by_health_check("i-1", false);
    assert_eq!(present_departure(&state, &"a".into(), [].iter()), Some(departure("i-1", None)));
    assert_eq!(present_departure(&UpstreamState::at_node_start(0), &"a".into(), [].iter()), None);
}
