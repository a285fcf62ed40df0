//! Reads all items or the latest changes from the store, and applies what was read from the store or a relay.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::Shell;
use crate::bundle::ConfirmedBy;
use crate::clock::now_us;
use crate::code::Code;
use crate::crash::CrashJob;
use crate::crash::archive::service_of;
use crate::member::{ApplyOutcome, ENTRY_PREFIX, EntryDoc, PublishedBundle, SeenEntry, entry_key};
use crate::store::{Change, Changes, Freshness, Item, Position, StoreError};

impl Shell {
    /// Reads all items in a state that is at most some seconds old; later changes come from the relay or the store that
    /// this node follows afterwards.
    pub(super) async fn read_earlier(self: &Rc<Self>) -> Result<(), StoreError> {
        let sent_us = now_us();
        self.read_all(Freshness::Earlier).await?;
        self.takeover.borrow_mut().on_update(sent_us);
        // Later changes may be missing.
        self.mark_log_stale();
        Ok(())
    }

    async fn read_all(self: &Rc<Self>, freshness: Freshness) -> Result<(), StoreError> {
        let sent_us = now_us();
        let mut items: Vec<Item> = Vec::new();
        let mut at: Option<Position> = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            self.count(match freshness {
                Freshness::Current => "list",
                Freshness::Earlier => "list-earlier",
            });
            let page = self.parts.store.list("", after.as_deref(), freshness).await?;
            self.store_answered(page.at.era());
            if at.is_some_and(|at| at.era() != page.at.era()) {
                // Pages of two eras do not form a state of either.
                items.clear();
                at = None;
                continue;
            }
            // The pages are not a snapshot: changes are followed from the position of the earliest page on.
            let earliest = at.filter(|at| page.at.supersedes(*at)).unwrap_or(page.at);
            at = Some(earliest);
            let last = page.items.is_empty() || !page.has_more;
            items.extend(page.items);
            if last {
                return self.apply_read(items, earliest, sent_us, freshness);
            }
        }
    }

    fn apply_read(
        self: &Rc<Self>,
        items: Vec<Item>,
        at: Position,
        sent_us: u64,
        freshness: Freshness,
    ) -> Result<(), StoreError> {
        let known = self.log.borrow().position();
        let (bundles, items): (Vec<Item>, _) = items.into_iter().partition(|item| self.is_bundle(&item.key));
        let bundles = self.read_bundles(bundles);
        let latest = bundles.last().map(|(published, _)| *published);
        if self.apply_all(&items, latest, at, sent_us) != ApplyOutcome::Newest {
            // A read of an earlier state may be older than the log.
            self.parts.metrics.store_outdated.inc();
            log::info!("event=store.read_outdated freshness={freshness:?} position={at} known={known}");
            return Ok(());
        }
        self.offer_bundles(&bundles);
        if freshness == Freshness::Current {
            self.adopter.confirm(sent_us, ConfirmedBy::Store);
        }
        Ok(())
    }

    /// Returns whether a key is that of the operators' bundle.
    fn is_bundle(&self, key: &str) -> bool {
        *key == *self.parts.bundle_key
    }

    /// Returns the number, position and text of each bundle that was read from the store; logs and leaves out damaged ones.
    fn read_bundles(&self, items: Vec<Item>) -> Vec<(PublishedBundle, String)> {
        let read = |item: Item| {
            let text = String::from_utf8(item.value).map_err(|error| error.to_string())?;
            let number = self.parts.format.number(&text).ok_or("no number")?;
            Ok((PublishedBundle { number, position: item.position }, text))
        };
        let mut bundles = Vec::new();
        for item in items {
            match read(item) {
                Ok(bundle) => bundles.push(bundle),
                Err::<_, String>(reason) => {
                    log::error!("event=bundle.refused code={} reason=\"{reason}\"", Code::BundleDamaged);
                }
            }
        }
        bundles
    }

    fn offer_bundles(self: &Rc<Self>, bundles: &[(PublishedBundle, String)]) {
        for (published, text) in bundles {
            self.offer_bundle(published.number, text);
        }
    }

    /// Applies all items of the store except the bundle, as of position `at` and time `confirmed_us`.
    pub(super) fn apply_all(
        self: &Rc<Self>,
        items: &[Item],
        bundle: Option<PublishedBundle>,
        at: Position,
        confirmed_us: u64,
    ) -> ApplyOutcome {
        let outcome = self.log.borrow_mut().read(items, at, confirmed_us);
        if outcome != ApplyOutcome::Newest {
            return outcome;
        }
        self.record_bundle(bundle);
        self.has_read_all.set(true);
        self.log_changed.notify_waiters();
        let key = entry_key(&self.parts.me.vm);
        match items.iter().find(|item| item.key == key) {
            Some(item) => self.own_entry_seen(item),
            None => self.own_entry_missing(at),
        }
        self.apply_follower_entries(items, at);
        self.apply_evacuations(items);
        self.apply_rollouts(items);
        self.directory.borrow_mut().replace(items, now_us());
        self.remove_expired();
        self.count_invalid();
        self.publish();
        self.follow_recorded_departure();
        for item in items {
            self.forward_crashes(item);
        }
        self.log_reread(at);
        outcome
    }

    /// Waits for changes in the store and applies them, or reads all items if the changes do not continue from the log or
    /// are too large; returns whether there were any.
    pub(super) async fn read_changes(self: &Rc<Self>, wait: Duration) -> Result<bool, StoreError> {
        let after = self.log.borrow().position();
        if after.is_start() {
            self.read_all(Freshness::Current).await?;
            return Ok(true);
        }
        self.count("watch");
        let sent_us = now_us();
        let changes = match self.parts.store.changes("", after, wait).await {
            Err(StoreError::HistoryGone) => {
                log::info!("event=store.history_gone code={} position={after}", Code::StoreHistoryGone);
                return self.read_again().await.map(|()| true);
            }
            Err(StoreError::ChangesTooLarge) => {
                // The same call would have the same answer until the store has dropped its history.
                log::info!("event=store.changes_too_large code={} position={after}", Code::StoreChangesTooLarge);
                return self.read_again().await.map(|()| true);
            }
            read => read?,
        };
        self.store_answered(changes.at.era());
        // An answer without changes is sent at the end of the wait, one with changes at any moment.
        let waited_us = if changes.changes.is_empty() { wait.as_micros() as u64 } else { 0 };
        let confirmed_us = (sent_us + waited_us).min(now_us());
        let Changes { changes, at } = changes;
        let is_changed = !changes.is_empty();
        let (bundles, changes): (Vec<Change>, Vec<Change>) =
            changes.into_iter().partition(|change| self.is_bundle(change.key()));
        let bundles = self.read_bundles(bundles.iter().filter_map(Change::item).cloned().collect());
        let latest = bundles.last().map(|(published, _)| *published);
        match self.apply_changes(&changes, latest, after, at, confirmed_us) {
            ApplyOutcome::Newest => {
                self.offer_bundles(&bundles);
                self.adopter.confirm(confirmed_us, ConfirmedBy::Store);
                Ok(is_changed)
            }
            ApplyOutcome::Outdated | ApplyOutcome::Disconnected => self.read_again().await.map(|()| true),
        }
    }

    /// Reads all items, since no changes that can be read continue from the log.
    ///
    /// The current state is read, since an earlier one may be older than the log, and only the current one shows
    /// whether the store was rolled back.
    async fn read_again(self: &Rc<Self>) -> Result<(), StoreError> {
        self.read_all(Freshness::Current).await
    }

    /// Records the latest bundle, if there is one, for the nodes that follow this one.
    fn record_bundle(&self, bundle: Option<PublishedBundle>) {
        if let Some(bundle) = bundle {
            self.log.borrow_mut().set_bundle(bundle);
        }
    }

    /// Applies the changes except those of the bundle between `after` and `at`, where the store was at `confirmed_us`.
    pub(super) fn apply_changes(
        self: &Rc<Self>,
        changes: &[Change],
        bundle: Option<PublishedBundle>,
        after: Position,
        at: Position,
        confirmed_us: u64,
    ) -> ApplyOutcome {
        let outcome = self.log.borrow_mut().apply(changes, after, at, confirmed_us);
        if outcome != ApplyOutcome::Newest {
            return outcome;
        }
        self.record_bundle(bundle);
        self.log_changed.notify_waiters();
        let own = entry_key(&self.parts.me.vm);
        let mut changed = false;
        for change in changes {
            match change {
                change if self.evacuated_domain(change.key()).is_some() => self.apply_evacuation(change),
                change if self.is_rollout(change.key()) => changed |= self.apply_rollout(change),
                Change::Put(item) if service_of(&item.key).is_some() => self.forward_crashes(item),
                Change::Put(_) | Change::Gone { .. } => changed |= self.apply_entry(change, &own),
            }
        }
        self.update_evacuation();
        self.count_invalid();
        if self.remove_expired() || changed {
            self.publish();
            self.follow_recorded_departure();
        }
        outcome
    }

    /// Removes nodes whose entries have been missing too long; returns whether there were any.
    fn remove_expired(&self) -> bool {
        let dead = self.directory.borrow_mut().expire(now_us());
        for vm in &dead {
            log::info!("event=member.gone peer={vm} by=store");
        }
        !dead.is_empty()
    }

    /// Sends an item with the crash reports of a service to the crash thread; ignores any other item.
    fn forward_crashes(&self, item: &Item) {
        let Some(service) = service_of(&item.key) else {
            return;
        };
        let job = CrashJob::Stored { service: Arc::from(service), value: item.value.clone() };
        if self.parts.to_crash.try_send(job).is_err() {
            log::warn!("event=crash.stored_dropped service={service} reason=\"channel full\"");
        }
    }

    fn count_invalid(&self) {
        let count = self.directory.borrow_mut().take_invalid();
        self.parts.metrics.invalid_input.with_label_values(&[&Code::EntryInvalid.to_string()]).inc_by(count);
    }

    /// Returns the failure domain that a key evacuates, if it is an evacuation key.
    fn evacuated_domain<'k>(&self, key: &'k str) -> Option<&'k str> {
        key.strip_prefix(&*self.parts.evacuation_prefix).filter(|domain| !domain.is_empty())
    }

    /// Applies the evacuation keys of a complete read of the store.
    fn apply_evacuations(&self, items: &[Item]) {
        let stored =
            items.iter().filter_map(|item| Some((Arc::from(self.evacuated_domain(&item.key)?), item.position)));
        self.evacuation_keys.borrow_mut().read(stored.collect());
        self.update_evacuation();
    }

    /// Applies the start or the end of one evacuation.
    fn apply_evacuation(&self, change: &Change) {
        let Some(domain) = self.evacuated_domain(change.key()) else {
            return;
        };
        let mut keys = self.evacuation_keys.borrow_mut();
        match change {
            Change::Put(item) => keys.put(domain, item.position),
            Change::Gone { .. } => keys.remove(domain),
        }
    }

    /// Puts the evacuations in force that follow from the operators' keys.
    pub(super) fn update_evacuation(&self) {
        let domains = self.evacuation_keys.borrow_mut().domains(now_us());
        let at = self.log.borrow().position();
        if self.evacuation.borrow_mut().set(domains, at) {
            self.evacuation_changed("store");
        }
    }

    /// Applies the entries of followers of a complete read of the store.
    fn apply_follower_entries(&self, items: &[Item], at: Position) {
        let own = self.keeper.borrow().lease().map(|(lease, _)| lease.id);
        let mut registrar = self.registrar.borrow_mut();
        let mut missing: HashSet<Arc<str>> = registrar.vms().cloned().collect();
        for item in items {
            let Some(vm) = item.key.strip_prefix(ENTRY_PREFIX) else {
                continue;
            };
            if missing.remove(vm) {
                registrar.seen(vm, SeenEntry { position: item.position, lease: item.lease }, own);
            }
        }
        missing.iter().for_each(|vm| registrar.missing(vm, at));
        self.entry_due.notify_one();
    }

    /// Applies one change of a node's entry, where `own` is the key of this node's entry; returns whether the nodes
    /// changed.
    fn apply_entry(&self, change: &Change, own: &str) -> bool {
        match change {
            _ if change.key() != own => self.apply_follower_entry(change),
            Change::Put(item) => self.own_entry_seen(item),
            Change::Gone { position, .. } => self.own_entry_missing(*position),
        }
        self.directory.borrow_mut().apply(change, now_us())
    }

    /// Applies one change of a follower's entry.
    fn apply_follower_entry(&self, change: &Change) {
        let Some(vm) = change.key().strip_prefix(ENTRY_PREFIX) else {
            return;
        };
        let own = self.keeper.borrow().lease().map(|(lease, _)| lease.id);
        let mut registrar = self.registrar.borrow_mut();
        if !registrar.has(vm) {
            return;
        }
        match change {
            Change::Put(item) => registrar.seen(vm, SeenEntry { position: item.position, lease: item.lease }, own),
            Change::Gone { position, .. } => registrar.missing(vm, *position),
        }
        self.entry_due.notify_one();
    }

    /// Records this node's entry as the store holds it; an entry that another writer has overwritten is rewritten.
    fn own_entry_seen(&self, item: &Item) {
        let mut keeper = self.keeper.borrow_mut();
        let is_newer = keeper.position().is_none_or(|known| item.position.supersedes(known));
        match EntryDoc::read(item) {
            Err(reason) if is_newer => {
                let code = Code::EntryInvalid;
                log::warn!("event=member.entry_overwritten code={code} position={} reason=\"{reason}\"", item.position);
                keeper.overwritten(item.position);
            }
            Ok(_) | Err(_) => keeper.seen(SeenEntry { position: item.position, lease: item.lease }),
        }
        self.entry_due.notify_one();
    }

    fn own_entry_missing(&self, at: Position) {
        self.keeper.borrow_mut().missing(at);
        self.entry_due.notify_one();
    }

    /// Reads the operators' bundle alone, since no node has sent its text.
    pub(super) async fn read_bundle(self: &Rc<Self>) {
        self.count("list");
        match self.parts.store.list(&self.parts.bundle_key, None, Freshness::Current).await {
            Ok(page) => {
                let found = page.items.into_iter().filter(|item| self.is_bundle(&item.key)).collect();
                let bundles = self.read_bundles(found);
                log::info!("event=bundle.read_overdue is_found={}", !bundles.is_empty());
                self.offer_bundles(&bundles);
            }
            Err(error) => log::info!("event=bundle.read_failed code={} reason=\"{error}\"", error.code()),
        }
    }
}
