//! When and by whom the bundle in force was last confirmed as the latest one, without I/O.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Source of a confirmation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfirmedBy {
    /// The store.
    Store,
    /// The relay that this node follows.
    Relay(Arc<str>),
}

impl fmt::Display for ConfirmedBy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Relay(vm) => f.write_str(vm),
        }
    }
}

/// What a node knows about whether its bundle is the latest one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// Highest number of a publication that this node has a record of, with or without its text.
    published: u64,
    /// As of when this node had been offered the latest publication, in microseconds, and the source.
    confirmed: Option<(u64, ConfirmedBy)>,
}

impl Confirmation {
    /// Records that a bundle of this number was published.
    pub fn record_published(&mut self, number: u64) {
        self.published = self.published.max(number);
    }

    /// Records that this node had been offered the latest publication as of `at_us`.
    pub fn confirm(&mut self, at_us: u64, by: ConfirmedBy) {
        if self.confirmed.as_ref().is_none_or(|(known_us, _)| *known_us <= at_us) {
            self.confirmed = Some((at_us, by));
        }
    }

    /// Returns whether the bundle of this number may be taken for the latest one: no later publication is known, and the
    /// last confirmation is at most `age_max` old. Without `age_max`, confirmations do not expire.
    pub fn is_conclusive(&self, number: u64, age_max: Option<Duration>, now_us: u64) -> bool {
        if self.published > number {
            return false;
        }
        age_max.is_none_or(|age_max| self.age(now_us).is_some_and(|age| age <= age_max))
    }

    /// Returns the highest number of a publication that this node has a record of.
    pub fn published(&self) -> u64 {
        self.published
    }

    /// Returns the time since the last confirmation, if there was one.
    pub fn age(&self, now_us: u64) -> Option<Duration> {
        self.confirmed.as_ref().map(|(at_us, _)| Duration::from_micros(now_us.saturating_sub(*at_us)))
    }

    /// Returns the source of the last confirmation, if there was one.
    pub fn confirmed_by(&self) -> Option<&ConfirmedBy> {
        self.confirmed.as_ref().map(|(_, by)| by)
    }
}
