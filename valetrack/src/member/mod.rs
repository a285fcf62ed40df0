//! Membership: the platform's list of VMs, the nodes' entries in the store, and the phases of each incarnation.
//!
//! Contract: within one incarnation of a VM the phase only moves forward, a later incarnation replaces an earlier one,
//! and neither reordered messages nor an outdated list restore an earlier state.

mod directory;
mod evacuation;
mod lease;
pub mod leased;
pub mod list;
mod message;
mod registrar;
mod relay;
mod role;
pub mod run;
mod state;
mod takeover;
#[cfg(test)]
mod tests;

pub use directory::{Directory, ENTRY_PREFIX, EntryDoc, MISSING_US, REWRITES_PER_S, entry_key};
pub use evacuation::{Evacuation, EvacuationKeys};
pub use lease::{EntryKeeper, EntryStep, SeenEntry};
pub use message::{Candidate, FollowerReply, GossipReply, ListedVm, Member, MemberJob, Phase};
pub use registrar::{Batch, Registrar};
pub use relay::{AGE_MAX_US, ApplyOutcome, ChangeLog, PublishedBundle, StoreUpdate};
pub use role::{AvoidReason, GROUP_MAX, is_candidate, is_needed, is_surplus, relay_in_regions, relay_of, source_of};
pub use state::{GONE_AFTER_US, Members};
pub use takeover::{Takeover, TakeoverStep, resigns};
