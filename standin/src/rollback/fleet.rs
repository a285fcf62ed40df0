//! Simulation of a fleet in virtual time, from the moment at which its store is available again.

use valetrack::member::{EntryKeeper, EntryStep, MISSING_US, REWRITES_PER_S, SeenEntry};
use valetrack::store::{Lease, Position};

use super::store::{Cost, ERA, ERA_BEFORE, LEASE_MS, Lost, Rates, Store};

/// Time of a call to the store.
const STORE_MS: u64 = 4;
/// Items of one page of a store read.
const PAGE_ITEMS: usize = 500;
/// Nodes of one relay, with the relay itself.
const RELAY_NODES: usize = 64;
/// Pause of a relay between two reads of changes.
const RELAY_READ_PAUSE_MS: u64 = 200;
/// The same for a node that reads the store itself.
const READ_PAUSE_MS: u64 = 800;
/// One-way delay from a relay to a follower, with the wake-up of the follower.
const DELAY_MS: u64 = 2;
/// Time for which the store was unreachable.
const OUTAGE_MS: u64 = 700;
/// Longest run of the simulation.
const DURATION_MS: u64 = 30_000;

/// A method of recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryMethod {
    /// Each node reads the whole store and writes its entry with a new lease.
    AllNodes,
    /// Relays read the store for their followers; each node writes its entry with a new lease.
    Relays,
    /// Relays read the store for their followers, and an entry that the copy holds is kept with its lease.
    RelaysKeep,
}

impl RecoveryMethod {
    /// All methods.
    pub const ALL: [Self; 3] = [Self::AllNodes, Self::Relays, Self::RelaysKeep];

    /// Returns the name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AllNodes => "everybody",
            Self::Relays => "relays",
            Self::RelaysKeep => "relays+keep",
        }
    }
}

/// Input of the simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Seed of the random choices.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Rate limits of the store.
    pub rates: Rates,
    /// Entries and leases that the copy lacks.
    pub lost: Lost,
    /// Method of recovery.
    pub method: RecoveryMethod,
}

/// Result of the simulation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Time until all entries are in the store.
    pub restored_ms: u64,
    /// Time until all nodes have read all of them.
    pub all_read_ms: u64,
    /// Calls that wrote.
    pub writes: u64,
    /// Calls that read at the full cost.
    pub reads: u64,
    /// Calls at a tenth of the cost.
    pub reduced_cost: u64,
    /// Calls that the store refused.
    pub refused: u64,
    /// Live nodes that were considered dead because their entries were missing for too long.
    pub declared_dead: u64,
}

struct Node {
    keeper: EntryKeeper,
    /// The call in flight: the time of its answer, and its step.
    call_in_flight: Option<(u64, EntryStep)>,
    /// Time of its next read, of the store or from its relay.
    next_read_ms: Option<u64>,
    /// Pages of the current read that are still missing.
    pages_left: usize,
    /// Position up to which it has read.
    read: Option<Position>,
    /// Time at which its entry was first found missing.
    missing_ms: Option<u64>,
    /// Time at which its entry was written again.
    restored_ms: Option<u64>,
}

struct Simulation {
    scenario: Scenario,
    rng: fastrand::Rng,
    store: Store,
    nodes: Vec<Node>,
}

/// Runs one scenario.
pub fn simulate(scenario: Scenario) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    let nodes = (0..scenario.nodes).map(|at| Node::disconnected(at, &mut rng)).collect();
    let store = Store::new(scenario.rates, scenario.lost, scenario.nodes);
    let mut simulation = Simulation { scenario, rng, store, nodes };
    let mut outcome = Outcome::default();
    for now_ms in OUTAGE_MS..DURATION_MS {
        simulation.step(now_ms);
        if outcome.restored_ms == 0 && simulation.all_written() {
            outcome.restored_ms = now_ms - OUTAGE_MS;
        }
        if simulation.all_have_read() {
            outcome.all_read_ms = now_ms - OUTAGE_MS;
            break;
        }
    }
    let missing = simulation.nodes.iter().filter(|node| node.missing_ms.is_some()).count() as u64;
    outcome.declared_dead = simulation.nodes.iter().filter(|node| node.was_declared_dead(missing)).count() as u64;
    (outcome.writes, outcome.reads, outcome.reduced_cost) = simulation.store.calls;
    outcome.refused = simulation.store.refused;
    outcome
}

impl Node {
    /// Creates a node whose calls have failed since the store became unreachable.
    fn disconnected(at: usize, rng: &mut fastrand::Rng) -> Self {
        let revision = at as u64 + 2;
        let mut keeper = EntryKeeper::default();
        keeper.change();
        keeper.enter(ERA_BEFORE, 0);
        keeper.granted(Lease { id: revision, ttl_ms: LEASE_MS, era: ERA_BEFORE }, 0);
        keeper.wrote(keeper.wanted(), Position::new(ERA_BEFORE, revision));
        let mut now_us = 0;
        while now_us < OUTAGE_MS * 1_000 {
            keeper.failed(now_us, rng);
            now_us = match keeper.next(now_us) {
                EntryStep::Wait { until_us } => until_us,
                _ => now_us + 1_000,
            };
        }
        Self {
            keeper,
            call_in_flight: None,
            next_read_ms: None,
            pages_left: 0,
            read: None,
            missing_ms: None,
            restored_ms: None,
        }
    }

    /// Returns whether its entry was missing for longer than other nodes tolerate where `missing` entries were missing
    /// at once.
    fn was_declared_dead(&self, missing: u64) -> bool {
        let tolerated_ms = MISSING_US / 1_000 + missing * 1_000 / REWRITES_PER_S;
        match (self.missing_ms, self.restored_ms) {
            (Some(missing_ms), Some(restored_ms)) => restored_ms > missing_ms + tolerated_ms,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}

impl Simulation {
    fn is_relay(&self, at: usize) -> bool {
        self.scenario.method == RecoveryMethod::AllNodes || at.is_multiple_of(RELAY_NODES)
    }

    fn step(&mut self, now_ms: u64) {
        for at in 0..self.nodes.len() {
            self.handle_answer(at, now_ms);
            self.start_call(at, now_ms);
            self.read(at, now_ms);
        }
    }

    /// Starts the next call for a node's entry.
    fn start_call(&mut self, at: usize, now_ms: u64) {
        let node = &mut self.nodes[at];
        if node.call_in_flight.is_some() {
            return;
        }
        let step = node.keeper.next(now_ms * 1_000);
        if !matches!(step, EntryStep::Wait { .. }) {
            node.call_in_flight = Some((now_ms + STORE_MS, step));
        }
    }

    /// Handles the answer to a call for a node's entry.
    fn handle_answer(&mut self, at: usize, now_ms: u64) {
        let Some((at_ms, step)) = self.nodes[at].call_in_flight else {
            return;
        };
        if now_ms < at_ms {
            return;
        }
        let cost = match step {
            EntryStep::Grant | EntryStep::Write { .. } => Cost::Write,
            EntryStep::Renew { .. } => Cost::Renewal,
            EntryStep::Ask | EntryStep::Wait { .. } => Cost::Earlier,
        };
        let admitted = self.store.admit(cost, now_ms);
        let node = &mut self.nodes[at];
        node.call_in_flight = None;
        if !admitted {
            return node.keeper.failed(now_ms * 1_000, &mut self.rng);
        }
        if node.keeper.era() < ERA {
            node.keeper.enter(ERA, now_ms * 1_000);
            self.start_read(at, now_ms);
        }
        self.apply_step(at, step, now_ms);
    }

    fn apply_step(&mut self, at: usize, step: EntryStep, now_ms: u64) {
        let keeper = &mut self.nodes[at].keeper;
        match step {
            EntryStep::Grant => keeper.granted(self.store.grant(), now_ms * 1_000),
            EntryStep::Renew { .. } => keeper.renewed(ERA, now_ms * 1_000),
            EntryStep::Ask => keeper.answered(),
            EntryStep::Write { lease, expected } => match self.store.write(at, expected, lease) {
                Ok(position) => {
                    keeper.wrote(keeper.wanted(), position);
                    self.nodes[at].restored_ms.get_or_insert(now_ms);
                }
                Err(found) => keeper.conflicted(found),
            },
            EntryStep::Wait { .. } => {}
        }
    }

    /// Starts the read of a node that has learned of the new era, or the read of its relay.
    fn start_read(&mut self, at: usize, now_ms: u64) {
        let reader = if self.is_relay(at) { at } else { at - at % RELAY_NODES };
        let pages = self.scenario.nodes.div_ceil(PAGE_ITEMS);
        let node = &mut self.nodes[reader];
        if node.next_read_ms.is_none() {
            node.keeper.enter(ERA, now_ms * 1_000);
            node.next_read_ms = Some(now_ms + STORE_MS);
            node.pages_left = pages;
        }
    }

    fn read(&mut self, at: usize, now_ms: u64) {
        if self.nodes[at].next_read_ms.is_none_or(|next_read_ms| now_ms < next_read_ms) {
            return;
        }
        if !self.is_relay(at) {
            self.nodes[at].next_read_ms = None;
            let relay = at - at % RELAY_NODES;
            let position = self.nodes[relay].read;
            return self.record_read(at, position, now_ms);
        }
        if !self.store.admit(Cost::Read, now_ms) {
            self.nodes[at].next_read_ms = Some(now_ms + self.rng.u64(200..400));
            return;
        }
        let node = &mut self.nodes[at];
        node.pages_left = node.pages_left.saturating_sub(1);
        if node.pages_left > 0 {
            node.next_read_ms = Some(now_ms + STORE_MS);
            return;
        }
        // All pages are read; the following reads return changes, one page each.
        let pause_ms =
            if self.scenario.method == RecoveryMethod::AllNodes { READ_PAUSE_MS } else { RELAY_READ_PAUSE_MS };
        node.pages_left = 1;
        node.next_read_ms = Some(now_ms + pause_ms);
        let position = Some(self.store.position());
        self.record_read(at, position, now_ms);
        if self.scenario.method != RecoveryMethod::AllNodes {
            let followers = (at + 1)..(at + RELAY_NODES).min(self.nodes.len());
            for follower in followers {
                self.nodes[follower].next_read_ms = Some(now_ms + self.rng.u64(1..=2 * DELAY_MS));
            }
        }
    }

    /// Records that a node has read the store up to a position; the first read shows it the state of its entry.
    fn record_read(&mut self, at: usize, position: Option<Position>, now_ms: u64) {
        let entry = self.store.entry(at);
        let keeps = self.scenario.method == RecoveryMethod::RelaysKeep;
        let node = &mut self.nodes[at];
        let first = node.read.is_none();
        node.read = position;
        if node.keeper.era() < ERA {
            node.keeper.enter(ERA, now_ms * 1_000);
        }
        if !first {
            return;
        }
        match entry {
            // Without its lease the entry of the copy counts as written by another node, and is written anew.
            Some(entry) if keeps => node.keeper.seen(entry),
            Some(entry) => node.keeper.seen(SeenEntry { lease: None, ..entry }),
            None => {
                node.missing_ms.get_or_insert(now_ms);
                node.keeper.missing(self.store.position());
            }
        }
    }

    fn all_written(&self) -> bool {
        self.store.len() == self.nodes.len()
            && self.nodes.iter().all(|node| {
                node.restored_ms.is_some()
                    || (self.scenario.method == RecoveryMethod::RelaysKeep && node.missing_ms.is_none())
            })
    }

    fn all_have_read(&self) -> bool {
        self.all_written() && self.nodes.iter().all(|node| node.read == Some(self.store.position()))
    }
}
