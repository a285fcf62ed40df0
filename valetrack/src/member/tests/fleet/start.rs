//! Fleets whose nodes all start at the same moment.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::link::Links;
use super::{Fleet, LOOK_MS, in_virtual_time, setting};
use crate::claim::ClaimReport;
use crate::clock::now_us;
use crate::link::message::Ask;
use crate::member::Evacuation;

/// Time within which all nodes are started.
const START_WITHIN_US: u64 = 300_000;
/// Time after the start within which every node has an entry.
const SETTLED_MS: u64 = 12_000;
/// Bytes of a reply to an announcement: while a hundred relays announce their roles within a second, the replies of one
/// node take at most a tenth of a link of 20 Mbit/s.
const REPLY_MAX_BYTES: usize = 2_500;

/// What a fleet has shown since its start.
#[derive(Debug, Default)]
struct Report {
    /// Most relays at a time, and relays at the end.
    relays: [usize; 2],
    /// Bytes that a node has received on average.
    received_bytes: u64,
    /// Nodes that have an entry in the store at the end.
    entries: usize,
}

async fn start_at_once(size: usize, seed: u64) -> (Rc<Fleet>, Report) {
    let fleet = Fleet::new(size, seed, Links::narrow());
    fleet.store.publish(1);
    for vm in fleet.names() {
        fleet.start(&vm);
        sleep(Duration::from_micros(START_WITHIN_US / size as u64)).await;
    }
    let mut report = Report::default();
    while now_us() < SETTLED_MS * 1_000 {
        sleep(Duration::from_millis(LOOK_MS)).await;
        report.relays[0] = report.relays[0].max(fleet.relays().len());
    }
    report.relays[1] = fleet.relays().len();
    report.received_bytes = fleet.wires.links.carried_bytes().0 / size as u64;
    report.entries = fleet.store.entries();
    (fleet, report)
}

/// Guards against relays whose links are full of replies to announcements, each with the state of every node.
#[test]
fn reply_to_announcement_is_small_in_large_fleet() {
    let (vm, bytes) = in_virtual_time(async {
        let (fleet, _) = start_at_once(setting("FLEET_SIZE", 300) as usize, 0).await;
        let relay = fleet.relays().first().cloned().expect("a relay");
        let announcement = Ask::Gossip {
            members: Vec::new(),
            evacuation: Evacuation::default(),
            bundle: 0,
            claims: ClaimReport::default(),
        };
        let bytes = fleet.wires.reply_bytes(&relay, announcement).await;
        (relay, bytes)
    });
    assert!(bytes <= REPLY_MAX_BYTES, "{bytes} bytes from {vm}");
}

/// Guards against nodes of a starting fleet that find no relay to keep their entries.
#[test]
fn fleet_started_at_once_has_all_entries() {
    let size = setting("FLEET_SIZE", 300) as usize;
    for seed in setting("FLEET_FIRST_SEED", 0)..setting("FLEET_SEEDS", 2) {
        let report = in_virtual_time(async { start_at_once(size, seed).await.1 });
        println!("seed={seed} {report:?}");
        assert_eq!(report.entries, size, "seed={seed} {report:?}");
    }
}
