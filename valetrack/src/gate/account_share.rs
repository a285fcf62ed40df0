//! Shares of client accounts in one server, without I/O.
//!
//! While calls compete for the server, the queue and its declines follow each account's usage relative to its share.
//! Usage is the slot time of the account's runs over the last seconds. A share follows the account's weight, which is its
//! rate, among the accounts that have called lately. Entries prefer servers of their own failure domain, so an account
//! whose callers use one entry takes several times its weight at some servers and nothing at others. The share of such
//! an account is therefore what it has usually taken at this server, up to a multiple of its weight.

#[cfg(test)]
mod tests;

use std::cell::OnceCell;
use std::collections::HashMap;
use std::sync::Arc;

use super::message::AttemptId;
use crate::bundle::AccountTable;

/// Time constant with which usage decays. An upstream gets some seven calls a second from 80 accounts, so that a shorter
/// time would leave a usual account with less than one call, and a longer one would punish an account long after its
/// surge.
const DECAY_US: f64 = 20_000_000.0;
/// Time constant of an account's usual part of the server, which surges of a minute must not change much.
const USUAL_DECAY_US: f64 = 300_000_000.0;
/// Most that an account's usual part counts, as a multiple of its part by weight: a fleet has three failure domains, and
/// surges are four to six times the usual load.
const USUAL_MAX: f64 = 4.0;
/// Largest usual part that counts. Among few accounts, one that has had a server to itself would otherwise keep it.
const USUAL_PART_MAX: f64 = 0.25;
/// Ratio of usage to share from which a waiting call may be displaced. Of two accounts at their usual load, chance lets
/// one appear half as large again as the other.
const DISPLACED_ABOVE: f64 = 1.5;
/// Part of the share of all calls that start below which an account ranks like one within its share. No account may be
/// served less than a quarter as often as all calls; the difference covers the error of counts at one server.
const GUARD_SHARE: f64 = 0.35;
/// Arrivals below which an account counts as one that has not called lately.
const ARRIVALS_MIN: f64 = 0.05;

/// A sum that decays over time.
#[derive(Debug, Clone, Copy)]
struct Decayed {
    sum: f64,
    at_us: u64,
    decay_us: f64,
}

impl Default for Decayed {
    fn default() -> Self {
        Self::new(DECAY_US)
    }
}

impl Decayed {
    fn new(decay_us: f64) -> Self {
        Self { sum: 0.0, at_us: 0, decay_us }
    }

    fn value(&self, now_us: u64) -> f64 {
        self.sum * (-(now_us.saturating_sub(self.at_us) as f64) / self.decay_us).exp()
    }

    fn add(&mut self, amount: f64, now_us: u64) {
        *self = Self { sum: (self.value(now_us) + amount).max(0.0), at_us: now_us, ..*self };
    }
}

#[derive(Debug, Clone, Copy)]
struct Usage {
    /// Slot time of started runs, in microseconds.
    slot_us: Decayed,
    /// The same over a longer time.
    usual_us: Decayed,
    arrivals: Decayed,
    starts: Decayed,
}

impl Default for Usage {
    fn default() -> Self {
        Self {
            slot_us: Decayed::default(),
            usual_us: Decayed::new(USUAL_DECAY_US),
            arrivals: Decayed::default(),
            starts: Decayed::default(),
        }
    }
}

impl Usage {
    /// Returns the part of arrivals that start, with one call assumed so that the first decline does not count as never
    /// being served.
    fn start_share(&self, now_us: u64) -> f64 {
        ((self.starts.value(now_us) + 1.0) / (self.arrivals.value(now_us) + 1.0)).min(1.0)
    }
}

#[derive(Debug, Clone)]
struct Account {
    weight: f64,
    /// Calls that the account may send at once beyond its rate, over all servers together.
    burst: f64,
    usage: Usage,
}

/// Usage of the client accounts at one server.
#[derive(Debug, Default)]
pub struct AccountShares {
    accounts: HashMap<Arc<str>, Account>,
    /// Accounts of the attempts that the gate holds, with the slot time charged so far.
    attempts: HashMap<AttemptId, (Arc<str>, u64)>,
    total: Usage,
    displaced: u64,
}

impl AccountShares {
    /// Sets the accounts of the bundle in force; the usage of accounts that remain is kept.
    pub fn configure(&mut self, table: &AccountTable) {
        let limited: Vec<f64> = table.iter().filter(|rule| rule.is_limited()).map(|rule| rule.rate_per_s()).collect();
        // Accounts without a rate count alike: as much as the mean of the others.
        let mean = if limited.is_empty() { 1.0 } else { limited.iter().sum::<f64>() / limited.len() as f64 };
        let account = |rule: &Arc<crate::bundle::AccountRule>| {
            let weight = if rule.is_limited() { rule.rate_per_s() } else { mean };
            let usage = self.accounts.get(&rule.name).map(|account| account.usage).unwrap_or_default();
            (rule.name.clone(), Account { weight, burst: rule.burst_milli as f64 / 1_000.0, usage })
        };
        self.accounts = table.iter().map(account).collect();
        self.attempts.retain(|_, (name, _)| self.accounts.contains_key(name));
    }

    /// Records the account of an attempt that is about to arrive. Attempts without an account of the bundle, as nested
    /// calls, are neither charged nor displaced.
    pub fn arrive(&mut self, attempt: AttemptId, name: &Arc<str>, now_us: u64) {
        let Some(account) = self.accounts.get_mut(name) else {
            return;
        };
        account.usage.arrivals.add(1.0, now_us);
        self.total.arrivals.add(1.0, now_us);
        self.attempts.entry(attempt).or_insert_with(|| (name.clone(), 0));
    }

    /// Charges the expected duration of a run that starts.
    pub fn start(&mut self, attempt: AttemptId, run_us: u64, now_us: u64) {
        self.charge(attempt, run_us, 1.0, now_us);
    }

    /// Corrects the charge of a run that has ended to its actual duration; a run that did not take place costs nothing.
    pub fn end(&mut self, attempt: AttemptId, ran_us: u64, now_us: u64) {
        self.charge(attempt, ran_us, 0.0, now_us);
        self.attempts.remove(&attempt);
    }

    /// Removes an attempt that the gate declines or cancels.
    pub fn leave(&mut self, attempt: AttemptId) {
        self.attempts.remove(&attempt);
    }

    fn charge(&mut self, attempt: AttemptId, slot_us: u64, starts: f64, now_us: u64) {
        let Some((name, charged_us)) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let added_us = slot_us as f64 - *charged_us as f64;
        *charged_us = slot_us;
        let account = self.accounts.get_mut(name).map(|account| &mut account.usage);
        for usage in account.into_iter().chain([&mut self.total]) {
            usage.slot_us.add(added_us, now_us);
            usage.usual_us.add(added_us, now_us);
            usage.starts.add(starts, now_us);
        }
    }

    /// Returns the usage of the accounts at `now_us`, for one decision.
    pub fn at(&self, now_us: u64) -> UsageAt<'_> {
        UsageAt { shares: self, now_us, totals: OnceCell::new() }
    }

    /// Counts a displaced attempt.
    pub fn record_displaced(&mut self) {
        self.displaced += 1;
    }

    /// Returns the number of displaced attempts since the last call of this function.
    pub fn drain_displaced(&mut self) -> u64 {
        std::mem::take(&mut self.displaced)
    }

    fn totals(&self, now_us: u64) -> Totals {
        let is_active = |account: &&Account| account.usage.arrivals.value(now_us) >= ARRIVALS_MIN;
        Totals {
            weights: self.accounts.values().filter(is_active).map(|account| account.weight).sum(),
            starts: self.total.starts.value(now_us),
            start_share: self.total.start_share(now_us),
            slot_us: self.total.slot_us.value(now_us),
            usual_us: self.total.usual_us.value(now_us),
        }
    }
}

/// Sums over all accounts at one time.
struct Totals {
    /// Weights of the accounts that have called lately.
    weights: f64,
    starts: f64,
    /// Part of arrivals that start.
    start_share: f64,
    slot_us: f64,
    usual_us: f64,
}

/// Usage of the client accounts at one time.
///
/// The sums over all accounts are computed at most once, since a decision compares all waiting calls.
pub struct UsageAt<'a> {
    shares: &'a AccountShares,
    now_us: u64,
    totals: OnceCell<Totals>,
}

impl UsageAt<'_> {
    /// Returns the rank of an attempt among attempts of the same priority: 1 within its account's share, otherwise the
    /// ratio of usage to share. Attempts without an account rank like those within their share.
    pub fn rank(&self, attempt: AttemptId) -> f64 {
        self.ratio(attempt).map_or(1.0, |ratio| ratio.max(1.0))
    }

    /// Returns which of the waiting attempts an arriving attempt displaces: the last one of the account that is furthest
    /// above its share, if the arriving attempt's account is within its own.
    pub fn displaced(&self, arriving: AttemptId, waiting: impl Iterator<Item = AttemptId>) -> Option<AttemptId> {
        self.ratio(arriving).filter(|ratio| *ratio <= 1.0)?;
        let above = waiting.filter_map(|attempt| {
            let ratio = self.ratio(attempt).filter(|ratio| *ratio > DISPLACED_ABOVE)?;
            Some((ratio, attempt))
        });
        above.max_by(|(one, _), (other, _)| one.total_cmp(other)).map(|(_, attempt)| attempt)
    }

    /// Returns the usage of an attempt's account relative to its share.
    fn ratio(&self, attempt: AttemptId) -> Option<f64> {
        let (name, _) = self.shares.attempts.get(&attempt)?;
        let Account { weight, burst, usage } = self.shares.accounts.get(name)?;
        let totals = self.totals.get_or_init(|| self.shares.totals(self.now_us));
        if usage.start_share(self.now_us) < GUARD_SHARE * totals.start_share {
            return Some(1.0);
        }
        let weights = totals.weights.max(*weight);
        let run_us = totals.slot_us / totals.starts.max(1.0);
        // The part of the account's burst that falls on this server, and at least the one call that is about to start.
        let burst_here = burst * totals.starts / (DECAY_US / 1e6) / weights;
        let by_weight = weight / weights;
        let usual = usage.usual_us.value(self.now_us) / totals.usual_us.max(1.0);
        let part = by_weight.max(usual.min(by_weight * USUAL_MAX).min(USUAL_PART_MAX));
        let share_us = totals.slot_us * part + burst_here.max(1.0) * run_us;
        Some(if share_us > 0.0 { usage.slot_us.value(self.now_us) / share_us } else { 0.0 })
    }
}
