//! The listener for callers over HTTP: reads requests with their service, limits and ids, and returns whole answers.
//!
//! Contract: a caller gets the whole answer to its own request, or a one-line body with a numbered code that states
//! whether the work ran. A call that was given up is answered immediately.

mod answer;
pub mod keyed;
mod pipeline;
mod protocol;
mod request;
pub mod run;
#[cfg(test)]
mod tests;

pub use answer::{Answer, CALL_HEADER, CODE_HEADER, OUTCOME_HEADER, RETRY_HEADER};
pub use protocol::{CallerProtocol, NativeCaller, ReadContext};
pub use request::{DEADLINE_HEADER, DEPTH_HEADER, IncomingCall, KEY_HEADER, Rejection, SERVICE_HEADER, account_of};
