//! Tests of routes by host and longest prefix, and of even splits.

use std::sync::Arc;

use proptest::prelude::*;
use test_case::test_case;

use crate::bundle::{HostRoute, RouteTable, SplitPicker, SplitTarget};

fn route(name: &str, host: &str, prefix: &str) -> HostRoute {
    HostRoute {
        name: Arc::from(name),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        targets: targets(&[1]),
        repeatable: true,
        timeout_ms: 1_000,
        objective_ms: 400,
        priority: 0,
        attempts_max: 2,
        is_anonymous: false,
    }
}

fn targets(weights: &[u32]) -> Vec<SplitTarget> {
    let target = |(at, &weight): (usize, &u32)| SplitTarget { service: Arc::from(format!("s{at}")), weight };
    weights.iter().enumerate().map(target).collect()
}

#[test_case("farm.example", "/a/b/c", Some("deep"); "the longest prefix")]
#[test_case("farm.example", "/a/x", Some("wide"); "a shorter one")]
#[test_case("FARM.example:8080", "/a/b/c", Some("deep"); "a host in capitals with a port")]
#[test_case("farm.example", "/a", None; "a path that is shorter than its prefix")]
#[test_case("other.example", "/a/b/c", None; "another host")]
fn route_is_found_by_host_and_longest_prefix(host: &str, path: &str, expected: Option<&str>) {
    let table: RouteTable =
        [route("wide", "farm.example", "/a/"), route("deep", "farm.example", "/a/b/")].into_iter().collect();
    assert_eq!(table.find(host, path).map(|route| &*route.name), expected);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// At any time, each service has had its share to within two calls, from any start.
    #[test]
    fn split_shares_hold_at_any_time(weights in prop::collection::vec(1..100u32, 1..5), seed: u64, calls in 1..400u32) {
        let targets = targets(&weights);
        let mut picker = SplitPicker::new(&targets, &mut fastrand::Rng::with_seed(seed));
        let mut had = vec![0u32; weights.len()];
        for _ in 0..calls {
            had[picker.next(&targets)] += 1;
        }
        let total: u32 = weights.iter().sum();
        for (had, weight) in had.iter().zip(&weights) {
            let due = f64::from(calls) * f64::from(*weight) / f64::from(total);
            prop_assert!((f64::from(*had) - due).abs() <= 2.0, "{had} of {calls} where {due} were due");
        }
    }
}
