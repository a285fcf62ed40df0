//! Reads the store, whole or what has changed, and takes what was read, from the store or a relay.

use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::Shell;
use crate::clock::now_us;
use crate::code::Code;
use crate::crash::CrashJob;
use crate::crash::archive::service_of;
use crate::member::{ENTRY_PREFIX, EntryDoc, SeenEntry, Taken, entry_key};
use crate::store::{Change, Freshness, Item, Position, StoreError};

impl Shell {
    /// Reads everything as it stood some seconds ago at most; what has changed since is told by
    /// whoever is followed then.
    pub(super) async fn read_earlier(self: &Rc<Self>) -> Result<(), StoreError> {
        self.read_all(Freshness::Earlier).await?;
        // Nobody may rely on it for what has changed since.
        self.lose_log();
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
                // Pages of two eras show neither of them.
                items.clear();
                at = None;
                continue;
            }
            // Pages are no snapshot: changes are followed from the earliest one on.
            let earliest = at.filter(|at| page.at.supersedes(*at)).unwrap_or(page.at);
            at = Some(earliest);
            let last = page.items.is_empty() || !page.has_more;
            items.extend(page.items);
            if last {
                return self.take_read(&items, earliest, sent_us, freshness);
            }
        }
    }

    fn take_read(
        self: &Rc<Self>,
        items: &[Item],
        at: Position,
        sent_us: u64,
        freshness: Freshness,
    ) -> Result<(), StoreError> {
        let known = self.log.borrow().position();
        if self.take_all(items, at, sent_us) != Taken::Newest {
            // An earlier state may be older than what is known already.
            self.parts.metrics.store_outdated.inc();
            log::info!("event=store.read_outdated freshness={freshness:?} position={at} known={known}");
        }
        Ok(())
    }

    /// Takes all items of the store as they stood at `at` and at `confirmed_us`.
    pub(super) fn take_all(self: &Rc<Self>, items: &[Item], at: Position, confirmed_us: u64) -> Taken {
        let taken = self.log.borrow_mut().read(items, at, confirmed_us);
        if taken != Taken::Newest {
            return taken;
        }
        self.logged.notify_waiters();
        let key = entry_key(&self.parts.me.vm);
        match items.iter().find(|item| item.key == key) {
            Some(item) => self.own_entry_seen(item),
            None => self.own_entry_gone(at),
        }
        self.take_follower_entries(items, at);
        self.take_evacuations(items);
        self.take_rollouts(items);
        self.directory.borrow_mut().replace(items, now_us());
        self.forget_missing();
        self.count_invalid();
        self.publish();
        for item in items {
            self.take_crashes(item);
        }
        for item in items.iter().filter(|item| item.key == *self.parts.bundle_key) {
            self.take_bundle(item);
        }
        self.log_reread(at);
        taken
    }

    /// Waits for changes in the store and takes them, or reads everything where they do not go on from
    /// what is known; returns whether there was anything.
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
            read => read?,
        };
        self.store_answered(changes.at.era());
        // An answer without changes comes when the wait is over, one with changes at any moment.
        let waited_us = if changes.changes.is_empty() { wait.as_micros() as u64 } else { 0 };
        let confirmed_us = (sent_us + waited_us).min(now_us());
        match self.take_changes(&changes.changes, after, changes.at, confirmed_us) {
            Taken::Newest => Ok(!changes.changes.is_empty()),
            Taken::Outdated | Taken::Disconnected => self.read_again().await.map(|()| true),
        }
    }

    /// Reads everything, since what is known cannot be gone on from.
    ///
    /// An earlier state may be older than what is known, and only the store as it stands can tell whether it has come
    /// back older.
    async fn read_again(self: &Rc<Self>) -> Result<(), StoreError> {
        self.read_all(Freshness::Current).await
    }

    /// Takes the changes between `after` and `at`, where the store stood at `confirmed_us`.
    pub(super) fn take_changes(
        self: &Rc<Self>,
        changes: &[Change],
        after: Position,
        at: Position,
        confirmed_us: u64,
    ) -> Taken {
        let taken = self.log.borrow_mut().apply(changes, after, at, confirmed_us);
        if taken != Taken::Newest {
            return taken;
        }
        self.logged.notify_waiters();
        let own = entry_key(&self.parts.me.vm);
        let mut changed = false;
        for change in changes {
            match change {
                Change::Put(item) if item.key == *self.parts.bundle_key => self.take_bundle(item),
                change if self.evacuated_domain(change.key()).is_some() => self.take_evacuation(change),
                change if self.is_rollout(change.key()) => changed |= self.take_rollout(change),
                Change::Put(item) if service_of(&item.key).is_some() => self.take_crashes(item),
                Change::Put(_) | Change::Gone { .. } => changed |= self.take_entry(change, &own),
            }
        }
        self.settle_evacuations();
        self.count_invalid();
        if self.forget_missing() || changed {
            self.publish();
        }
        taken
    }

    /// Forgets nodes whose entries have been missing too long; returns whether there were any.
    fn forget_missing(&self) -> bool {
        let gone = self.directory.borrow_mut().expire(now_us());
        for vm in &gone {
            log::info!("event=member.gone peer={vm} by=store");
        }
        !gone.is_empty()
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
    fn take_evacuations(&self, items: &[Item]) {
        let stored =
            items.iter().filter_map(|item| Some((Arc::from(self.evacuated_domain(&item.key)?), item.position)));
        self.evacuation_keys.borrow_mut().read(stored.collect());
        self.settle_evacuations();
    }

    /// Takes the start or the end of one evacuation.
    fn take_evacuation(&self, change: &Change) {
        let Some(domain) = self.evacuated_domain(change.key()) else {
            return;
        };
        let mut keys = self.evacuation_keys.borrow_mut();
        match change {
            Change::Put(item) => keys.put(domain, item.position),
            Change::Gone { .. } => keys.remove(domain),
        }
    }

    /// Puts in force what the operators' keys say by now.
    pub(super) fn settle_evacuations(&self) {
        let domains = self.evacuation_keys.borrow_mut().domains(now_us());
        let at = self.log.borrow().position();
        if self.evacuation.borrow_mut().set(domains, at) {
            self.evacuation_changed("store");
        }
    }

    /// Takes the entries of followers as the whole store shows them.
    fn take_follower_entries(&self, items: &[Item], at: Position) {
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

    /// Takes one change of a node's entry, where `own` is the key of this node's; returns whether it says something new.
    fn take_entry(&self, change: &Change, own: &str) -> bool {
        match change {
            _ if change.key() != own => self.take_follower_entry(change),
            Change::Put(item) => self.own_entry_seen(item),
            Change::Gone { position, .. } => self.own_entry_gone(*position),
        }
        self.directory.borrow_mut().apply(change, now_us())
    }

    /// Takes one change of a follower's entry.
    fn take_follower_entry(&self, change: &Change) {
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

    /// Takes the own entry as the store holds it; one that another writer has put there is written anew.
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

    fn own_entry_gone(&self, at: Position) {
        self.keeper.borrow_mut().missing(at);
        self.entry_due.notify_one();
    }

    fn take_bundle(self: &Rc<Self>, item: &Item) {
        let text = match std::str::from_utf8(&item.value) {
            Ok(text) => text,
            Err(error) => {
                log::error!("event=bundle.refused code={} reason=\"{error}\"", Code::BundleDamaged);
                return;
            }
        };
        match self.parts.format.number(text) {
            Some(number) => self.offer_bundle(number, text),
            None => log::error!("event=bundle.refused code={} reason=\"no number\"", Code::BundleDamaged),
        }
    }
}
