//! Limit of declines by the share of full owners.

use test_case::test_case;

use crate::placement::FullOwnerShare;

#[test_case(0, 4; "room everywhere")]
#[test_case(10, 3; "one in ten is full")]
#[test_case(50, 1; "half are full")]
#[test_case(100, 0; "all are full")]
fn fuller_services_allow_fewer_declines(full_percent: u64, expected: u8) {
    let mut full_owner_share = FullOwnerShare::default();
    // Full and free owners are evenly mixed, with an attempt each millisecond.
    (1..=500).for_each(|at| full_owner_share.record((at * full_percent) % 100 < full_percent, at * 1_000));
    assert_eq!(full_owner_share.allowed_declines(4, 500_000), expected);
}

#[test]
fn allowed_declines_recover_over_time() {
    let mut full_owner_share = FullOwnerShare::default();
    (0..50).for_each(|at| full_owner_share.record(true, at * 1_000));
    assert_eq!(full_owner_share.allowed_declines(4, 50_000), 0);
    assert_eq!(full_owner_share.allowed_declines(4, 1_050_000), 2);
    assert_eq!(full_owner_share.allowed_declines(4, 4_050_000), 4);
}
