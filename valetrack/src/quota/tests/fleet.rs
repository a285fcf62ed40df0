//! A simulated fleet of entries with one account: credits that a home grants, compared with even shares.
//!
//! Load: callers of one account arrive at random entries, at a part of its rate or far above it. Even shares alone
//! refuse most calls within the rate as soon as an account has fewer calls a second than the fleet has entries, because
//! no share holds a whole call.

use std::collections::VecDeque;
use std::sync::Arc;

use test_case::test_case;

use crate::bundle::AccountRule;
use crate::quota::{Allowances, QuotaHome, Step};
use crate::token_bucket::TokenBucket;

/// Simulated time.
const SIMULATED_US: u64 = 600_000_000;
/// Window over which the limit is checked.
const WINDOW_US: u64 = 5_000_000;

/// Policy by which calls are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    /// One bucket for the whole fleet, as if all calls arrived at one entry.
    SingleBucket,
    /// Each entry has an even share of rate and burst.
    EvenShares,
    /// A home grants credits.
    Home,
    /// A home grants credits, and another one without its records replaces it for the middle third of the time.
    ReplacedHome,
}

/// Counts of one simulation.
#[derive(Debug, Default)]
struct Counts {
    arrived: u32,
    refused: u32,
    requests: u32,
    /// Most calls admitted in one window.
    admitted_max: usize,
}

fn simulate(policy: Policy, nodes: usize, rate_per_s: u64, load: f64) -> Counts {
    let rule = AccountRule {
        name: Arc::from("acme"),
        priority: None,
        rate_milli_per_s: rate_per_s * 1_000,
        burst_milli: rate_per_s * 1_000,
    };
    let mut rng = fastrand::Rng::with_seed(11);
    let mut entries: Vec<Allowances> = (0..nodes).map(|_| Allowances::default()).collect();
    entries.iter_mut().for_each(|entry| entry.set_nodes(nodes as u32));
    let share = rate_per_s as f64 / nodes as f64;
    let mut shares: Vec<TokenBucket> = (0..nodes).map(|_| TokenBucket::new(share, share, share, 0)).collect();
    let rate = rate_per_s as f64;
    let mut single = TokenBucket::new(rate, rate, rate, 0);
    let mut homes = [QuotaHome::default(), QuotaHome::default()];
    let mut admitted: VecDeque<u64> = VecDeque::new();
    let (mut counts, mut now_us) = (Counts::default(), 0);
    while now_us < SIMULATED_US {
        // Arrivals are independent of each other.
        now_us += (-rng.f64().max(1e-9).ln() / (rate_per_s as f64 * load) * 1e6) as u64;
        let at = rng.usize(..nodes);
        let is_other = policy == Policy::ReplacedHome && (200_000_000..400_000_000).contains(&now_us);
        let home = &mut homes[usize::from(is_other)];
        let admits = match policy {
            Policy::SingleBucket => single.take(1, now_us) == 1,
            Policy::EvenShares => shares[at].take(1, now_us) == 1,
            Policy::Home | Policy::ReplacedHome => match entries[at].begin(&rule, now_us) {
                Step::Request { calls } => {
                    counts.requests += 1;
                    let grant = home.grant(&rule, calls, now_us);
                    entries[at].apply_grant(&rule.name, grant, now_us) == Step::Admit
                }
                step => step == Step::Admit,
            },
        };
        counts.arrived += 1;
        if !admits {
            counts.refused += 1;
            continue;
        }
        admitted.push_back(now_us);
        while admitted.front().is_some_and(|first| first + WINDOW_US <= now_us) {
            admitted.pop_front();
        }
        counts.admitted_max = counts.admitted_max.max(admitted.len());
    }
    counts
}

/// Returns the number of calls that the account may have in a window.
fn limit(rate_per_s: u64) -> usize {
    (rate_per_s * WINDOW_US / 1_000_000 + rate_per_s) as usize
}

#[test_case(4; "four nodes")]
#[test_case(76; "seventy-six")]
#[test_case(1_000; "a thousand")]
fn account_within_rate_is_refused_no_more_than_by_single_bucket(nodes: usize) {
    for rate_per_s in [4, 160] {
        let counts = simulate(Policy::Home, nodes, rate_per_s, 0.6);
        let single = simulate(Policy::SingleBucket, nodes, rate_per_s, 0.6);
        let more = counts.refused.saturating_sub(single.refused);
        assert!(more * 100 <= counts.arrived, "{rate_per_s}/s: {counts:?}, a single bucket: {single:?}");
        let shares = simulate(Policy::EvenShares, nodes, rate_per_s, 0.6);
        assert!(shares.refused >= counts.refused, "{rate_per_s}/s: {shares:?}");
    }
}

#[test_case(Policy::Home, 4; "four nodes")]
#[test_case(Policy::Home, 76; "seventy-six")]
#[test_case(Policy::Home, 1_000; "a thousand")]
#[test_case(Policy::ReplacedHome, 76; "another home in the middle third")]
fn hot_account_stays_within_limit_and_uses_most_of_it(policy: Policy, nodes: usize) {
    for rate_per_s in [4, 160] {
        let counts = simulate(policy, nodes, rate_per_s, 5.0);
        let limit = limit(rate_per_s);
        assert!(
            counts.admitted_max <= limit,
            "{rate_per_s}/s: {} admitted in a window, limit {limit}",
            counts.admitted_max
        );
        let served = counts.arrived - counts.refused;
        let allowed = rate_per_s * SIMULATED_US / 1_000_000;
        assert!(u64::from(served) * 10 >= allowed * 8, "{rate_per_s}/s: {served} of {allowed} calls served");
    }
}

#[test]
fn hot_account_does_not_flood_its_home() {
    let counts = simulate(Policy::Home, 76, 160, 5.0);
    let requests_per_s = u64::from(counts.requests) * 1_000_000 / SIMULATED_US;
    assert!(requests_per_s <= 400, "{requests_per_s} requests a second for 800 calls a second");
}
