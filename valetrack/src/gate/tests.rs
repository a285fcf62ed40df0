//! Tests of the gate: the pure decisions at random, and connections against a server that lies.

mod cold;
mod connection;
mod crash;
mod evacuation;
mod life;
mod limit;
mod origin;
mod outage;
mod property;
mod speed;
mod steps;
mod suspect;
mod suspension;
mod upstream;
