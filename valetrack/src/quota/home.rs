//! Pure decisions of the node that grants credits for an account.

use std::collections::HashMap;
use std::sync::Arc;

use super::bucket::TokenBucket;
use crate::bundle::{AccountRule, AccountTable};
use crate::placement::SlidingSum;

/// Part of each rate that homes leave to entries which reach none, as a divisor.
pub const UNGRANTED_SHARE: f64 = 32.0;
/// Calls in a new home's bucket: fewer than a burst, which another home may just have granted.
const FIRST_LEVEL: f64 = 4.0;
/// Time over which refused questions are counted, in microseconds: as many entries wait for the account then.
const WAITING_US: u64 = 200_000;
/// Shortest time that an entry is told to wait, in milliseconds.
const WAIT_MIN_MS: u32 = 20;
/// Longest time that an entry is told to wait, in milliseconds.
const WAIT_MAX_MS: u32 = 1_000;

/// What a home grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Calls that the entry may admit.
    pub calls: u32,
    /// When to ask again where there are none, in milliseconds.
    pub retry_after_ms: u32,
}

#[derive(Debug)]
struct HomeAccount {
    bucket: TokenBucket,
    refused: SlidingSum,
}

/// The accounts whose home this node is or was.
#[derive(Debug, Default)]
pub struct QuotaHome {
    accounts: HashMap<Arc<str>, HomeAccount>,
}

impl QuotaHome {
    /// Grants an entry up to `asked` calls of an account at `now_us`.
    pub fn grant(&mut self, rule: &AccountRule, asked: u32, now_us: u64) -> Grant {
        let rate_per_s = calls(rule.rate_milli_per_s) * (1.0 - 1.0 / UNGRANTED_SHARE);
        // Without a burst, an account may still send one call at a time.
        let burst = calls(rule.burst_milli).max(1.0);
        let account = self.accounts.entry(rule.name.clone()).or_insert_with(|| HomeAccount {
            bucket: TokenBucket::new(rate_per_s, burst, FIRST_LEVEL, now_us),
            refused: SlidingSum::new(WAITING_US),
        });
        account.bucket.configure(rate_per_s, burst, now_us);
        let taken = account.bucket.take(asked, now_us);
        if taken > 0 {
            return Grant { calls: taken, retry_after_ms: 0 };
        }
        account.refused.add(1.0, now_us);
        let waiting = account.refused.within(now_us).max(1.0);
        let wait_ms = (account.bucket.wait_us(waiting) / 1_000).min(WAIT_MAX_MS.into()) as u32;
        Grant { calls: 0, retry_after_ms: wait_ms.max(WAIT_MIN_MS) }
    }

    /// Forgets accounts that the bundle in force no longer names.
    pub fn retain(&mut self, known: &AccountTable) {
        self.accounts.retain(|name, _| known.get(name).is_some());
    }
}

/// Returns thousandths as calls.
pub fn calls(milli: u64) -> f64 {
    milli as f64 / 1_000.0
}
