//! Tests of confirmations: which one counts, and how old it is.

use std::sync::Arc;
use std::time::Duration;

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
