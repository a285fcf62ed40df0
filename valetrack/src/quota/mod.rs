//! Rate limits of client accounts over all nodes together.
//!
//! Contract: each limited account has one home among the nodes, chosen by rendezvous hashing over the view. The token
//! bucket of the home grants credits that last a fraction of a second, and an entry admits a call only for a credit.
//! Where no home answers, an entry admits calls by an even share of a part of the rate that homes never grant. As long
//! as there is one home, the sum therefore stays within the limit, no matter which entries are cut off from it.

mod allowance;
mod home;
mod rank;
pub mod run;
#[cfg(test)]
mod tests;

pub use allowance::{Allowances, Step};
pub use home::{Grant, QuotaHome};
pub use rank::HomeRanking;
