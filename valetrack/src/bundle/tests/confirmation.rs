//! Tests of confirmations: which one counts, and how old it is.

use std::sync::Arc;
use std::time::Duration;

use test_case::test_case;

use crate::bundle::{Confirmation, ConfirmedBy};

#[test]
fn later_confirmation_counts_whatever_the_order_of_arrival() {
    let mut confirmation = Confirmation::default();
    assert_eq!(confirmation.age(1_000), None);

    confirmation.confirm(5_000, ConfirmedBy::Store);
    confirmation.confirm(3_000, ConfirmedBy::Relay(Arc::from("vm-1")));

    assert_eq!(confirmation.age(9_000), Some(Duration::from_micros(4_000)));
    assert_eq!(confirmation.confirmed_by().map(ToString::to_string).as_deref(), Some("store"));
}

#[test]
fn published_number_never_decreases() {
    let mut confirmation = Confirmation::default();
    confirmation.record_published(7);
    confirmation.record_published(5);
    assert_eq!(confirmation.published(), 7);
}

const AGE_MAX: Duration = Duration::from_millis(3);

#[test_case(None, 4, 0, false; "without a confirmation")]
#[test_case(Some(5_000), 4, 8_000, true; "with a confirmation of the greatest age")]
#[test_case(Some(5_000), 4, 8_001, false; "with a confirmation that has expired")]
#[test_case(Some(5_000), 5, 5_000, false; "with a record of a later publication")]
fn bundle_is_conclusive(confirmed_us: Option<u64>, published: u64, now_us: u64, expected: bool) {
    let mut confirmation = Confirmation::default();
    confirmation.record_published(published);
    if let Some(confirmed_us) = confirmed_us {
        confirmation.confirm(confirmed_us, ConfirmedBy::Store);
    }
    assert_eq!(confirmation.is_conclusive(4, Some(AGE_MAX), now_us), expected);
}

#[test]
fn bundle_without_age_limit_is_conclusive_until_later_one_is_published() {
    let mut confirmation = Confirmation::default();
    confirmation.record_published(4);
    assert!(confirmation.is_conclusive(4, None, 1_000_000));
    confirmation.record_published(5);
    assert!(!confirmation.is_conclusive(4, None, 1_000_000));
}
