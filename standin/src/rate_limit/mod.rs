//! Comparison of methods that keep an upstream within the rate limit that it requests, in virtual time and with the
//! product's own decisions.

mod credits;
mod fleet;
mod report;
#[cfg(test)]
mod tests;

pub use fleet::{Scenario, simulate};
pub use report::Report;

/// Compared numbers of entries.
const ENTRIES: [usize; 3] = [4, 76, 1_000];
/// Compared limits in calls per second.
const RATES_PER_S: [f64; 3] = [0.4, 6.5, 40.0];

/// Where the limit of an upstream is enforced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// The gate beside the upstream declines calls, and its load reports contain the time of the next start.
    Owner,
    /// The gate declines calls, and its load reports say nothing about the limit.
    OwnerUnreported,
    /// Entries request credits that last for a fraction of a second.
    Credits,
}

impl Method {
    /// All methods.
    pub const ALL: [Self; 3] = [Self::Owner, Self::OwnerUnreported, Self::Credits];

    /// Returns the name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Owner => "owner",
            Self::OwnerUnreported => "owner-unreported",
            Self::Credits => "credits",
        }
    }
}

/// Prints a row for each method, number of entries and limit.
pub fn compare() {
    println!(
        "method entries rate_per_s window_max/limit served/limit declines_per_call delay_ms control_bytes_per_call"
    );
    for entries in ENTRIES {
        for rate_per_s in RATES_PER_S {
            for method in Method::ALL {
                let report = simulate(Scenario { seed: 1, entries, rate_per_s, servers: 4, method });
                println!(
                    "{} {entries} {rate_per_s} {:.2} {:.2} {:.2} {:.1} {:.0}",
                    method.as_str(),
                    report.window_share(rate_per_s),
                    report.served_share(rate_per_s),
                    report.declines_per_call(),
                    report.delay_ms(),
                    report.control_bytes_per_call()
                );
            }
        }
    }
}
