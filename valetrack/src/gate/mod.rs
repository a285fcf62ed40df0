//! The gate before this VM's server: slots, a short queue, warm connections, drain.
//!
//! Contract: all work reaches the server through its gate, so what the gate says of slots and of
//! attempts is exact. The server never runs more than its slots; an attempt starts at most once;
//! an attempt that was bounced, or of which [`CancelResult::NeverStarted`] was said, never starts.

mod cold;
mod crash;
mod header;
mod kept;
mod ledger;
mod limit;
mod message;
mod objective;
mod origin;
mod outage;
mod pace;
mod packed;
pub mod pool;
mod progress;
mod protocol;
pub mod run;
mod speed;
mod state;
#[cfg(test)]
mod tests;
mod upstream;

pub use cold::{ColdBound, ColdRule};
pub use crash::CrashWatch;
pub use header::{ACCOUNT_HEADER, REPEAT_HEADER, travelling};
pub use kept::SpeedKept;
pub use ledger::RunLedger;
pub use limit::ConcurrencyLimit;
pub use message::{
    AttemptId, BounceReason, CancelResult, GateAction, GateEvent, LoadReport, Objective, PERMILLE, Patience, RunTimes,
};
pub use objective::objective;
pub use origin::OriginTracker;
pub use outage::Outage;
pub use pace::{Pace, SLOWDOWN_LASTS_US, fading, time_worth};
pub use protocol::{Classified, Health, HostLoad, NativeUpstream, UpstreamProtocol};
pub use speed::Speed;
pub use state::{Gate, GateConfig, MEMORY_US};
pub use upstream::{Announcement, UpstreamPhase, UpstreamState};
