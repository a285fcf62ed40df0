//! Adoption of bundles with increasing numbers, without I/O.

use std::sync::Arc;

use super::message::InForce;

/// The bundle in force at one node.
#[derive(Debug, Clone, Default)]
pub struct Adoption {
    current: Option<Arc<InForce>>,
    /// Highest number of a publication that this node has a record of, with or without its text.
    published: u64,
}

impl Adoption {
    /// Adopts a published bundle; returns whether it has come into force.
    ///
    /// A bundle with the number in force or a lower one changes nothing.
    pub fn offer(&mut self, bundle: InForce) -> bool {
        self.published = self.published.max(bundle.number);
        if bundle.number <= self.number() {
            return false;
        }
        self.current = Some(Arc::new(bundle));
        true
    }

    /// Records that a bundle of this number was published; returns whether its text has to be fetched.
    pub fn record_published(&mut self, number: u64) -> bool {
        self.published = self.published.max(number);
        self.is_behind()
    }

    /// Returns whether a later bundle than the one in force was published.
    pub fn is_behind(&self) -> bool {
        self.published > self.number()
    }

    /// Returns the number of the bundle in force; zero if there is none.
    pub fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |bundle| bundle.number)
    }

    /// Returns the bundle in force.
    pub fn current(&self) -> Option<&Arc<InForce>> {
        self.current.as_ref()
    }
}
