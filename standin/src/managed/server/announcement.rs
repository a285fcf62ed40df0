//! Announcements of the server: its incarnations, their heartbeats and departures.

use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use super::{ManagedServer, REBIND_MS};
use crate::client::Client;

/// Pause between two heartbeats.
const HEARTBEAT_MS: u64 = 200;

/// Identity of one incarnation of the server, and its heartbeat counter.
#[derive(Debug, Clone, Copy)]
pub(super) struct Incarnation {
    /// Number of earlier ids; incarnations under the same id share it.
    pub(super) generation: u64,
    /// Start time of the incarnation, in milliseconds since 1970.
    pub(super) born_ms: u64,
    /// Number of heartbeats so far.
    pub(super) sequence: u64,
}

impl Incarnation {
    /// Returns an incarnation that follows an earlier one and starts at a time of the VM's clock, which may have been set
    /// back.
    fn after(earlier: Self, generation: u64, now_ms: u64) -> Self {
        let born_ms = if now_ms == earlier.born_ms { now_ms + 1 } else { now_ms };
        Self { generation, born_ms, sequence: 0 }
    }
}

impl ManagedServer {
    /// Announces from now on that the server is draining.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Makes health checks succeed even while the server is draining.
    pub fn set_health_lies(&self) {
        self.health_lies.store(true, Ordering::Relaxed);
    }

    /// Stops sending heartbeats.
    pub fn fall_silent(&self) {
        self.silent.store(true, Ordering::Relaxed);
    }

    /// Deregisters the server, which sends no heartbeats from now on and serves on; returns whether the node has
    /// acknowledged it.
    pub async fn deregister(&self) -> bool {
        self.fall_silent();
        self.drain();
        let id = self.id();
        let path = format!("/api/instances/{id}/deregister");
        let sent = Client::new(self.control).call("POST", &path, &[], String::new()).await;
        let is_acknowledged = sent.is_ok_and(|reply| reply.status == 200);
        if is_acknowledged {
            self.record_acknowledged_drain(&id);
        }
        is_acknowledged
    }

    /// Returns the next heartbeat of a server that is ready, for a test that delivers it late.
    pub fn make_heartbeat(&self) -> Value {
        let mut incarnation = self.incarnation();
        incarnation.sequence += 1;
        self.heartbeat(*incarnation, "ready")
    }

    /// Sends a heartbeat of the current incarnation; returns whether it was acknowledged.
    pub async fn deliver(&self, heartbeat: &Value) -> bool {
        self.deliver_as(&self.id(), heartbeat).await
    }

    /// Sends a heartbeat of the incarnation with this id; returns whether it was acknowledged.
    pub async fn deliver_as(&self, id: &str, heartbeat: &Value) -> bool {
        let path = format!("/api/instances/{id}/heartbeat");
        let sent = Client::new(self.control).call("POST", &path, &[], heartbeat.to_string()).await;
        sent.is_ok_and(|reply| reply.status == 200)
    }

    fn heartbeat(&self, incarnation: Incarnation, state: &str) -> Value {
        let version = self.version.lock().unwrap_or_else(PoisonError::into_inner).clone();
        json!({
            "service": self.service, "address": self.addr, "zone": "kranj", "version": version,
            "slots": self.slots, "state": state, "cold_ms": self.cold_left().as_millis() as u64,
            "sequence": incarnation.sequence, "born": incarnation.born_ms,
        })
    }

    /// Returns the id of the current incarnation.
    pub fn id(&self) -> String {
        self.id_of(*self.incarnation())
    }

    fn id_of(&self, incarnation: Incarnation) -> String {
        match incarnation.generation {
            0 => self.id.clone(),
            generation => format!("{}-{generation}", self.id),
        }
    }

    pub(super) fn incarnation(&self) -> MutexGuard<'_, Incarnation> {
        self.incarnation.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Restarts the server under another id; runs in progress complete.
    pub fn restart_with_new_id(&self) {
        let generation = self.incarnation().generation + 1;
        self.begin_incarnation(generation);
    }

    /// Restarts the server under the same id, as after a crash that lost its state.
    pub fn restart_with_same_id(&self) {
        let generation = self.incarnation().generation;
        self.begin_incarnation(generation);
    }

    /// Sets the VM's clock, from which later incarnations take the time of their start.
    pub fn set_clock(&self, ahead_ms: i64) {
        self.clock_ahead_ms.store(ahead_ms, Ordering::Relaxed);
    }

    pub(super) fn begin_incarnation(&self, generation: u64) {
        *self.acknowledged_drain() = None;
        let mut incarnation = self.incarnation();
        let now_ms = wall_ms().saturating_add_signed(self.clock_ahead_ms.load(Ordering::Relaxed));
        *incarnation = Incarnation::after(*incarnation, generation, now_ms);
        self.draining.store(false, Ordering::Relaxed);
        self.silent.store(false, Ordering::Relaxed);
        self.health_lies.store(false, Ordering::Relaxed);
        *self.leaving.lock().unwrap_or_else(PoisonError::into_inner) = None;
        self.set_limit(None);
    }

    /// Records that a node has acknowledged the drain of an incarnation. The next one may have begun meanwhile.
    fn record_acknowledged_drain(&self, id: &str) {
        if id == self.id() {
            self.acknowledged_drain().get_or_insert_with(Instant::now);
        }
    }

    pub(super) fn acknowledged_drain(&self) -> MutexGuard<'_, Option<Instant>> {
        self.drain_acknowledged.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) async fn announce(self: Arc<Self>) {
        loop {
            if self.down.load(Ordering::Relaxed) || self.silent.load(Ordering::Relaxed) {
                tokio::time::sleep(Duration::from_millis(REBIND_MS)).await;
                continue;
            }
            let (incarnation, draining) = {
                let mut incarnation = self.incarnation();
                incarnation.sequence += 1;
                (*incarnation, self.is_draining())
            };
            let id = self.id_of(incarnation);
            let heartbeat = self.heartbeat(incarnation, if draining { "draining" } else { "ready" });
            if self.deliver_as(&id, &heartbeat).await {
                self.acknowledged.fetch_add(1, Ordering::Relaxed);
                if draining {
                    self.record_acknowledged_drain(&id);
                }
            }
            tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
        }
    }
}

pub(super) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
