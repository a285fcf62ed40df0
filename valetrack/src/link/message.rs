//! Messages between nodes.
//!
//! A stream carries one request and one reply. Each is a frame: the length of the head in four bytes (big endian), the
//! head in postcard encoding, and the body up to the end of the stream. The head states the length of the body.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::claim::ClaimReport;
use crate::crash::CrashReport;
use crate::gate::{AttemptId, CancelResult, DeclineReason, Departure, LoadReport, QueueTimeout, is_final_status};
use crate::member::{Evacuation, Member};
use crate::placement::Outcome;
use crate::rollout::RouteRuns;
use crate::store::Position;

/// Version of the messages. The TLS handshake fails between nodes of different versions.
pub const ALPN: &[u8] = b"valetrack/12";
/// Largest head.
pub const HEAD_MAX_BYTES: usize = 64 * 1024;
/// Largest body.
pub const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Largest text of a bundle, and largest store update.
pub const TEXT_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Head of a call that is sent to an owner or to the home of its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// ID of the attempt.
    pub attempt: AttemptId,
    /// ID of the call, shared by all its attempts and nested calls.
    pub call_id: Arc<str>,
    /// Service that is called.
    pub service: Arc<str>,
    /// Service of the VM on which the call originated.
    pub origin: Arc<str>,
    /// Client account of the caller; `None` if the call needs no API key.
    pub account: Option<Arc<str>>,
    /// Name of the route; empty if routes have no names.
    pub route: Arc<str>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length of the body.
    pub body_bytes: u32,
    /// Time left until the deadline.
    pub deadline_ms: u32,
    /// Time left until the objective, within which an answer has its full utility; zero if there is no objective.
    pub objective_ms: u32,
    /// Expected run time on a typical server; zero if unknown.
    pub work_us: u32,
    /// Expected utility of the call at the best other server available to the entry, in thousandths of the utility of
    /// an answer within its objective; zero if there is no other server.
    pub elsewhere_permille: u16,
    /// Priority under overload; zero is the highest.
    pub priority: u8,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Nesting depth of the call.
    pub depth: u8,
    /// Whether the entry has determined that a run of another call made this call.
    pub made_by_run: bool,
    /// Probability that the run is a repeat, in thousandths: a second attempt, or a call made by a repeated run.
    pub repeat_permille: u16,
    /// Queue timeout at the owner.
    pub patience: QueueTimeout,
    /// Idempotency key of the caller.
    pub key: Option<Arc<str>>,
    /// Timestamp of the sender's hybrid clock.
    pub hlc: u64,
}

/// Head of an answer that is sent back to the entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// ID of the answered attempt.
    pub attempt: AttemptId,
    /// Whether the work ran.
    pub outcome: Outcome,
    /// Number of the result code; zero if the server produced the answer.
    pub code: u16,
    /// HTTP status.
    pub status: u16,
    /// Delay before a retry, or zero.
    pub retry_after_ms: u32,
    /// End-to-end headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Length of the body.
    pub body_bytes: u32,
    /// Whether the owner classifies the route as one that upstreams call themselves; `None` while it has too few
    /// observations.
    pub nested: Option<bool>,
    /// Time that the run would have taken on a machine that is not slowed; zero if the call was not sent to the server.
    pub work_us: u32,
}

impl AnswerHead {
    /// Returns the HTTP status for the caller; 502 if the answer of the upstream has none that is final.
    pub fn caller_status(&self) -> StatusCode {
        let status = StatusCode::from_u16(self.status).ok().filter(|status| is_final_status(status.as_u16()));
        status.unwrap_or(StatusCode::BAD_GATEWAY)
    }
}

/// State that the sender attaches to every reply, which saves separate messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piggyback {
    /// Load of the sender's server.
    pub load: LoadReport,
    /// Number of the bundle in force at the sender.
    pub bundle: u64,
    /// Timestamp of the sender's hybrid clock.
    pub hlc: u64,
}

/// A part of the text of a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextPart {
    /// Hash of the text.
    pub version: Arc<str>,
    /// Offset in the compressed text.
    pub offset: u32,
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Runs a call on the owner's server; the body of the call follows.
    Run(CallHead),
    /// Runs a keyed call at the home of the key; the body of the call follows.
    RunKeyed(CallHead),
    /// Cancels an attempt.
    Cancel(AttemptId),
    /// Requests the load of the server.
    Probe,
    /// Exchanges membership, evacuations, claim pages and the number of the bundle in force.
    Gossip {
        /// VMs recorded at the sender.
        members: Vec<Member>,
        /// Evacuated failure domains recorded at the sender.
        evacuation: Evacuation,
        /// Number of the bundle in force at the sender.
        bundle: u64,
        /// State of the sender's claim pages.
        claims: ClaimReport,
    },
    /// Requests a part of the text of a published bundle.
    Bundle {
        /// Number above which a bundle is requested.
        after: u64,
        /// The part; the first one of the latest text if it is `None`.
        part: Option<TextPart>,
        /// VM of the sender.
        vm: Arc<str>,
        /// Address on which the sender accepts links.
        addr: SocketAddr,
        /// Whether nodes that the sender was referred to did not serve it.
        insists: bool,
    },
    /// Requests the evacuated failure domains.
    Evacuation,
    /// Requests changes of the store; the reply is sent as soon as there is a change.
    Follow {
        /// Position up to which the sender has read the store.
        after: Position,
        /// Longest time to wait for a change.
        wait_ms: u32,
        /// Member record of the sender, whose entry in the store the receiver keeps alive.
        me: Member,
    },
    /// Requests the outcomes of runs since the last start of the upstream.
    Runs,
    /// Requests credits for calls of a limited client account.
    Quota {
        /// The account.
        account: Arc<str>,
        /// Number of calls that the sender wants to admit.
        calls: u32,
        /// VM of the account's home, if that VM did not answer the sender.
        instead_of: Option<Arc<str>>,
    },
    /// Reports crashes; the reply is [`Reply::Load`].
    Crashes {
        /// VM of the sender.
        from: Arc<str>,
        /// Reported crashes.
        reports: Vec<CrashReport>,
    },
    /// States that an upstream leaves; the reply is [`Reply::Load`].
    Departure(Departure),
}

impl Ask {
    /// Returns the kind of the request, as used in metrics and log lines.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Run(_) => "run",
            Self::RunKeyed(_) => "run-keyed",
            Self::Cancel(_) => "cancel",
            Self::Probe => "probe",
            Self::Gossip { .. } => "gossip",
            Self::Bundle { .. } => "bundle",
            Self::Evacuation => "evacuation",
            Self::Follow { .. } => "follow",
            Self::Runs => "runs",
            Self::Quota { .. } => "quota",
            Self::Crashes { .. } => "crashes",
            Self::Departure(_) => "departure",
        }
    }
}

/// Reply to a request, on the same stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Answer to a call; the body of the answer follows.
    Answer(AnswerHead),
    /// The owner declined the attempt and will never start it.
    Bounce {
        /// ID of the attempt.
        attempt: AttemptId,
        /// Reason for the decline.
        reason: DeclineReason,
    },
    /// Another node is the home of the key; the call was not started.
    Moved {
        /// ID of the attempt.
        attempt: AttemptId,
        /// Name of the VM recorded as the home.
        home: Arc<str>,
    },
    /// This node is not the home of the key and has no record of the home; the call was not started.
    NotHome {
        /// ID of the attempt.
        attempt: AttemptId,
        /// Number of the result code.
        code: u16,
    },
    /// Result of a cancellation.
    Cancelled {
        /// ID of the attempt.
        attempt: AttemptId,
        /// Result of the cancellation.
        result: CancelResult,
        /// Uptime of the owner's process. A process that started after the attempt was sent has no record of what
        /// the previous incarnation did with the attempt.
        up_ms: u32,
    },
    /// Empty reply, sent for the attached load report.
    Load,
    /// Membership, evacuations and claim pages of the sender.
    Gossip {
        /// VMs recorded at the sender.
        members: Vec<Member>,
        /// Evacuated failure domains recorded at the sender.
        evacuation: Evacuation,
        /// State of the sender's claim pages.
        claims: ClaimReport,
    },
    /// Evacuated failure domains.
    Evacuation(Evacuation),
    /// Part of the compressed text of a bundle; it follows as the body.
    Bundle {
        /// Number of the bundle.
        number: u64,
        /// Hash of the text.
        version: Arc<str>,
        /// Compressed size of the whole text.
        packed_bytes: u32,
        /// Offset of the part.
        offset: u32,
    },
    /// Store update; it follows as the body.
    News {
        /// Length of the body.
        body_bytes: u32,
        /// Time since the store was last confirmed to be at the position at which the update ends.
        age_ms: u32,
    },
    /// Outcomes of runs since the last start of the upstream, by route.
    Runs(Vec<RouteRuns>),
    /// Credits granted by the home of an account.
    Quota {
        /// Number of calls that the requesting entry may admit.
        calls: u32,
        /// Delay before the next request, if no calls were granted.
        retry_after_ms: u32,
    },
    /// This node is not the home of the account.
    NoQuota,
    /// This node's copy of the store is not recent enough to serve followers.
    NoNews,
    /// This node already serves its maximum number of followers.
    FollowersFull,
    /// Other nodes send the requested text, since this node sends it to enough nodes already.
    BundleFrom {
        /// VMs and addresses of the nodes.
        nodes: Vec<(Arc<str>, SocketAddr)>,
    },
    /// This node has no text of a bundle later than the requested number.
    NoBundle,
}

/// Head of a reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyHead {
    /// The reply.
    pub reply: Reply,
    /// State attached by the sender.
    pub riding: Piggyback,
}

/// A request with its body.
#[derive(Debug, Clone)]
pub struct PeerRequest {
    /// Head of the request.
    pub ask: Ask,
    /// Body; empty if the request has none.
    pub body: Bytes,
}

/// A reply with its body.
#[derive(Debug, Clone)]
pub struct PeerReply {
    /// Head of the reply.
    pub head: ReplyHead,
    /// Body; empty if the reply has none.
    pub body: Bytes,
}
