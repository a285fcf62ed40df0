//! Measurement of a link to another region.

use std::sync::Arc;

use test_case::test_case;

use crate::placement::{CallTraffic, LinkChange, LinkView, RegionLink};

const ROUND_TRIP_US: u64 = 62_000;
const SECOND_US: u64 = 1_000_000;
const SMALL: CallTraffic = CallTraffic { request_bytes: 500, answer_bytes: 2_000, rank: 0 };
const UPLOAD: CallTraffic = CallTraffic { request_bytes: 60_000, answer_bytes: 300, rank: 1 };

/// Returns a link that was measured ten times, once every 100 ms, and the time afterwards.
fn measured(round_trip_us: u64) -> (RegionLink, u64) {
    let mut link = RegionLink::default();
    (0..10).for_each(|at| link.record_round_trip(round_trip_us, at * 100_000));
    (link, SECOND_US)
}

/// Returns a measured link whose round trips then took `queue_us` longer for 300 ms, and the time afterwards.
fn queued(queue_us: u64) -> (RegionLink, u64) {
    let (mut link, now_us) = measured(ROUND_TRIP_US);
    (0..30).for_each(|at| link.record_round_trip(ROUND_TRIP_US + queue_us, now_us + at * 10_000));
    (link, now_us + 300_000)
}

#[test]
fn unmeasured_link_has_a_cautious_round_trip() {
    let view = RegionLink::default().view(0);
    assert_eq!(view.round_trip_us, 100_000);
    assert!(view.admits(&SMALL));
}

/// Nodes that are short of processor time reply late at any load of the link.
#[test]
fn some_late_replies_do_not_fill_link() {
    let (mut link, now_us) = measured(ROUND_TRIP_US);
    for at in 0..40 {
        let pause_us = if at % 3 == 0 { 100_000 } else { 0 };
        link.record_round_trip(ROUND_TRIP_US + pause_us, now_us + at * 10_000);
    }
    let view = link.view(now_us + 400_000);
    assert!(view.load < 0.25, "{view:?}");
}

#[test_case(0, 40_000, true; "a short queue, highest rank")]
#[test_case(2, 40_000, true; "a short queue, third rank")]
#[test_case(2, 60_000, false; "a longer queue, third rank")]
#[test_case(0, 60_000, true; "a longer queue, highest rank")]
#[test_case(0, 120_000, false; "a full link, highest rank")]
fn growing_round_trips_close_the_link_by_rank(rank: u8, queue_us: u64, expected: bool) {
    let (link, now_us) = queued(queue_us);
    let view = link.view(now_us);
    assert_eq!(view.admits(&CallTraffic { rank, ..SMALL }), expected, "{view:?}");
}

/// Guards against a link that stays closed because no call crosses that could measure it.
#[test]
fn full_link_is_tried_again() {
    let (link, now_us) = queued(3 * ROUND_TRIP_US);
    assert!(!link.view(now_us).admits(&SMALL));
    assert!(link.view(now_us + 2_700_000).admits(&SMALL));
}

#[test]
fn nodes_share_the_configured_capacity() {
    let (mut link, now_us) = measured(ROUND_TRIP_US);
    link.configure(60.0, 80, now_us);
    // 60 Mbit/s are 7.5 MB/s, of which this node has 93,750 bytes a second, and two seconds of it at once.
    let LinkView { left_bytes, bytes_per_s, .. } = link.view(now_us);
    assert_eq!((left_bytes, bytes_per_s), (187_500.0, 93_750.0));
    assert!(link.view(now_us).admits(&UPLOAD));
    link.charge(100_000, now_us);
    // The second rank leaves a quarter to the first.
    assert!(!link.view(now_us).admits(&UPLOAD));
    assert!(link.view(now_us).admits(&CallTraffic { rank: 0, ..UPLOAD }));
    assert!(link.view(now_us + SECOND_US).admits(&UPLOAD));
}

#[test]
fn large_bodies_travel_longer() {
    let (mut link, now_us) = measured(ROUND_TRIP_US);
    let rounds = |link: &RegionLink, traffic| link.view(now_us).travel_us(traffic, true) / ROUND_TRIP_US as f64;
    assert!((rounds(&link, &SMALL) - 1.0).abs() < 0.01);
    assert!((rounds(&link, &UPLOAD) - 3.0).abs() < 0.01);
    assert!((link.view(now_us).travel_us(&SMALL, false) / ROUND_TRIP_US as f64 - 2.0).abs() < 0.01);
    link.configure(60.0, 80, now_us);
    assert!(link.view(now_us).travel_us(&UPLOAD, true) > 640_000.0 + 3.0 * ROUND_TRIP_US as f64);
}

#[test]
fn two_failed_nodes_make_region_unreachable_until_reply() {
    let (mut link, now_us) = measured(ROUND_TRIP_US);
    let nodes: Vec<Arc<str>> = ["a", "b"].map(Arc::from).to_vec();
    assert_eq!(link.record_failure(&nodes[0], now_us), None);
    assert_eq!(link.record_failure(&nodes[0], now_us), None, "one node may have failed itself");
    assert_eq!(link.record_failure(&nodes[1], now_us), Some(LinkChange::Unreachable));
    assert!(!link.view(now_us + SECOND_US).admits(&SMALL));
    assert!(link.needs_probe(now_us + SECOND_US));
    assert_eq!(link.record_reply(), Some(LinkChange::Reachable));
    assert!(link.view(now_us + SECOND_US).admits(&SMALL));
}

/// Guards against a region that stays cut off at an entry whose budget of probes is used up.
#[test]
fn unreachable_region_is_tried_again_without_a_probe() {
    let (mut link, now_us) = measured(ROUND_TRIP_US);
    link.record_failure(&Arc::from("a"), now_us);
    link.record_failure(&Arc::from("b"), now_us);
    assert!(!link.view(now_us + 2 * SECOND_US).admits(&SMALL));
    assert!(link.view(now_us + 3 * SECOND_US).admits(&SMALL));
    link.record_failure(&Arc::from("a"), now_us + 3 * SECOND_US);
    assert!(
        !link.view(now_us + 4 * SECOND_US).admits(&SMALL),
        "one failure is enough for a region that is tried again"
    );
}
