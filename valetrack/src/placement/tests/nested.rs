//! Calls that runs make, as the entry beside their upstream tells them.

use std::sync::Arc;

use crate::placement::NestedCalls;

fn id(text: &str) -> Arc<str> {
    Arc::from(text)
}

#[test]
fn a_call_of_a_run_in_progress_is_known_and_carries_its_chance() {
    let mut nested = NestedCalls::default();
    nested.run_began(&id("a"), 0, 0);
    nested.run_began(&id("b"), 400, 0);
    assert_eq!((nested.repeat_of("a"), nested.repeat_of("b"), nested.repeat_of("c")), (Some(0), Some(400), None));
    nested.run_ended(&id("b"), 400);
    assert_eq!(nested.repeat_of("b"), None, "a run that has ended makes no more calls");
}

#[test]
fn two_runs_of_one_call_end_one_by_one() {
    let mut nested = NestedCalls::default();
    nested.run_began(&id("a"), 0, 0);
    nested.run_began(&id("a"), 1_000, 0);
    assert_eq!(nested.repeat_of("a"), Some(1_000), "either may have made it");
    nested.run_ended(&id("a"), 1_000);
    assert_eq!(nested.repeat_of("a"), Some(0));
}
