//! A store that becomes unavailable and is restored from an older copy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::sleep;

use super::{Entry, Shared, State};
use crate::web::{self, Abort};

/// Pause before another attempt to bind the port that was just closed, and between two checks of an unavailable store.
const REBIND_MS: u64 = 5;
/// Time for the answer to the command to be sent before all connections end.
const ANSWER_MS: u64 = 20;

/// Copy of the whole contents of a store.
#[derive(Clone)]
pub struct Copy {
    revision: u64,
    entries: BTreeMap<Vec<u8>, Entry>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl Copy {
    /// Copies the contents of a store.
    pub fn of(state: &State) -> Self {
        Self {
            revision: state.revision,
            entries: state.entries.clone(),
            leases: state.leases.clone(),
            next_lease: state.next_lease,
        }
    }
}

/// Parameters of a restore.
pub struct Restore {
    away: Duration,
    history: Option<u64>,
    has_leases: bool,
    keeps_connections: bool,
}

impl Restore {
    /// Reads the parameters from the query of the command.
    pub fn of(query: &BTreeMap<String, String>) -> Self {
        Self {
            away: Duration::from_millis(web::number(query, "away_ms").unwrap_or(0)),
            history: web::number(query, "history"),
            has_leases: web::number(query, "leases") != Some(0),
            keeps_connections: query.get("connections").is_some_and(|how| how == "kept"),
        }
    }

    /// Makes the store unavailable now, and restores the copy after the given time.
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

/// Waits until the store is available.
pub async fn wait(state: &Shared) {
    while state.lock().is_ok_and(|state| state.faults.down) {
        sleep(Duration::from_millis(REBIND_MS)).await;
    }
}

/// Binds the store's address, and retries while the port is still in use.
pub async fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(addr).await {
            return Ok(listener);
        }
        sleep(Duration::from_millis(REBIND_MS)).await;
    }
    TcpListener::bind(addr).await
}
