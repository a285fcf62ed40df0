//! Stand-ins of the platform and of servers, with the load and experiment tools; none of it is shipped.

pub mod bench;
pub mod client;
pub mod crash;
pub mod event_queue;
pub mod list;
pub mod load;
pub mod managed;
pub mod overload;
pub mod rate_limit;
pub mod relay;
pub mod rollback;
pub mod server;
pub mod slope;
pub mod soak;
pub mod store;
pub mod streams;
pub mod web;
