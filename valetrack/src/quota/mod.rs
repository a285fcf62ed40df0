//! Rate limits of client accounts over all nodes together.
//!
//! Contract: each limited account has one home among the nodes, chosen by rendezvous hashing over the view. The token
//! bucket of the home grants credits that last a fraction of a second, and an entry admits a call only for a credit.
//! Where no home answers, an entry admits calls by an even share of a part of the rate that homes never grant. The home
//! grants the whole rate only while its stand-in has promised to grant nothing; otherwise each of them grants half. The
//! sum therefore stays within the limit, no matter which nodes are cut off from each other, as long as their views name
//! the same two nodes.

mod allowance;
mod home;
mod promise;
mod rank;
pub mod run;
#[cfg(test)]
mod tests;

pub use allowance::{Allowances, Step};
pub use home::{Grant, QuotaHome, Right};
pub use promise::{GivenPromises, PROMISE_US, PromiseReply, Promises, ReceivedPromises, Renewal};
pub use rank::{HomeRanking, Role, ranks_before};
