//! Pure decisions of adopting bundles: forward only.

use std::sync::Arc;

use super::message::InForce;

/// The bundle in force at one node.
#[derive(Debug, Clone, Default)]
pub struct Adoption {
    current: Option<Arc<InForce>>,
    /// Highest number heard of, whether its text is at hand or not.
    heard: u64,
}

impl Adoption {
    /// Takes a bundle that was rolled; returns whether it is in force now.
    ///
    /// A bundle of a lower or the same number changes nothing.
    pub fn offer(&mut self, bundle: InForce) -> bool {
        self.heard = self.heard.max(bundle.number);
        if bundle.number <= self.number() {
            return false;
        }
        self.current = Some(Arc::new(bundle));
        true
    }

    /// Notes that a bundle of this number was rolled; returns whether its text is to be fetched.
    pub fn hear(&mut self, number: u64) -> bool {
        self.heard = self.heard.max(number);
        self.behind()
    }

    /// Returns whether a later bundle was heard of than the one in force.
    pub fn behind(&self) -> bool {
        self.heard > self.number()
    }

    /// Returns the number of the bundle in force; zero when there is none.
    pub fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, |bundle| bundle.number)
    }

    /// Returns the bundle in force.
    pub fn current(&self) -> Option<&Arc<InForce>> {
        self.current.as_ref()
    }
}
