//! Decisions of an entry on the calls of rate-limited accounts, without I/O.

use std::collections::HashMap;
use std::sync::Arc;

use super::home::{Grant, UNGRANTED_SHARE, calls};
use crate::bundle::{AccountRule, AccountTable};
use crate::placement::SlidingSum;
use crate::token_bucket::TokenBucket;

/// Lifetime of a credit; one that is granted and not used in this time is lost to the account.
const CREDIT_US: u64 = 250_000;
/// Window over which an entry counts an account's calls, to request credits for as many.
const DEMAND_US: u64 = 1_000_000;
/// Most credits in one request.
const CREDITS_MAX: u32 = 256;
/// Retry delay once an even share is used up.
const SHARE_RETRY_MS: u32 = 500;
/// Time without use after which an even share loses what it has saved, which is the window of the limit. Otherwise each
/// entry of a large fleet could admit a saved call as soon as a partition begins, on top of the home's whole burst.
const SHARE_IDLE_US: u64 = 5_000_000;

/// Next step for a call of an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The call is admitted.
    Admit,
    /// Credits have to be requested from the account's home.
    Request {
        /// Number of credits.
        calls: u32,
    },
    /// The account is over its rate.
    Refuse {
        /// Retry delay.
        retry_after_ms: u32,
    },
}

#[derive(Debug)]
struct Allowance {
    /// Limits for which the credits were granted, in thousandths.
    limits: (u64, u64),
    credits: u32,
    expires_us: u64,
    /// Time until which no credits are requested, because the home had none to grant.
    dry_until_us: u64,
    demand: SlidingSum,
    /// Even share, from which the entry admits calls while no home answers.
    share: TokenBucket,
    /// When the share was last used.
    share_used_us: u64,
}

impl Allowance {
    fn new(share_phase: f64, now_us: u64) -> Self {
        Self {
            limits: (0, 0),
            credits: 0,
            expires_us: 0,
            dry_until_us: 0,
            demand: SlidingSum::new(DEMAND_US),
            share: TokenBucket::new(0.0, 1.0, share_phase, now_us),
            share_used_us: now_us,
        }
    }

    /// Uses a credit; returns whether there was a valid one.
    fn use_credit(&mut self, now_us: u64) -> bool {
        if self.credits == 0 || now_us >= self.expires_us {
            self.credits = 0;
            return false;
        }
        self.credits -= 1;
        true
    }
}

/// Credits and even shares of one entry, by limited account.
#[derive(Debug, Default)]
pub struct Allowances {
    accounts: HashMap<Arc<str>, Allowance>,
    /// Largest number of nodes in the view so far, by which even shares are divided.
    nodes_max: u32,
    /// Part of a call, below one, with which even shares begin.
    share_phase: f64,
}

impl Allowances {
    /// Creates allowances whose even shares begin with `share_phase` of a call. With phases that are spread evenly over
    /// the entries, the entries do not all admit their first call at the same time.
    pub fn with_share_phase(share_phase: f64) -> Self {
        Self { share_phase: share_phase.clamp(0.0, 1.0), ..Self::default() }
    }

    /// Records the number of nodes in the view.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes_max = self.nodes_max.max(nodes);
    }

    /// Counts a call of an account that arrives at `now_us`, and returns its next step.
    pub fn begin(&mut self, rule: &AccountRule, now_us: u64) -> Step {
        let create = || Allowance::new(self.share_phase, now_us);
        let allowance = self.accounts.entry(rule.name.clone()).or_insert_with(create);
        allowance.demand.add(1.0, now_us);
        let limits = (rule.rate_milli_per_s, rule.burst_milli);
        if limits != allowance.limits {
            // Credits of a higher rate may be more than a window of a lower one allows.
            allowance.credits = 0;
            allowance.limits = limits;
        }
        if allowance.use_credit(now_us) {
            return Step::Admit;
        }
        if now_us < allowance.dry_until_us {
            let retry_after_ms = (allowance.dry_until_us - now_us).div_ceil(1_000) as u32;
            return Step::Refuse { retry_after_ms };
        }
        let per_credit = CREDIT_US as f64 / DEMAND_US as f64;
        let expected = (allowance.demand.lower_bound(now_us) * per_credit).ceil() as u32;
        Step::Request { calls: expected.clamp(1, CREDITS_MAX) }
    }

    /// Applies the home's grant for a call that has waited for it.
    pub fn apply_grant(&mut self, account: &Arc<str>, grant: Grant, now_us: u64) -> Step {
        let Some(allowance) = self.accounts.get_mut(account) else {
            return Step::Admit;
        };
        if grant.calls > 0 {
            allowance.credits += grant.calls;
            allowance.expires_us = now_us + CREDIT_US;
        }
        if allowance.use_credit(now_us) {
            return Step::Admit;
        }
        allowance.dry_until_us = now_us + u64::from(grant.retry_after_ms) * 1_000;
        Step::Refuse { retry_after_ms: grant.retry_after_ms }
    }

    /// Admits or refuses a call by the entry's even share, because no home answered.
    pub fn admit_by_share(&mut self, rule: &AccountRule, now_us: u64) -> Step {
        let shares = UNGRANTED_SHARE * f64::from(self.nodes_max.max(1));
        let rate_per_s = calls(rule.rate_milli_per_s) / shares;
        let burst = calls(rule.burst_milli) / shares;
        let Some(allowance) = self.accounts.get_mut(&rule.name) else {
            return Step::Refuse { retry_after_ms: SHARE_RETRY_MS };
        };
        allowance.share.configure(rate_per_s, burst.max(1.0), now_us);
        if now_us.saturating_sub(allowance.share_used_us) >= SHARE_IDLE_US {
            allowance.share.limit_level(self.share_phase, now_us);
        }
        allowance.share_used_us = now_us;
        match allowance.share.take(1, now_us) {
            0 => Step::Refuse { retry_after_ms: SHARE_RETRY_MS },
            _ => Step::Admit,
        }
    }

    /// Restores the credit of a call that certainly did not start.
    pub fn restore_credit(&mut self, account: &Arc<str>, now_us: u64) {
        if let Some(allowance) = self.accounts.get_mut(account).filter(|allowance| now_us < allowance.expires_us) {
            allowance.credits += 1;
        }
    }

    /// Removes accounts that are not in `current`, the accounts of the bundle in force.
    pub fn retain(&mut self, current: &AccountTable) {
        self.accounts.retain(|name, _| current.get(name).is_some());
    }
}
