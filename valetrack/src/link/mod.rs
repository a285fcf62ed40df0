//! QUIC between nodes: frames, mutual TLS, connections kept open.
//!
//! Contract: only holders of a certificate of the fleet's own authority are heard; a frame is
//! taken whole or not at all; a broken connection is told as broken, never as an answer.

pub mod codec;
pub mod message;
pub mod peer;
pub mod run;
#[cfg(test)]
mod tests;
pub mod tls;
