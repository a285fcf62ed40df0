//! Calls that crash the upstreams that run them.
//!
//! Contract: a call is known by its fingerprint, the same at every node under any id. An upstream that crashes makes
//! suspects of all calls that it was running; a whole answer clears a call, and no two suspects run on one
//! upstream at once, so that the next crash tells which it was. A call under which three upstreams have crashed
//! is refused at once by every node that knows of them, but for a few trials that are counted in the store.

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
pub use history::{ARCHIVE_MAX, CRASHES_MAX, CrashHistory, HISTORY_MAX, Standing, TRIAL_PAUSES_US, TRIALS_MAX};
pub use message::{
    Admission, CrashId, CrashJob, CrashReport, CrashedCall, RunningCall, SUSPECTS_MAX, Suspect, SuspectRef,
};
pub use quarantine::Quarantine;
