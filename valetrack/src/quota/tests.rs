//! Tests of the rate limits of client accounts.

mod fleet;
mod partition;
mod promise;
mod steps;
