//! At most once: pressing again with the same key never runs the work twice.
//!
//! Contract: a key runs only after its claim is in the store, under the revision that this home
//! last knew; a key that was claimed and is not known to have finished never runs again; a press
//! told `not-run` did not run and will not, under that press or any before it.

mod continuity;
mod entry;
mod message;
mod news;
pub mod rank;
mod recovery;
pub mod run;
mod state;
#[cfg(test)]
mod tests;

pub use continuity::{Attestation, Continuity};
pub use entry::ClaimRule;
pub use message::{
    ClaimAction, ClaimEvent, ClaimJob, Holder, Home, KeptAnswer, KeyDigest, Page, PageEntry, PressId, PressReply,
    Record, RunEnd,
};
pub use news::{ClaimNews, ClaimState, PeerClaims, PeerNews};
pub use state::PageHome;
