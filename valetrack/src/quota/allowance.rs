//! Pure decisions of an entry on the calls of limited accounts.

use std::collections::HashMap;
use std::sync::Arc;

use super::bucket::TokenBucket;
use super::home::{Grant, UNGRANTED_SHARE, calls};
use crate::bundle::{AccountRule, AccountTable};
use crate::placement::SlidingSum;

/// Time for which a credit lasts, in microseconds: what is granted and not used is lost to the account.
const CREDIT_US: u64 = 250_000;
/// Time over which an entry counts an account's calls to ask for as many, in microseconds.
const DEMAND_US: u64 = 1_000_000;
/// Most credits that are asked for at once.
const ASKED_MAX: u32 = 256;
/// When to come back after an even share is used up, in milliseconds.
const SHARE_RETRY_MS: u32 = 500;

/// What is to be done with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It may go on.
    Admit,
    /// The account's home is to be asked for credits.
    Ask {
        /// How many.
        calls: u32,
    },
    /// The account is over its rate.
    Refuse {
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
    },
}

#[derive(Debug)]
struct Allowance {
    credits: u32,
    expires_us: u64,
    /// Until when no home is asked, since it had nothing to grant.
    dry_until_us: u64,
    demand: SlidingSum,
    /// What the entry admits where no home answers.
    share: TokenBucket,
}

impl Allowance {
    fn new(now_us: u64) -> Self {
        Self {
            credits: 0,
            expires_us: 0,
            dry_until_us: 0,
            demand: SlidingSum::new(DEMAND_US),
            share: TokenBucket::new(0.0, 0.0, 0.0, now_us),
        }
    }

    /// Uses a credit, if there is one.
    fn use_credit(&mut self, now_us: u64) -> bool {
        if self.credits == 0 || now_us >= self.expires_us {
            self.credits = 0;
            return false;
        }
        self.credits -= 1;
        true
    }
}

/// What one entry may admit of each limited account.
#[derive(Debug, Default)]
pub struct Allowances {
    accounts: HashMap<Arc<str>, Allowance>,
    /// Most nodes that were known at once: an even share is one of so many.
    nodes_max: u32,
}

impl Allowances {
    /// Takes how many nodes are known.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.nodes_max = self.nodes_max.max(nodes);
    }

    /// Takes a call of an account that comes at `now_us`.
    pub fn begin(&mut self, rule: &AccountRule, now_us: u64) -> Step {
        let allowance = self.accounts.entry(rule.name.clone()).or_insert_with(|| Allowance::new(now_us));
        allowance.demand.add(1.0, now_us);
        if allowance.use_credit(now_us) {
            return Step::Admit;
        }
        if now_us < allowance.dry_until_us {
            let retry_after_ms = (allowance.dry_until_us - now_us).div_ceil(1_000) as u32;
            return Step::Refuse { retry_after_ms };
        }
        let per_credit = CREDIT_US as f64 / DEMAND_US as f64;
        let expected = (allowance.demand.within(now_us) * per_credit).ceil() as u32;
        Step::Ask { calls: expected.clamp(1, ASKED_MAX) }
    }

    /// Takes what the home granted for a call that waits for it.
    pub fn granted(&mut self, account: &Arc<str>, grant: Grant, now_us: u64) -> Step {
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

    /// Takes that no home answered: the call goes on by the entry's even share.
    pub fn unanswered(&mut self, rule: &AccountRule, now_us: u64) -> Step {
        let shares = UNGRANTED_SHARE * f64::from(self.nodes_max.max(1));
        let rate_per_s = calls(rule.rate_milli_per_s) / shares;
        let burst = calls(rule.burst_milli) / shares;
        let Some(allowance) = self.accounts.get_mut(&rule.name) else {
            return Step::Refuse { retry_after_ms: SHARE_RETRY_MS };
        };
        allowance.share.configure(rate_per_s, burst.max(1.0), now_us);
        match allowance.share.take(1, now_us) {
            0 => Step::Refuse { retry_after_ms: SHARE_RETRY_MS },
            _ => Step::Admit,
        }
    }

    /// Gives the credit of a call back that certainly did not start.
    pub fn give_back(&mut self, account: &Arc<str>, now_us: u64) {
        if let Some(allowance) = self.accounts.get_mut(account).filter(|allowance| now_us < allowance.expires_us) {
            allowance.credits += 1;
        }
    }

    /// Forgets accounts that the bundle in force no longer names.
    pub fn retain(&mut self, known: &AccountTable) {
        self.accounts.retain(|name, _| known.get(name).is_some());
    }
}
