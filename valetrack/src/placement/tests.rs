//! Tests of placement: calls over links that lose messages, budgets and server selection.

mod budget;
mod call;
mod crowding;
mod fleet;
mod service;
mod view;
mod waited;
mod work;
