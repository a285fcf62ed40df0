//! Roll-outs: a service's calls move to a new version of its upstreams, or are rolled back.
//!
//! Contract: until the new version is found sound, it gets a small share of the calls, at as many of its upstreams as
//! that share loads as usual. A version that fails or is slow compared with the old one, on any route, gets no calls
//! from then on. A roll-out is reported as completed only after the old version's upstreams have stopped receiving new
//! calls. Every node acts on the documents in the store, so that all nodes apply the same share to the same upstreams.

mod comparison;
mod count;
mod decision;
mod message;
mod registry;
mod share;
#[cfg(test)]
mod tests;

pub use comparison::{Verdict, compare};
pub use count::RunCounter;
pub use decision::{Decision, Evidence, Progress, decide};
pub use message::{
    DOC_PREFIX, RolloutDoc, RolloutFormat, RolloutOrder, RolloutState, RouteRuns, Stage, TrafficShare, doc_key,
};
pub use registry::{RolloutRegistry, RolloutStage, RolloutView};
pub use share::{TrialShare, trial_size};
