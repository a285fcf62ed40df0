//! Tests of placement: calls over links that lose messages, budgets and server selection.

mod budget;
mod call;
mod fleet;
mod full_owner_share;
mod region;
mod region_link;
mod service;
mod view;
mod waited;
mod work;
