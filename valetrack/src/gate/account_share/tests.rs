//! Ratios of usage to share.

use std::sync::Arc;

use super::{ARRIVALS_MIN, Account, AccountShares, DECAY_US, GUARD_SHARE, USUAL_MAX, USUAL_PART_MAX};
use crate::bundle::{AccountRule, AccountTable};
use crate::gate::AttemptId;

const ACCOUNTS: u64 = 30;

/// Returns the usage of an attempt's account relative to its share, with sums over all accounts for this attempt alone.
fn ratio_by_own_sums(shares: &AccountShares, attempt: AttemptId, now_us: u64) -> Option<f64> {
    let (name, _) = shares.attempts.get(&attempt)?;
    let account = shares.accounts.get(name)?;
    if account.usage.start_share(now_us) < GUARD_SHARE * shares.total.start_share(now_us) {
        return Some(1.0);
    }
    let is_active = |account: &&Account| account.usage.arrivals.value(now_us) >= ARRIVALS_MIN;
    let weights: f64 = shares.accounts.values().filter(is_active).map(|account| account.weight).sum();
    let (starts, total_us) = (shares.total.starts.value(now_us), shares.total.slot_us.value(now_us));
    let run_us = total_us / starts.max(1.0);
    let burst_here = account.burst * starts / (DECAY_US / 1e6) / weights.max(account.weight);
    let by_weight = account.weight / weights.max(account.weight);
    let usual = account.usage.usual_us.value(now_us) / shares.total.usual_us.value(now_us).max(1.0);
    let part = by_weight.max(usual.min(by_weight * USUAL_MAX).min(USUAL_PART_MAX));
    let share_us = total_us * part + burst_here.max(1.0) * run_us;
    Some(if share_us > 0.0 { account.usage.slot_us.value(now_us) / share_us } else { 0.0 })
}

fn name(account: u64) -> Arc<str> {
    Arc::from(format!("account-{account}"))
}

/// Guards against sums that are computed once per decision and differ from those of each waiting call.
#[test]
fn ratio_equals_that_with_own_sums() {
    let mut table = AccountTable::default();
    for account in 0..ACCOUNTS {
        let rate_milli_per_s = account % 7 * 1_500;
        let rule =
            AccountRule { name: name(account), priority: None, rate_milli_per_s, burst_milli: account % 3 * 9_000 };
        table.add(rule, []).expect("an account");
    }
    let mut shares = AccountShares::default();
    shares.configure(&table);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut now_us = 0;
    let (mut above, mut guarded) = (0, 0);
    for seq in 0..4_000 {
        now_us += rng.u64(..100_000);
        let attempt = AttemptId { entry: 1, seq };
        // The first accounts call most, and the last name is not in the bundle.
        let account = rng.u64(..=ACCOUNTS).min(rng.u64(..=ACCOUNTS));
        shares.arrive(attempt, &name(account), now_us);
        if rng.u64(..ACCOUNTS) >= account {
            shares.start(attempt, 160_000, now_us);
        }
        if let Some(ended) = seq.checked_sub(40) {
            let ended = AttemptId { entry: 1, seq: ended };
            if rng.bool() { shares.end(ended, rng.u64(..400_000), now_us) } else { shares.leave(ended) }
        }
        let usage = shares.at(now_us);
        for seq in seq.saturating_sub(45)..=seq {
            let attempt = AttemptId { entry: 1, seq };
            let ratio = usage.ratio(attempt);
            let expected = ratio_by_own_sums(&shares, attempt, now_us);
            assert_eq!(ratio.map(f64::to_bits), expected.map(f64::to_bits), "attempt {seq}");
            above += usize::from(ratio.is_some_and(|ratio| ratio > 1.0));
            guarded += usize::from(ratio == Some(1.0));
        }
    }
    assert!(above > 0 && guarded > 0, "{above} above their share, {guarded} with few starts");
}
