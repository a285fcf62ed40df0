//! Tests of bundles: checks, adoption, and operators against a store that fails.

mod check;
mod fake;
mod operator;
mod recover;
mod route;
