//! Puts bundles in force at one node, wherever their text comes from.

use std::cell::RefCell;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::watch;

use super::format::BundleFormat;
use super::message::{InForce, version_of};
use super::state::Adoption;
use crate::code::Code;
use crate::metric::Metrics;

/// Adopts bundles, forward only, and tells the other duties of the node.
pub struct Adopter {
    adoption: RefCell<Adoption>,
    format: Arc<dyn BundleFormat>,
    in_force: watch::Sender<Option<Arc<InForce>>>,
    metrics: Arc<Metrics>,
}

impl Adopter {
    /// Makes an adopter that has no bundle yet.
    pub fn new(
        format: Arc<dyn BundleFormat>,
        in_force: watch::Sender<Option<Arc<InForce>>>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self { adoption: RefCell::new(Adoption::default()), format, in_force, metrics }
    }

    /// Returns the number of the bundle in force; zero when there is none.
    pub fn number(&self) -> u64 {
        self.adoption.borrow().number()
    }

    /// Returns the bundle in force.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.adoption.borrow().current().cloned()
    }

    /// Returns whether a bundle of this number is later than the one in force.
    pub fn wants(&self, number: u64) -> bool {
        number > self.number() && self.adoption.borrow_mut().hear(number)
    }

    /// Returns a receiver that is told of every bundle that comes in force.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<InForce>>> {
        let mut receiver = self.in_force.subscribe();
        receiver.mark_unchanged();
        receiver
    }

    /// Takes the bundle of another node, if it is sound and later.
    pub fn take_from_peer(&self, number: u64, version: &str, text: &Bytes) {
        match std::str::from_utf8(text) {
            Ok(text) => self.offer(number, version, text, "peer"),
            Err(_) => log::warn!("event=bundle.refused number={number} code={}", Code::BundleDamaged),
        }
    }

    /// Takes a bundle of which `version` is the hash, if it is sound and later.
    pub fn offer(&self, number: u64, version: &str, text: &str, from: &str) {
        if number <= self.number() {
            return;
        }
        if version_of(text) != version {
            log::warn!("event=bundle.refused number={number} code={}", Code::BundleDamaged);
            return;
        }
        let bundle = match self.format.parse(text) {
            Ok(bundle) => bundle,
            Err(faults) => {
                // It was written by a later release, say; the one in force stays.
                let first = faults.first().map(ToString::to_string).unwrap_or_default();
                log::error!("event=bundle.refused number={number} faults={} first=\"{first}\"", faults.len());
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
}
