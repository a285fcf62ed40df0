//! Stand-ins of the users' managed platform, by its published protocol: its store and its servers.

pub mod server;
pub mod store;
