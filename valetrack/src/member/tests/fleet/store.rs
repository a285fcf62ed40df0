//! A store with leases in virtual time, which answers stale reads, refuses nodes and may stay silent.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::at;
use super::link::Links;
use crate::clock::now_us;
use crate::gate::Departure;
use crate::member::{ENTRY_PREFIX, EntryDoc, entry_key};
use crate::store::{
    Change, Changes, CommitOutcome, Era, Freshness, Item, Lease, LeaseStore, LeasedChange, LeasedWrite, Page, Position,
    StoreError, TransactionOutcome,
};

/// Time limit of a call, in addition to the wait of a call for changes.
const CALL_LIMIT_MS: u64 = 1_000;
/// Items of one page.
const PAGE_ITEMS: usize = 50;
/// Greatest age of a stale read.
const STALE_MAX_MS: u64 = 3_000;
/// Time after which a change is in the state that stale reads start from.
const SETTLED_US: u64 = 10_000_000;
/// Bytes of an item in an answer besides its key and value.
const ITEM_HEAD_BYTES: usize = 70;
/// Largest answer that a node reads.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Key of the operators' bundle.
pub const BUNDLE_KEY: &str = "op/config";

/// How the store treats the calls of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Treatment {
    /// It answers after this delay.
    Answer { delay_ms: u64 },
    /// It refuses every call.
    Refuse,
    /// It does not answer.
    Silence,
    /// It carries out calls and loses the answers.
    Lose,
    /// It answers no call for changes.
    SilentWatch,
}

/// How the store treats nodes while it is undisturbed.
pub const CALM: Treatment = Treatment::Answer { delay_ms: 2 };

struct Contents {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// All changes, with the time of each.
    changes: Vec<(u64, Change)>,
    compacted: u64,
    /// Time to live and end of each lease.
    leases: HashMap<u64, (u64, u64)>,
    /// State before the recent changes, for stale reads.
    settled: BTreeMap<String, Item>,
    settled_revision: u64,
    recent: VecDeque<(u64, Change)>,
    treatment: HashMap<Arc<str>, Treatment>,
    default: Treatment,
    rng: fastrand::Rng,
}

/// The store.
pub struct FleetStore {
    contents: Mutex<Contents>,
    changed: Notify,
}

fn apply(items: &mut BTreeMap<String, Item>, change: &Change) {
    match change {
        Change::Put(item) => {
            items.insert(item.key.clone(), item.clone());
        }
        Change::Gone { key, .. } => {
            items.remove(key);
        }
    }
}

impl Contents {
    fn commit(&mut self, change: Change) {
        apply(&mut self.items, &change);
        self.changes.push((now_us(), change.clone()));
        self.recent.push_back((now_us(), change));
        while let Some((us, change)) = self.recent.front()
            && us + SETTLED_US < now_us()
        {
            apply(&mut self.settled, change);
            self.settled_revision = change.position().wire_revision();
            self.recent.pop_front();
        }
    }

    fn expire(&mut self) {
        let now = now_us();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end_us))| *end_us < now).map(|(lease, _)| *lease).collect();
        if over.is_empty() {
            return;
        }
        self.leases.retain(|lease, _| !over.contains(lease));
        let gone = |item: &&Item| item.lease.is_some_and(|lease| over.contains(&lease));
        let keys: Vec<String> = self.items.values().filter(gone).map(|item| item.key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.commit(Change::Gone { key, position: at(self.revision) });
        }
    }

    fn stale(&mut self) -> (BTreeMap<String, Item>, u64) {
        let until_us = now_us().saturating_sub(self.rng.u64(0..=STALE_MAX_MS) * 1_000);
        let (mut items, mut revision) = (self.settled.clone(), self.settled_revision);
        for (_, change) in self.recent.iter().take_while(|(us, _)| *us <= until_us) {
            apply(&mut items, change);
            revision = change.position().wire_revision();
        }
        (items, revision)
    }
}

impl FleetStore {
    pub fn new(seed: u64) -> Arc<Self> {
        let contents = Contents {
            items: BTreeMap::new(),
            revision: 1,
            changes: Vec::new(),
            compacted: 0,
            leases: HashMap::new(),
            settled: BTreeMap::new(),
            settled_revision: 1,
            recent: VecDeque::new(),
            treatment: HashMap::new(),
            default: CALM,
            rng: fastrand::Rng::with_seed(seed),
        };
        Arc::new(Self { contents: Mutex::new(contents), changed: Notify::new() })
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how the store treats all nodes without a treatment of their own.
    pub fn treat_all(&self, treatment: Treatment) {
        let mut contents = self.contents();
        contents.default = treatment;
        contents.treatment.clear();
    }

    /// Sets how the store treats one node.
    pub fn treat(&self, vm: &Arc<str>, treatment: Treatment) {
        self.contents().treatment.insert(vm.clone(), treatment);
    }

    fn treatment_of(&self, vm: &str) -> Treatment {
        let contents = self.contents();
        contents.treatment.get(vm).copied().unwrap_or(contents.default)
    }

    /// Forgets all changes so far.
    pub fn compact(&self) {
        let mut contents = self.contents();
        contents.compacted = contents.revision;
    }

    /// Writes a bundle without routes, as operators do.
    pub fn publish(&self, number: u64) {
        self.publish_routes(number, 0);
    }

    /// Writes a bundle with this many routes.
    pub fn publish_routes(&self, number: u64, routes: u32) {
        let mut contents = self.contents();
        contents.revision += 1;
        let item = Item {
            key: BUNDLE_KEY.to_owned(),
            value: bundle_text(number, routes).into_bytes(),
            position: at(contents.revision),
            lease: None,
        };
        contents.commit(Change::Put(item));
        drop(contents);
        self.changed.notify_waiters();
    }

    /// Returns the number of nodes that have an entry.
    pub fn entries(&self) -> usize {
        self.contents().items.keys().filter(|key| key.starts_with(ENTRY_PREFIX)).count()
    }

    /// Expires leases; runs as long as the store.
    pub async fn expire_leases(self: Arc<Self>) {
        loop {
            sleep(Duration::from_millis(50)).await;
            self.contents().expire();
            self.changed.notify_waiters();
        }
    }

    /// Returns the departure that the entry of a node names.
    pub fn stored_departure(&self, vm: &str) -> Option<Departure> {
        let contents = self.contents();
        let item = contents.items.get(&entry_key(vm))?;
        EntryDoc::read(item).expect("an entry").member.departure
    }

    /// Returns the latest position of the bundle at a time.
    pub fn bundle_at(&self, us: u64) -> Position {
        let contents = self.contents();
        let changes = contents.changes.iter().rev().filter(|(_, change)| change.key() == BUNDLE_KEY);
        let mut before = changes.filter(|(written_us, _)| *written_us < us).map(|(_, change)| change.position());
        before.next().unwrap_or_default()
    }
}

/// Returns the text of a bundle, with as many bytes a route as those of the users' platform.
fn bundle_text(number: u64, routes: u32) -> String {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut text = format!("{number}\n");
    for route in 0..routes {
        let name: String = std::iter::repeat_with(|| rng.lowercase()).take(8).collect();
        let _ = writeln!(
            text,
            "{{\"name\":\"route-{route}\",\"host\":\"farm.example\",\"path_prefix\":\"/{name}/\",\"repeat\":\"safe\",\
             \"timeout_ms\":1500,\"objective_ms\":1000,\"priority\":2,\"service\":\"playback\",\"attempts_max\":3}}"
        );
    }
    text
}

fn answer_bytes<'a>(items: impl Iterator<Item = &'a Item>) -> usize {
    // Values are sent in base64.
    items.map(|item| ITEM_HEAD_BYTES + item.key.len() + item.value.len() * 4 / 3).sum()
}

/// The store as one node sees it.
pub struct NodeStore {
    pub store: Arc<FleetStore>,
    pub vm: Arc<str>,
    pub links: Arc<Links>,
}

fn lost() -> StoreError {
    StoreError::Lost { reason: "no answer".into() }
}

impl NodeStore {
    /// Makes a call under the treatment of this node, and again under the one at its end.
    async fn call<T>(&self, work: impl AsyncFnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
        match self.store.treatment_of(&self.vm) {
            Treatment::Answer { delay_ms } => sleep(Duration::from_millis(delay_ms / 2)).await,
            Treatment::Refuse => {
                sleep(Duration::from_millis(2)).await;
                return Err(StoreError::Refused { reason: "503".into() });
            }
            Treatment::Silence => {
                std::future::pending::<()>().await;
            }
            Treatment::Lose | Treatment::SilentWatch => {}
        }
        let done = work().await;
        match self.store.treatment_of(&self.vm) {
            Treatment::Answer { delay_ms } => sleep(Duration::from_millis(delay_ms / 2)).await,
            Treatment::Refuse | Treatment::SilentWatch => {}
            Treatment::Silence | Treatment::Lose => std::future::pending().await,
        }
        done
    }

    async fn limited<T>(
        &self,
        wait: Duration,
        work: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let ended = timeout(wait + Duration::from_millis(CALL_LIMIT_MS), work).await;
        ended.unwrap_or_else(|_| Err(lost()))
    }

    async fn wait_for_changes(&self, after: u64, wait: Duration) -> Result<Changes, StoreError> {
        let until_us = now_us() + wait.as_micros() as u64;
        loop {
            let changed = self.store.changed.notified();
            {
                let contents = self.store.contents();
                if after < contents.compacted {
                    return Err(StoreError::HistoryGone);
                }
                let later = contents.changes.iter().rev().map(|(_, change)| change);
                let mut changes: Vec<Change> =
                    later.take_while(|change| change.position().wire_revision() > after).cloned().collect();
                changes.reverse();
                if !changes.is_empty() || now_us() >= until_us {
                    return Ok(Changes { changes, at: at(contents.revision) });
                }
            }
            let _ = timeout(Duration::from_micros(until_us.saturating_sub(now_us())), changed).await;
        }
    }

    fn run(&self, changes: &[LeasedChange]) -> Result<TransactionOutcome, StoreError> {
        let mut contents = self.store.contents();
        contents.expire();
        let current = |change: &LeasedChange| contents.items.get(change.key());
        if changes.iter().any(|change| current(change).map(|item| item.position) != change.expected()) {
            let found = changes.iter().map(|change| (change.key().to_owned(), current(change).cloned()));
            return Ok(TransactionOutcome::Conflict(found.collect()));
        }
        let is_over = |change: &LeasedChange| match change {
            LeasedChange::Put(write) => write.lease.is_some_and(|lease| !contents.leases.contains_key(&lease)),
            LeasedChange::Remove { .. } => false,
        };
        if changes.iter().any(is_over) {
            return Err(StoreError::LeaseOver);
        }
        contents.revision += 1;
        let position = at(contents.revision);
        for change in changes {
            let change = match change {
                LeasedChange::Put(write) => Change::Put(Item {
                    key: write.key.clone(),
                    value: write.value.clone(),
                    position,
                    lease: write.lease,
                }),
                LeasedChange::Remove { key, .. } => Change::Gone { key: key.clone(), position },
            };
            contents.commit(change);
        }
        drop(contents);
        self.store.changed.notify_waiters();
        Ok(TransactionOutcome::At(position))
    }

    async fn change(&self, change: LeasedChange) -> Result<CommitOutcome, StoreError> {
        let done = self.limited(Duration::ZERO, self.call(async || self.run(std::slice::from_ref(&change)))).await?;
        Ok(match done {
            TransactionOutcome::At(position) => CommitOutcome::At(position),
            TransactionOutcome::Conflict(found) => {
                CommitOutcome::Conflict(found.into_iter().find_map(|(_, item)| item))
            }
        })
    }
}

impl LeaseStore for NodeStore {
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
        freshness: Freshness,
    ) -> BoxFuture<'a, Result<Page, StoreError>> {
        let work = async move || {
            let mut contents = self.store.contents();
            contents.expire();
            let (items, revision) = match freshness {
                Freshness::Current => (contents.items.clone(), contents.revision),
                Freshness::Earlier => contents.stale(),
            };
            let mut found = items.into_values().filter(|item| item.key.starts_with(prefix));
            let items: Vec<Item> =
                found.by_ref().filter(|item| after.is_none_or(|after| *item.key > *after)).take(PAGE_ITEMS).collect();
            Ok(Page { items, has_more: found.next().is_some(), at: at(revision) })
        };
        Box::pin(async move {
            let page = self.limited(Duration::ZERO, self.call(work)).await?;
            // The limit of a call ends when its answer begins, and lanes never stall.
            self.links.carry_from_store(&self.vm, answer_bytes(page.items.iter())).await;
            Ok(page)
        })
    }

    fn changes<'a>(
        &'a self,
        _prefix: &'a str,
        after: Position,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Changes, StoreError>> {
        let work = async move || {
            if self.store.treatment_of(&self.vm) == Treatment::SilentWatch {
                return std::future::pending().await;
            }
            self.wait_for_changes(after.wire_revision(), wait).await
        };
        Box::pin(async move {
            let changes = self.limited(wait, self.call(work)).await?;
            let bytes = answer_bytes(changes.changes.iter().filter_map(Change::item));
            if bytes > ANSWER_MAX_BYTES {
                return Err(StoreError::ChangesTooLarge);
            }
            self.links.carry_from_store(&self.vm, bytes).await;
            Ok(changes)
        })
    }

    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, Result<Lease, StoreError>> {
        let work = async move || {
            let mut contents = self.store.contents();
            let id = contents.rng.u64(1..);
            contents.leases.insert(id, (ttl_ms, now_us() + ttl_ms * 1_000));
            Ok(Lease { id, ttl_ms, era: Era::default() })
        };
        Box::pin(self.limited(Duration::ZERO, self.call(work)))
    }

    fn renew(&self, lease: u64) -> BoxFuture<'_, Result<Era, StoreError>> {
        let work = async move || {
            let mut contents = self.store.contents();
            contents.expire();
            let (ttl_ms, end_us) = contents.leases.get_mut(&lease).ok_or(StoreError::LeaseOver)?;
            *end_us = now_us() + *ttl_ms * 1_000;
            Ok(Era::default())
        };
        Box::pin(self.limited(Duration::ZERO, self.call(work)))
    }

    fn remove<'a>(&'a self, key: &'a str, expected: Position) -> BoxFuture<'a, Result<CommitOutcome, StoreError>> {
        Box::pin(self.change(LeasedChange::Remove { key: key.to_owned(), expected }))
    }

    fn transact<'a>(&'a self, changes: &'a [LeasedChange]) -> BoxFuture<'a, Result<TransactionOutcome, StoreError>> {
        Box::pin(self.limited(Duration::ZERO, self.call(async move || self.run(changes))))
    }

    fn commit<'a>(&'a self, write: &'a LeasedWrite) -> BoxFuture<'a, Result<CommitOutcome, StoreError>> {
        Box::pin(self.change(LeasedChange::Put(write.clone())))
    }
}
