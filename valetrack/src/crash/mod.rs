//! Crashes of upstreams: how they are told from connections that break for other causes.

mod detect;

pub use detect::{CrashDetector, ExchangeEnd};
