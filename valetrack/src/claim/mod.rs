//! At-most-once execution of keyed calls: submitting a call again with the same key never runs it twice.
//!
//! Contract: a key runs only after its claim is in the store, written on the revision that this home last saw. A key
//! that was claimed and has no recorded end never runs again. A submission answered with `not-run` did not run and will
//! not, and neither did any earlier one of the same key.

mod continuity;
mod entry;
mod message;
pub mod rank;
mod recovery;
mod report;
pub mod run;
mod state;
#[cfg(test)]
mod tests;

pub use continuity::{Attestation, Continuity};
pub use entry::ClaimRule;
pub use message::{
    ClaimAction, ClaimEvent, ClaimJob, Holder, Home, KeptAnswer, KeyDigest, KeyedCallId, KeyedCallReply, Page,
    PageEntry, Record, RunEnd,
};
pub use report::{ClaimReport, ClaimState, PeerClaims, PeerReport};
pub use state::PageHome;
