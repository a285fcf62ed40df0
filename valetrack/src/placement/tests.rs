//! Tests of placement: a call among lossy links, budgets, and the pick.

mod budget;
mod call;
mod service;
mod view;
mod work;
