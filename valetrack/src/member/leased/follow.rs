//! Follows the store, a relay, or whoever is found, and notes when the store stops answering.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::{Shell, WATCH_MS};
use crate::clock::now_us;
use crate::store::{Era, StoreError};

/// Pause before a store that failed is read again by a node that has never served, in milliseconds.
const REREAD_MS: u64 = 400;
/// The same for one that has, in milliseconds: the calls that keep entries, which cost less than reads, tell sooner when
/// the store answers again.
const REREAD_KEPT_MS: u64 = 3_000;
/// Pause between two rounds of looking for a relay, in milliseconds: what a node writes in one round is read by the
/// others in the next.
const ROUND_MS: std::ops::RangeInclusive<u64> = 300..=600;
/// Wait of a call for what has changed already: the shortest that can be asked for.
pub(super) const CATCH_UP_WAIT: Duration = Duration::from_millis(1);

impl Shell {
    /// Follows the store, or a relay in its place; runs as long as the node.
    pub(super) async fn follow_store(self: Rc<Self>) {
        let mut round = 0;
        loop {
            self.choose_role();
            match self.relay() {
                Some(relay) if self.has_joined.get() => self.follow_relay(&relay).await,
                None if self.is_relay() => self.follow_directly().await,
                Some(_) | None => round = self.find_relay(round).await,
            }
        }
    }

    /// Looks for relays among the entries in the store, and asks one, or becomes one, by a chance that grows with each
    /// round; returns the number of the next round.
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
        if self.store_answers.get() && may_serve && self.begins_as_relay(round) {
            self.become_relay("few to follow");
        } else if self.joins(round, may_serve) {
            self.has_joined.set(true);
        }
        if self.is_relay() || self.has_joined.get() {
            return 0;
        }
        // Another node that follows this one, or the store's answering, ends the pause.
        tokio::select! {
            () = sleep(Duration::from_millis(pause_ms)) => {}
            () = self.hasten.notified() => {}
            () = self.reread.notified() => {}
        }
        round + u32::from(may_serve)
    }

    fn reread_pause_ms(&self) -> u64 {
        let longest_ms = if self.keeper.borrow().wanted() == 0 { REREAD_MS } else { REREAD_KEPT_MS };
        self.rng.borrow_mut().u64(longest_ms / 2..=longest_ms)
    }

    /// Follows the store itself until it fails or another relay is to be followed.
    async fn follow_directly(self: &Rc<Self>) {
        if self.failing_since_us.get().is_some() {
            // Woken or not, the store is read again.
            let _ = timeout(Duration::from_millis(self.reread_pause_ms()), self.reread.notified()).await;
        }
        let mut wait = CATCH_UP_WAIT;
        while self.is_relay() && self.relay().is_none() {
            let changed = tokio::select! {
                changed = self.read_changes(wait) => changed,
                // The store was away; a call from before may hang for good.
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
                    // The connection may have gone silent, and another one serve.
                    wait = CATCH_UP_WAIT;
                    continue;
                }
            }
            self.choose_role();
            wait = Duration::from_millis(self.wait_ms().min(self.poll_ms()));
        }
    }

    /// Waits until the changes that come together are there.
    async fn gather(&self) {
        let gather_ms = self.log.borrow().gather_ms();
        sleep(Duration::from_millis(gather_ms)).await;
    }

    /// Returns how long the next call for changes may wait for the news of followers to be fresh.
    fn poll_ms(&self) -> u64 {
        let log = self.log.borrow();
        log.reader_poll_ms(now_us()).min(log.relay_wait_ms(now_us()))
    }

    /// Returns how long a call for changes waits: no longer than until an entry that is missing
    /// is to be forgotten.
    fn wait_ms(&self) -> u64 {
        let next_us = self.directory.borrow().next_expiry_us();
        let until_ms = next_us.map_or(WATCH_MS, |next_us| next_us.saturating_sub(now_us()) / 1000 + 10);
        until_ms.clamp(10, WATCH_MS)
    }

    /// Notes that the store answers this node, and in which era.
    pub(super) fn store_answered(self: &Rc<Self>, era: Era) {
        self.failing_since_us.set(None);
        self.news_came(era);
    }

    /// Notes that the store answers this node, or a relay that has just told of it.
    pub(super) fn news_came(self: &Rc<Self>, era: Era) {
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
        if self.failing_since_us.get().is_none() {
            self.failing_since_us.set(Some(now_us()));
        }
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
