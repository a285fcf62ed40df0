//! Messages of the gate: what it hears, what it orders, and the load that it reports.

use serde::{Deserialize, Serialize};

use super::packed::PackedLoad;

/// Names one attempt of one call; unique over all nodes and restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// Random number drawn by the entry's process at its start.
    pub entry: u64,
    /// Counter of the entry's process.
    pub seq: u64,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}-{}", self.entry, self.seq)
    }
}

/// Load of one server as its owner knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "PackedLoad", into = "PackedLoad")]
pub struct LoadReport {
    /// Calls that may run at once now, in slots; zero where none may start for some tenths of a second,
    /// since the server is cold and has got what it bears.
    pub limit: u16,
    /// Calls that run now.
    pub in_flight: u16,
    /// Calls that wait for a slot.
    pub queued: u16,
    /// Smoothed service time, in microseconds.
    pub service_us: u32,
    /// Whether running calls have made no progress for much longer than usual.
    pub stalled: bool,
    /// Whether the server takes no new work.
    pub leaving: bool,
    /// Time that a run takes that meets the machine at full speed, in hundredths of the expected
    /// time; zero where nothing is known.
    pub fast_percent: u16,
    /// The same of a run that meets the machine in a slow episode.
    pub slow_percent: u16,
    /// Chance that the machine is in a slow episode now, in hundredths.
    pub slow_chance_percent: u8,
    /// Share of the time that the machine is in one, in hundredths.
    pub slow_share_percent: u8,
    /// Time for which its present speed is likely to go on, in milliseconds; zero where unknown.
    pub slow_lasts_ms: u16,
    /// Runs that keep the speed of their start, in hundredths.
    pub kept_percent: u8,
    /// Runs that fail, in hundredths.
    pub failing_percent: u8,
}

/// What came of cancelling an attempt at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelResult {
    /// The attempt has not started, and never will.
    NeverStarted,
    /// The upstream was reached by it and rejected it; it has not run and never will.
    Rejected,
    /// The attempt has started; its outcome is not known to be undone.
    Started,
}

/// Why an owner gave a call back without starting it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum BounceReason {
    /// No slot would be free in time.
    Full,
    /// The server is leaving.
    Leaving,
    /// Running calls make no progress, so the wait cannot be told.
    Stalled,
    /// The attempt was cancelled before it came, or came twice.
    Cancelled,
    /// The call would not end in time here, and another server may be faster.
    Slow,
    /// The server took no connection.
    Refused,
    /// Nothing was heard of the server yet.
    NotReady,
    /// The call reached the server, which said that it did not run it.
    Rejected,
    /// The server's failure domain is evacuated.
    Evacuated,
    /// The call is a repeat, and a service that its run would call has no budget left for repeats.
    RepeatRefused,
    /// The call has crashed too many upstreams.
    Quarantined,
}

/// How long an entry lets an attempt wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Patience {
    /// Not at all: a hedge is worth a free slot, but no place in a queue.
    None,
    /// Shortly: another server looks as if it had room.
    Short,
    /// As long as the queue is bounded to, unless the server stalls.
    Long,
    /// As long as the queue is bounded to, come what may: every server was tried.
    Last,
}

/// Thousandths in one.
pub const PERMILLE: f64 = 1_000.0;

/// What a call is worth the most by, and how long it should run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objective {
    /// Time from now within which an answer is worth the most, in microseconds.
    pub left_us: u64,
    /// Time that the run is expected to take on a usual server, in microseconds; zero when unknown.
    pub work_us: u64,
    /// What the call is worth at the best other server that the entry may ask, in thousandths of
    /// an answer in time; zero where there is none.
    pub elsewhere_permille: u16,
    /// Longest wait for a slot, in microseconds.
    pub wait_max_us: u64,
}

/// How long one run took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunTimes {
    /// Time from the start to the whole answer, in microseconds.
    pub ran_us: u64,
    /// The same as it would have been on a machine that is not slowed, in microseconds.
    pub unslowed_us: u64,
    /// Time that the entry expected on a usual server, in microseconds; zero when unknown.
    pub work_us: u64,
    /// Factor by which the machine was slowed at the start, in hundredths; zero when unknown.
    pub start_percent: u16,
    /// Factor by which it was slowed at the end, in hundredths; zero when unknown.
    pub end_percent: u16,
}

/// Something that happened to the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateEvent {
    /// A call came.
    Arrive {
        /// The attempt.
        attempt: AttemptId,
        /// Latest useful end on this process's monotonic clock, in microseconds.
        deadline_us: u64,
        /// How long the entry lets it wait here.
        patience: Patience,
        /// Rank in the queue; zero goes first.
        priority: u8,
        /// When an answer is worth the most and what the run is expected to take; none where the
        /// gate's own bounds hold.
        objective: Option<Objective>,
    },
    /// A started attempt ended, whether well or not.
    Done {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the server gave a whole answer that is not a failure of its own.
        healthy: bool,
    },
    /// The server took no connection for a started attempt, or rejected it, so nothing ran.
    Refused {
        /// The attempt.
        attempt: AttemptId,
        /// Which of both.
        reason: BounceReason,
    },
    /// The entry wants an attempt cancelled.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Time has passed.
    Tick,
    /// The server is to leave.
    Drain,
    /// The server's failure domain is to get nothing new.
    Evacuate,
    /// The server's failure domain is in service again.
    Return {
        /// Until when the server is taken for cold, on this process's monotonic clock, in microseconds.
        cold_until_us: u64,
    },
    /// Another start of the server takes work.
    Open,
    /// The VM was suspended until now.
    Resumed,
}

/// What the shell of the gate must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateAction {
    /// Send the call to the server.
    Start {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Give the call back; it never starts here.
    Bounce {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: BounceReason,
    },
    /// Report the result of a cancel.
    ReportCancel {
        /// The attempt.
        attempt: AttemptId,
        /// The result.
        result: CancelResult,
    },
}
