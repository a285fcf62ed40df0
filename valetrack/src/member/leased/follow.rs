//! Follows the store or a relay, and detects when the store becomes unreachable.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::{Shell, WATCH_MS};
use crate::clock::now_us;
use crate::store::{Era, StoreError};

/// Longest pause before a node that has never served reads a failed store again.
const REREAD_MS: u64 = 400;
/// Longest pause before a node that has served reads a failed store again: its calls that keep entries cost less than
/// reads and detect sooner that the store is reachable again.
const REREAD_KEPT_MS: u64 = 3_000;
/// Pause between two rounds of the search for a relay: the writes of one round are read by the others in the next.
const ROUND_MS: std::ops::RangeInclusive<u64> = 300..=600;
/// Wait of a watch call for changes that exist already: the shortest wait that the store accepts.
pub(super) const CATCH_UP_WAIT: Duration = Duration::from_millis(1);

impl Shell {
    /// Follows the store or a relay; runs as long as the node.
    pub(super) async fn follow_store(self: Rc<Self>) {
        let mut round = 0;
        loop {
            self.choose_role();
            match self.relay() {
                Some(relay) if self.follows_relays.get() => self.follow_relay(&relay).await,
                None if self.is_relay() => self.follow_directly().await,
                Some(_) | None => round = self.find_relay(round).await,
            }
        }
    }

    /// Looks for relays among the entries in the store, and chooses to follow one or to become one, with a chance that
    /// grows with each round; returns the number of the next round.
    async fn find_relay(self: &Rc<Self>, round: u32) -> u32 {
        let pause_ms = match self.read_earlier().await {
            Ok(()) => self.rng.borrow_mut().u64(ROUND_MS),
            Err(error) => {
                self.store_failed("read", &error);
                self.avoided.borrow_mut().clear();
                self.reread_pause_ms()
            }
        };
        let may_serve = self.keeper.borrow().wanted() > 0;
        let has_departure = self.me.borrow().departure.is_some();
        if self.store_reachable.get() && may_serve && has_departure {
            // Relays keep their own entries; the acknowledgement waits for this one.
            self.become_relay("departure to record");
        } else if self.store_reachable.get() && may_serve && self.draws_relay_role(round) {
            self.become_relay("few relays to follow");
        } else if self.draws_follower_role(round, may_serve) {
            self.follows_relays.set(true);
        }
        if self.is_relay() || self.follows_relays.get() {
            return 0;
        }
        // The pause ends early when another node follows this one, the entry changes or the store is reachable again.
        tokio::select! {
            () = sleep(Duration::from_millis(pause_ms)) => {}
            () = self.follow_now.notified() => {}
            () = self.entry_update.notified() => {}
            () = self.reread.notified() => {}
        }
        round + u32::from(may_serve)
    }

    fn reread_pause_ms(&self) -> u64 {
        let longest_ms = if self.keeper.borrow().wanted() == 0 { REREAD_MS } else { REREAD_KEPT_MS };
        self.rng.borrow_mut().u64(longest_ms / 2..=longest_ms)
    }

    /// Follows the store itself until it fails or this node has another relay to follow.
    async fn follow_directly(self: &Rc<Self>) {
        if self.failing_since_us.get().is_some() {
            // The store is read again after the pause or the notification.
            let _ = timeout(Duration::from_millis(self.reread_pause_ms()), self.reread.notified()).await;
        }
        let mut wait = CATCH_UP_WAIT;
        while self.is_relay() && self.relay().is_none() {
            let changed = tokio::select! {
                changed = self.read_changes(wait) => changed,
                // The store was unreachable, and a call from before may never end.
                () = self.reread.notified() => continue,
            };
            match changed {
                Ok(false) => {}
                Ok(true) => self.gather().await,
                Err(error) => {
                    let is_first = self.failing_since_us.get().is_none();
                    self.store_failed("watch", &error);
                    if !is_first {
                        return;
                    }
                    // The connection may be dead, and a new one may work.
                    wait = CATCH_UP_WAIT;
                    continue;
                }
            }
            self.choose_role();
            wait = Duration::from_millis(self.wait_ms().min(self.poll_ms()));
        }
    }

    /// Waits for further changes, so that changes in quick succession are read in one call.
    async fn gather(&self) {
        let gather_ms = self.log.borrow().gather_left_ms(now_us());
        sleep(Duration::from_millis(gather_ms)).await;
    }

    /// Returns how long the next call for changes may wait so that the updates of followers are fresh.
    fn poll_ms(&self) -> u64 {
        let log = self.log.borrow();
        log.reader_poll_ms(now_us()).min(log.relay_wait_ms(now_us()))
    }

    /// Returns how long a call for changes waits: at most until the next missing entry expires.
    fn wait_ms(&self) -> u64 {
        let next_us = self.directory.borrow().next_expiry_us();
        let until_ms = next_us.map_or(WATCH_MS, |next_us| next_us.saturating_sub(now_us()) / 1000 + 10);
        until_ms.clamp(10, WATCH_MS)
    }

    /// Records that the store has answered this node, in the given era.
    pub(super) fn store_answered(self: &Rc<Self>, era: Era) {
        self.failing_since_us.set(None);
        self.store_update_received(era);
    }

    /// Records that the store has answered this node, or a relay that has just sent an update.
    pub(super) fn store_update_received(self: &Rc<Self>, era: Era) {
        self.observe_era(era);
        if self.store_reachable.replace(true) {
            return;
        }
        log::info!("event=store.reachable");
        self.directory.borrow_mut().on_store_reachable(now_us());
        self.keeper.borrow_mut().on_store_reachable();
        self.entry_due.notify_one();
    }

    /// Records that a call to the store has failed.
    pub(super) fn store_failed(&self, call: &str, error: &StoreError) {
        self.parts.metrics.store_calls.with_label_values(&["failed"]).inc();
        self.parts.metrics.store_failures.with_label_values(&[&error.code().to_string()]).inc();
        if self.failing_since_us.get().is_none() {
            self.failing_since_us.set(Some(now_us()));
        }
        self.mark_log_stale();
        if self.store_reachable.replace(false) {
            // Logged once per outage, since a store that is down would flood the log.
            log::warn!("event=store.lost call={call} code={} reason=\"{error}\"", error.code());
        }
    }

    /// Marks the log as stale, and wakes the pending requests of followers.
    pub(super) fn mark_log_stale(&self) {
        self.log.borrow_mut().mark_stale();
        self.log_changed.notify_waiters();
    }

    /// Counts a call to the store by its kind.
    pub(super) fn count(&self, kind: &str) {
        self.parts.metrics.store_calls.with_label_values(&[kind]).inc();
    }
}
