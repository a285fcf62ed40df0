//! Tests of placement: calls over links that lose messages, budgets and server selection.

mod admission;
mod budget;
mod call;
mod fleet;
mod fleet_views;
mod full_owner_share;
mod nested_load;
mod region;
mod region_link;
mod retry_window;
mod return_load;
mod return_plan;
mod root;
mod service;
mod services;
mod upstreams;
mod view;
mod waited;
mod work;
