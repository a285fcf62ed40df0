//! Tests of claims: single decisions, and a simulation of two homes and one store that is searched exhaustively to a
//! depth and with random walks.

mod continuity;
mod events;
mod gap;
mod model;
mod search;
mod steps;
mod world;
