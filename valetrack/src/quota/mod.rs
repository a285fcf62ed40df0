//! Rates of client accounts over all nodes together.
//!
//! Contract: each limited account has one home among the nodes, by rendezvous over the view, whose token bucket grants
//! credits that last a fraction of a second; an entry admits a call only for a credit. Where no home answers, an entry
//! admits by an even share of a part of the rate that homes never grant, so that with one home the sum stays within the
//! limit, whoever is cut off from it.

mod allowance;
mod bucket;
mod home;
mod rank;
pub mod run;
#[cfg(test)]
mod tests;

pub use allowance::{Allowances, Step};
pub use bucket::TokenBucket;
pub use home::{Grant, QuotaHome};
pub use rank::HomeRanking;
