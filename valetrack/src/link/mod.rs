//! QUIC between nodes: frames, TLS and persistent connections.
//!
//! Contract: a node with a keys folder accepts only peers with a certificate of the fleet's authority (see
//! [`tls::generate`] for nodes without one). Incomplete frames are discarded. A broken connection is reported as broken
//! and never as an answer.

pub mod accept;
pub mod codec;
pub mod message;
pub mod path;
pub mod peer;
pub mod read;
pub mod run;
#[cfg(test)]
mod tests;
pub mod tls;
