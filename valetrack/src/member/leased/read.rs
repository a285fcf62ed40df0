//! Reads the store, whole or what has changed, and takes what was read, from the store or a relay.

use std::sync::Arc;
use std::time::Duration;

use super::Shell;
use crate::bundle::version_of;
use crate::clock::now_us;
use crate::code::Code;
use crate::crash::CrashJob;
use crate::crash::archive::service_of;
use crate::member::{entry_key, member_of};
use crate::store::{Change, Freshness, Item, StoreError};

impl Shell {
    /// Reads everything as it stood some seconds ago at most; what has changed since is told by
    /// whoever is followed then.
    pub(super) async fn read_earlier(&self) -> Result<(), StoreError> {
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
        let known = self.log.borrow().at_revision();
        if at_revision < known {
            self.parts.metrics.store_outdated.inc();
            log::info!("event=store.read_outdated freshness={freshness:?} revision={at_revision} known={known}");
            return Ok(());
        }
        self.take_all(&items, at_revision, sent_us);
        Ok(())
    }

    /// Takes all items of the store as they stood at `confirmed_us`.
    pub(super) fn take_all(&self, items: &[Item], at_revision: u64, confirmed_us: u64) {
        let key = entry_key(&self.parts.me.vm);
        let own = items.iter().find(|item| item.key == key);
        // A state from before the entry was written does not show that it is gone.
        if own.is_some() || at_revision >= self.keeper.borrow().revision() {
            match own {
                Some(item) => self.own_entry_seen(item),
                None => self.own_entry_gone(0),
            }
        }
        for item in items.iter().filter(|item| item.key == *self.parts.bundle_key) {
            self.take_bundle(item);
        }
        self.take_evacuations(items, at_revision);
        for item in items {
            self.take_crashes(item);
        }
        self.directory.borrow_mut().replace(items, now_us());
        self.count_invalid();
        self.log.borrow_mut().read(items, at_revision, confirmed_us);
        self.logged.notify_waiters();
        self.publish();
    }

    /// Waits for changes in the store and takes them, or reads everything where the store has
    /// forgotten them; returns how many there were.
    pub(super) async fn read_changes(&self, wait: Duration) -> Result<usize, StoreError> {
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

    /// Takes changes up to `at_revision`, at which the store stood at `confirmed_us`.
    pub(super) fn take_changes(&self, changes: &[Change], at_revision: u64, confirmed_us: u64) {
        self.log.borrow_mut().apply(changes, at_revision, confirmed_us);
        self.logged.notify_waiters();
        let own = entry_key(&self.parts.me.vm);
        let mut changed = false;
        for change in changes {
            match change {
                Change::Put(item) if item.key == own => self.own_entry_seen(item),
                Change::Gone { key, revision } if *key == own => self.own_entry_gone(*revision),
                Change::Put(item) if item.key == *self.parts.bundle_key => self.take_bundle(item),
                change if self.evacuated_domain(change.key()).is_some() => self.take_evacuation(change),
                Change::Put(item) if service_of(&item.key).is_some() => self.take_crashes(item),
                Change::Put(_) | Change::Gone { .. } => {
                    changed |= self.directory.borrow_mut().apply(change, now_us());
                }
            }
        }
        self.count_invalid();
        for vm in self.directory.borrow_mut().expire(now_us()) {
            log::info!("event=member.gone peer={vm} by=store");
            changed = true;
        }
        if changed {
            self.publish();
        }
    }

    /// Passes on what the store holds of a service's crashes, if the item holds that.
    fn take_crashes(&self, item: &Item) {
        let Some(service) = service_of(&item.key) else {
            return;
        };
        let job = CrashJob::Stored { service: Arc::from(service), value: item.value.clone() };
        if self.parts.to_crash.try_send(job).is_err() {
            log::warn!("event=crash.stored_dropped service={service} reason=\"full ring\"");
        }
    }

    fn count_invalid(&self) {
        let count = self.directory.borrow_mut().take_invalid();
        self.parts.metrics.invalid_input.with_label_values(&[&Code::EntryInvalid.to_string()]).inc_by(count);
    }

    /// Returns the failure domain that a key evacuates, if it is such a key.
    fn evacuated_domain<'k>(&self, key: &'k str) -> Option<&'k str> {
        key.strip_prefix(&*self.parts.evacuation_prefix).filter(|domain| !domain.is_empty())
    }

    /// Takes which failure domains are evacuated as the whole store shows it.
    fn take_evacuations(&self, items: &[Item], at_revision: u64) {
        let domains = items.iter().filter_map(|item| self.evacuated_domain(&item.key)).map(Arc::from).collect();
        if self.evacuation.borrow_mut().set(domains, at_revision) {
            self.evacuation_changed("store");
        }
    }

    /// Takes the start or the end of one evacuation.
    fn take_evacuation(&self, change: &Change) {
        let Some(domain) = self.evacuated_domain(change.key()) else {
            return;
        };
        let mut domains = self.evacuation.borrow().domains.clone();
        match change {
            Change::Put(_) => domains.insert(Arc::from(domain)),
            Change::Gone { .. } => domains.remove(domain),
        };
        if self.evacuation.borrow_mut().set(domains, change.revision()) {
            self.evacuation_changed("store");
        }
    }

    /// Takes the own entry as the store holds it; one that another writer has put there is written anew.
    fn own_entry_seen(&self, item: &Item) {
        let is_own = member_of(item).is_ok();
        if !is_own && item.revision > self.keeper.borrow().revision() {
            log::warn!("event=member.entry_overwritten code={} revision={}", Code::EntryInvalid, item.revision);
            self.keeper.borrow_mut().overwritten(item.revision);
            self.entry_due.notify_one();
            return;
        }
        self.keeper.borrow_mut().seen(item.revision, true);
    }

    fn own_entry_gone(&self, revision: u64) {
        self.keeper.borrow_mut().seen(revision, false);
        self.entry_due.notify_one();
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
}
