//! Real nodes whose failure domains are two regions.

mod common;

use std::time::Duration;

use common::managed::{Fleet, call};
use tokio::task::JoinSet;

const TWO_REGIONS: &str = "kranj=west,loka=east";

/// Returns the sum of a metric over all its labels at a node.
async fn metric(fleet: &Fleet, at: usize, name: &str) -> f64 {
    let page = fleet.metrics(at).await.expect("a page");
    let lines = page.lines().filter(|line| line.starts_with(&format!("{name}{{")));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}

/// Sends calls at once to one node; returns how many were answered.
async fn burst(fleet: &Fleet, at: usize, prefix: &str, count: usize) -> usize {
    let mut calls = JoinSet::new();
    for number in 0..count {
        let (addr, id) = (fleet.vms[at].caller_addr, format!("{prefix}-{number}"));
        calls.spawn(async move { call(addr, "GET", "/sheet/", &id).await });
    }
    let replies = calls.join_all().await;
    replies.iter().filter(|reply| reply.as_ref().is_ok_and(|reply| reply.status == 200)).count()
}

/// Guards against calls that leave their region without need, and against rejections of calls for which the other region
/// has room. The upstream of each region runs six calls at a time.
#[tokio::test]
async fn calls_cross_only_when_own_region_is_full() {
    let fleet = Fleet::start_with_regions(&["rounds", "rounds", "ledger", "ledger"], TWO_REGIONS).await;
    for vm in &fleet.vms {
        vm.upstream.set_work_ms(100);
    }
    for round in 0..10 {
        assert_eq!(burst(&fleet, 0, &format!("few-{round}"), 2).await, 2);
    }
    assert_eq!(metric(&fleet, 0, "valetrack_region_calls_total").await, 0.0);
    for round in 0..4 {
        burst(&fleet, 0, &format!("many-{round}"), 24).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert!(metric(&fleet, 0, "valetrack_region_calls_total").await > 0.0);
    assert!(metric(&fleet, 0, "valetrack_region_round_trip_seconds").await > 0.0);
    assert!(metric(&fleet, 0, "valetrack_region_bytes_total").await > 0.0);
}

/// Guards against calls that are rejected because the only upstreams of their service are in the other region, and
/// against relays of regions that keep changes from their followers.
#[tokio::test]
async fn other_region_is_reached_and_changes_arrive() {
    let fleet = Fleet::start_with_regions(&["ledger", "rounds", "ledger", "rounds"], TWO_REGIONS).await;
    assert_eq!(burst(&fleet, 0, "far", 6).await, 6);
    assert!(metric(&fleet, 0, "valetrack_region_calls_total").await >= 6.0);
    fleet.store.put("op/config", &common::managed::config(4, "ledger"));
    tokio::time::sleep(Duration::from_secs(2)).await;
    for at in 0..4 {
        assert_eq!(fleet.served_by(at, "/sheet/").await, Some("ledger"), "node {at}");
    }
}
