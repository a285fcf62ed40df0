//! I/O shell of bundles; it runs on the member thread, because bundles spread with the exchanges of that thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::adopt::Adopter;
use super::confirmation::ConfirmedBy;
use super::message::{CURRENT_KEY, CurrentDoc};
use super::operator::{self, read_text};
use super::recover::PublishedHistory;
use crate::clock::now_us;
use crate::code::Code;
use crate::member::{Evacuation, Members};
use crate::metric::Metrics;
use crate::store::{ReadResult, Store, SwapOutcome, Versioned, WatchUpdate};

/// Nodes of each failure domain that watch the store.
const WATCHERS: usize = 2;
/// Interval at which nodes that do not watch the store poll it.
const POLL_MS: u64 = 30_000;
/// Pause before the store is read again while this node has no bundle.
const NO_BUNDLE_POLL_MS: u64 = 200;
/// Pause before a watch that ended is opened again.
const REWATCH_MS: u64 = 500;

/// Follows the store's bundles for a node.
pub struct BundleFollower {
    vm: Arc<str>,
    domain: Arc<str>,
    /// Puts bundles in force.
    pub adopter: Adopter,
    store: Arc<dyn Store>,
    members: watch::Receiver<Arc<Members>>,
    metrics: Arc<Metrics>,
    /// Evacuated failure domains, as last read from the store.
    evacuation: watch::Sender<Evacuation>,
    published_history: RefCell<PublishedHistory>,
}

impl BundleFollower {
    /// Creates a bundler without a bundle.
    pub fn new(
        vm: Arc<str>,
        domain: Arc<str>,
        store: Arc<dyn Store>,
        members: watch::Receiver<Arc<Members>>,
        adopter: Adopter,
        metrics: Arc<Metrics>,
    ) -> Self {
        let evacuation = watch::Sender::new(Evacuation::default());
        Self { vm, domain, adopter, store, members, metrics, evacuation, published_history: RefCell::default() }
    }

    /// Returns the evacuated failure domains, as read from the store.
    pub fn evacuation(&self) -> watch::Receiver<Evacuation> {
        self.evacuation.subscribe()
    }

    /// Follows the store, by a watch if this node is one of its domain's watchers and by polling otherwise; runs as
    /// long as the node.
    pub async fn follow_store(self: Rc<Self>) {
        loop {
            let read = self.read_current().await;
            let pause_ms = match read {
                Ok(revision) if self.is_watcher() => {
                    self.watch(revision + 1).await;
                    REWATCH_MS
                }
                Ok(_) if self.adopter.number() > 0 => POLL_MS,
                Ok(_) => NO_BUNDLE_POLL_MS,
                Err(()) if self.adopter.number() > 0 => REWATCH_MS,
                Err(()) => NO_BUNDLE_POLL_MS,
            };
            // The random pause keeps the nodes from reading a recovered store all at once.
            sleep(Duration::from_millis(pause_ms / 2 + fastrand::u64(0..=pause_ms / 2))).await;
        }
    }

    /// Returns whether this node is one of its domain's watchers: the first ones by name.
    fn is_watcher(&self) -> bool {
        let members = self.members.borrow();
        let in_domain = members.iter().filter(|member| member.domain == self.domain);
        let mut vms: Vec<Arc<str>> = in_domain.map(|member| member.vm.clone()).collect();
        vms.sort();
        vms.iter().take(WATCHERS).any(|vm| *vm == self.vm)
    }

    async fn read_current(&self) -> Result<u64, ()> {
        let sent_us = now_us();
        self.metrics.store_calls.with_label_values(&["read"]).inc();
        let found = match self.store.read(CURRENT_KEY).await {
            Ok(found) => found,
            Err(error) => {
                log::warn!("event=bundle.store_failed code={} reason=\"{error}\"", error.code());
                return Err(());
            }
        };
        let doc = match &found.value {
            Some(kv) => Some(read_doc(kv).ok_or(())?),
            None => None,
        };
        let recovered =
            self.published_history.borrow_mut().reconcile(doc.as_ref(), self.adopter.number(), found.history);
        let number = doc.as_ref().map_or(0, |doc| doc.number);
        if recovered.is_none() && number < self.adopter.number() {
            // Nodes that have read the lost document from the store write it again; this node has only its text.
            log::warn!("event=bundle.store_behind number={number} in_force={}", self.adopter.number());
        }
        match (recovered, doc) {
            (Some(next), doc) => self.recover(&found, doc.as_ref(), next).await,
            (None, Some(doc)) => {
                self.apply_doc(&doc).await;
                self.adopter.confirm(sent_us, ConfirmedBy::Store);
                Ok(found.position().wire_revision())
            }
            (None, None) => Ok(0),
        }
    }

    /// Writes a document that the store has lost, or renumbers one that was published without a record of it.
    async fn recover(&self, found: &ReadResult, held: Option<&CurrentDoc>, next: CurrentDoc) -> Result<u64, ()> {
        let number = held.map_or(0, |doc| doc.number);
        log::warn!("event=bundle.store_behind number={number} in_force={} next={}", self.adopter.number(), next.number);
        self.restore_text(&next.version).await?;
        self.metrics.store_calls.with_label_values(&["write"]).inc();
        let value = serde_json::to_vec(&next).unwrap_or_default();
        match self.store.swap(CURRENT_KEY, Some(found.position()), value).await {
            Ok(SwapOutcome::At(at)) => {
                log::warn!("event=bundle.store_recovered number={} version={}", next.number, next.version);
                self.published_history.borrow_mut().remember(&next);
                self.apply_doc(&next).await;
                Ok(at.wire_revision())
            }
            // Another node or an operator was faster; the document is read again.
            Ok(SwapOutcome::Refused) => Err(()),
            Err(error) => {
                log::warn!("event=bundle.recover_failed code={} reason=\"{error}\"", error.code());
                Err(())
            }
        }
    }

    /// Writes the text in force again if the store has lost it.
    async fn restore_text(&self, version: &str) -> Result<(), ()> {
        let in_force = self.adopter.in_force().filter(|in_force| &*in_force.version == version);
        let Some(in_force) = in_force else {
            return Ok(());
        };
        self.metrics.store_calls.with_label_values(&["write"]).inc();
        operator::restore_text(&*self.store, &in_force.text).await.map_err(|error| {
            log::warn!("event=bundle.recover_failed code={} reason=\"{error}\"", error.code());
        })
    }

    /// Follows the document in force from a revision on, until the watch ends or shows a document that has to be
    /// replaced.
    async fn watch(&self, from_revision: u64) {
        self.metrics.store_calls.with_label_values(&["watch"]).inc();
        let (updates, mut changes) = mpsc::channel::<WatchUpdate>(16);
        let follow = async {
            while let Some(change) = changes.recv().await {
                let Some(doc) = change.value.as_ref().and_then(read_doc) else {
                    continue;
                };
                let history = doc.history;
                if self.published_history.borrow_mut().reconcile(Some(&doc), self.adopter.number(), history).is_some() {
                    return;
                }
                self.apply_doc(&doc).await;
            }
        };
        let watch = self.store.watch(CURRENT_KEY, from_revision, updates);
        tokio::select! {
            biased;
            () = follow => {}
            ended = watch => {
                if let Err(error) = ended {
                    log::warn!("event=bundle.watch_ended code={} reason=\"{error}\"", error.code());
                }
            }
        }
    }

    async fn apply_doc(&self, doc: &CurrentDoc) {
        self.evacuation.send_if_modified(|current| current.merge(&doc.evacuation));
        if !self.adopter.record_number(doc.number) {
            return;
        }
        self.metrics.store_calls.with_label_values(&["read"]).inc();
        match read_text(&*self.store, &doc.version).await {
            Ok(written) => self.adopter.offer(doc.number, &doc.version, &written.text, "store"),
            Err(error) => log::warn!("event=bundle.text_failed code={} reason=\"{error}\"", error.code()),
        }
    }
}

fn read_doc(kv: &Versioned) -> Option<CurrentDoc> {
    let doc = serde_json::from_slice(&kv.value);
    if doc.is_err() {
        log::error!("event=bundle.current_damaged code={}", Code::BundleDamaged);
    }
    doc.ok()
}
