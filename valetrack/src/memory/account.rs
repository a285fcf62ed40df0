//! The account of held bytes, shared by all tasks of the process.

use std::collections::HashMap;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use prometheus::IntGauge;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::budget::{Budget, ClientId, Growth, HeldKind};
use super::client::ClientConnection;
use crate::clock::steady_us;
use crate::metric::Metrics;

/// Time for which a connection that was told to close may take.
const EVICTION_MS: u64 = 100;
/// Interval at which a wait for room looks for connections that have become stalled.
const STALL_CHECK_MS: u64 = 50;

/// How long a charge waits for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Patience {
    /// Only while connections close that were told to.
    Eviction,
    /// Up to this time.
    Wait(Duration),
}

/// The account of held bytes.
#[derive(Debug, Clone)]
pub struct MemoryAccount {
    shared: Arc<Shared>,
    /// Client for which bytes are charged.
    client: Option<ClientId>,
}

#[derive(Debug)]
struct Shared {
    budget: Mutex<Budget>,
    /// Connections that can be told to close.
    evictions: Mutex<HashMap<ClientId, Arc<Notify>>>,
    /// Notified when bytes are released.
    released: Notify,
    /// Held bytes, in the order of [`HeldKind::ALL`].
    held: [IntGauge; HeldKind::ALL.len()],
    metrics: Arc<Metrics>,
}

impl MemoryAccount {
    /// Returns an empty account of `limit_bytes`.
    pub fn new(limit_bytes: u64, metrics: Arc<Metrics>) -> Self {
        metrics.memory_limit.set(i64::try_from(limit_bytes).unwrap_or(i64::MAX));
        let held = HeldKind::ALL.map(|kind| metrics.memory_held.with_label_values(&[kind.as_str()]));
        let shared = Shared {
            budget: Mutex::new(Budget::new(limit_bytes)),
            evictions: Mutex::default(),
            released: Notify::new(),
            held,
            metrics,
        };
        Self { shared: Arc::new(shared), client: None }
    }

    /// Returns the largest single holding.
    pub fn holding_max_bytes(&self) -> u64 {
        self.budget().holding_max_bytes()
    }

    /// Returns whether more than half of the memory is in use, so that no work should begin before its turn.
    pub fn is_scarce(&self) -> bool {
        self.budget().is_scarce()
    }

    /// Returns how many bytes short holdings and connections may grow by.
    pub fn room_bytes(&self) -> u64 {
        self.budget().room_bytes()
    }

    /// Returns a charge of no bytes.
    pub fn empty_charge(&self, kind: HeldKind) -> Charge {
        Charge { account: self.clone(), kind, bytes: 0 }
    }

    /// Charges `bytes` if there is room for them.
    pub fn try_charge(&self, kind: HeldKind, bytes: u64) -> Option<Charge> {
        let mut charge = self.empty_charge(kind);
        charge.try_grow(bytes).then_some(charge)
    }

    /// Charges `bytes`; closes stalled connections of clients if there is no room for them.
    pub async fn charge(&self, kind: HeldKind, bytes: u64, patience: Patience) -> Option<Charge> {
        let mut charge = self.empty_charge(kind);
        charge.grow(bytes, patience).await.then_some(charge)
    }

    /// Adds the connection of a client, which may be told to close; `charge` is that of the connection.
    pub fn add_client(&self, charge: &mut Charge) -> ClientConnection {
        let id = self.budget().add_client(charge.bytes, steady_us());
        let evicted = Arc::new(Notify::new());
        self.evictions().insert(id, evicted.clone());
        let account = Self { client: Some(id), ..self.clone() };
        charge.account = account.clone();
        ClientConnection::new(account, id, evicted)
    }

    /// Tells one connection to close, and waits until it has; returns whether one was told or is closing.
    pub async fn evict_one(&self) -> bool {
        let mut released = pin!(self.shared.released.notified());
        released.as_mut().enable();
        let victim = self.budget().evict_one(steady_us());
        self.tell_to_close(victim);
        if !self.budget().is_evicting() {
            return false;
        }
        tokio::time::timeout(Duration::from_millis(EVICTION_MS), released).await.is_ok()
    }

    pub(super) fn remove_client(&self, id: ClientId) {
        self.budget().remove_client(id);
        self.evictions().remove(&id);
        self.shared.released.notify_waiters();
    }

    pub(super) fn budget(&self) -> MutexGuard<'_, Budget> {
        self.shared.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evictions(&self) -> MutexGuard<'_, HashMap<ClientId, Arc<Notify>>> {
        self.shared.evictions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn evict(&self, growth: &Growth) {
        let victims = self.budget().evict(growth, steady_us());
        self.tell_to_close(victims);
    }

    fn tell_to_close(&self, victims: impl IntoIterator<Item = ClientId>) {
        let evictions = self.evictions();
        for evicted in victims.into_iter().filter_map(|id| evictions.get(&id)) {
            self.shared.metrics.memory_evictions.inc();
            evicted.notify_one();
        }
    }

    fn publish_held(&self, kind: HeldKind, held: u64) {
        self.shared.held[kind as usize].set(i64::try_from(held).unwrap_or(i64::MAX));
    }
}

/// Charged bytes, which are returned to the account when this is dropped.
#[derive(Debug)]
pub struct Charge {
    account: MemoryAccount,
    kind: HeldKind,
    bytes: u64,
}

impl Charge {
    /// Returns the charged bytes.
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Grows to `to_bytes` if there is room; a charge that is larger keeps its size.
    pub fn try_grow(&mut self, to_bytes: u64) -> bool {
        let to_bytes = to_bytes.max(self.bytes);
        let mut budget = self.account.budget();
        if !budget.charge(&self.growth(to_bytes)) {
            return false;
        }
        self.account.publish_held(self.kind, budget.held(self.kind));
        drop(budget);
        self.bytes = to_bytes;
        true
    }

    /// Grows like [`Self::try_grow`]. If there is no room, stalled and idle connections are closed, so that there is for a
    /// later one.
    pub fn try_grow_or_evict(&mut self, to_bytes: u64) -> bool {
        let grew = self.try_grow(to_bytes);
        if !grew {
            self.account.evict(&self.growth(to_bytes));
        }
        grew
    }

    const fn growth(&self, to_bytes: u64) -> Growth {
        Growth { client: self.account.client, kind: self.kind, bytes: self.bytes, to_bytes }
    }

    /// Grows like [`Self::try_grow`]; closes stalled connections of clients if there is no room.
    pub async fn grow(&mut self, to_bytes: u64, patience: Patience) -> bool {
        if self.try_grow(to_bytes) {
            return true;
        }
        let grew = to_bytes <= self.account.holding_max_bytes() && self.wait_to_grow(to_bytes, patience).await;
        if !grew {
            self.account.shared.metrics.memory_refusals.with_label_values(&[self.kind.as_str()]).inc();
        }
        grew
    }

    async fn wait_to_grow(&mut self, to_bytes: u64, patience: Patience) -> bool {
        let account = self.account.clone();
        let until = Instant::now()
            + match patience {
                Patience::Eviction => Duration::from_millis(EVICTION_MS),
                Patience::Wait(longest) => longest,
            };
        while Instant::now() < until {
            let mut released = pin!(account.shared.released.notified());
            // Bytes that are released from now on end the wait.
            released.as_mut().enable();
            if self.try_grow(to_bytes) {
                return true;
            }
            account.evict(&self.growth(to_bytes));
            if patience == Patience::Eviction && !account.budget().is_evicting() {
                break;
            }
            let check = Instant::now() + Duration::from_millis(STALL_CHECK_MS);
            let _ = timeout_at(check.min(until), released).await;
        }
        self.try_grow(to_bytes)
    }

    /// Returns all but `to_bytes` to the account.
    pub fn shrink(&mut self, to_bytes: u64) {
        let released = self.bytes.saturating_sub(to_bytes);
        if released == 0 {
            return;
        }
        self.bytes = to_bytes;
        let mut budget = self.account.budget();
        budget.release(self.account.client, self.kind, released);
        self.account.publish_held(self.kind, budget.held(self.kind));
        drop(budget);
        self.account.shared.released.notify_waiters();
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
