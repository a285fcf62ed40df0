//! Placement of calls: server selection, retries, hedges, ejection and budgets.
//!
//! Contract: each call gets exactly one verdict; work that is not repeatable never has two attempts that may have
//! started; in every window, retries, hedges and calls made by repeated runs stay within their service's budget; at
//! least half of the servers stay in rotation.

mod admission;
mod attempt;
mod budget;
mod call;
mod driver;
mod full_owner_share;
mod message;
mod nested;
mod network_cost;
mod never_runs;
mod policy;
mod quantile;
mod region_link;
mod repeat;
mod return_plan;
mod root;
pub mod run;
mod service;
mod services;
mod set;
mod sliding;
#[cfg(test)]
mod tests;
mod traffic;
mod view;
mod waited;
mod work;

pub use admission::{RootAdmission, RootVerdict};
pub use budget::RateBudget;
pub use call::{Budgets, Call, CallContext, CallRule, CallerCall, RepeatsRefused};
pub use full_owner_share::FullOwnerShare;
pub use message::{
    CallAction, CallEvent, Demand, Dispatch, Outcome, PlaceJob, Placed, ReceivedLoad, SERVICE_UNKNOWN, SendCause,
    ServerIndex, Verdict,
};
pub use nested::{NestedCalls, NestedRoutes};
pub use never_runs::NeverRuns;
pub use policy::Policy;
pub use region_link::{LinkChange, LinkView, RegionLink};
pub use repeat::{FleetSize, KnownFleet, RetryBudget, RetryGuarantee};
pub use return_plan::{PlannedReturn, RETURN_LEFT_RUNS, Refusal, ReturnCounts, ReturnPlan};
pub use root::{EndedRun, Root, RootBasis, RunsInProgress};
pub use service::considered;
pub use set::ServerSet;
pub use sliding::SlidingSum;
pub use traffic::{AnswerSize, CallTraffic};
pub use view::region::Crossing;
pub use view::{MAX_SERVERS, ServiceView};
pub use waited::CallerTime;
pub use work::WorkEstimate;
