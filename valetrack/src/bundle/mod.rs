//! Bundles of configuration: write, check, approve, roll; adopt; spread.
//!
//! Contract: a bundle with a fault is never written; one operator's word is not enough; of two
//! operators who roll at once, one wins and the other is told by whom; a node's bundle only goes
//! forward.

mod account;
mod adopt;
mod check;
mod format;
mod message;
pub mod operator;
mod reader;
mod recover;
mod route;
pub mod run;
mod state;
#[cfg(test)]
mod tests;

pub use account::{AccountFault, AccountRule, AccountTable};
pub use adopt::Adopter;
pub use check::{TEXT_MAX_BYTES, check};
pub use format::{BundleFormat, TomlFormat};
pub use message::{
    Bundle, CURRENT_KEY, CallerLimits, ClaimMode, CurrentDoc, Fault, FleetRetries, InForce, MeasureRule, RolledDoc,
    RouteRule, ServiceRule, VERSION_DIGITS, version_of,
};
pub use route::{HostRoute, RouteTable, SplitPicker, SplitTarget};
pub use state::Adoption;
