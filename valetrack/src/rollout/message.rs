//! Messages of roll-outs: orders, documents in the store, and run counts of owners.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Prefix of the keys of roll-out documents, before the name of the service.
pub const DOC_PREFIX: &str = "valetrack/rollout/";

/// Returns the key of a service's roll-out document.
pub fn doc_key(service: &str) -> String {
    format!("{DOC_PREFIX}{service}")
}

/// An operator's order to move a service's calls to a new version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: Arc<str>,
    /// The new version.
    pub version: Arc<str>,
    /// Time within which the calls have to move.
    pub within_ms: u64,
}

/// Stage of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The new version gets a small share of the calls.
    Trial,
    /// The new version gets all new calls, and the old one finishes its running calls.
    Moving,
    /// The new version has replaced the old one.
    Completed,
    /// The new version was found worse than the old one and gets no calls.
    RolledBack,
}

impl Stage {
    /// Returns the state that operators see at this stage.
    pub const fn state(self) -> RolloutState {
        match self {
            Self::Trial | Self::Moving => RolloutState::Running,
            Self::Completed => RolloutState::Completed,
            Self::RolledBack => RolloutState::RolledBack,
        }
    }

    /// Returns whether no other stage follows.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// State of a roll-out that operators see.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// The roll-out is in progress.
    Running,
    /// The new version has replaced the old one.
    Completed,
    /// The new version was found worse.
    RolledBack,
}

/// The store's document of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutDoc {
    /// The new version.
    pub version: Arc<str>,
    /// Revision of the order that the document belongs to.
    pub order: u64,
    /// Stage of the roll-out.
    pub stage: Stage,
}

/// Format in which operators write their orders and read the status of roll-outs.
pub trait RolloutFormat: Send + Sync {
    /// Returns the service whose roll-out is ordered at a key, if it is the key of an order.
    fn ordered_service<'k>(&self, key: &'k str) -> Option<&'k str>;

    /// Parses an order.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the order cannot be parsed.
    fn read_order(&self, service: &str, value: &[u8]) -> Result<RolloutOrder, String>;

    /// Returns the key and the value that show operators the state of a roll-out.
    fn status(&self, order: &RolloutOrder, state: RolloutState) -> (String, Vec<u8>);
}

/// Runs of one route at one owner's upstream.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RouteRuns {
    /// The route.
    pub route: Arc<str>,
    /// Runs.
    pub runs: u32,
    /// Runs that failed.
    pub failed: u32,
    /// Runs that took several times as long as usual.
    pub slow: u32,
}

impl RouteRuns {
    /// Adds other runs of the route.
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        self.failed += other.failed;
        self.slow += other.slow;
    }
}

/// Traffic share of an upstream during a roll-out of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum TrafficShare {
    /// Calls as usual.
    #[default]
    Usual,
    /// The small share of the new version on trial.
    Trial,
    /// No calls.
    Barred,
}
