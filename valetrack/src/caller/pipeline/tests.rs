//! Tests of pipelined requests: framing and state without I/O, and connections with a real listener and hyper.

mod framing;
mod state;
