//! Tests of claims: a small world of two homes and one store, searched to a depth and at random.

mod continuity;
mod events;
mod gap;
mod model;
mod search;
mod steps;
mod world;
