//! A store that goes away and comes back from an older copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::{Entry, Shared, State};
use crate::web::{self, Abort};

/// Pause before the port is listened on again that was just closed, in milliseconds.
const REBIND_MS: u64 = 5;
/// Time that the answer to the command has to go out before all connections end, in milliseconds.
const ANSWER_MS: u64 = 20;

/// All that a store holds.
#[derive(Clone)]
pub struct Copy {
    revision: u64,
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl Copy {
    /// Takes a copy.
    pub fn of(state: &State) -> Self {
        Self {
            revision: state.revision,
            entries: state.entries.clone(),
            leases: state.leases.clone(),
            next_lease: state.next_lease,
        }
    }
}

/// How the store is to come back.
pub struct Restore {
    away: Duration,
    history: Option<u64>,
    has_leases: bool,
    keeps_connections: bool,
}

impl Restore {
    /// Reads a command.
    pub fn of(query: &BTreeMap<String, String>) -> Self {
        Self {
            away: Duration::from_millis(web::number(query, "away_ms").unwrap_or(0)),
            history: web::number(query, "history"),
            has_leases: web::number(query, "leases") != Some(0),
            keeps_connections: query.get("connections").is_some_and(|how| how == "kept"),
        }
    }

    /// Has the store go away now, and come back later.
    pub fn begin(self, state: &Shared, restores: Arc<Notify>) -> Result<(), Abort> {
        {
            let mut state = state.lock().map_err(|_| "poisoned")?;
            if state.copy.is_none() {
                return Err("no copy was taken".into());
            }
            state.faults.down = true;
            state.watchers.clear();
        }
        let state = state.clone();
        tokio::spawn(async move {
            sleep(Duration::from_millis(ANSWER_MS)).await;
            if !self.keeps_connections {
                restores.notify_one();
            }
            sleep(self.away).await;
            if let Ok(mut state) = state.lock() {
                self.restore(&mut state);
            }
        });
        Ok(())
    }

    fn restore(&self, state: &mut State) {
        let Some(copy) = state.copy.clone() else {
            return;
        };
        state.revision = copy.revision;
        state.entries = copy.entries;
        state.leases = copy.leases;
        state.next_lease = copy.next_lease;
        if !self.has_leases {
            state.leases.clear();
            state.entries.retain(|_, entry| entry.lease == 0);
        }
        state.events.retain(|(revision, ..)| *revision <= copy.revision);
        state.history = self.history.unwrap_or(state.history);
        state.faults.down = false;
    }
}

/// Waits until the store is to be back.
pub async fn wait(state: &Shared) {
    while state.lock().is_ok_and(|state| state.faults.down) {
        sleep(Duration::from_millis(REBIND_MS)).await;
    }
}

/// Listens on the store's address, as soon as it is free again.
pub async fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(addr).await {
            return Ok(listener);
        }
        sleep(Duration::from_millis(REBIND_MS)).await;
    }
    TcpListener::bind(addr).await
}
