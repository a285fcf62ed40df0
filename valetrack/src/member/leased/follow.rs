//! Follows the store or a relay, and notes when the store stops answering.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::{Shell, WATCH_MS};
use crate::clock::now_us;
use crate::store::{Era, StoreError};

/// Pause between two calls for changes, in milliseconds: changes that come together, as when a
/// fleet starts, are then read in one call, since each call of each node is paid for. An operator's
/// change may take two seconds to be in force.
const GATHER_MS: u64 = 800;
/// Pause before a store that failed is read again by a node that has no entry in it yet, in
/// milliseconds.
const REREAD_MS: u64 = 400;
/// The same for a node that has one, in milliseconds: its renewals, which cost less than reads, tell
/// sooner when the store answers again.
const REREAD_KEPT_MS: u64 = 3_000;
/// The pause between two calls for changes of a relay, in milliseconds: there are few relays.
const RELAY_GATHER_MS: u64 = 200;
/// Time from its start for which a node that knows no relay yet reads earlier states of the store in
/// place of following it closely, in microseconds: the entries of a fleet that starts are written
/// within two seconds. Ten nodes on the stand-in of the store make 4.6 calls each until all serve and
/// three seconds more, and 6.2 without it.
const SETTLE_US: u64 = 2_500_000;
/// Pause between two such reads, in milliseconds: an operator's change or a relay that is found this
/// much later does no harm to a node that has just started.
const SETTLE_READ_MS: u64 = 600;
/// Wait of a call for what has changed already: the shortest that can be asked for.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1);

impl Shell {
    /// Follows the store, or a relay in its place; runs as long as the node.
    pub(super) async fn follow_store(self: Rc<Self>) {
        let mut after_outage = false;
        loop {
            // After an outage of the store the relay reads it for its whole group. A relay that fails
            // while the store answers is behind, and the store itself is asked at once.
            let caught_up = match after_outage && self.relay().is_some() {
                true => Ok(()),
                false => self.catch_up().await,
            };
            after_outage = caught_up.is_err();
            match caught_up {
                Ok(()) => self.follow().await,
                Err(error) => {
                    self.store_failed("read", &error);
                    // A relay is left alone only while the store itself tells more. A node that the store turns
                    // away after its relay has failed would hear of an evacuation 5.4 s late otherwise.
                    self.avoided.borrow_mut().clear();
                    let longest_ms = if self.keeper.borrow().wanted() == 0 { REREAD_MS } else { REREAD_KEPT_MS };
                    let pause_ms = self.rng.borrow_mut().u64(longest_ms / 2..=longest_ms);
                    // Woken or not, the store is read again.
                    let _ = timeout(Duration::from_millis(pause_ms), self.reread.notified()).await;
                }
            }
        }
    }

    /// Reads from the store itself what has changed since the last read, or everything.
    async fn catch_up(self: &Rc<Self>) -> Result<(), StoreError> {
        if self.log.borrow().position().is_start() {
            return self.read_earlier().await;
        }
        self.read_changes(CATCH_UP_WAIT).await.map(|_| ())
    }

    /// Follows whatever is to be followed until that fails.
    async fn follow(self: &Rc<Self>) {
        loop {
            let served = match self.relay() {
                Some(relay) => self.follow_relay(&relay).await,
                None if self.settles() => self.settle().await,
                None => self.follow_directly().await,
            };
            if !served {
                return;
            }
        }
    }

    /// Returns whether this node has just started, and nobody relies on its being close to the store.
    fn settles(&self) -> bool {
        now_us() < self.started_us + SETTLE_US && !self.is_relay()
    }

    /// Waits for a relay to be found among the entries of a fleet that starts; returns whether the
    /// store served.
    async fn settle(self: &Rc<Self>) -> bool {
        let pause_ms = self.rng.borrow_mut().u64(SETTLE_READ_MS / 2..=SETTLE_READ_MS);
        if timeout(Duration::from_millis(pause_ms), self.hasten.notified()).await.is_ok() {
            return true;
        }
        match self.read_earlier().await {
            Ok(()) => true,
            Err(error) => {
                self.store_failed("read", &error);
                false
            }
        }
    }

    /// Follows the store itself until it fails or a relay is to be followed; returns whether the
    /// store served to the end.
    async fn follow_directly(self: &Rc<Self>) -> bool {
        while self.relay().is_none() {
            let relay = self.is_relay();
            let longest_ms = if relay { self.log.borrow().relay_wait_ms(now_us()) } else { WATCH_MS };
            let wait = Duration::from_millis(self.wait_ms().min(longest_ms));
            let changed = tokio::select! {
                changed = self.read_changes(wait) => changed,
                // The store was away; a call from before may hang for good.
                () = self.reread.notified() => return false,
                () = self.hasten.notified(), if !relay => continue,
            };
            match changed {
                Ok(false) => {}
                Ok(true) => {
                    let gather_ms = if relay { RELAY_GATHER_MS } else { GATHER_MS };
                    sleep(Duration::from_millis(gather_ms)).await;
                }
                Err(error) => {
                    self.store_failed("watch", &error);
                    return false;
                }
            }
        }
        true
    }

    /// Returns how long a call for changes waits: no longer than until an entry that is missing
    /// is to be forgotten.
    fn wait_ms(&self) -> u64 {
        let next_us = self.directory.borrow().next_expiry_us();
        let until_ms = next_us.map_or(WATCH_MS, |next_us| next_us.saturating_sub(now_us()) / 1000 + 10);
        until_ms.clamp(10, WATCH_MS)
    }

    /// Notes that the store answers, and in which era.
    pub(super) fn store_answered(self: &Rc<Self>, era: Era) {
        self.era_seen(era);
        if self.store_answers.replace(true) {
            return;
        }
        log::info!("event=store.answers");
        self.directory.borrow_mut().store_is_back(now_us());
        self.keeper.borrow_mut().store_is_back();
        self.entry_due.notify_one();
    }

    pub(super) fn store_failed(&self, call: &str, error: &StoreError) {
        self.parts.metrics.store_calls.with_label_values(&["failed"]).inc();
        self.parts.metrics.store_failures.with_label_values(&[&error.code().to_string()]).inc();
        self.lose_log();
        if self.store_answers.replace(false) {
            // Told once an outage: a store that is down would fill the log.
            log::warn!("event=store.lost call={call} code={} reason=\"{error}\"", error.code());
        }
    }

    /// Counts what was followed so far as old, and tells those who follow this node.
    pub(super) fn lose_log(&self) {
        self.log.borrow_mut().lose();
        self.logged.notify_waiters();
    }

    pub(super) fn count(&self, kind: &str) {
        self.parts.metrics.store_calls.with_label_values(&[kind]).inc();
    }
}
