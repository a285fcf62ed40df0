//! Decisions of the node that grants credits for an account, without I/O.

use std::collections::HashMap;
use std::sync::Arc;

use crate::bundle::{AccountRule, AccountTable};
use crate::placement::SlidingSum;
use crate::token_bucket::TokenBucket;

/// Divisor of each rate for the part that homes never grant: entries that reach no home admit calls from it.
pub const UNGRANTED_SHARE: f64 = 32.0;
/// Calls in the bucket of a new home; a whole burst may just have been granted by another home.
const FIRST_LEVEL: f64 = 4.0;
/// Window over which refused requests are counted; their number stands for the entries that wait for the account.
const WAITING_US: u64 = 200_000;
/// Shortest delay after which an entry may request credits again.
const WAIT_MIN_MS: u32 = 20;
/// Longest delay after which an entry may request credits again.
const WAIT_MAX_MS: u32 = 1_000;

/// Reply of a home to a request for credits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Calls that the entry may admit.
    pub calls: u32,
    /// Delay before the next request, if no calls are granted.
    pub retry_after_ms: u32,
}

#[derive(Debug)]
struct HomeAccount {
    bucket: TokenBucket,
    refused: SlidingSum,
}

/// Token buckets of the accounts whose home this node is or was.
#[derive(Debug, Default)]
pub struct QuotaHome {
    accounts: HashMap<Arc<str>, HomeAccount>,
}

impl QuotaHome {
    /// Grants an entry up to `requested` calls of an account at `now_us`.
    pub fn grant(&mut self, rule: &AccountRule, requested: u32, now_us: u64) -> Grant {
        let rate_per_s = calls(rule.rate_milli_per_s) * (1.0 - 1.0 / UNGRANTED_SHARE);
        // An account without a burst may still send one call at a time.
        let burst = calls(rule.burst_milli).max(1.0);
        let account = self.accounts.entry(rule.name.clone()).or_insert_with(|| HomeAccount {
            bucket: TokenBucket::new(rate_per_s, burst, FIRST_LEVEL, now_us),
            refused: SlidingSum::new(WAITING_US),
        });
        account.bucket.configure(rate_per_s, burst, now_us);
        let taken = account.bucket.take(requested, now_us);
        if taken > 0 {
            return Grant { calls: taken, retry_after_ms: 0 };
        }
        account.refused.add(1.0, now_us);
        let waiting = account.refused.lower_bound(now_us).max(1.0);
        let wait_ms = (account.bucket.wait_us(waiting, now_us) / 1_000).min(WAIT_MAX_MS.into()) as u32;
        Grant { calls: 0, retry_after_ms: wait_ms.max(WAIT_MIN_MS) }
    }

    /// Removes accounts that are not in `current`, the accounts of the bundle in force.
    pub fn retain(&mut self, current: &AccountTable) {
        self.accounts.retain(|name, _| current.get(name).is_some());
    }
}

/// Converts thousandths of calls to calls.
pub fn calls(milli: u64) -> f64 {
    milli as f64 / 1_000.0
}
