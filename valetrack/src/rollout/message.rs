//! Messages of roll-outs: orders, what the store holds of them, and what owners count.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Prefix of the keys under which roll-outs stand, each of which ends with the name of a service.
pub const DOC_PREFIX: &str = "valetrack/rollout/";

/// Returns the key of a service's roll-out.
pub fn doc_key(service: &str) -> String {
    format!("{DOC_PREFIX}{service}")
}

/// An operator's order that a service's calls move to a new version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: Arc<str>,
    /// The new version.
    pub version: Arc<str>,
    /// Time in which they are to have moved, in milliseconds.
    pub within_ms: u64,
}

/// How far a roll-out has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The new version gets a small share of the calls.
    Trial,
    /// It gets all new calls, and the old one ends what it runs.
    Moving,
    /// It has replaced the old version.
    Completed,
    /// It was found worse than the old version and gets nothing.
    RolledBack,
}

impl Stage {
    /// Returns what operators are told of it.
    pub const fn state(self) -> RolloutState {
        match self {
            Self::Trial | Self::Moving => RolloutState::Running,
            Self::Completed => RolloutState::Completed,
            Self::RolledBack => RolloutState::RolledBack,
        }
    }

    /// Returns whether nothing more comes of the order.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

/// What operators are told of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutState {
    /// It goes on.
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
    /// Revision of the order that it is of.
    pub order: u64,
    /// How far it has come.
    pub stage: Stage,
}

/// How operators write their orders and read what comes of them.
pub trait RolloutFormat: Send + Sync {
    /// Returns the service that a key orders a roll-out of, if it is such a key.
    fn ordered_service<'k>(&self, key: &'k str) -> Option<&'k str>;

    /// Reads an order.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be read.
    fn read_order(&self, service: &str, value: &[u8]) -> Result<RolloutOrder, String>;

    /// Returns the key and the value that tell operators of a roll-out.
    fn status(&self, order: &RolloutOrder, state: RolloutState) -> (String, Vec<u8>);
}

/// Runs of one route at one owner's upstream.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RouteRuns {
    /// The route.
    pub route: Arc<str>,
    /// Runs.
    pub runs: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those that took several times as long as usual.
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

/// What an upstream may get while its service is rolled out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ServerPart {
    /// Calls as usual.
    #[default]
    Usual,
    /// The share of the new version.
    Trial,
    /// Nothing.
    Barred,
}
