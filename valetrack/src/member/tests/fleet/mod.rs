//! Fleets of nodes in virtual time: the member threads of all nodes run on one paused clock, with a store and links of
//! their own.

mod departure;
mod large;
mod link;
mod node;
mod start;
mod store;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::sleep;

use super::at;
use crate::clock::{now_us, use_paused_clock};
use link::Links;
use node::{AGE_ERROR_US, Node, Wires};
use store::{CALM, FleetStore, Treatment};

/// Failure domains, in two regions.
const DOMAINS: [&str; 4] = ["east-a", "east-b", "west-a", "west-b"];
/// Region of each failure domain.
const REGIONS: &str = "east-a=east,east-b=east,west-a=west,west-b=west";
/// Time within which an operator's change must be in force.
const NEWS_WITHIN_MS: u64 = 3_000;
/// Time after a disturbance from which the bound holds again.
const CONTACT_MS: u64 = 4_000;
/// When the disturbance begins: nodes have started and have their roles.
const START_MS: u64 = 10_000;

/// Returns the region of a node.
fn region(vm: &str) -> &str {
    vm.split('-').next().unwrap_or(vm)
}

/// A fleet in virtual time.
struct Fleet {
    store: Arc<FleetStore>,
    wires: Rc<Wires>,
    nodes: RefCell<BTreeMap<Arc<str>, Node>>,
    rng: RefCell<fastrand::Rng>,
    size: usize,
}

impl Fleet {
    fn new(size: usize, seed: u64, links: Links) -> Rc<Self> {
        let store = FleetStore::new(seed);
        tokio::task::spawn_local(store.clone().expire_leases());
        Rc::new(Self {
            wires: Rc::new(Wires::new(store.clone(), Arc::new(links))),
            store,
            nodes: RefCell::default(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            size,
        })
    }

    fn name(&self, index: usize) -> Arc<str> {
        Arc::from(format!("{}-{}", DOMAINS[index % DOMAINS.len()], index / DOMAINS.len()))
    }

    fn names(&self) -> Vec<Arc<str>> {
        (0..self.size).map(|index| self.name(index)).collect()
    }

    fn start(&self, vm: &Arc<str>) {
        let seed = self.rng.borrow_mut().u64(..);
        let node = Node::start(vm, self.store.clone(), self.wires.clone(), seed);
        self.nodes.borrow_mut().insert(vm.clone(), node);
    }

    async fn start_all(&self) {
        for vm in self.names() {
            self.start(&vm);
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns a part of the nodes, drawn at random.
    fn part(&self, percent: usize) -> Vec<Arc<str>> {
        let names = self.names();
        let count = names.len() * percent / 100;
        self.rng.borrow_mut().choose_multiple(names, count)
    }

    fn kill(&self, vm: &Arc<str>) {
        self.wires.remove(vm);
        self.nodes.borrow_mut().remove(vm);
    }

    /// Kills nodes and starts each again after a pause.
    fn restart(self: &Rc<Self>, vms: Vec<Arc<str>>, pause_ms: std::ops::RangeInclusive<u64>) {
        for vm in vms {
            self.kill(&vm);
            let (fleet, pause_ms) = (self.clone(), self.rng.borrow_mut().u64(pause_ms.clone()));
            tokio::task::spawn_local(async move {
                sleep(Duration::from_millis(pause_ms)).await;
                fleet.start(&vm);
            });
        }
    }

    /// Disturbs parts of the fleet in ways drawn at random, several at a time.
    async fn disturb_at_random(self: &Rc<Self>) {
        for _ in 0..24 {
            let draw = self.rng.borrow_mut().u32(..9);
            let percent = self.rng.borrow_mut().usize(5..=90);
            let part = self.part(percent);
            let treat = |treatment| part.iter().for_each(|vm| self.store.treat(vm, treatment));
            match draw {
                0 => treat(Treatment::Refuse),
                1 => treat(Treatment::Silence),
                2 => treat(Treatment::Lose),
                3 => treat(Treatment::SilentWatch),
                4 => treat(Treatment::Answer { delay_ms: 900 }),
                5 => self.restart(self.running(part), 300..=1_500),
                6 => self.restart(self.running(self.relays()), 300..=1_500),
                7 => self.wires.part_regions(percent > 45),
                _ => {
                    self.store.compact();
                    self.store.treat_all(CALM);
                }
            }
            let pause_ms = self.rng.borrow_mut().u64(50..=1_000);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    fn running(&self, mut vms: Vec<Arc<str>>) -> Vec<Arc<str>> {
        vms.retain(|vm| self.nodes.borrow().contains_key(vm));
        vms
    }

    fn relays(&self) -> Vec<Arc<str>> {
        self.nodes.borrow().values().filter(|node| node.is_relay()).map(|node| node.vm.clone()).collect()
    }
}

/// A disturbance of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Case {
    Calm,
    StoreSilent,
    StoreLosesAnswers,
    StoreSlow,
    StoreSilentToRelays,
    WatchSilentToRelays,
    ThirdRefused,
    MostSilent,
    RelaysKilled,
    RelaysKilledAgainAndAgain,
    MostKilled,
    MostKilledWhileRefused,
    SilentThenMostRefused,
    RegionsParted,
    RegionsPartedWhileRefused,
    HistoryGone,
    GrowsWhileAnswersAreLost,
    SeveralAtOnce,
}

impl Case {
    const ALL: [Self; 18] = [
        Self::Calm,
        Self::StoreSilent,
        Self::StoreLosesAnswers,
        Self::StoreSlow,
        Self::StoreSilentToRelays,
        Self::WatchSilentToRelays,
        Self::ThirdRefused,
        Self::MostSilent,
        Self::RelaysKilled,
        Self::RelaysKilledAgainAndAgain,
        Self::MostKilled,
        Self::MostKilledWhileRefused,
        Self::SilentThenMostRefused,
        Self::RegionsParted,
        Self::RegionsPartedWhileRefused,
        Self::HistoryGone,
        Self::GrowsWhileAnswersAreLost,
        Self::SeveralAtOnce,
    ];

    /// Returns whether the store is undisturbed, so that nodes which are not killed are bound throughout.
    const fn is_store_calm(self) -> bool {
        matches!(self, Self::Calm | Self::RelaysKilled | Self::RelaysKilledAgainAndAgain | Self::MostKilled)
    }

    /// Disturbs a fleet; returns when the disturbance has ended.
    async fn disturb(self, fleet: &Rc<Fleet>) {
        let store = &fleet.store;
        let treat = |part: Vec<Arc<str>>, treatment| part.iter().for_each(|vm| store.treat(vm, treatment));
        let mut length_ms = 6_000;
        match self {
            Self::Calm => {}
            Self::StoreSilent => store.treat_all(Treatment::Silence),
            Self::StoreLosesAnswers => store.treat_all(Treatment::Lose),
            Self::StoreSlow => store.treat_all(Treatment::Answer { delay_ms: 900 }),
            Self::StoreSilentToRelays => treat(fleet.relays(), Treatment::Silence),
            Self::WatchSilentToRelays => treat(fleet.relays(), Treatment::SilentWatch),
            Self::ThirdRefused => treat(fleet.part(33), Treatment::Refuse),
            Self::MostSilent => treat(fleet.part(80), Treatment::Silence),
            Self::RelaysKilled => fleet.restart(fleet.relays(), 500..=1_500),
            Self::RelaysKilledAgainAndAgain => {
                for _ in 0..6 {
                    fleet.restart(fleet.relays(), 500..=1_500);
                    sleep(Duration::from_millis(2_000)).await;
                }
            }
            Self::MostKilled => fleet.restart(fleet.part(90), 500..=1_500),
            Self::MostKilledWhileRefused => {
                treat(fleet.part(60), Treatment::Refuse);
                fleet.restart(fleet.part(90), 500..=1_500);
                length_ms = 12_000;
            }
            Self::SilentThenMostRefused => {
                store.treat_all(Treatment::Silence);
                fleet.restart(fleet.part(90), 500..=1_500);
                sleep(Duration::from_millis(8_000)).await;
                store.treat_all(CALM);
                treat(fleet.part(80), Treatment::Refuse);
            }
            Self::RegionsParted => fleet.wires.part_regions(true),
            Self::RegionsPartedWhileRefused => {
                fleet.wires.part_regions(true);
                treat(fleet.part(60), Treatment::Refuse);
            }
            Self::HistoryGone => {
                for _ in 0..30 {
                    store.compact();
                    sleep(Duration::from_millis(200)).await;
                }
            }
            Self::SeveralAtOnce => fleet.disturb_at_random().await,
            Self::GrowsWhileAnswersAreLost => {
                store.treat_all(Treatment::Lose);
                for index in fleet.size..fleet.size * 3 / 2 {
                    fleet.start(&fleet.name(index));
                    sleep(Duration::from_millis(100)).await;
                }
            }
        }
        sleep(Duration::from_millis(length_ms)).await;
        store.treat_all(CALM);
        fleet.wires.part_regions(false);
    }
}

/// What a fleet has shown.
#[derive(Debug, Default)]
struct Report {
    /// Longest time until a change was in force at all nodes, for changes after the bound holds again.
    late_ms: u64,
    /// Node and number of that change.
    worst: Option<(Arc<str>, u64)>,
    /// Longest time until a change was in force at a node that was never killed, the disturbance included.
    throughout_ms: u64,
    /// Longest time for which a bundle was superseded while calls could be rejected for good because of it.
    conclusive_late_ms: u64,
    /// The same while any bundle in force was conclusive.
    any_late_ms: u64,
    /// Updates that lack a change of the bundle which was made before they were confirmed by their age.
    false_updates: Vec<String>,
}

/// Pause between two looks at the bundles in force.
const LOOK_MS: u64 = 50;

/// Records for how long bundles in force had been superseded: those that were conclusive, and all.
async fn watch_superseded(fleet: Rc<Fleet>, published: Rc<RefCell<BTreeMap<u64, u64>>>, worst: Rc<Cell<(u64, u64)>>) {
    loop {
        sleep(Duration::from_millis(LOOK_MS)).await;
        for (number, is_conclusive) in fleet.nodes.borrow().values().filter_map(Node::in_force) {
            let next_us = published.borrow().range(number + 1..).next().map(|(_, written_us)| *written_us);
            let late_ms = next_us.map_or(0, |next_us| (now_us() - next_us) / 1_000);
            let (conclusive_ms, any_ms) = worst.get();
            worst.set((conclusive_ms.max(if is_conclusive { late_ms } else { 0 }), any_ms.max(late_ms)));
        }
    }
}

/// Publishes bundles while a fleet is disturbed and afterwards.
async fn play(size: usize, case: Case, seed: u64, links: Links) -> Report {
    let fleet = Fleet::new(size, seed, links);
    fleet.store.publish(1);
    fleet.start_all().await;
    let left_ms = START_MS.saturating_sub(now_us() / 1_000);
    sleep(Duration::from_millis(left_ms)).await;
    let published = Rc::new(RefCell::new(BTreeMap::from([(1, now_us())])));
    let operator = {
        let (fleet, published) = (fleet.clone(), published.clone());
        tokio::task::spawn_local(async move {
            for number in 2.. {
                let pause_ms = fleet.rng.borrow_mut().u64(400..=2_500);
                sleep(Duration::from_millis(pause_ms)).await;
                fleet.store.publish(number);
                published.borrow_mut().insert(number, now_us());
            }
        })
    };
    let superseded = Rc::new(Cell::new((0, 0)));
    let watch = tokio::task::spawn_local(watch_superseded(fleet.clone(), published.clone(), superseded.clone()));
    case.disturb(&fleet).await;
    let calm_us = now_us() + CONTACT_MS * 1_000;
    sleep(Duration::from_millis(CONTACT_MS + NEWS_WITHIN_MS + 8_000)).await;
    operator.abort();
    watch.abort();
    let (conclusive_late_ms, any_late_ms) = superseded.get();
    let false_updates = fleet.wires.false_updates();
    let mut report = Report { conclusive_late_ms, any_late_ms, false_updates, ..Report::default() };
    let end_us = now_us();
    for node in fleet.nodes.borrow().values() {
        let adopted = node.adopted();
        for (number, written_us) in published.borrow().iter() {
            if *written_us > end_us - NEWS_WITHIN_MS * 1_000 {
                continue;
            }
            // A later bundle replaces an earlier one.
            let in_force = adopted.iter().find(|(adopted, _)| adopted >= number);
            let in_force_us = in_force.map_or(end_us, |(_, us)| *us);
            if node.started_us < START_MS * 1_000 && *written_us >= START_MS * 1_000 {
                report.throughout_ms = report.throughout_ms.max(in_force_us.saturating_sub(*written_us) / 1_000);
            }
            let due_us = (*written_us).max(calm_us - NEWS_WITHIN_MS * 1_000);
            let late_ms = in_force_us.saturating_sub(due_us) / 1_000;
            if in_force_us >= calm_us && late_ms > report.late_ms {
                report.late_ms = late_ms;
                report.worst = Some((node.vm.clone(), *number));
            }
        }
    }
    report
}

fn run(size: usize, case: Case, seed: u64) -> Report {
    in_virtual_time(play(size, case, seed, Links::default()))
}

fn in_virtual_time<T>(work: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build().expect("a runtime");
    let local = LocalSet::new();
    runtime.block_on(local.run_until(async {
        use_paused_clock();
        work.await
    }))
}

/// Returns a number from the environment, for longer runs by hand.
fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

/// Guards against nodes that keep an older bundle than the store's without noticing.
#[test]
fn undisturbed_fleet_has_the_newest_bundle_in_force() {
    let mut faults = String::new();
    for case in Case::ALL {
        for seed in setting("FLEET_FIRST_SEED", 0)..setting("FLEET_SEEDS", 3) {
            let report = run(setting("FLEET_SIZE", 40) as usize, case, seed);
            println!("{case:?} seed={seed} {report:?}");
            let is_throughout = !case.is_store_calm() || report.throughout_ms <= NEWS_WITHIN_MS;
            if report.late_ms > NEWS_WITHIN_MS || !report.false_updates.is_empty() || !is_throughout {
                let _ = writeln!(faults, "{case:?} seed={seed} {report:?}");
            }
        }
    }
    assert!(faults.is_empty(), "{faults}");
}

/// Guards against final answers by a bundle that was superseded longer ago than a change may take.
#[test]
fn no_superseded_bundle_is_conclusive() {
    let bound_ms = NEWS_WITHIN_MS + AGE_ERROR_US / 1_000;
    let mut any_late_ms = 0;
    for case in Case::ALL {
        let report = run(setting("FLEET_SIZE", 40) as usize, case, setting("FLEET_FIRST_SEED", 0));
        println!("{case:?} {report:?}");
        assert!(report.conclusive_late_ms <= bound_ms, "{case:?} {report:?}");
        any_late_ms = any_late_ms.max(report.any_late_ms);
    }
    assert!(any_late_ms > bound_ms, "no bundle in force was late in any case");
}

/// Guards against followers that stay on an older bundle after the store has answered all relays again.
#[test]
fn followers_catch_up_after_relays_were_unanswered() {
    let report = run(81, Case::StoreSilentToRelays, 100);
    assert!(report.late_ms <= NEWS_WITHIN_MS, "{report:?}");
}

/// Guards against updates that count as younger than they are, since their transit over a narrow link is not in their age.
#[test]
fn age_of_updates_includes_their_transit_over_narrow_links() {
    let report = in_virtual_time(play(40, Case::RelaysKilledAgainAndAgain, 1, Links::narrow()));
    assert!(report.false_updates.is_empty(), "{report:?}");
}
