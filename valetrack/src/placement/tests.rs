//! Tests of placement: a call among lossy links, budgets, and the pick.

mod budget;
mod call;
mod crowding;
mod fleet;
mod service;
mod view;
mod waited;
mod work;
