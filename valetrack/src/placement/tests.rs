//! Tests of placement: calls over links that lose messages, budgets and server selection.

mod budget;
mod call;
mod fleet;
mod full_owner_share;
mod root;
mod service;
mod view;
mod waited;
mod work;
