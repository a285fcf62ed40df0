//! Pipelined requests of a caller's connection: further repeatable requests are started while hyper, which serves the
//! connection, waits for the answer to an earlier one.
//!
//! Contract: hyper receives the bytes of one message at a time, so a started call belongs to the next request that it
//! delivers; answers keep the order of the requests; a call is started ahead only behind repeatable calls.

mod body;
mod connection;
mod end;
mod framing;
mod serve;
mod state;
mod stream;
mod stream_memory;
#[cfg(test)]
mod tests;

pub use connection::{CONNECTION_BYTES, CallService, CallerConnection, Delivered};
pub use end::{ConnectionEnd, EndReason, OpenRequest, Progress, Unanswered};
pub use serve::serve;
pub use stream_memory::head_bytes;
