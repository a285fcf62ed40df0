//! Follows the store: reads it whole, then its changes, and notes when it stops answering.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::{Shell, WATCH_MS};
use crate::bundle::version_of;
use crate::clock::now_us;
use crate::code::Code;
use crate::member::entry_key;
use crate::store::{Change, Freshness, Item, StoreError};

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
/// within two seconds. A start costs 3 calls to the store with it and 6 without, of 8 nodes on the
/// stand-in of the store.
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
                    let longest_ms = if self.keeper.borrow().wanted() == 0 { REREAD_MS } else { REREAD_KEPT_MS };
                    let pause_ms = self.rng.borrow_mut().u64(longest_ms / 2..=longest_ms);
                    // Woken or not, the store is read again.
                    let _ = timeout(Duration::from_millis(pause_ms), self.reread.notified()).await;
                }
            }
        }
    }

    /// Reads from the store itself what has changed since the last read, or everything.
    async fn catch_up(&self) -> Result<(), StoreError> {
        if self.log.borrow().at_revision() == 0 {
            return self.read_earlier().await;
        }
        self.read_changes(CATCH_UP_WAIT).await.map(|_| ())
    }

    /// Follows whatever is to be followed until that fails.
    async fn follow(&self) {
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
    async fn settle(&self) -> bool {
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

    /// Reads everything as it stood some seconds ago at most; what has changed since is told by
    /// whoever is followed then.
    async fn read_earlier(&self) -> Result<(), StoreError> {
        self.read_all(Freshness::Earlier).await?;
        // Nobody may rely on it for what has changed since.
        self.lose_log();
        Ok(())
    }

    async fn read_all(&self, freshness: Freshness) -> Result<(), StoreError> {
        let sent_us = now_us();
        let mut items: Vec<Item> = Vec::new();
        let mut at_revision = u64::MAX;
        loop {
            let after = items.last().map(|item| item.key.clone());
            self.count(match freshness {
                Freshness::Current => "list",
                Freshness::Earlier => "list-earlier",
            });
            let page = self.parts.store.list("", after.as_deref(), freshness).await?;
            // Pages are no snapshot: changes are followed from the earliest one on.
            at_revision = at_revision.min(page.at_revision);
            let last = page.items.is_empty() || !page.has_more;
            items.extend(page.items);
            if last {
                break;
            }
        }
        self.store_answered();
        // An earlier state may be older than what is known already.
        if at_revision >= self.log.borrow().at_revision() {
            self.take_all(&items, at_revision, sent_us);
        }
        Ok(())
    }

    /// Takes all items of the store as they stood at `confirmed_us`.
    pub(super) fn take_all(&self, items: &[Item], at_revision: u64, confirmed_us: u64) {
        let key = entry_key(&self.parts.me.vm);
        let own = items.iter().find(|item| item.key == key);
        // A state from before the entry was written does not show that it is gone.
        if own.is_some() || at_revision >= self.keeper.borrow().revision() {
            self.own_entry_seen(own.map_or(0, |item| item.revision), own.is_some());
        }
        for item in items.iter().filter(|item| item.key == *self.parts.bundle_key) {
            self.take_bundle(item);
        }
        self.directory.borrow_mut().replace(items, now_us());
        self.log.borrow_mut().read(items, at_revision, confirmed_us);
        self.logged.notify_waiters();
        self.publish();
    }

    /// Follows the store itself until it fails or a relay is to be followed; returns whether the
    /// store served to the end.
    async fn follow_directly(&self) -> bool {
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
                Ok(0) => {}
                Ok(_) => {
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

    /// Waits for changes in the store and takes them, or reads everything where the store has
    /// forgotten them; returns how many there were.
    async fn read_changes(&self, wait: Duration) -> Result<usize, StoreError> {
        self.count("watch");
        let sent_us = now_us();
        let after = self.log.borrow().at_revision();
        let changes = match self.parts.store.changes("", after, wait).await {
            Err(StoreError::HistoryGone) => {
                log::info!("event=store.history_gone code={} revision={after}", Code::StoreHistoryGone);
                // A node with a relay is told by it what has changed since an earlier state.
                match self.relay() {
                    Some(_) => self.read_earlier().await?,
                    None => self.read_all(Freshness::Current).await?,
                }
                return Ok(0);
            }
            read => read?,
        };
        self.store_answered();
        // An answer without changes comes when the wait is over, one with changes at any moment.
        let waited_us = if changes.changes.is_empty() { wait.as_micros() as u64 } else { 0 };
        self.take_changes(&changes.changes, changes.at_revision, (sent_us + waited_us).min(now_us()));
        Ok(changes.changes.len())
    }

    /// Returns how long a call for changes waits: no longer than until an entry that is missing
    /// is to be forgotten.
    fn wait_ms(&self) -> u64 {
        let next_us = self.directory.borrow().next_expiry_us();
        let until_ms = next_us.map_or(WATCH_MS, |next_us| next_us.saturating_sub(now_us()) / 1000 + 10);
        until_ms.clamp(10, WATCH_MS)
    }

    /// Takes changes up to `at_revision`, at which the store stood at `confirmed_us`.
    pub(super) fn take_changes(&self, changes: &[Change], at_revision: u64, confirmed_us: u64) {
        self.log.borrow_mut().apply(changes, at_revision, confirmed_us);
        self.logged.notify_waiters();
        let own = entry_key(&self.parts.me.vm);
        let mut changed = false;
        for change in changes {
            match change {
                Change::Put(item) if item.key == own => self.own_entry_seen(item.revision, true),
                Change::Gone { key, revision } if *key == own => self.own_entry_seen(*revision, false),
                Change::Put(item) if item.key == *self.parts.bundle_key => self.take_bundle(item),
                Change::Put(_) | Change::Gone { .. } => {
                    changed |= self.directory.borrow_mut().apply(change, now_us());
                }
            }
        }
        for vm in self.directory.borrow_mut().expire(now_us()) {
            log::info!("event=member.gone peer={vm} by=store");
            changed = true;
        }
        if changed {
            self.publish();
        }
    }

    fn own_entry_seen(&self, revision: u64, present: bool) {
        self.keeper.borrow_mut().seen(revision, present);
        if !present {
            self.entry_due.notify_one();
        }
    }

    fn take_bundle(&self, item: &Item) {
        let text = match std::str::from_utf8(&item.value) {
            Ok(text) => text,
            Err(error) => {
                log::error!("event=bundle.refused code={} reason=\"{error}\"", Code::BundleDamaged);
                return;
            }
        };
        match self.parts.format.number(text) {
            Some(number) => self.adopter.offer(number, &version_of(text), text, "store"),
            None => log::error!("event=bundle.refused code={} reason=\"no number\"", Code::BundleDamaged),
        }
    }

    pub(super) fn store_answered(&self) {
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
