//! Rotation and server selection.

use proptest::prelude::*;

use crate::gate::LoadReport;
use crate::placement::{MAX_SERVERS, Policy, ServerSet, ServiceView};

fn view(servers: usize) -> ServiceView {
    let mut view = ServiceView::new(Policy::Valetrack);
    for server in 0..servers {
        view.set_present(server, true, 0);
    }
    view
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..Default::default()
    })]

    #[test]
    fn at_least_half_of_servers_stay_in_rotation(
        servers in 1..MAX_SERVERS,
        outcomes in prop::collection::vec((any::<usize>(), any::<bool>(), 0..100_000u64), 0..600),
    ) {
        let mut view = view(servers);
        let mut now_us = 0;
        for (server, healthy, pause_us) in outcomes {
            now_us += pause_us;
            view.record_health(server % servers, healthy, now_us);
            prop_assert!(view.rotation(now_us).len() * 2 >= servers);
        }
    }

    #[test]
    fn pick_is_in_rotation_and_not_excluded(
        servers in 1..8usize,
        excluded in prop::collection::vec(0..8usize, 0..6),
        leaving in 0..8usize,
        policy in prop::sample::select(vec![
            Policy::Valetrack, Policy::Random, Policy::RoundRobin, Policy::LeastInFlight, Policy::TwoChoices,
        ]),
        seed in any::<u64>(),
    ) {
        let mut view = ServiceView::new(policy);
        for server in 0..servers {
            view.set_present(server, true, 0);
        }
        view.set_leaving(leaving);
        let mut set = ServerSet::default();
        excluded.iter().for_each(|&server| set.insert(server));
        let open = (0..servers).filter(|&server| server != leaving && !set.contains(server)).count();
        match view.pick(set, 0, &mut fastrand::Rng::with_seed(seed)) {
            Some(server) => {
                prop_assert!(server < servers && server != leaving && !set.contains(server));
            }
            None => prop_assert_eq!(open, 0),
        }
    }
}

#[test]
fn failing_server_is_ejected_and_returns() {
    let mut view = view(4);
    for _ in 0..5 {
        view.record_health(1, false, 1_000);
    }
    assert!(!view.rotation(1_000).contains(1));
    assert!(view.rotation(1_100_000).contains(1));
}

#[test]
fn new_incarnation_under_an_index_starts_fresh() {
    let mut view = view(2);
    view.set_leaving(0);
    view.set_present(0, false, 0);
    view.set_present(0, true, 0);
    assert!(view.rotation(0).contains(0));
}

#[test]
fn old_load_report_loses_weight() {
    let mut view = view(1);
    let load = LoadReport { limit: 4, in_flight: 4, queued: 4, service_us: 2_000, ..LoadReport::default() };
    view.report(0, load, 0);
    assert!(view.expected_us(0, 0) > 2.0 * view.expected_us(0, 200_000));
}

/// Returns the report of an idle server whose rate limit admits the next call after a delay.
fn limited(start_delay_ms: u16) -> LoadReport {
    LoadReport { limit: if start_delay_ms > 0 { 0 } else { 6 }, start_delay_ms, ..LoadReport::default() }
}

#[test]
fn calls_avoid_server_without_tokens() {
    let mut view = view(2);
    let mut rng = fastrand::Rng::with_seed(1);
    view.report(0, limited(200), 1_000_000);
    view.report(
        1,
        LoadReport { limit: 1, in_flight: 1, queued: 3, service_us: 90_000, ..LoadReport::default() },
        1_000_000,
    );
    let none = ServerSet::default();
    assert_eq!(view.pick(none, 1_199_999, &mut rng), Some(1), "however busy the other one is");
    assert_eq!(view.start_delay_us(1_100_000), 0, "one server admits a call");
    assert_eq!(view.pick(none, 1_200_000, &mut rng), Some(0));
}

#[test]
fn limited_servers_are_picked_by_next_start() {
    let mut view = view(3);
    let mut rng = fastrand::Rng::with_seed(1);
    for (server, delay_ms) in [(0, 900), (1, 300), (2, 600)] {
        view.report(server, limited(delay_ms), 1_000_000);
    }
    assert_eq!(view.pick(ServerSet::default(), 1_000_000, &mut rng), Some(1));
    assert_eq!(view.start_delay_us(1_000_000), 300_000);
    assert!(!view.has_room(ServerSet::default(), 0, 1_000_000), "an old report does not hide the limit");
}
