//! Bounds on the methods, which hold for every seed.

use test_case::test_case;

use super::{Method, Scenario, simulate};

#[test_case(4, 6.5, 1.0; "few entries")]
#[test_case(76, 6.5, 1.0; "a deployment")]
#[test_case(1_000, 6.5, 1.0; "a large fleet")]
#[test_case(40, 40.0, 1.0; "a high limit")]
#[test_case(40, 0.4, 2.0; "a low limit")]
fn limited_upstreams_get_their_limit_and_no_more(entries: usize, rate_per_s: f64, declines_max: f64) {
    for seed in 0..3 {
        let scenario = Scenario { seed, entries, rate_per_s, servers: 4, method: Method::Owner };
        let report = simulate(scenario);
        let allowed = 4.0 * rate_per_s + 1.0 + 0.25 * rate_per_s;
        assert!(report.window_max() as f64 <= allowed.ceil(), "{} of {allowed}", report.window_max());
        assert!(report.served_share(rate_per_s) > 0.9, "{}", report.served_share(rate_per_s));
        assert!(report.declines_per_call() < declines_max, "{}", report.declines_per_call());
    }
}

#[test]
fn reported_start_delay_saves_declines() {
    let run = |method| simulate(Scenario { seed: 1, entries: 76, rate_per_s: 6.5, servers: 4, method });
    let (reported, unreported) = (run(Method::Owner), run(Method::OwnerUnreported));
    assert!(2.0 * reported.declines_per_call() < unreported.declines_per_call());
}

#[test]
fn retry_delays_of_limited_service_are_spread() {
    let report = simulate(Scenario { seed: 1, entries: 76, rate_per_s: 6.5, servers: 4, method: Method::Owner });
    let mut buckets = [0_usize; 10];
    report.retry_after_ms.iter().for_each(|delay_ms| buckets[(*delay_ms as usize / 250).min(9)] += 1);
    let most = buckets.iter().max().copied().unwrap_or(0);
    assert!(most * 2 < report.retry_after_ms.len(), "{buckets:?}");
}
