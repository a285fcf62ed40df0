//! Contents of a checked bundle, and the documents in the store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::account::AccountTable;
use super::route::RouteTable;
use crate::code::Code;
use crate::gate::{ColdRule, NestedRank};
use crate::member::Evacuation;
use crate::store::HistoryName;

/// Budget of one node for traffic that serves measurement only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct MeasureRule {
    /// Bytes a second, over all links, that serve measurement only.
    pub bytes_per_s: u32,
    /// Probes a second.
    pub probes_per_s: u32,
    /// Age at which a view of load is refreshed by a probe.
    pub stale_ms: u32,
}

/// Storage of a service's claims while the store is unreachable.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ClaimMode {
    /// A claim is written to the store before the work runs.
    Durable,
    /// While the store is unreachable, work runs on claims in memory.
    Held,
}

/// Rule of one route of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouteRule {
    /// HTTP method; none for any.
    pub method: Option<Arc<str>>,
    /// Path prefix.
    pub path: Arc<str>,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Time limit of a call.
    pub deadline_ms: u32,
    /// Whether its calls need no key of a client account.
    pub is_anonymous: bool,
}

/// Retries of one service that all nodes together may make beyond its share of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct FleetRetries {
    /// Retries in any window.
    pub reserve: u32,
    /// Length of the windows.
    pub window_ms: u32,
}

/// Rule of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: Arc<str>,
    /// Calls that one of its servers runs concurrently.
    pub slots: u16,
    /// Whether queued calls are declined when running ones make no progress; this assumes runs of similar length.
    pub stall_rescue: bool,
    /// Whether slots are left free if a server with all slots in use is slower than one with some free.
    pub learn_limit: bool,
    /// Connections to one of its servers.
    pub connections: u16,
    /// Longest wait for a slot.
    pub queue_ms: u32,
    /// Time over which a cold server gets all its slots.
    pub ramp_ms: u32,
    /// Load that a cold server can serve.
    pub cold: ColdRule,
    /// Time limit of a call whose route sets none.
    pub deadline_ms: u32,
    /// Largest body of a call.
    pub request_cap_bytes: u32,
    /// Largest body of an answer.
    pub answer_cap_bytes: u32,
    /// Path of the upstream's health check; none if it has none.
    pub health_path: Option<Arc<str>>,
    /// Deepest nesting of calls.
    pub depth_max: u8,
    /// How often owners may decline one call.
    pub bounces: u8,
    /// How often repeatable work is retried.
    pub retries: u8,
    /// Retries per hundred calls.
    pub retry_percent: u32,
    /// Retries that all nodes together may make beyond that share; none if each node has a fixed burst of its own.
    pub fleet_retries: Option<FleetRetries>,
    /// Hedges per hundred calls; zero disables hedging.
    pub hedge_percent: u32,
    /// Delay before a hedge, relative to the usual service time.
    pub hedge_after_percent: u32,
    /// Storage of claims while the store is unreachable.
    pub claims: ClaimMode,
    /// Time for which a key is remembered.
    pub key_lifetime_s: u32,
    /// Routes; the one with the longest matching prefix applies.
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

/// Limits on the size and duration of callers' requests and on idle connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CallerLimits {
    /// Largest request head.
    pub head_max_bytes: u32,
    /// Largest request body.
    pub body_max_bytes: u32,
    /// Longest time for a request head to arrive.
    pub head_timeout_ms: u32,
    /// Longest idle time of a connection.
    pub idle_timeout_ms: u32,
}

/// A checked bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Bundle {
    /// Budget for measuring, at each node.
    pub measure: MeasureRule,
    /// Services.
    pub services: Vec<ServiceRule>,
    /// Routes by host and path prefix; empty if calls name their service themselves.
    pub routes: RouteTable,
    /// Client accounts; none if calls need no key.
    pub accounts: AccountTable,
    /// Rank of calls that upstreams make during their runs.
    pub nested_rank: NestedRank,
    /// Limits on callers; none if the node's own settings apply.
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
    /// Number of the bundle, which increases with each publication.
    pub number: u64,
    /// Hash of the text.
    pub version: Arc<str>,
    /// The text as its author wrote it.
    pub text: Arc<str>,
    /// Checked content of the text.
    pub bundle: Bundle,
}

/// Number of hex digits in a version.
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
    /// Description of the fault and of the expected value.
    pub text: String,
}

impl Fault {
    /// Creates a fault with its code.
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
    /// Name of the author.
    pub author: String,
    /// Time of writing, in milliseconds since 1970.
    pub written_ms: u64,
    /// The text.
    pub text: String,
}

/// The store's document of an approval.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApprovedDoc {
    /// Name of the approving operator.
    pub approver: String,
    /// Time of approval, in milliseconds since 1970.
    pub approved_ms: u64,
}

/// The store's document of the bundle in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CurrentDoc {
    /// Number of the bundle, which increases with each publication.
    pub number: u64,
    /// Version of the bundle.
    pub version: String,
    /// Name of the publishing operator.
    pub operator: String,
    /// Time of publication, in milliseconds since 1970.
    pub rolled_ms: u64,
    /// Earlier publications, newest first, up to [`HISTORY_MAX`].
    pub before: Vec<PublishedDoc>,
    /// Failure domains whose servers get no calls.
    #[serde(default)]
    pub evacuation: Evacuation,
    /// Name of the store's history when the document was written; a different one shows that the store was restored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub history: Option<HistoryName>,
    /// Whether a node has written this publication again after the store had lost it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub restored: bool,
}

impl CurrentDoc {
    /// Returns the publication that the document describes.
    pub fn published(&self) -> PublishedDoc {
        PublishedDoc {
            number: self.number,
            version: self.version.clone(),
            operator: self.operator.clone(),
            rolled_ms: self.rolled_ms,
        }
    }

    /// Returns whether it has the same publication and evacuation as another one.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.published() == other.published() && self.evacuation == other.evacuation
    }
}

/// One earlier publication of a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedDoc {
    /// Number of the bundle.
    pub number: u64,
    /// Version of the bundle.
    pub version: String,
    /// Name of the publishing operator.
    pub operator: String,
    /// Time of publication, in milliseconds since 1970.
    pub rolled_ms: u64,
}

/// Earlier publications that are kept.
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
