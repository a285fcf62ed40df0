//! A relay keeps the entries of its followers under one lease through faults of the store, the followers and other
//! relays.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::*;

use super::at;
use crate::member::{Batch, EntryDoc, Member, Phase, Registrar, SeenEntry, entry_key};
use crate::store::{Era, Lease, LeasedChange, Position, TRANSACTION_MAX};

const LEASE_MS: u64 = 8_000;
const SECOND_US: u64 = 1_000_000;

fn lease(id: u64) -> Lease {
    Lease { id, ttl_ms: LEASE_MS, era: Era::default() }
}

fn member(vm: &str, incarnation: u64) -> Member {
    Member {
        vm: Arc::from(vm),
        incarnation,
        phase: Phase::Serving,
        domain: Arc::from("kranj"),
        service: Arc::from("lab"),
        link_addr: "127.0.0.1:9".parse().expect("an address"),
        version: None,
        is_relay: false,
        departure: None,
    }
}

/// Value of one key in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Stored {
    position: Position,
    lease: u64,
    incarnation: u64,
}

/// A store with the entries of nodes.
#[derive(Debug, Default)]
struct World {
    revision: u64,
    items: BTreeMap<String, Stored>,
}

impl World {
    /// Applies a batch atomically, as the store does.
    fn transact(&mut self, batch: &Batch) -> Result<Position, Vec<(String, Option<Position>)>> {
        let position_of = |change: &LeasedChange| self.items.get(change.key()).map(|stored| stored.position);
        if batch.changes.iter().any(|change| position_of(change) != change.expected()) {
            return Err(batch.changes.iter().map(|change| (change.key().to_owned(), position_of(change))).collect());
        }
        self.revision += 1;
        for change in &batch.changes {
            match change {
                LeasedChange::Put(write) => {
                    let doc: EntryDoc = serde_json::from_slice(&write.value).expect("an entry");
                    let lease = write.lease.expect("a lease");
                    let stored = Stored { position: at(self.revision), lease, incarnation: doc.member.incarnation };
                    self.items.insert(write.key.clone(), stored);
                }
                LeasedChange::Remove { key, .. } => {
                    self.items.remove(key);
                }
            }
        }
        Ok(at(self.revision))
    }

    fn end_lease(&mut self, lease: u64) {
        self.revision += 1;
        self.items.retain(|_, stored| stored.lease != lease);
    }
}

/// A relay with its lease.
struct Relay {
    registrar: Registrar,
    lease: u64,
    /// Number of the next lease.
    next: u64,
}

impl Relay {
    fn new(lease: u64) -> Self {
        Self { registrar: Registrar::new(LEASE_MS), lease, next: lease + 10 }
    }

    /// Writes batches until none is due; returns the number of calls.
    fn write(&mut self, world: &mut World, now_us: u64) -> usize {
        for calls in 0..100 {
            let batch = self.registrar.batch(lease(self.lease), now_us, now_us).expect("entries");
            if batch.is_empty() {
                return calls;
            }
            assert!(batch.changes.len() <= TRANSACTION_MAX);
            match world.transact(&batch) {
                Ok(position) => self.registrar.wrote(&batch, position),
                Err(found) => self.registrar.conflicted(&batch, &found),
            }
        }
        panic!("batches are still due after 100 calls");
    }

    /// Reads the store completely.
    fn read(&mut self, world: &World) {
        let followers: Vec<Arc<str>> = self.registrar.vms().cloned().collect();
        for vm in followers {
            match world.items.get(&entry_key(&vm)) {
                Some(stored) => {
                    let entry = SeenEntry { position: stored.position, lease: Some(stored.lease) };
                    self.registrar.seen(&vm, entry, Some(self.lease));
                }
                None => self.registrar.missing(&vm, at(world.revision)),
            }
        }
    }

    fn serve_request(&mut self, world: &World, member: &Member, now_us: u64) {
        let stored = world.items.get(&entry_key(&member.vm)).map(|stored| stored.position);
        self.registrar.record_follower(member, stored, now_us);
    }
}

#[test]
fn many_entries_are_written_in_few_calls() {
    let (mut world, mut relay) = (World::default(), Relay::new(1));
    for at in 0..64 {
        relay.serve_request(&world, &member(&format!("vm-{at}"), 1), 0);
    }
    assert_eq!(relay.write(&mut world, 0), 4);
    assert_eq!(world.items.len(), 64);
    assert_eq!(relay.write(&mut world, SECOND_US), 0, "nothing has changed");
}

#[test]
fn entry_of_an_unresponsive_follower_is_removed() {
    let (mut world, mut relay) = (World::default(), Relay::new(1));
    relay.serve_request(&world, &member("dead", 1), 0);
    relay.serve_request(&world, &member("alive", 1), 0);
    relay.write(&mut world, 0);
    for second in 1..=6 {
        relay.serve_request(&world, &member("alive", 1), second * SECOND_US);
        relay.write(&mut world, second * SECOND_US);
    }
    assert_eq!(world.items.keys().collect::<Vec<_>>(), [&entry_key("alive")]);
}

#[test]
fn entry_of_an_exiting_follower_is_removed_at_once() {
    let (mut world, mut relay) = (World::default(), Relay::new(1));
    relay.serve_request(&world, &member("vm", 1), 0);
    relay.write(&mut world, 0);
    relay.serve_request(&world, &Member { phase: Phase::Gone, ..member("vm", 1) }, 10);
    relay.write(&mut world, 10);
    assert!(world.items.is_empty());
}

#[test]
fn entries_are_rewritten_under_another_lease_after_expiry() {
    let (mut world, mut relay) = (World::default(), Relay::new(1));
    relay.serve_request(&world, &member("vm", 1), 0);
    relay.write(&mut world, 0);
    world.end_lease(1);
    relay.registrar.lease_over();
    relay.lease = 2;
    relay.write(&mut world, 10);
    assert_eq!(world.items[&entry_key("vm")].lease, 2);
}

#[test]
fn entry_kept_by_another_relay_is_left_alone() {
    let (mut world, mut old, mut new) = (World::default(), Relay::new(1), Relay::new(2));
    old.serve_request(&world, &member("vm", 1), 0);
    old.write(&mut world, 0);
    new.serve_request(&world, &member("vm", 1), 100);
    new.write(&mut world, 100);
    old.read(&world);
    assert!(old.registrar.is_empty());
    world.items.clear();
    old.read(&world);
    assert_eq!(old.write(&mut world, 200), 0, "an entry is not written again without a request of its node");
}

/// Next event of a fleet.
#[derive(Debug, Clone)]
enum Step {
    /// A live follower sends a request to a relay.
    Ask { vm: usize, relay: usize },
    /// A follower restarts.
    Restart { vm: usize },
    /// A follower dies.
    Die { vm: usize },
    /// A relay writes all batches that are due.
    Write { relay: usize },
    /// A relay reads the store.
    Read { relay: usize },
    /// The lease of a relay expires.
    Lapse { relay: usize },
    /// Time passes, in milliseconds.
    Pass { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4usize, 0..2usize).prop_map(|(vm, relay)| Step::Ask { vm, relay }),
        1 => (0..4usize).prop_map(|vm| Step::Restart { vm }),
        1 => (0..4usize).prop_map(|vm| Step::Die { vm }),
        4 => (0..2usize).prop_map(|relay| Step::Write { relay }),
        3 => (0..2usize).prop_map(|relay| Step::Read { relay }),
        1 => (0..2usize).prop_map(|relay| Step::Lapse { relay }),
        3 => (0..1_200u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

/// A fleet of four followers and two relays.
struct Fleet {
    world: World,
    relays: [Relay; 2],
    /// The incarnations of followers; none if a follower is dead.
    incarnations: [Option<u64>; 4],
    now_us: u64,
}

impl Fleet {
    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Ask { vm, relay } => {
                if let Some(incarnation) = self.incarnations[vm] {
                    self.relays[relay].serve_request(
                        &self.world,
                        &member(&format!("vm-{vm}"), incarnation),
                        self.now_us,
                    );
                }
            }
            Step::Restart { vm } => self.incarnations[vm] = Some(self.incarnations[vm].unwrap_or(0) + 100),
            Step::Die { vm } => self.incarnations[vm] = None,
            Step::Write { relay } => {
                self.relays[relay].write(&mut self.world, self.now_us);
            }
            Step::Read { relay } => self.relays[relay].read(&self.world),
            Step::Lapse { relay } => {
                let relay = &mut self.relays[relay];
                self.world.end_lease(relay.lease);
                relay.registrar.lease_over();
                relay.lease = relay.next;
                relay.next += 10;
            }
            Step::Pass { ms } => self.now_us += ms * 1_000,
        }
    }

    /// Runs the fleet without faults for a while: all live followers send requests to the first relay.
    fn run_without_faults(&mut self) {
        for _ in 0..10 {
            for vm in 0..4 {
                self.apply(&Step::Ask { vm, relay: 0 });
            }
            for relay in [0, 1, 0] {
                self.apply(&Step::Read { relay });
                self.apply(&Step::Write { relay });
            }
            self.apply(&Step::Pass { ms: 900 });
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(43),
        ..Default::default()
    })]

    /// After any steps and a time without faults, the store holds exactly the live followers in their current
    /// incarnations.
    #[test]
    fn store_holds_exactly_the_live_followers_after_faults(steps in prop::collection::vec(step(), 0..120)) {
        let mut fleet = Fleet {
            world: World::default(),
            relays: [Relay::new(1), Relay::new(2)],
            incarnations: [Some(1); 4],
            now_us: 0,
        };
        for step in &steps {
            fleet.apply(step);
        }
        fleet.run_without_faults();
        let held: BTreeSet<(String, u64)> =
            fleet.world.items.iter().map(|(key, stored)| (key.clone(), stored.incarnation)).collect();
        let live: BTreeSet<(String, u64)> = fleet
            .incarnations
            .iter()
            .enumerate()
            .filter_map(|(vm, incarnation)| Some((entry_key(&format!("vm-{vm}")), (*incarnation)?)))
            .collect();
        prop_assert_eq!(held, live);
    }
}
