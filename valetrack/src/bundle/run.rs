//! Shell of bundles; it shares the member thread, since bundles spread with its exchanges.

use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use super::check::check;
use super::message::{CURRENT_KEY, CurrentDoc, InForce, version_of};
use super::operator::read_text;
use super::state::Adoption;
use crate::code::Code;
use crate::member::Members;
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

/// Adopts bundles from the store and from other nodes.
pub struct Bundler {
    vm: Arc<str>,
    domain: Arc<str>,
    adoption: RefCell<Adoption>,
    store: Arc<dyn Store>,
    members: watch::Receiver<Arc<Members>>,
    in_force: watch::Sender<Option<Arc<InForce>>>,
    metrics: Arc<Metrics>,
}

impl Bundler {
    /// Makes a bundler that has no bundle yet.
    pub fn new(
        vm: Arc<str>,
        domain: Arc<str>,
        store: Arc<dyn Store>,
        members: watch::Receiver<Arc<Members>>,
        in_force: watch::Sender<Option<Arc<InForce>>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { vm, domain, adoption: RefCell::new(Adoption::default()), store, members, in_force, metrics }
    }

    /// Returns the number of the bundle in force; zero when there is none.
    pub fn number(&self) -> u64 {
        self.adoption.borrow().number()
    }

    /// Returns whether a bundle of this number is later than the one in force.
    pub fn wants(&self, number: u64) -> bool {
        number > self.adoption.borrow_mut().number() && self.adoption.borrow_mut().hear(number)
    }

    /// Returns a receiver that is told of every bundle that comes in force.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<InForce>>> {
        let mut receiver = self.in_force.subscribe();
        receiver.mark_unchanged();
        receiver
    }

    /// Takes the bundle of another node, if it is sound and later.
    pub fn take_from_peer(&self, number: u64, version: &str, text: &Bytes) {
        let Ok(text) = std::str::from_utf8(text) else {
            log::warn!("event=bundle.refused number={number} code={}", Code::BundleDamaged);
            return;
        };
        self.offer(number, version, text, "peer");
    }

    fn offer(&self, number: u64, version: &str, text: &str, from: &str) {
        if version_of(text) != version {
            log::warn!("event=bundle.refused number={number} code={}", Code::BundleDamaged);
            return;
        }
        let bundle = match check(text) {
            Ok(bundle) => bundle,
            Err(faults) => {
                // It was written by a later release, say; the one in force stays.
                log::error!("event=bundle.refused number={number} faults={}", faults.len());
                return;
            }
        };
        let in_force = InForce { number, version: Arc::from(version), text: Arc::from(text), bundle };
        if !self.adoption.borrow_mut().offer(in_force) {
            return;
        }
        log::info!("event=bundle.in_force number={number} version={version} from={from}");
        self.metrics.bundle_number.set(number as i64);
        let current = self.adoption.borrow().current().cloned();
        self.in_force.send_replace(current);
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
                Ok(_) if self.number() > 0 => POLL_MS,
                Ok(_) => FIRST_MS,
                Err(()) if self.number() > 0 => REWATCH_MS,
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
            Ok(Some(kv)) => {
                let revision = kv.revision;
                self.take_current(&kv).await;
                Ok(revision)
            }
            Ok(None) => Ok(0),
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
        if !self.wants(doc.number) {
            return;
        }
        self.metrics.store_calls.with_label_values(&["read"]).inc();
        match read_text(&*self.store, &doc.version).await {
            Ok(written) => self.offer(doc.number, &doc.version, &written.text, "store"),
            Err(error) => log::warn!("event=bundle.text_failed code={} reason=\"{error}\"", error.code()),
        }
    }
}
