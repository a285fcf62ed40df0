//! Messages of placement: events of a call and the actions that follow from them.

use bytes::Bytes;
use tokio::sync::oneshot;

use super::never_runs::NeverRuns;
use crate::code::Code;
use crate::gate::{AttemptId, CancelResult, DeclineReason, LoadReport, QueueTimeout};
use crate::link::message::{AnswerHead, CallHead};

/// Index of a server in the view of its service; stable as long as the view keeps the server.
pub type ServerIndex = usize;

/// Whether the work of a call ran, as reported to the caller.
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
    /// Returns the value of the `valetrack-outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// An event of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEvent {
    /// The call arrived from its caller.
    Begin,
    /// An attempt returned a complete answer.
    Ran {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the answer reports no failure of the server itself.
        healthy: bool,
    },
    /// The owner declined the attempt without starting it.
    Declined {
        /// The attempt.
        attempt: AttemptId,
        /// Reason of the decline.
        reason: DeclineReason,
    },
    /// The attempt started, but its answer is lost.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Cause of the loss.
        code: Code,
    },
    /// The link could not be opened, so the attempt was never sent to the owner.
    Unsent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The link broke while the attempt was in flight.
    Broken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The owner's reply to a cancel; none if no reply arrived.
    CancelResult {
        /// The attempt.
        attempt: AttemptId,
        /// The result.
        result: Option<CancelResult>,
    },
    /// A hedge is due.
    HedgeDue,
    /// The deadline has passed.
    DeadlineDue,
}

/// Why an attempt is sent.
///
/// Each cause but the first two adds an arrival at the upstreams after the call's first one, and is charged to the
/// service's budget of repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendCause {
    /// It is the first attempt of the call.
    First,
    /// No attempt since the last charged one has reached an upstream.
    Unreached,
    /// An upstream rejected the previous attempt.
    Rejected,
    /// The previous attempt started and returned no answer, or a failure.
    Retry,
    /// The previous attempt takes long.
    Hedge,
}

impl SendCause {
    /// The causes that are charged.
    pub const CHARGED: [Self; 3] = [Self::Rejected, Self::Retry, Self::Hedge];

    /// Returns whether an attempt sent for this cause may arrive after the first one of its call.
    pub fn is_charged(self) -> bool {
        Self::CHARGED.contains(&self)
    }

    /// Returns the name of the cause in log lines and metrics.
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

/// An attempt that is sent to the owner of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// The server.
    pub server: ServerIndex,
    /// Queue timeout at the server.
    pub patience: QueueTimeout,
    /// Utility of the call at the best other server that it may be sent to, as a share of the utility of a timely
    /// answer; zero if there is none.
    pub elsewhere_permille: u16,
    /// Why it is sent.
    pub cause: SendCause,
    /// Chance that its run is a repeat, in which case the calls that the run makes are repeats too.
    pub repeat_permille: u16,
}

/// Action that the I/O shell of placement performs for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallAction {
    /// Send an attempt to a server's owner.
    Send(Dispatch),
    /// Ask the owner to cancel an attempt, on a new connection if the old one broke.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The server.
        server: ServerIndex,
    },
    /// Send [`CallEvent::HedgeDue`] after this delay.
    ArmHedge {
        /// The delay.
        after_us: u64,
    },
    /// Return the verdict to the caller.
    Finish(Verdict),
}

/// Final result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Return the answer of this attempt.
    Answer(AttemptId),
    /// Report that the work did not run, and when to call again.
    NotRun {
        /// Proof that the work has not run and never will.
        proof: NeverRuns,
        /// Cause.
        code: Code,
        /// Delay after which the caller may call again.
        retry_after_ms: u32,
    },
    /// Report that the work may have run.
    Unknown {
        /// Cause.
        code: Code,
    },
}

/// Retry delay for a call to an unknown service: a bundle that names the service may be in flight.
const UNKNOWN_RETRY_MS: u32 = 1_000;
/// Verdict on a call to an unknown service, which was not sent.
pub const SERVICE_UNKNOWN: Verdict =
    Verdict::NotRun { proof: NeverRuns::unsent(), code: Code::ServiceUnknown, retry_after_ms: UNKNOWN_RETRY_MS };

/// Retry delay for a call that crashes upstreams: its next trial is minutes later at the earliest, and until then it
/// would only be refused again.
const QUARANTINED_RETRY_MS: u32 = 60_000;
/// Returns the verdict on a call that crashes upstreams.
pub const fn quarantined(proof: NeverRuns) -> Verdict {
    Verdict::NotRun { proof, code: Code::Quarantined, retry_after_ms: QUARANTINED_RETRY_MS }
}

/// Requirements of a call on its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Usual duration of its run; zero if unknown.
    pub work_us: u32,
    /// Time within which its answer has the highest utility.
    pub left_us: u64,
}

/// A load report with its time of receipt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedLoad {
    /// The report.
    pub load: LoadReport,
    /// Time of receipt, on this process's monotonic clock.
    pub received_us: u64,
}

/// A call to be placed.
#[derive(Debug)]
pub struct PlaceJob {
    /// Head of the call; placement fills in the attempt.
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Channel for the result.
    pub reply: oneshot::Sender<Placed>,
}

/// Result of a call.
#[derive(Debug)]
pub enum Placed {
    /// The answer of a server.
    Answer(AnswerHead, Bytes),
    /// No answer; the verdict states whether the work ran.
    Verdict(Verdict),
}
