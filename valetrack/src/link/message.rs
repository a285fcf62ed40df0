//! Messages between nodes.
//!
//! A stream carries one question and one reply: four bytes of length (big endian), a head in
//! postcard, then a body up to the end of the stream, whose length stands in the head.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::claim::ClaimNews;
use crate::crash::CrashReport;
use crate::gate::{AttemptId, BounceReason, CancelResult, LoadReport, Patience};
use crate::member::{Evacuation, Member};
use crate::placement::Outcome;
use crate::rollout::RouteRuns;
use crate::store::Position;

/// Version of the messages; nodes of other versions are refused in the TLS handshake.
pub const ALPN: &[u8] = b"valetrack/9";
/// Largest head, in bytes.
pub const HEAD_MAX_BYTES: usize = 64 * 1024;
/// Largest body, in bytes; routes have caps below it.
pub const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;

/// A call on its way to an owner or to the home of its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// The attempt.
    pub attempt: AttemptId,
    /// Name of the call through all its attempts and nested calls.
    pub call_id: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// Service of the VM at which the call began.
    pub origin: Arc<str>,
    /// Client account that sent it; none where it needs no key.
    pub account: Option<Arc<str>>,
    /// Name of its route; empty where routes have none.
    pub route: Arc<str>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that travel from end to end.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length of the body, in bytes.
    pub body_bytes: u32,
    /// Time left, in milliseconds.
    pub deadline_ms: u32,
    /// Time left within which an answer is worth the most, in milliseconds; zero for none.
    pub objective_ms: u32,
    /// Time that the run is expected to take on a usual server, in microseconds; zero when unknown.
    pub work_us: u32,
    /// What the call is worth at the best other server that the entry may ask, in thousandths of
    /// an answer in time; zero where there is none.
    pub elsewhere_permille: u16,
    /// Rank under overload; zero goes first.
    pub priority: u8,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// How deep the call is nested.
    pub depth: u8,
    /// Whether a run made it, as far as the entry knows.
    pub made_by_run: bool,
    /// Chance that its run is a repeat, in thousandths: a second attempt, or made by a repeated run.
    pub repeat_permille: u16,
    /// How long the owner may let it wait.
    pub patience: Patience,
    /// The caller's idempotency key.
    pub key: Option<Arc<str>>,
    /// Hybrid clock of the sender.
    pub hlc: u64,
}

/// An answer on its way back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// The attempt that it answers.
    pub attempt: AttemptId,
    /// Whether the work ran.
    pub outcome: Outcome,
    /// Number of the result code, or zero for an answer of the server's own.
    pub code: u16,
    /// HTTP status.
    pub status: u16,
    /// When to come back, in milliseconds, or zero.
    pub retry_after_ms: u32,
    /// Headers that travel from end to end.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length of the body, in bytes.
    pub body_bytes: u32,
    /// Whether the owner takes the route for one that upstreams call on their own; none while it has seen
    /// too little of it.
    pub nested: Option<bool>,
    /// Time that the run would have taken on a machine that is not slowed, in microseconds; zero
    /// where the server was not asked.
    pub work_us: u32,
}

/// What rides on every reply: the owner's load and versions, at no message of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Riding {
    /// Load of the owner's server.
    pub load: LoadReport,
    /// Number of the bundle in force at the sender.
    pub bundle: u64,
    /// Hybrid clock of the sender.
    pub hlc: u64,
}

/// A question on a stream of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Run a call on the owner's server; the body follows.
    Run(CallHead),
    /// Run a call under its key at the key's home; the body follows.
    RunKeyed(CallHead),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Say what the load is.
    Probe,
    /// Exchange what is known of VMs and evacuations, and the number of the bundle in force.
    Gossip {
        /// VMs that the sender knows.
        members: Vec<Member>,
        /// Failure domains that are evacuated as far as the sender knows.
        evacuation: Evacuation,
        /// Number of the bundle in force at the sender.
        bundle: u64,
        /// What the sender says of its pages of claims.
        claims: ClaimNews,
    },
    /// Send the bundle in force.
    Bundle,
    /// Tell which failure domains are evacuated.
    Evacuation,
    /// Tell what has changed in the store, as soon as something has.
    Follow {
        /// Position up to which the sender has read the store.
        after: Position,
        /// Longest time to wait for a change, in milliseconds.
        wait_ms: u32,
        /// The sender itself, whose entry in the store is to be kept.
        me: Member,
    },
    /// Tell how runs of the upstream's present start ended.
    Runs,
    /// Grant credits for calls of a limited client account.
    Quota {
        /// The account.
        account: Arc<str>,
        /// Calls that the sender would admit.
        calls: u32,
        /// VM of the account's home where it did not answer the sender.
        instead_of: Option<Arc<str>>,
    },
    /// Take what the sender knows of crashes; nothing but what rides along comes back.
    Crashes {
        /// VM of the sender.
        from: Arc<str>,
        /// The crashes.
        reports: Vec<CrashReport>,
    },
}

/// A reply on the stream of its question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// An answer; its body follows.
    Answer(AnswerHead),
    /// The attempt never starts at this owner.
    Bounce {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: BounceReason,
    },
    /// The home of the key is elsewhere; nothing started.
    Moved {
        /// The attempt.
        attempt: AttemptId,
        /// Name of the VM that is the home as far as is known.
        home: Arc<str>,
    },
    /// This node is not the home of the key and does not know who is; nothing started.
    NotHome {
        /// The attempt.
        attempt: AttemptId,
        /// Number of the code.
        code: u16,
    },
    /// The result of a cancel.
    Cancelled {
        /// The attempt.
        attempt: AttemptId,
        /// The result.
        result: CancelResult,
        /// How long the owner's process has lived, in milliseconds: one that started after the
        /// attempt was sent cannot know what its earlier life did with it.
        up_ms: u32,
    },
    /// Nothing but what rides along.
    Load,
    /// What the node knows of VMs.
    Gossip {
        /// VMs that the sender knows.
        members: Vec<Member>,
        /// Failure domains that are evacuated as far as the sender knows.
        evacuation: Evacuation,
        /// What the sender says of its pages of claims.
        claims: ClaimNews,
    },
    /// The failure domains that are evacuated.
    Evacuation(Evacuation),
    /// The bundle in force; its text follows.
    Bundle {
        /// Its number; zero when there is none.
        number: u64,
        /// Its version.
        version: String,
    },
    /// What has changed in the store; it follows as the body.
    News {
        /// Length of the body, in bytes.
        body_bytes: u32,
        /// How long ago the store was known to stand where the news end, in milliseconds.
        age_ms: u32,
    },
    /// How runs of the upstream's present start ended, by route.
    Runs(Vec<RouteRuns>),
    /// What an account's home grants.
    Quota {
        /// Calls that the asking entry may admit.
        calls: u32,
        /// When to ask again where there are none, in milliseconds.
        retry_after_ms: u32,
    },
    /// This node is not the home that was asked for.
    NoQuota,
    /// This node does not follow the store closely enough to be followed itself.
    NoNews,
    /// As many nodes follow this one as it bears.
    FollowersFull,
}

/// A reply with what rides on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyHead {
    /// The reply.
    pub reply: Reply,
    /// What rides along.
    pub riding: Riding,
}

/// A question with its body.
#[derive(Debug, Clone)]
pub struct Question {
    /// The head.
    pub ask: Ask,
    /// The body; empty where the question has none.
    pub body: Bytes,
}

/// A reply with its body.
#[derive(Debug, Clone)]
pub struct Answered {
    /// The head.
    pub head: ReplyHead,
    /// The body; empty where the reply has none.
    pub body: Bytes,
}
