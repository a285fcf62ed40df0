//! Shell of bundles; it shares the member thread, since bundles spread with its exchanges.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::adopt::Adopter;
use super::message::{CURRENT_KEY, CurrentDoc};
use super::operator::read_text;
use crate::code::Code;
use crate::member::{Evacuation, Members};
use crate::metric::Metrics;
use crate::store::{Store, Versioned, WatchNews};

/// Nodes of one failure domain that watch the store.
const WATCHERS: usize = 2;
/// Pause between two looks at the store by nodes that do not watch, in milliseconds.
const POLL_MS: u64 = 30_000;
/// Pause before the store is asked again while this node has no bundle, in milliseconds.
const FIRST_MS: u64 = 200;
/// Pause before a watch that ended is opened again, in milliseconds.
const REWATCH_MS: u64 = 500;

/// Follows the store's bundles for a node.
pub struct Bundler {
    vm: Arc<str>,
    domain: Arc<str>,
    /// Puts bundles in force.
    pub adopter: Adopter,
    store: Arc<dyn Store>,
    members: watch::Receiver<Arc<Members>>,
    metrics: Arc<Metrics>,
    /// Failure domains that are evacuated, as the store told last.
    evacuation: watch::Sender<Evacuation>,
}

impl Bundler {
    /// Makes a bundler that has no bundle yet.
    pub fn new(
        vm: Arc<str>,
        domain: Arc<str>,
        store: Arc<dyn Store>,
        members: watch::Receiver<Arc<Members>>,
        adopter: Adopter,
        metrics: Arc<Metrics>,
    ) -> Self {
        let evacuation = watch::Sender::new(Evacuation::default());
        Self { vm, domain, adopter, store, members, metrics, evacuation }
    }

    /// Returns the failure domains that are evacuated, as the store tells.
    pub fn evacuation(&self) -> watch::Receiver<Evacuation> {
        self.evacuation.subscribe()
    }

    /// Follows the store: by a watch where this node is one of its domain's watchers, else by a
    /// look now and then; runs as long as the node.
    pub async fn follow_store(self: Rc<Self>) {
        loop {
            let read = self.read_current().await;
            let pause_ms = match read {
                Ok(revision) if self.watches() => {
                    self.watch(revision + 1).await;
                    REWATCH_MS
                }
                Ok(_) if self.adopter.number() > 0 => POLL_MS,
                Ok(_) => FIRST_MS,
                Err(()) if self.adopter.number() > 0 => REWATCH_MS,
                Err(()) => FIRST_MS,
            };
            // Not all come back to a store at once that has just got well.
            sleep(Duration::from_millis(pause_ms / 2 + fastrand::u64(0..=pause_ms / 2))).await;
        }
    }

    /// Returns whether this node is among the first of its domain.
    fn watches(&self) -> bool {
        let members = self.members.borrow();
        let in_domain = members.iter().filter(|member| member.domain == self.domain);
        let mut vms: Vec<Arc<str>> = in_domain.map(|member| member.vm.clone()).collect();
        vms.sort();
        vms.iter().take(WATCHERS).any(|vm| *vm == self.vm)
    }

    async fn read_current(&self) -> Result<u64, ()> {
        self.metrics.store_calls.with_label_values(&["read"]).inc();
        match self.store.read(CURRENT_KEY).await {
            Ok(found) => {
                if let Some(kv) = &found.value {
                    self.take_current(kv).await;
                }
                Ok(found.position().wire_revision())
            }
            Err(error) => {
                log::warn!("event=bundle.store_failed code={} reason=\"{error}\"", error.code());
                Err(())
            }
        }
    }

    async fn watch(&self, from_revision: u64) {
        self.metrics.store_calls.with_label_values(&["watch"]).inc();
        let (news, mut changes) = mpsc::channel::<WatchNews>(16);
        let follow = async {
            while let Some(change) = changes.recv().await {
                if let Some(kv) = change.value {
                    self.take_current(&kv).await;
                }
            }
        };
        let watch = self.store.watch(CURRENT_KEY, from_revision, news);
        let (ended, ()) = futures::join!(watch, follow);
        if let Err(error) = ended {
            log::warn!("event=bundle.watch_ended code={} reason=\"{error}\"", error.code());
        }
    }

    async fn take_current(&self, kv: &Versioned) {
        let Ok(doc) = serde_json::from_slice::<CurrentDoc>(&kv.value) else {
            log::error!("event=bundle.current_damaged code={}", Code::BundleDamaged);
            return;
        };
        self.evacuation.send_if_modified(|known| known.merge(&doc.evacuation));
        if !self.adopter.wants(doc.number) {
            return;
        }
        self.metrics.store_calls.with_label_values(&["read"]).inc();
        match read_text(&*self.store, &doc.version).await {
            Ok(written) => self.adopter.offer(doc.number, &doc.version, &written.text, "store"),
            Err(error) => log::warn!("event=bundle.text_failed code={} reason=\"{error}\"", error.code()),
        }
    }
}
