//! Adoption of bundles at one node, from the store and from other nodes.

use std::cell::RefCell;
use std::sync::Arc;

use tokio::sync::{Notify, watch};

use super::confirmation::{Confirmation, ConfirmedBy};
use super::fetch::TextFetch;
use super::format::BundleFormat;
use super::message::{InForce, version_of};
use super::state::Adoption;
use super::text::{PackedText, PackedTexts};
use crate::code::Code;
use crate::metric::Metrics;

/// Adopts bundles with increasing numbers and notifies the other tasks of the node.
pub struct Adopter {
    adoption: RefCell<Adoption>,
    format: Arc<dyn BundleFormat>,
    in_force: watch::Sender<Option<Arc<InForce>>>,
    confirmation: watch::Sender<Confirmation>,
    /// The texts that other nodes may request.
    texts: watch::Sender<PackedTexts>,
    /// Texts that are requested from other nodes.
    pub(super) fetch: RefCell<TextFetch>,
    /// Notified when a text is announced or is here.
    pub(super) fetch_changed: Notify,
    pub(super) metrics: Arc<Metrics>,
}

impl Adopter {
    /// Creates an adopter without a bundle.
    pub fn new(
        format: Arc<dyn BundleFormat>,
        in_force: watch::Sender<Option<Arc<InForce>>>,
        confirmation: watch::Sender<Confirmation>,
        texts: watch::Sender<PackedTexts>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            adoption: RefCell::new(Adoption::default()),
            format,
            in_force,
            confirmation,
            texts,
            fetch: RefCell::default(),
            fetch_changed: Notify::new(),
            metrics,
        }
    }

    /// Returns the number of the bundle in force; zero if there is none.
    pub fn number(&self) -> u64 {
        self.adoption.borrow().number()
    }

    /// Returns the bundle in force.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.adoption.borrow().current().cloned()
    }

    /// Records that a bundle of this number was published; returns whether it is later than the one in force.
    pub fn record_number(&self, number: u64) -> bool {
        if number <= self.number() {
            return false;
        }
        self.confirmation.send_modify(|confirmation| confirmation.record_published(number));
        self.adoption.borrow_mut().record_published(number)
    }

    /// Records that this node had been offered the latest publication as of `at_us`.
    pub fn confirm(&self, at_us: u64, by: ConfirmedBy) {
        self.confirmation.send_modify(|confirmation| confirmation.confirm(at_us, by));
    }

    /// Returns a receiver that is notified of every bundle that comes into force.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<InForce>>> {
        let mut receiver = self.in_force.subscribe();
        receiver.mark_unchanged();
        receiver
    }

    /// Adopts a bundle if its text has the hash `version` and it is valid and later.
    pub fn offer(&self, number: u64, version: &str, text: &str, from: &str) {
        if number <= self.number() {
            self.log_ignored(number, version, from);
            return;
        }
        if version_of(text) != version {
            log::warn!("event=bundle.refused number={number} code={}", Code::BundleDamaged);
            return;
        }
        self.publish_text(PackedText::pack(number, version, text));
        self.adopt(number, version, text, from);
    }

    /// Adopts the bundle that another node has sent if it is valid and later.
    ///
    /// # Errors
    ///
    /// Returns the code of the fault if the text is damaged.
    pub fn offer_packed(&self, packed: PackedText) -> Result<(), Code> {
        let text = packed.unpack().ok_or(Code::BundleDamaged)?;
        let (number, version) = (packed.number, packed.version.clone());
        if number <= self.number() {
            self.log_ignored(number, &version, "peer");
        } else {
            self.publish_text(packed);
            self.adopt(number, &version, &text, "peer");
        }
        Ok(())
    }

    /// Hands a text to the nodes that request it, whether or not this node can parse it.
    fn publish_text(&self, packed: PackedText) {
        self.fetch.borrow_mut().on_text(packed.number);
        self.fetch_changed.notify_waiters();
        self.texts.send_modify(|texts| texts.push(packed));
    }

    fn adopt(&self, number: u64, version: &str, text: &str, from: &str) {
        let bundle = match self.format.parse(text) {
            Ok(bundle) => bundle,
            Err(faults) => {
                // A later release may have written it; the bundle in force stays.
                self.record_number(number);
                let first = faults.first().map(ToString::to_string).unwrap_or_default();
                log::error!("event=bundle.refused number={number} faults={} first=\"{first}\"", faults.len());
                return;
            }
        };
        let routes = bundle.routes.len();
        let in_force = InForce { number, version: Arc::from(version), text: Arc::from(text), bundle };
        if !self.adoption.borrow_mut().offer(in_force) {
            return;
        }
        log::info!("event=bundle.in_force number={number} version={version} routes={routes} from={from}");
        self.confirmation.send_modify(|confirmation| confirmation.record_published(number));
        self.metrics.bundle_number.set(number as i64);
        let current = self.adoption.borrow().current().cloned();
        self.in_force.send_replace(current);
    }

    /// Logs an offer that changes nothing, unless it is the bundle in force.
    fn log_ignored(&self, number: u64, version: &str, from: &str) {
        let Some(in_force) = self.in_force() else {
            return;
        };
        if number == in_force.number && *version == *in_force.version {
            return;
        }
        log::info!(
            "event=bundle.ignored number={number} version={version} in_force={} in_force_version={} from={from}",
            in_force.number,
            in_force.version
        );
    }
}
