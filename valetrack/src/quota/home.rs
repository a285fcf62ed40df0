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

/// Part of an account's rate that a node may grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Right {
    /// The rate that homes grant, because no other node grants credits of the account.
    Full {
        /// Time since which no other node has granted any.
        since_us: u64,
    },
    /// Half of that rate, because another node may grant the other half.
    Half,
}

impl Right {
    /// Returns the rate per second and the burst that a node may grant of an account.
    fn limits(self, rule: &AccountRule) -> (f64, f64) {
        let share = match self {
            Self::Full { .. } => 1.0,
            Self::Half => 0.5,
        };
        let rate_per_s = calls(rule.rate_milli_per_s) * (1.0 - 1.0 / UNGRANTED_SHARE);
        // An account without a burst may still send one call at a time.
        (rate_per_s * share, (calls(rule.burst_milli) * share).max(1.0))
    }
}

#[derive(Debug)]
struct HomeAccount {
    bucket: TokenBucket,
    refused: SlidingSum,
    /// Right at the last grant, and the time of that grant.
    right: Right,
    granted_us: u64,
}

impl HomeAccount {
    fn new(rule: &AccountRule, right: Right, now_us: u64) -> Self {
        let (rate_per_s, burst) = right.limits(rule);
        // A stand-in starts with an empty bucket, since the home may just have granted the whole burst.
        let level = if matches!(right, Right::Full { .. }) { FIRST_LEVEL } else { 0.0 };
        Self {
            bucket: TokenBucket::new(rate_per_s, burst, level, now_us),
            refused: SlidingSum::new(WAITING_US),
            right,
            granted_us: now_us,
        }
    }

    /// Fills the bucket up to `now_us` and applies the present limits.
    fn configure(&mut self, rule: &AccountRule, right: Right, now_us: u64) {
        let was_full = matches!(self.right, Right::Full { .. });
        let is_unbroken = matches!(right, Right::Full { since_us } if since_us <= self.granted_us);
        if was_full && !is_unbroken {
            // Another node may have granted its half since the last grant of this one, so the bucket fills at the half
            // rate from that grant to now.
            let (half_per_s, _) = Right::Half.limits(rule);
            self.bucket.set_rate(half_per_s, self.granted_us);
        }
        let (rate_per_s, burst) = right.limits(rule);
        self.bucket.configure(rate_per_s, burst, now_us);
        self.right = right;
        self.granted_us = now_us;
    }
}

/// Token buckets of the accounts whose home this node is or was.
#[derive(Debug, Default)]
pub struct QuotaHome {
    accounts: HashMap<Arc<str>, HomeAccount>,
}

impl QuotaHome {
    /// Grants an entry up to `requested` calls of an account at `now_us`, as the only node that grants any.
    pub fn grant(&mut self, rule: &AccountRule, requested: u32, now_us: u64) -> Grant {
        self.grant_within(rule, Right::Full { since_us: 0 }, requested, now_us)
    }

    /// Grants an entry up to `requested` calls of the part of an account's rate that `right` allows.
    pub fn grant_within(&mut self, rule: &AccountRule, right: Right, requested: u32, now_us: u64) -> Grant {
        let create = || HomeAccount::new(rule, right, now_us);
        let account = self.accounts.entry(rule.name.clone()).or_insert_with(create);
        account.configure(rule, right, now_us);
        let taken = account.bucket.take(requested, now_us);
        if taken > 0 {
            return Grant { calls: taken, retry_after_ms: 0 };
        }
        account.refused.add(1.0, now_us);
        let waiting = account.refused.lower_bound(now_us).max(1.0);
        let wait_ms = (account.bucket.wait_us(waiting, now_us) / 1_000).min(WAIT_MAX_MS.into()) as u32;
        Grant { calls: 0, retry_after_ms: wait_ms.max(WAIT_MIN_MS) }
    }

    /// Removes the buckets of the accounts whose credits only another node may grant from now on, because this one has
    /// promised it.
    pub fn remove(&mut self, is_promised: impl Fn(&str) -> bool) {
        self.accounts.retain(|name, _| !is_promised(name));
    }

    /// Removes accounts that are not in `current`, the accounts of the bundle in force, once nothing is left of what was
    /// granted: an account that returns at once has no second burst.
    pub fn retain(&mut self, current: &AccountTable, now_us: u64) {
        self.accounts.retain(|name, account| current.get(name).is_some() || !account.bucket.is_full(now_us));
    }
}

/// Converts thousandths of calls to calls.
pub fn calls(milli: u64) -> f64 {
    milli as f64 / 1_000.0
}
