//! Messages of placement: what happens to a call, and what is to be done for it.

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::code::Code;
use crate::gate::{AttemptId, BounceReason, CancelResult, LoadReport, Patience};
use crate::link::message::{AnswerHead, CallHead};

/// Index of a server in its service's view; stable as long as the view keeps the server.
pub type ServerIndex = usize;

/// What a caller is told about whether its work ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Outcome {
    /// The work ran and this is its answer.
    Ran,
    /// The work did not run and will not.
    NotRun,
    /// The work may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the word in the `valetrack-outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Something that happened to a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEvent {
    /// The call came from its caller.
    Begin,
    /// An attempt brought a whole answer.
    Ran {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the answer is not a failure of the server's own.
        healthy: bool,
    },
    /// The owner gave the attempt back without starting it.
    Bounced {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: BounceReason,
    },
    /// The attempt started, but its answer is lost for good.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        code: Code,
    },
    /// The link could not be opened, so the owner was never sent the attempt.
    Unsent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The link broke with the attempt outstanding.
    Broken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The owner's result of a cancel; none when it could not be had.
    CancelResult {
        /// The attempt.
        attempt: AttemptId,
        /// The result.
        result: Option<CancelResult>,
    },
    /// It is time to hedge.
    HedgeDue,
    /// The deadline passed.
    DeadlineDue,
}

/// Why an attempt is sent.
///
/// Each cause but the first two adds an arrival at the upstreams past the call's first one, and is
/// paid for by the service's budget of repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendCause {
    /// It is the call's first.
    First,
    /// No attempt since the last one that was paid for has reached an upstream.
    Unreached,
    /// An upstream rejected the one before it.
    Rejected,
    /// The one before it started and brought no answer, or one of a failure.
    Retry,
    /// The one before it takes long.
    Hedge,
}

impl SendCause {
    /// The causes that are paid for.
    pub const PAID: [Self; 3] = [Self::Rejected, Self::Retry, Self::Hedge];

    /// Returns whether an attempt sent for it may arrive past the first of its call.
    pub fn is_paid(self) -> bool {
        Self::PAID.contains(&self)
    }

    /// Returns the word for it in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Unreached => "unreached",
            Self::Rejected => "rejected",
            Self::Retry => "retry",
            Self::Hedge => "hedge",
        }
    }
}

/// An attempt on its way to the owner of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// The server.
    pub server: ServerIndex,
    /// How long it may wait there.
    pub patience: Patience,
    /// What the call is worth at the best other server that may be asked, in thousandths of an
    /// answer in time; zero where there is none.
    pub elsewhere_permille: u16,
    /// Why it is sent.
    pub cause: SendCause,
    /// Chance that its run is a repeat, in thousandths: the calls that it makes are repeats then.
    pub repeat_permille: u16,
}

/// What the shell of placement must do for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallAction {
    /// Send an attempt to a server's owner.
    Send(Dispatch),
    /// Ask the owner to cancel an attempt, on a new connection where the old one broke.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The server.
        server: ServerIndex,
    },
    /// Send [`CallEvent::HedgeDue`] after this time.
    ArmHedge {
        /// Delay, in microseconds.
        after_us: u64,
    },
    /// Tell the caller.
    Finish(Verdict),
}

/// The final answer of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Pass on the answer that this attempt brought.
    Answer(AttemptId),
    /// Say that the work did not run, and when to come back.
    NotRun {
        /// Why.
        code: Code,
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
    },
    /// Say that the work may have run.
    Unknown {
        /// Why.
        code: Code,
    },
}

/// When a call for a service that is not known may come back, in milliseconds: a bundle that names
/// the service may be on its way.
const UNKNOWN_RETRY_MS: u32 = 1_000;
/// The verdict on a call for a service that is not known.
pub const SERVICE_UNKNOWN: Verdict = Verdict::NotRun { code: Code::ServiceUnknown, retry_after_ms: UNKNOWN_RETRY_MS };

/// When a call that crashes upstreams may come back, in milliseconds: it is tried again minutes later at the
/// earliest, and sooner it would only be refused again.
const QUARANTINED_RETRY_MS: u32 = 60_000;
/// The verdict on a call that crashes upstreams.
pub const QUARANTINED: Verdict = Verdict::NotRun { code: Code::Quarantined, retry_after_ms: QUARANTINED_RETRY_MS };

/// What a call asks of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Time that its run usually takes, in microseconds; zero when unknown.
    pub work_us: u32,
    /// Time within which its answer is worth the most, in microseconds.
    pub left_us: u64,
}

/// A load report with the moment at which it came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeenLoad {
    /// The report.
    pub load: LoadReport,
    /// When it came, on this process's monotonic clock, in microseconds.
    pub seen_us: u64,
}

/// A call to be placed.
#[derive(Debug)]
pub struct PlaceJob {
    /// The call; its attempt is filled in.
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Where the result goes.
    pub reply: oneshot::Sender<Placed>,
}

/// How a call ended.
#[derive(Debug)]
pub enum Placed {
    /// The answer of a server.
    Answer(AnswerHead, Bytes),
    /// No answer; the verdict tells whether it ran.
    Verdict(Verdict),
}
