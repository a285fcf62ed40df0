//! Roll-outs: a service's calls move to a new version of its upstreams, or turn back.
//!
//! Contract: until the new version is found sound it gets a small share of the calls, at as many of its upstreams as
//! that share loads as usual; one that fails or is slow beside the old version, on any route, gets none from then on;
//! the old version's upstreams get nothing new before the roll-out is told to be completed. Every node goes by what the
//! store says, so that all have the same share and the same upstreams.

mod book;
mod count;
mod decision;
mod judge;
mod message;
mod share;
#[cfg(test)]
mod tests;

pub use book::{RolloutBook, RolloutStage, RolloutView};
pub use count::RunCounter;
pub use decision::{Decision, Evidence, Progress, decide};
pub use judge::{Verdict, judge};
pub use message::{
    DOC_PREFIX, RolloutDoc, RolloutFormat, RolloutOrder, RolloutState, RouteRuns, ServerPart, Stage, doc_key,
};
pub use share::{TrialShare, trial_size};
