//! How many owners are asked where a service is full.

use test_case::test_case;

use crate::placement::Crowding;

#[test_case(0, 4; "room everywhere")]
#[test_case(10, 3; "one in ten is full")]
#[test_case(50, 1; "half are full")]
#[test_case(100, 0; "all are full")]
fn the_fuller_a_service_the_fewer_owners_are_asked(full_percent: u64, expected: u8) {
    let mut crowding = Crowding::default();
    // Evenly mixed, a millisecond apart.
    (1..=500).for_each(|at| crowding.record((at * full_percent) % 100 < full_percent, at * 1_000));
    assert_eq!(crowding.allowed_declines(4, 500_000), expected);
}

#[test]
fn a_service_that_was_full_is_asked_again_after_a_while() {
    let mut crowding = Crowding::default();
    (0..50).for_each(|at| crowding.record(true, at * 1_000));
    assert_eq!(crowding.allowed_declines(4, 50_000), 0);
    assert_eq!(crowding.allowed_declines(4, 1_050_000), 2);
    assert_eq!(crowding.allowed_declines(4, 4_050_000), 4);
}
