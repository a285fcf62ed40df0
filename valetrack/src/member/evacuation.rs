//! Failure domains whose servers are to get nothing, by an operator's word.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The failure domains that are evacuated, as of one change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Rises with each change; zero before the first one.
    pub number: u64,
    /// The failure domains.
    pub domains: BTreeSet<Arc<str>>,
}

impl Evacuation {
    /// Returns whether the servers of a failure domain are to get nothing.
    pub fn covers(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// Returns the domains as they stand in log lines.
    pub fn domain_list(&self) -> String {
        let domains: Vec<&str> = self.domains.iter().map(|domain| &**domain).collect();
        format!("\"{}\"", domains.join(","))
    }

    /// Takes what another node or the store tells; returns whether it says more than was known.
    pub fn merge(&mut self, news: &Self) -> bool {
        let newer = news.number > self.number;
        if newer {
            *self = news.clone();
        }
        newer
    }

    /// Takes the failure domains as they stood at revision `number` of the store; returns whether they
    /// changed.
    pub fn set(&mut self, domains: BTreeSet<Arc<str>>, number: u64) -> bool {
        if number < self.number || domains == self.domains {
            return false;
        }
        *self = Self { number, domains };
        true
    }
}
