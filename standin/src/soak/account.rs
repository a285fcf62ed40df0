//! Client accounts of a soak: their keys and rates, and the checks of what each account gets.

use std::collections::BTreeSet;

use serde_json::{Value, json};

use super::judge::{Breach, CallOutcome, CallRecord};
use super::repeat::Arrival;

/// Text that all keys contain, so that upstreams recognize them.
pub const KEY_MARK: &str = "soakkey";
/// Window of the limit on the runs of an account.
const WINDOW_MS: u64 = 5_000;
/// Smallest part of the share of all calls that are served, for each account.
const SERVED_MIN: f64 = 0.25;
/// Smallest number of calls that is judged.
const SAMPLE_MIN: f64 = 20.0;

/// A client account with its rate and burst in calls, if it has a limit.
#[derive(Debug, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: &'static str,
    priority: u8,
    limit: Option<(u32, u32)>,
}

/// The accounts of the configuration. Callers send several times the rate of the first one, and less than the rates of
/// the others; the last one has no limit.
pub static ACCOUNTS: [Account; 4] = [
    Account { name: "surging", priority: 1, limit: Some((20, 20)) },
    Account { name: "usual", priority: 0, limit: Some((80, 80)) },
    Account { name: "other", priority: 2, limit: Some((80, 40)) },
    Account { name: "unlimited", priority: 1, limit: None },
];

impl Account {
    /// Returns the account whose calls a caller sends; the first caller of each VM sends those of the surging one.
    pub fn of_caller(vm: usize, caller: usize) -> &'static Self {
        if caller == 0 { &ACCOUNTS[0] } else { &ACCOUNTS[1 + (vm + caller) % (ACCOUNTS.len() - 1)] }
    }

    fn key(&self) -> String {
        format!("{KEY_MARK}-for-{:x>12}", self.name)
    }

    /// Returns the value of the `authorization` header of its calls.
    pub fn authorization(&self) -> String {
        format!("Bearer {}", self.key())
    }

    /// Returns its entry in the configuration.
    pub fn to_json(&self) -> Value {
        let (rate_per_s, burst) = self.limit.unzip();
        json!({ "name": self.name, "keys": [self.key()], "priority": self.priority, "rate_per_s": rate_per_s, "burst": burst })
    }
}

/// Checks the runs of each limited account in every window of 5 s; nested calls don't count.
pub fn check_account_limits(calls: &[CallRecord], runs: &[Arrival]) -> Vec<Breach> {
    let check = |account: &Account| {
        let (rate_per_s, burst) = account.limit?;
        let of_account = calls.iter().filter(|call| call.account == Some(account));
        let ids: BTreeSet<&str> = of_account.map(|call| call.id.as_str()).collect();
        let runs: Vec<&Arrival> = runs.iter().filter(|run| ids.contains(run.id.as_str())).collect();
        let within = |from_ms: u64| runs.iter().filter(move |run| (from_ms..from_ms + WINDOW_MS).contains(&run.at_ms));
        let from_ms = runs.iter().map(|run| run.at_ms).max_by_key(|from_ms| within(*from_ms).count())?;
        let (count, distinct) = (within(from_ms).count(), within(from_ms).map(|run| &run.id).collect::<BTreeSet<_>>());
        let allowed = (f64::from(rate_per_s) * WINDOW_MS as f64 / 1_000.0 + f64::from(burst)) * 1.1 + 20.0;
        (count as f64 > allowed).then(|| Breach {
            guarantee: "the runs of an account stay within its rate",
            subject: account.name.to_owned(),
            detail: format!("from {from_ms} ms: {count} runs of {} calls, allowed {allowed}", distinct.len()),
        })
    };
    ACCOUNTS.iter().filter_map(check).collect()
}

/// Checks the share of each account's calls that are served against that of all calls. Calls beyond the account's rate
/// and burst during the load are not counted, because the quota refuses them.
pub fn check_account_shares(calls: &[CallRecord], length_ms: u64) -> Vec<Breach> {
    // Numbers of calls that were sent and served.
    let count = |of: &dyn Fn(&CallRecord) -> bool| {
        let sent: Vec<&CallRecord> = calls.iter().filter(|call| of(call)).collect();
        let is_served = |call: &&&CallRecord| matches!(call.outcome, CallOutcome::Answer { status: 200, .. });
        (sent.len() as f64, sent.iter().filter(is_served).count() as f64)
    };
    let (sent, served) = count(&|_| true);
    let share_of_all = served / sent.max(1.0);
    let check = |account: &Account| {
        let (sent, served) = count(&|call| call.account == Some(account));
        let within_rate = |(rate_per_s, burst)| f64::from(rate_per_s) * length_ms as f64 / 1_000.0 + f64::from(burst);
        let due = account.limit.map_or(sent, |limit| sent.min(within_rate(limit)));
        let share = served / due.max(1.0);
        (due >= SAMPLE_MIN && share < SERVED_MIN * share_of_all).then(|| Breach {
            guarantee: "no account is served less than a quarter as often as all calls",
            subject: account.name.to_owned(),
            detail: format!("{share:.3} of {due} calls within its rate, {share_of_all:.3} of all"),
        })
    };
    ACCOUNTS.iter().filter_map(check).collect()
}
