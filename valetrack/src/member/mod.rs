//! VMs: the platform's list, lives of VMs, leaving.
//!
//! Contract: phases only grow within one life of a VM, a later life replaces an earlier one, and
//! no order of messages or age of the list brings an earlier state back.

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
#[cfg(test)]
mod tests;

pub use directory::{Directory, ENTRY_PREFIX, EntryDoc, MISSING_US, REWRITES_PER_S, entry_key};
pub use evacuation::{Evacuation, EvacuationKeys};
pub use lease::{EntryKeeper, EntryStep, SeenEntry};
pub use message::{Candidate, FollowerNews, Known, ListedVm, Member, MemberJob, Phase};
pub use registrar::{Batch, Registrar};
pub use relay::{AGE_MAX_US, ChangeLog, StoreNews, Taken};
pub use role::{Avoided, GROUP_MAX, is_needed, is_surplus, relay_of, volunteers};
pub use state::{GONE_AFTER_US, Members};
