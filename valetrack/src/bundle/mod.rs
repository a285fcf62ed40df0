//! Bundles of configuration: write, check, approve, roll; adopt; spread.
//!
//! Contract: a bundle with a fault is never written; one operator's word is not enough; of two
//! operators who roll at once, one wins and the other is told by whom; a node's bundle only goes
//! forward.

mod check;
mod message;
pub mod operator;
mod reader;
pub mod run;
mod state;
#[cfg(test)]
mod tests;

pub use check::{TEXT_MAX_BYTES, check};
pub use message::{
    Bundle, CURRENT_KEY, ClaimMode, CurrentDoc, Fault, InForce, MeasureRule, RolledDoc, RouteRule, ServiceRule,
    VERSION_DIGITS, version_of,
};
pub use state::Adoption;
