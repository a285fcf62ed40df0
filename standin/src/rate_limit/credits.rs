//! Credits that entries request from the owner and hold for a fraction of a second.

use std::sync::Arc;

use valetrack::bundle::AccountRule;
use valetrack::quota::{Allowances, QuotaHome, Step};

/// Credits of all entries for the servers of a service.
pub(super) struct Credits {
    rules: Vec<AccountRule>,
    homes: Vec<QuotaHome>,
    entries: Vec<Allowances>,
}

/// Result of a call that needs a credit.
pub(super) struct Admission {
    /// Server that has a credit for the call, or the delay after which the caller may return.
    pub(super) server: Result<usize, u32>,
    /// Requests for credits that were sent.
    pub(super) requests: u64,
}

impl Credits {
    pub(super) fn new(servers: usize, entries: usize, rate_per_s: f64) -> Self {
        let rule = |server: usize| AccountRule {
            name: Arc::from(format!("server-{server}")),
            priority: None,
            rate_milli_per_s: (rate_per_s * 1_000.0) as u64,
            burst_milli: (rate_per_s * 250.0) as u64 + 1_000,
        };
        Self {
            rules: (0..servers).map(rule).collect(),
            homes: (0..servers).map(|_| QuotaHome::default()).collect(),
            entries: (0..entries).map(|_| Allowances::default()).collect(),
        }
    }

    /// Asks for a credit at one server after the other, from a random one on.
    pub(super) fn admit(&mut self, entry: usize, now_us: u64, rng: &mut fastrand::Rng) -> Admission {
        let first = rng.usize(..self.rules.len());
        let mut requests = 0;
        let mut retry_after_ms = u32::MAX;
        for at in 0..self.rules.len() {
            let server = (first + at) % self.rules.len();
            let rule = &self.rules[server];
            let step = match self.entries[entry].begin(rule, now_us) {
                Step::Request { calls } => {
                    requests += 1;
                    let grant = self.homes[server].grant(rule, calls, now_us);
                    self.entries[entry].apply_grant(&rule.name, grant, now_us)
                }
                step => step,
            };
            match step {
                Step::Admit => return Admission { server: Ok(server), requests },
                Step::Refuse { retry_after_ms: delay_ms } => retry_after_ms = retry_after_ms.min(delay_ms),
                Step::Request { .. } => {}
            }
        }
        Admission { server: Err(retry_after_ms), requests }
    }
}
