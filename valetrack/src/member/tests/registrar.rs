//! A relay keeps the entries of its followers under one lease, whatever the store, the followers and other relays do.

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
    }
}

/// What a store holds of one key.
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
    /// Carries a batch out as the store does: all or nothing.
    fn transact(&mut self, batch: &Batch) -> Result<Position, Vec<(String, Option<Position>)>> {
        let stands = |change: &LeasedChange| self.items.get(change.key()).map(|stored| stored.position);
        if batch.changes.iter().any(|change| stands(change) != change.expected()) {
            return Err(batch.changes.iter().map(|change| (change.key().to_owned(), stands(change))).collect());
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

    /// Writes what is due, until nothing is; returns how many calls that took.
    fn write(&mut self, world: &mut World, now_us: u64) -> usize {
        for calls in 0..100 {
            let batch = self.registrar.batch(lease(self.lease), now_us, now_us).expect("entries");
            if batch.is_empty() {
                return calls;
            }
            assert!(batch.changes.len() <= TRANSACTION_MAX);
            match world.transact(&batch) {
                Ok(position) => self.registrar.wrote(&batch, position),
                Err(stands) => self.registrar.conflicted(&batch, &stands),
            }
        }
        panic!("it does not come to rest");
    }

    /// Reads the store whole.
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

    fn hear(&mut self, world: &World, member: &Member, now_us: u64) {
        let stands = world.items.get(&entry_key(&member.vm)).map(|stored| stored.position);
        self.registrar.heard(member, stands, now_us);
    }
}

#[test]
fn many_entries_take_few_calls() {
    let (mut world, mut relay) = (World::default(), Relay::new(1));
    for at in 0..64 {
        relay.hear(&world, &member(&format!("vm-{at}"), 1), 0);
    }
    assert_eq!(relay.write(&mut world, 0), 4);
    assert_eq!(world.items.len(), 64);
    assert_eq!(relay.write(&mut world, SECOND_US), 0, "nothing has changed");
}

#[test]
fn the_entry_of_a_follower_that_is_silent_is_taken_away() {
    let (mut world, mut relay) = (World::default(), Relay::new(1));
    relay.hear(&world, &member("dead", 1), 0);
    relay.hear(&world, &member("alive", 1), 0);
    relay.write(&mut world, 0);
    for second in 1..=6 {
        relay.hear(&world, &member("alive", 1), second * SECOND_US);
        relay.write(&mut world, second * SECOND_US);
    }
    assert_eq!(world.items.keys().collect::<Vec<_>>(), [&entry_key("alive")]);
}

#[test]
fn a_follower_that_exits_is_taken_away_at_once() {
    let (mut world, mut relay) = (World::default(), Relay::new(1));
    relay.hear(&world, &member("vm", 1), 0);
    relay.write(&mut world, 0);
    relay.hear(&world, &Member { phase: Phase::Gone, ..member("vm", 1) }, 10);
    relay.write(&mut world, 10);
    assert!(world.items.is_empty());
}

#[test]
fn entries_are_written_anew_under_another_lease_when_theirs_is_over() {
    let (mut world, mut relay) = (World::default(), Relay::new(1));
    relay.hear(&world, &member("vm", 1), 0);
    relay.write(&mut world, 0);
    world.end_lease(1);
    relay.registrar.lease_over();
    relay.lease = 2;
    relay.write(&mut world, 10);
    assert_eq!(world.items[&entry_key("vm")].lease, 2);
}

#[test]
fn an_entry_that_another_relay_keeps_is_left_alone() {
    let (mut world, mut old, mut new) = (World::default(), Relay::new(1), Relay::new(2));
    old.hear(&world, &member("vm", 1), 0);
    old.write(&mut world, 0);
    new.hear(&world, &member("vm", 1), 100);
    new.write(&mut world, 100);
    old.read(&world);
    assert!(old.registrar.is_empty());
    world.items.clear();
    old.read(&world);
    assert_eq!(old.write(&mut world, 200), 0, "it does not bring a node back that it has not heard of since");
}

/// What happens next.
#[derive(Debug, Clone)]
enum Step {
    /// A follower asks a relay, in this life.
    Ask { vm: usize, relay: usize },
    /// A follower starts anew.
    Restart { vm: usize },
    /// A follower dies.
    Die { vm: usize },
    /// A relay writes what is due.
    Write { relay: usize },
    /// A relay reads the store.
    Read { relay: usize },
    /// The lease of a relay runs out unnoticed.
    Lapse { relay: usize },
    /// Time goes by, in milliseconds.
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
    /// The lives of followers; none where one is dead.
    lives: [Option<u64>; 4],
    now_us: u64,
}

impl Fleet {
    fn play(&mut self, step: &Step) {
        match *step {
            Step::Ask { vm, relay } => {
                if let Some(life) = self.lives[vm] {
                    self.relays[relay].hear(&self.world, &member(&format!("vm-{vm}"), life), self.now_us);
                }
            }
            Step::Restart { vm } => self.lives[vm] = Some(self.lives[vm].unwrap_or(0) + 100),
            Step::Die { vm } => self.lives[vm] = None,
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

    /// Has all living followers ask the first relay for a while, undisturbed.
    fn come_to_rest(&mut self) {
        for _ in 0..10 {
            for vm in 0..4 {
                self.play(&Step::Ask { vm, relay: 0 });
            }
            for relay in [0, 1, 0] {
                self.play(&Step::Read { relay });
                self.play(&Step::Write { relay });
            }
            self.play(&Step::Pass { ms: 900 });
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

    /// Whatever came before: after a quiet while the store holds just the followers that live, in their present lives.
    #[test]
    fn who_lives_is_kept_and_who_died_is_not(steps in prop::collection::vec(step(), 0..120)) {
        let mut fleet =
            Fleet { world: World::default(), relays: [Relay::new(1), Relay::new(2)], lives: [Some(1); 4], now_us: 0 };
        for step in &steps {
            fleet.play(step);
        }
        fleet.come_to_rest();
        let held: BTreeSet<(String, u64)> =
            fleet.world.items.iter().map(|(key, stored)| (key.clone(), stored.incarnation)).collect();
        let living: BTreeSet<(String, u64)> = fleet
            .lives
            .iter()
            .enumerate()
            .filter_map(|(vm, life)| Some((entry_key(&format!("vm-{vm}")), (*life)?)))
            .collect();
        prop_assert_eq!(held, living);
    }
}
