//! Upstreams that crash repeatedly.

use crate::gate::CrashWatch;

const SECOND_US: u64 = 1_000_000;

#[test]
fn three_crashes_within_thirty_seconds_are_recurrent() {
    let mut watch = CrashWatch::default();
    assert_eq!(watch.record_crash(0), 1);
    assert_eq!(watch.record_crash(3 * SECOND_US), 2);
    assert!(!watch.is_recurrent(3 * SECOND_US));
    assert_eq!(watch.record_crash(6 * SECOND_US), 3);
    assert!(watch.is_recurrent(6 * SECOND_US));
    assert!(!watch.is_recurrent(31 * SECOND_US));
}

#[test]
fn one_crash_per_minute_is_not_recurrent() {
    let mut watch = CrashWatch::default();
    assert!((0..20).all(|minute| watch.record_crash(minute * 60 * SECOND_US) == 1));
}
