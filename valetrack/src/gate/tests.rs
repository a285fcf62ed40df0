//! Tests of the gate: the pure decisions at random, and connections against a server that lies.

mod connection;
mod limit;
mod origin;
mod property;
mod speed;
mod steps;
mod upstream;
