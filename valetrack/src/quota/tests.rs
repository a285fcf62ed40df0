//! Rates of client accounts, over a fleet in virtual time.

mod fleet;
mod steps;
