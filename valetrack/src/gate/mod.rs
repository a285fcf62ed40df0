//! The gate in front of this VM's server: slots, a short queue, pooled connections and draining.
//!
//! All work reaches the server through its gate, so the slots and attempts that the gate reports are exact. The server
//! never runs more calls than it has slots, an attempt starts at most once, and an attempt that was declined, or for
//! which [`CancelResult::NeverStarted`] was returned, never starts.

mod account_share;
mod acknowledgement;
mod cold;
mod cold_rank;
mod crash;
mod departure;
mod header;
mod kept;
mod ledger;
mod limit;
mod message;
mod objective;
mod origin;
mod outage;
mod packed;
pub mod pool;
mod progress;
mod protocol;
mod rank;
mod rate_limit;
pub mod run;
mod speed;
mod speed_estimate;
mod state;
#[cfg(test)]
mod tests;
mod upstream;

pub use account_share::AccountShares;
pub use acknowledgement::{DepartureAcknowledger, DepartureRecord, RecordedBy};
pub use cold::{ColdBound, ColdRule};
pub use cold_rank::RankedStarts;
pub use crash::CrashWatch;
pub use departure::{Departure, DepartureSource, Departures};
pub use header::{ACCOUNT_HEADER, REPEAT_HEADER, forwarded_headers};
pub use kept::KeptSpeedShare;
pub use ledger::{RunLedger, StartedRun};
pub use limit::ConcurrencyLimit;
pub use message::{
    AttemptId, CancelResult, DeclineReason, GateAction, GateEvent, LoadReport, Objective, PERMILLE, QueueTimeout,
    RunTimes,
};
pub use objective::objective;
pub use origin::OriginTracker;
pub use outage::Outage;
pub use protocol::{Classified, Health, HostLoad, NativeUpstream, UpstreamProtocol, is_final_status};
pub use rank::NestedRank;
pub use rate_limit::{AnswerKind, RateLimit, RateLimitChange, RequestedRate};
pub use speed::Speed;
pub use speed_estimate::{SLOWDOWN_DURATION_US, SpeedEstimate, history_weight, utility_at};
pub use state::{Gate, GateConfig, RESULT_RETENTION_US};
pub use upstream::{Announcement, UpstreamPhase, UpstreamState};
