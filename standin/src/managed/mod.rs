//! Stand-ins of the users' managed platform, by its published protocol: its store and its servers, and the
//! command line of nodes on them.

pub mod node;
pub mod server;
pub mod store;
