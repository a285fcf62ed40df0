//! What a bundle says, once it is checked, and the documents of the store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::account::AccountTable;
use super::route::RouteTable;
use crate::code::Code;
use crate::gate::ColdRule;
use crate::member::Evacuation;
use crate::store::HistoryName;

/// Budget of one node for all that it does only to measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct MeasureRule {
    /// Bytes a second, over all links, that exist only for measuring.
    pub bytes_per_s: u32,
    /// Probes a second.
    pub probes_per_s: u32,
    /// Age at which a view of load is probed again, in milliseconds.
    pub stale_ms: u32,
}

/// How claims of a service are kept while the store is away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimMode {
    /// A claim is in the store before the work runs.
    Durable,
    /// While the store is away, work runs on claims in memory.
    Held,
}

/// How one route of a service is treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouteRule {
    /// HTTP method; none for any.
    pub method: Option<Arc<str>>,
    /// Path prefix.
    pub path: Arc<str>,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Time limit of a call, in milliseconds.
    pub deadline_ms: u32,
    /// Whether its calls need no key of a client account.
    pub is_anonymous: bool,
}

/// What all nodes together may retry of one service beyond its share of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct FleetRetries {
    /// Retries in any window.
    pub reserve: u32,
    /// Length of the windows, in milliseconds.
    pub window_ms: u32,
}

/// How one service is treated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: Arc<str>,
    /// Calls that one of its servers runs at once.
    pub slots: u16,
    /// Whether waiting calls are given back when running ones make no progress; it takes runs of
    /// like length for granted.
    pub stall_rescue: bool,
    /// Whether slots are left free where a full server is slower than one with some free.
    pub learn_limit: bool,
    /// Connections to one of its servers.
    pub connections: u16,
    /// Longest wait for a slot, in milliseconds.
    pub queue_ms: u32,
    /// Time over which a cold server gets all its slots, in milliseconds.
    pub ramp_ms: u32,
    /// What a cold server bears.
    pub cold: ColdRule,
    /// Time limit of a call whose route sets none, in milliseconds.
    pub deadline_ms: u32,
    /// Largest body of a call, in bytes.
    pub request_cap_bytes: u32,
    /// Largest body of an answer, in bytes.
    pub answer_cap_bytes: u32,
    /// Path of the upstream's health check; none where it has none.
    pub health_path: Option<Arc<str>>,
    /// Deepest nesting of calls.
    pub depth_max: u8,
    /// How often owners may give one call back.
    pub bounces: u8,
    /// How often repeatable work is tried again.
    pub retries: u8,
    /// Retries per hundred calls.
    pub retry_percent: u32,
    /// Retries that all nodes together may make beyond that share; none where each node has a fixed
    /// burst of its own.
    pub fleet_retries: Option<FleetRetries>,
    /// Hedges per hundred calls; zero turns them off.
    pub hedge_percent: u32,
    /// Delay before a hedge, in hundredths of the usual service time.
    pub hedge_after_percent: u32,
    /// How claims are kept.
    pub claims: ClaimMode,
    /// How long a key is remembered, in seconds.
    pub key_lifetime_s: u32,
    /// Routes, the longest matching prefix first.
    pub routes: Vec<RouteRule>,
}

impl ServiceRule {
    /// Returns the rule of the longest matching route, if one matches.
    pub fn route(&self, method: &str, path: &str) -> Option<&RouteRule> {
        let fits = |route: &&RouteRule| {
            route.method.as_deref().is_none_or(|wanted| wanted == method) && path.starts_with(&*route.path)
        };
        self.routes.iter().filter(fits).max_by_key(|route| (route.path.len(), route.method.is_some()))
    }
}

/// Limits on what a caller may send and how long it may rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_max_bytes: u32,
    /// Largest request body, in bytes.
    pub body_max_bytes: u32,
    /// Longest time for a request head to arrive, in milliseconds.
    pub head_timeout_ms: u32,
    /// Longest rest of a kept connection, in milliseconds.
    pub idle_timeout_ms: u32,
}

/// A checked bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Bundle {
    /// Budget for measuring, at each node.
    pub measure: MeasureRule,
    /// Services.
    pub services: Vec<ServiceRule>,
    /// Routes by host and path prefix; empty where calls name their service themselves.
    pub routes: RouteTable,
    /// Client accounts; none where calls need no key.
    pub accounts: AccountTable,
    /// Limits on callers; none where the node's own settings hold.
    pub caller_limits: Option<CallerLimits>,
}

impl Bundle {
    /// Returns the rule of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.iter().find(|service| &*service.name == name)
    }
}

/// A bundle in force, with its number and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    /// Count of rolls up to this one.
    pub number: u64,
    /// Hash of the text.
    pub version: Arc<str>,
    /// The text as it was written.
    pub text: Arc<str>,
    /// What it says.
    pub bundle: Bundle,
}

/// Hex digits of a version.
pub const VERSION_DIGITS: usize = 32;

/// Returns the version of a bundle's text: the first half of its SHA-256, in hex.
pub fn version_of(text: &str) -> String {
    let digest = Sha256::digest(text.as_bytes());
    digest.iter().take(VERSION_DIGITS / 2).map(|byte| format!("{byte:02x}")).collect()
}

/// A fault in the text of a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Number of the code.
    pub code: u16,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// What is wrong, and what would be right.
    pub text: String,
}

impl Fault {
    /// Makes a fault with its code.
    pub fn new(code: Code, line: usize, column: usize, text: String) -> Self {
        Self { code: code.number(), line, column, text }
    }
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: VT{}: {}", self.line, self.column, self.code, self.text)
    }
}

/// The store's document of a written bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WrittenDoc {
    /// Who wrote it.
    pub author: String,
    /// When, in milliseconds since 1970.
    pub written_ms: u64,
    /// The text.
    pub text: String,
}

/// The store's document of an approval.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApprovedDoc {
    /// Who approved it.
    pub approver: String,
    /// When, in milliseconds since 1970.
    pub approved_ms: u64,
}

/// The store's document of the bundle in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentDoc {
    /// Count of rolls up to this one.
    pub number: u64,
    /// Version of the bundle.
    pub version: String,
    /// Who rolled it.
    pub operator: String,
    /// When, in milliseconds since 1970.
    pub rolled_ms: u64,
    /// Versions rolled before, newest first, up to [`HISTORY_MAX`].
    pub before: Vec<RolledDoc>,
    /// Failure domains whose servers are to get nothing.
    #[serde(default)]
    pub evacuation: Evacuation,
    /// What the store called its history as the document was written; another name shows that it was restored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub history: Option<HistoryName>,
    /// Whether a node has written the roll again that the store had lost.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub restored: bool,
}

impl CurrentDoc {
    /// Returns the roll that it is of.
    pub fn rolled(&self) -> RolledDoc {
        RolledDoc {
            number: self.number,
            version: self.version.clone(),
            operator: self.operator.clone(),
            rolled_ms: self.rolled_ms,
        }
    }

    /// Returns whether it says the same as another one.
    pub fn is_like(&self, other: &Self) -> bool {
        self.rolled() == other.rolled() && self.evacuation == other.evacuation
    }
}

/// One earlier roll.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolledDoc {
    /// Its number.
    pub number: u64,
    /// Its version.
    pub version: String,
    /// Who rolled it.
    pub operator: String,
    /// When, in milliseconds since 1970.
    pub rolled_ms: u64,
}

/// Earlier rolls that are kept.
pub const HISTORY_MAX: usize = 50;
/// Key of the bundle in force.
pub const CURRENT_KEY: &str = "/valetrack/bundle/current";

/// Returns the key of a written bundle.
pub fn text_key(version: &str) -> String {
    format!("/valetrack/bundle/text/{version}")
}

/// Returns the key of an approval.
pub fn approval_key(version: &str) -> String {
    format!("/valetrack/bundle/approval/{version}")
}
