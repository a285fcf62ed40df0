//! Stand-ins of the users' managed platform, according to its published protocol: its store, its servers, and the
//! command line of nodes on them.

pub mod limit;
pub mod node;
pub mod server;
pub mod store;
