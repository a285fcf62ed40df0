//! A fleet in virtual time, from the moment at which its store is back.

use valetrack::member::{EntryKeeper, EntryStep, MISSING_US, REWRITES_PER_S, SeenEntry};
use valetrack::store::{Lease, Position};

use super::store::{ERA, ERA_BEFORE, LEASE_MS, Lost, Price, Rates, Store};

/// Time that the store takes for a call, in milliseconds.
const STORE_MS: u64 = 4;
/// Items of one page of the store.
const PAGE_ITEMS: usize = 500;
/// Nodes that follow one relay at most.
const RELAY_NODES: usize = 64;
/// Pause of a relay between two calls for changes, in milliseconds.
const RELAY_GATHER_MS: u64 = 200;
/// The same of a node that follows the store itself, in milliseconds.
const GATHER_MS: u64 = 800;
/// Way from a relay to a follower with a wake-up, in milliseconds.
const WAY_MS: u64 = 2;
/// How long the store was away, in milliseconds.
const AWAY_MS: u64 = 700;
/// Longest play, in milliseconds.
const LENGTH_MS: u64 = 30_000;

/// A way of getting whole again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Each node reads the whole store and writes its entry with another lease.
    Everybody,
    /// Relays read it and tell their followers; each node writes its entry with another lease.
    Relays,
    /// The same, and an entry that the copy holds is kept with its lease.
    RelaysKeep,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 3] = [Self::Everybody, Self::Relays, Self::RelaysKeep];

    /// Returns its name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Everybody => "everybody",
            Self::Relays => "relays",
            Self::RelaysKeep => "relays+keep",
        }
    }
}

/// One play.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Seed of random choices.
    pub seed: u64,
    /// Nodes of the fleet.
    pub nodes: usize,
    /// What the store takes.
    pub rates: Rates,
    /// What the copy lacks.
    pub lost: Lost,
    /// How the fleet gets whole.
    pub way: Way,
}

/// What came of a play.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Time until all entries stand in the store, in milliseconds.
    pub back_ms: u64,
    /// Time until all nodes have read all of them, in milliseconds.
    pub agree_ms: u64,
    /// Calls that wrote.
    pub writes: u64,
    /// Calls that read at the full price.
    pub reads: u64,
    /// Calls at a tenth of the price.
    pub cheap: u64,
    /// Calls that the store turned away.
    pub refused: u64,
    /// Nodes that live and whose entries were missing for longer than they are believed in.
    pub gone: u64,
}

struct Node {
    keeper: EntryKeeper,
    /// When the call under way is answered, and what it was.
    calling: Option<(u64, EntryStep)>,
    /// When it reads the store, or hears what its relay has read; pages that are still to come.
    reads_at_ms: Option<u64>,
    pages_left: usize,
    /// Position up to which it has read.
    read: Option<Position>,
    /// When its entry was first known to be missing.
    missing_ms: Option<u64>,
    back_ms: Option<u64>,
}

struct World {
    scenario: Scenario,
    rng: fastrand::Rng,
    store: Store,
    nodes: Vec<Node>,
}

/// Plays one scenario.
pub fn play(scenario: Scenario) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(scenario.seed);
    let nodes = (0..scenario.nodes).map(|at| Node::away(at, &mut rng)).collect();
    let store = Store::new(scenario.rates, scenario.lost, scenario.nodes);
    let mut world = World { scenario, rng, store, nodes };
    let mut outcome = Outcome::default();
    for now_ms in AWAY_MS..LENGTH_MS {
        world.step(now_ms);
        if outcome.back_ms == 0 && world.all_written() {
            outcome.back_ms = now_ms - AWAY_MS;
        }
        if world.all_agree() {
            outcome.agree_ms = now_ms - AWAY_MS;
            break;
        }
    }
    let missing = world.nodes.iter().filter(|node| node.missing_ms.is_some()).count() as u64;
    outcome.gone = world.nodes.iter().filter(|node| node.was_taken_for_gone(missing)).count() as u64;
    (outcome.writes, outcome.reads, outcome.cheap) = world.store.calls;
    outcome.refused = world.store.refused;
    outcome
}

impl Node {
    /// Makes a node whose calls have failed since the store went away.
    fn away(at: usize, rng: &mut fastrand::Rng) -> Self {
        let revision = at as u64 + 2;
        let mut keeper = EntryKeeper::default();
        keeper.change();
        keeper.enter(ERA_BEFORE, 0);
        keeper.granted(Lease { id: revision, ttl_ms: LEASE_MS, era: ERA_BEFORE }, 0);
        keeper.wrote(keeper.wanted(), Position::new(ERA_BEFORE, revision));
        let mut now_us = 0;
        while now_us < AWAY_MS * 1_000 {
            keeper.failed(now_us, rng);
            now_us = match keeper.next(now_us) {
                EntryStep::Wait { until_us } => until_us,
                _ => now_us + 1_000,
            };
        }
        Self { keeper, calling: None, reads_at_ms: None, pages_left: 0, read: None, missing_ms: None, back_ms: None }
    }

    /// Returns whether its entry was missing for longer than others believe in it, where `missing` were at once.
    fn was_taken_for_gone(&self, missing: u64) -> bool {
        let patience_ms = MISSING_US / 1_000 + missing * 1_000 / REWRITES_PER_S;
        match (self.missing_ms, self.back_ms) {
            (Some(missing_ms), Some(back_ms)) => back_ms > missing_ms + patience_ms,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}

impl World {
    fn is_relay(&self, at: usize) -> bool {
        self.scenario.way == Way::Everybody || at.is_multiple_of(RELAY_NODES)
    }

    fn step(&mut self, now_ms: u64) {
        for at in 0..self.nodes.len() {
            self.answer(at, now_ms);
            self.call(at, now_ms);
            self.read(at, now_ms);
        }
    }

    /// Makes the next call for a node's entry.
    fn call(&mut self, at: usize, now_ms: u64) {
        let node = &mut self.nodes[at];
        if node.calling.is_some() {
            return;
        }
        let step = node.keeper.next(now_ms * 1_000);
        if !matches!(step, EntryStep::Wait { .. }) {
            node.calling = Some((now_ms + STORE_MS, step));
        }
    }

    /// Takes the answer to a call for a node's entry.
    fn answer(&mut self, at: usize, now_ms: u64) {
        let Some((at_ms, step)) = self.nodes[at].calling else {
            return;
        };
        if now_ms < at_ms {
            return;
        }
        let price = match step {
            EntryStep::Grant | EntryStep::Write { .. } => Price::Write,
            EntryStep::Renew { .. } => Price::Renewal,
            EntryStep::Ask | EntryStep::Wait { .. } => Price::Earlier,
        };
        let admitted = self.store.admit(price, now_ms);
        let node = &mut self.nodes[at];
        node.calling = None;
        if !admitted {
            return node.keeper.failed(now_ms * 1_000, &mut self.rng);
        }
        if node.keeper.era() < ERA {
            node.keeper.enter(ERA, now_ms * 1_000);
            self.hear(at, now_ms);
        }
        self.take(at, step, now_ms);
    }

    fn take(&mut self, at: usize, step: EntryStep, now_ms: u64) {
        let keeper = &mut self.nodes[at].keeper;
        match step {
            EntryStep::Grant => keeper.granted(self.store.grant(), now_ms * 1_000),
            EntryStep::Renew { .. } => keeper.renewed(ERA, now_ms * 1_000),
            EntryStep::Ask => keeper.answered(),
            EntryStep::Write { lease, expected } => match self.store.write(at, expected, lease) {
                Ok(position) => {
                    keeper.wrote(keeper.wanted(), position);
                    self.nodes[at].back_ms.get_or_insert(now_ms);
                }
                Err(found) => keeper.conflicted(found),
            },
            EntryStep::Wait { .. } => {}
        }
    }

    /// Has a node that has heard of the era read the store, or ask its relay, which then reads it.
    fn hear(&mut self, at: usize, now_ms: u64) {
        let reader = if self.is_relay(at) { at } else { at - at % RELAY_NODES };
        let pages = self.scenario.nodes.div_ceil(PAGE_ITEMS);
        let node = &mut self.nodes[reader];
        if node.reads_at_ms.is_none() {
            node.keeper.enter(ERA, now_ms * 1_000);
            node.reads_at_ms = Some(now_ms + STORE_MS);
            node.pages_left = pages;
        }
    }

    fn read(&mut self, at: usize, now_ms: u64) {
        if self.nodes[at].reads_at_ms.is_none_or(|reads_at_ms| now_ms < reads_at_ms) {
            return;
        }
        if !self.is_relay(at) {
            self.nodes[at].reads_at_ms = None;
            let relay = at - at % RELAY_NODES;
            let position = self.nodes[relay].read;
            return self.take_read(at, position, now_ms);
        }
        if !self.store.admit(Price::Read, now_ms) {
            self.nodes[at].reads_at_ms = Some(now_ms + self.rng.u64(200..400));
            return;
        }
        let node = &mut self.nodes[at];
        node.pages_left = node.pages_left.saturating_sub(1);
        if node.pages_left > 0 {
            node.reads_at_ms = Some(now_ms + STORE_MS);
            return;
        }
        // From now on it asks for changes, each answer a page.
        let gather_ms = if self.scenario.way == Way::Everybody { GATHER_MS } else { RELAY_GATHER_MS };
        node.pages_left = 1;
        node.reads_at_ms = Some(now_ms + gather_ms);
        let position = Some(self.store.position());
        self.take_read(at, position, now_ms);
        if self.scenario.way != Way::Everybody {
            let followers = (at + 1)..(at + RELAY_NODES).min(self.nodes.len());
            for follower in followers {
                self.nodes[follower].reads_at_ms = Some(now_ms + self.rng.u64(1..=2 * WAY_MS));
            }
        }
    }

    /// Shows a node what the store held at a position.
    fn take_read(&mut self, at: usize, position: Option<Position>, now_ms: u64) {
        let entry = self.store.entry(at);
        let keeps = self.scenario.way == Way::RelaysKeep;
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
            // Without its lease an entry that the copy holds is as good as written by somebody else.
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
                node.back_ms.is_some() || (self.scenario.way == Way::RelaysKeep && node.missing_ms.is_none())
            })
    }

    fn all_agree(&self) -> bool {
        self.all_written() && self.nodes.iter().all(|node| node.read == Some(self.store.position()))
    }
}
