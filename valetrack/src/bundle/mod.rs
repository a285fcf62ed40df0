//! Bundles of configuration: operators write, approve and publish them; nodes adopt them and spread them to each other.
//!
//! Contract: a bundle with a fault is never written. A second operator has to approve a bundle. If two operators
//! publish concurrently, one wins, and the other gets an error with the name of the winner. The number of a node's
//! bundle never decreases.

mod account;
mod adopt;
mod check;
mod confirmation;
mod fetch;
mod fetch_run;
mod format;
mod message;
pub mod operator;
mod reader;
mod recover;
mod route;
pub mod run;
mod serve;
mod state;
#[cfg(test)]
mod tests;
mod text;
mod upload;

pub use account::{AccountFault, AccountRule, AccountTable};
pub use adopt::Adopter;
pub use check::{TEXT_MAX_BYTES, check};
pub use confirmation::{Confirmation, ConfirmedBy};
pub use format::{BundleFormat, TomlFormat};
pub use message::{
    Bundle, CURRENT_KEY, CallerLimits, ClaimMode, CurrentDoc, Fault, FleetRetries, InForce, MeasureRule, PublishedDoc,
    RouteRule, ServiceRule, VERSION_DIGITS, version_of,
};
pub use route::{HostRoute, RouteTable, SplitPicker, SplitTarget};
pub use serve::TextServer;
pub use state::Adoption;
pub use text::{PackedText, PackedTexts};
pub use upload::Receiver;
