//! Calls that crash the upstreams that run them.
//!
//! Contract: a call is identified by its fingerprint, which is the same at every node and under any call id. When an
//! upstream crashes, all calls that it was running become suspects. A complete answer clears a call. No two suspects
//! run on one upstream at once, so that the next crash identifies the cause. A call under which three upstreams have
//! crashed is refused at once by every node that has a record of the crashes, except for a few trials that are counted
//! in the store.

mod answered;
pub mod archive;
mod detect;
mod fingerprint;
mod history;
mod message;
mod quarantine;
pub mod run;
#[cfg(test)]
mod tests;

pub use answered::RecentAnswers;
pub use detect::{CrashDetector, Down, ExchangeEnd};
pub use fingerprint::{Fingerprint, FingerprintKey};
pub use history::{ARCHIVE_MAX, CRASHES_MAX, CallStatus, CrashHistory, HISTORY_MAX, TRIAL_PAUSES_US, TRIALS_MAX};
pub use message::{
    Admission, CrashId, CrashJob, CrashReport, CrashedCall, RunningCall, SUSPECTS_MAX, Suspect, SuspectRef,
};
pub use quarantine::Quarantine;
