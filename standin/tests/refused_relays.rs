//! A store that refuses a third of the nodes while it serves the others and the operator.
//!
//! The tests guard against changes that are in force nowhere although most nodes could read them: if all relays are among
//! the refused nodes, each may follow another one in a cycle, while their followers ask one relay after the other and no
//! node reads the store.

mod common;

use std::time::{Duration, Instant};

use common::managed::{Fleet, config};
use common::wait_for;
use standin::managed::store::Mode;
use test_case::test_case;

/// Nodes of the fleet, in two failure domains with one relay each.
const NODES: usize = 9;
/// Nodes that the store refuses: a third.
const REFUSED: usize = 3;
/// Longest time until an operator's change is in force at every node.
const IN_FORCE_MAX: Duration = Duration::from_millis(2_000);
/// Longest time until it is in force while the store refuses all relays and answers none of their calls: a call without
/// an answer is noticed only after its wait and the time limit of calls to the store, half a second.
const IN_FORCE_SILENT_MAX: Duration = Duration::from_millis(2_500);
/// Longest time until changed entries are written: a refused relay gives up its role after a second, its followers find
/// another one within half a second, and that one gathers changes.
const ENTRY_WRITTEN_MAX: Duration = Duration::from_millis(3_000);
/// Time for which no further change is written, longer than entries live without a renewal.
const ENTRY_LIFE: Duration = Duration::from_millis(3_500);

/// The nodes that the store refuses.
#[derive(Debug, Clone, Copy)]
enum Refused {
    /// The relay that follows the store for the others.
    Reader,
    /// All relays, the reader included, and drawn followers.
    Relays,
    /// Drawn followers.
    Followers,
}

/// Returns the VMs whose entries in the store say that they are relays.
fn relays(fleet: &Fleet) -> Vec<usize> {
    let is_relay = |at: &usize| {
        let entry = fleet.store.text(&format!("valetrack/node/vm-{at}")).unwrap_or_default();
        entry.contains("\"is_relay\":true")
    };
    (0..fleet.vms.len()).filter(is_relay).collect()
}

/// Returns the relay that has made the most calls to the store which wait for changes.
async fn reader(fleet: &Fleet) -> usize {
    let mut most = (0.0, 0);
    for at in relays(fleet) {
        let page = fleet.metrics(at).await.expect("a page");
        let is_watch = |line: &&str| line.starts_with("valetrack_store_calls_total{") && line.contains("\"watch\"");
        let calls = page.lines().find(is_watch).and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        if calls.unwrap_or(0.0) > most.0 {
            most = (calls.unwrap_or(0.0), at);
        }
    }
    most.1
}

/// Returns the VMs that the store is to refuse.
async fn draw(fleet: &Fleet, refused: Refused) -> Vec<usize> {
    let relays = relays(fleet);
    let mut others: Vec<usize> = (0..fleet.vms.len()).filter(|at| !relays.contains(at)).collect();
    fastrand::shuffle(&mut others);
    let (mut drawn, count) = match refused {
        Refused::Reader => (vec![reader(fleet).await], REFUSED),
        Refused::Followers => (Vec::new(), REFUSED),
        Refused::Relays => (relays.clone(), REFUSED.max(relays.len())),
    };
    drawn.extend(others);
    drawn.truncate(count);
    drawn
}

/// Returns the version of the configuration in force at a node, or 0 without one.
async fn version_at(fleet: &Fleet, at: usize) -> u64 {
    let page = fleet.metrics(at).await.unwrap_or_default();
    let line = page.lines().find_map(|line| line.strip_prefix("valetrack_bundle_number "));
    line.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Writes a version of the configuration, and returns how long it takes until it is in force at every node.
async fn time_in_force(fleet: &Fleet, version: u64) -> Duration {
    fleet.store.put("op/config", &config(version, "ledger"));
    let acknowledged = Instant::now();
    for at in 0..fleet.vms.len() {
        while version_at(fleet, at).await < version {
            assert!(acknowledged.elapsed() < Duration::from_secs(9), "version {version} is not in force at vm-{at}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    acknowledged.elapsed()
}

/// Makes the upstreams of some VMs announce another version, and returns how long it takes until their entries have it.
async fn time_written(fleet: &Fleet, vms: &[usize], version: &str) -> Duration {
    vms.iter().for_each(|at| fleet.vms[*at].upstream.set_version(version));
    let began = Instant::now();
    let has =
        |at: usize| fleet.store.text(&format!("valetrack/node/vm-{at}")).is_some_and(|text| text.contains(version));
    while !vms.iter().all(|at| has(*at)) {
        assert!(began.elapsed() < Duration::from_secs(9), "entries of {vms:?} are not written");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    began.elapsed()
}

/// There are no calls between nodes here, which would carry versions as well: they reach a node only over its relay or the
/// store.
#[test_case(Refused::Reader, Mode::Refusing; "reader refused")]
#[test_case(Refused::Reader, Mode::Silent; "reader unanswered")]
#[test_case(Refused::Relays, Mode::Refusing; "all relays refused")]
#[test_case(Refused::Relays, Mode::Silent; "all relays unanswered")]
#[test_case(Refused::Relays, Mode::Resetting; "connections of all relays cut")]
#[test_case(Refused::Followers, Mode::Refusing; "followers refused")]
#[tokio::test]
async fn change_is_in_force_while_store_refuses_nodes(refused: Refused, mode: Mode) {
    let fleet = Fleet::start(&["rounds"; NODES]).await;
    // The started nodes choose their relays meanwhile.
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let drawn = draw(&fleet, refused).await;
    drawn.iter().for_each(|at| fleet.vms[*at].store_access.set(mode));
    let limit = if mode == Mode::Silent { IN_FORCE_SILENT_MAX } else { IN_FORCE_MAX };
    let first = time_in_force(&fleet, 4).await;
    // The node that wrote the entries of these nodes may be refused, and one of them is.
    let served = (0..NODES).find(|at| !drawn.contains(at)).expect("a node that the store serves");
    let written = time_written(&fleet, &[drawn[0], served], "v2").await;
    tokio::time::sleep(ENTRY_LIFE).await;
    let entries = fleet.entries();
    let second = time_in_force(&fleet, 5).await;
    println!("{refused:?} {mode:?} {drawn:?}: in force {first:?} {second:?}, written {written:?}, {entries} entries");
    assert!(written < ENTRY_WRITTEN_MAX, "changed entries are written after {written:?}");
    assert!(first < limit && second < IN_FORCE_MAX, "in force after {first:?} and {second:?}");
    assert_eq!(entries, NODES, "every node's entry is kept by a node that the store serves");
    drawn.iter().for_each(|at| fleet.vms[*at].store_access.set(Mode::Up));
    let third = time_in_force(&fleet, 6).await;
    assert!(third < IN_FORCE_MAX, "in force after {third:?} when the store serves all nodes again");
}

#[test_case(Mode::Refusing; "relays refused")]
#[test_case(Mode::Silent; "relays unanswered")]
#[tokio::test]
async fn restarted_nodes_replace_refused_relays(mode: Mode) {
    let mut fleet = Fleet::start(&["rounds"; NODES]).await;
    // The started nodes choose their relays meanwhile.
    tokio::time::sleep(Duration::from_millis(4_000)).await;
    let drawn = draw(&fleet, Refused::Relays).await;
    drawn.iter().for_each(|at| fleet.vms[*at].store_access.set(mode));
    for at in (0..NODES).filter(|at| !drawn.contains(at)) {
        fleet.kill_node(at);
        fleet.start_node(at);
    }
    fleet.wait_ready().await;
    // The restarted nodes have chosen a relay and found that it is behind.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let in_force = time_in_force(&fleet, 4).await;
    println!("{mode:?} {drawn:?}: in force {in_force:?}");
    assert!(in_force < IN_FORCE_SILENT_MAX, "in force after {in_force:?}");
}

/// Guards against a fleet whose only served node has resigned as a relay and does not replace the refused one for ten
/// seconds.
#[tokio::test]
async fn resigned_relay_replaces_refused_relay() {
    let fleet = Fleet::start(&["rounds", "rounds"]).await;
    wait_for("a relay in each failure domain", async || relays(&fleet).len() == 2).await;
    fleet.vms[0].store_access.set(Mode::Refusing);
    wait_for("the stored resignation", async || relays(&fleet) == [1] && fleet.entries() == 2).await;
    fleet.vms[0].store_access.set(Mode::Up);
    fleet.vms[1].store_access.set(Mode::Refusing);
    let in_force = time_in_force(&fleet, 4).await;
    assert!(in_force < IN_FORCE_MAX, "in force after {in_force:?}");
}
