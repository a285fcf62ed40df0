//! Events and actions of the gate, and the load report that it publishes.

use serde::{Deserialize, Serialize};

use super::packed::PackedLoad;

/// Identifies one attempt of one call, uniquely over all nodes and restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Random number that the entry's process draws when it starts.
    pub entry: u64,
    /// Counter within the entry's process.
    pub seq: u64,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}-{}", self.entry, self.seq)
    }
}

/// Load of one server as its owner measures it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "PackedLoad", into = "PackedLoad")]
pub struct LoadReport {
    /// Number of calls that may run at once now; zero while no call may start because the server has already received
    /// the calls that it supports, either since it is cold or since it limits its rate.
    pub limit: u16,
    /// Calls that are running.
    pub in_flight: u16,
    /// Calls that wait for a slot.
    pub queued: u16,
    /// Smoothed service time.
    pub service_us: u32,
    /// Whether the running calls have made no progress for much longer than usual.
    pub stalled: bool,
    /// Whether the server accepts no new work.
    pub leaving: bool,
    /// Duration of a run while the machine is at full speed, as a percentage of the expected duration; zero if unknown.
    pub fast_percent: u16,
    /// Duration of a run during a slow episode, as a percentage of the expected duration; zero if unknown.
    pub slow_percent: u16,
    /// Probability that the machine is in a slow episode now.
    pub slow_chance_percent: u8,
    /// Share of time that the machine spends in slow episodes.
    pub slow_share_percent: u8,
    /// Expected remaining duration of the machine's present speed; zero if unknown.
    pub slow_lasts_ms: u16,
    /// Share of runs that keep the speed that the machine had at their start.
    pub kept_percent: u8,
    /// Share of runs that fail.
    pub failing_percent: u8,
    /// Time until the server's rate limit is expected to admit the next call; zero if it admits one now.
    pub start_delay_ms: u16,
}

/// Result of cancelling an attempt at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelResult {
    /// The attempt has not started and never will.
    NeverStarted,
    /// The attempt reached the upstream, which rejected it. It has not run and never will.
    Rejected,
    /// The attempt has started and may have taken effect.
    Started,
}

/// Reason for which an owner declined an attempt without running it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeclineReason {
    /// No slot would be free in time.
    Full,
    /// The server is leaving.
    Leaving,
    /// The running calls make no progress, so the wait cannot be estimated.
    Stalled,
    /// The attempt was cancelled before it arrived, or arrived twice.
    Cancelled,
    /// The call would miss its objective here, and another server may be faster.
    Slow,
    /// The server accepted no connection.
    Refused,
    /// The server has not announced itself yet, or counts as down, or the VM was suspended while the attempt waited.
    NotReady,
    /// The call reached the server, which answered that it did not run it.
    Rejected,
    /// The server's failure domain is evacuated.
    Evacuated,
    /// The call is a repeat, and a service that its run would call has no retry budget left; or the call itself has too
    /// little chance of the answers that its run would need from other services.
    RepeatRefused,
    /// The call has crashed too many upstreams.
    Quarantined,
    /// The server limits the rate of its calls, and the call would wait too long.
    RateLimited,
    /// The bundle in force at the owner lacks the service.
    ServiceRemoved,
}

/// How long an entry lets an attempt wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QueueTimeout {
    /// The attempt starts at once or not at all. Hedges use this, since they justify a free slot but no place in a
    /// queue.
    None,
    /// The attempt waits briefly, because another server appears to have a free slot.
    Short,
    /// The attempt waits up to the queue's limit, unless the server stalls.
    Long,
    /// The attempt waits up to an extended limit, even if the server stalls, because every other server was tried.
    Last,
}

/// Scale of values in thousandths.
pub const PERMILLE: f64 = 1_000.0;

/// Objective of a call and the expected duration of its run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objective {
    /// Time from now until the objective.
    pub left_us: u64,
    /// Expected duration of the run on an average server; zero if unknown.
    pub work_us: u64,
    /// Utility of the call at the best other server that the entry may ask, in thousandths of the utility of an answer
    /// in time; zero if there is no other server.
    pub elsewhere_permille: u16,
    /// Longest wait for a slot.
    pub wait_max_us: u64,
}

/// Measured durations of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTimes {
    /// Time from the start to the complete answer.
    pub ran_us: u64,
    /// Estimated duration of the same run on a machine that is not slowed.
    pub unslowed_us: u64,
    /// Duration that the entry expected on an average server; zero if unknown.
    pub work_us: u64,
    /// Slowdown of the machine at the start; zero if unknown.
    pub start_percent: u16,
    /// Slowdown of the machine at the end; zero if unknown.
    pub end_percent: u16,
}

/// Input of the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateEvent {
    /// An attempt arrived.
    Arrive {
        /// The attempt.
        attempt: AttemptId,
        /// Deadline of the call on this process's monotonic clock.
        deadline_us: u64,
        /// How long the entry lets the attempt wait.
        patience: QueueTimeout,
        /// Rank in the queue; zero goes first.
        priority: u8,
        /// Objective and expected duration of the call; `None` if the gate's own limits apply.
        objective: Option<Objective>,
        /// Whether a run made the call. Such a run needs the answer by its deadline, not by an objective.
        is_nested: bool,
    },
    /// A started attempt ended, successfully or not.
    Done {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the server returned a complete answer that reports no failure of its own.
        healthy: bool,
    },
    /// The server accepted no connection for a started attempt, or rejected the attempt, so nothing ran.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the connection was refused or the attempt rejected.
        reason: DeclineReason,
    },
    /// The entry cancels an attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Time has passed.
    Tick,
    /// The server must leave.
    Drain,
    /// The server's failure domain is evacuated and must receive no new work.
    Evacuate,
    /// The evacuation of the server's failure domain has ended.
    Return {
        /// End of the period in which the server counts as cold, on this process's monotonic clock.
        cold_until_us: u64,
    },
    /// The bundle in force lacks the server's service.
    Remove,
    /// The bundle in force has the server's service again.
    Restore,
    /// A new start of the server accepts work.
    Open,
    /// The VM was suspended until now.
    Resumed,
}

/// Output of the gate, which the I/O shell must carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateAction {
    /// Send the call to the server.
    Start {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Decline the attempt, which never starts here.
    Bounce {
        /// The attempt.
        attempt: AttemptId,
        /// Reason for declining.
        reason: DeclineReason,
    },
    /// Report the result of a cancellation.
    ReportCancel {
        /// The attempt.
        attempt: AttemptId,
        /// Result of the cancellation.
        result: CancelResult,
    },
}
