//! Tests of the rate limits of client accounts.

mod fleet;
mod steps;
