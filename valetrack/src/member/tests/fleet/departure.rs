//! Departures of upstreams that are recorded right before all nodes end.

use std::time::Duration;

use tokio::time::sleep;

use super::link::Links;
use super::{Fleet, LOOK_MS, START_MS, in_virtual_time, setting};
use crate::member::tests::departure::found_by_health_check;

/// Nodes of a fleet.
const SIZE: usize = 6;
/// Time for which the nodes are down.
const DOWN_MS: u64 = 200;
/// Time after which each node has written its entry, and has read those of all others.
const SETTLE_MS: u64 = 6_000;

/// Records the departure of one node's upstream and ends all nodes at once; returns whether the departure is still recorded
/// after all of them have started again.
async fn end_after_departure(seed: u64) -> bool {
    let fleet = Fleet::new(SIZE, seed, Links::default());
    fleet.store.publish(1);
    fleet.start_all().await;
    sleep(Duration::from_millis(START_MS)).await;
    let vm = fleet.name(seed as usize % SIZE);
    let set_upstream = |ready| fleet.nodes.borrow()[&vm].set_upstream(found_by_health_check("i-1", ready));
    set_upstream(true);
    sleep(Duration::from_millis(START_MS)).await;
    set_upstream(false);
    while fleet.store.stored_departure(&vm).is_none() {
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
    fleet.names().iter().for_each(|vm| fleet.kill(vm));
    sleep(Duration::from_millis(DOWN_MS)).await;
    fleet.names().iter().for_each(|vm| fleet.start(vm));
    // The health check is wrong.
    set_upstream(true);
    sleep(Duration::from_millis(SETTLE_MS)).await;
    fleet.store.stored_departure(&vm).is_some()
}

/// Guards against a start that has read an older state of the store and replaces the entry with its upstream's departure.
#[test]
fn recorded_departure_is_not_overwritten_after_stale_read() {
    let seeds = setting("FLEET_FIRST_SEED", 0)..setting("FLEET_SEEDS", 24);
    let lost: Vec<u64> = seeds.filter(|seed| !in_virtual_time(end_after_departure(*seed))).collect();
    assert!(lost.is_empty(), "the departure is no longer recorded: seeds {lost:?}");
}
