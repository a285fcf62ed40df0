//! Tests of pipelined requests: framing and state without I/O, and connections with a real listener and hyper.

mod answers;
mod closing;
mod ends;
mod framing;
mod harness;
mod load;
mod state;
