//! Comparison of a new version with the old one: a sequential test over the same routes in the same time.

use super::message::RouteRuns;

/// Lowest rate of bad runs that is assumed of a sound version.
const BAD_MIN: f64 = 0.03;
/// Lowest rate of bad runs of a worse version.
const WORSE_MIN: f64 = 0.2;
/// A worse version has at least this many times the rate of bad runs of the old version.
const WORSE_FACTOR: f64 = 4.0;
/// Highest rate of bad runs that a worse version is tested for.
const WORSE_MAX: f64 = 0.95;
/// Log-likelihood ratio above which a new version counts as worse; one sound version in ten thousand exceeds it, on
/// each route and in total.
const EVIDENCE_MIN: f64 = 9.2;
/// Fewest runs of the old version from which its rates are estimated; with fewer, it counts as free of bad runs.
const OLD_RUNS_MIN: u32 = 20;

/// Result of comparing a new version with the old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is worse than the old version.
    Worse,
    /// Nothing shows that it is worse.
    NotWorse,
}

/// Compares the runs of a new version with those of the old one, by route and in total.
pub fn compare(new: &[RouteRuns], old: &[RouteRuns]) -> Verdict {
    let old_of = |route: &str| old.iter().find(|runs| &*runs.route == route).cloned().unwrap_or_default();
    let by_route = new.iter().any(|runs| is_worse(runs, &old_of(&runs.route)));
    if by_route || is_worse(&total(new), &total(old)) { Verdict::Worse } else { Verdict::NotWorse }
}

fn total(routes: &[RouteRuns]) -> RouteRuns {
    let mut total = RouteRuns::default();
    for runs in routes {
        total.add(runs);
    }
    total
}

fn is_worse(new: &RouteRuns, old: &RouteRuns) -> bool {
    let rate = |bad: u32| if old.runs < OLD_RUNS_MIN { 0.0 } else { f64::from(bad) / f64::from(old.runs) };
    evidence(new.runs, new.failed, rate(old.failed)) > EVIDENCE_MIN
        || evidence(new.runs, new.slow, rate(old.slow)) > EVIDENCE_MIN
}

/// Returns the log-likelihood ratio of a worse version to a sound one for this number of bad runs.
fn evidence(runs: u32, bad: u32, old_rate: f64) -> f64 {
    let sound = old_rate.max(BAD_MIN);
    let worse = (sound * WORSE_FACTOR).clamp(WORSE_MIN, WORSE_MAX);
    if worse <= sound {
        return 0.0;
    }
    let good = f64::from(runs.saturating_sub(bad));
    f64::from(bad) * (worse / sound).ln() + good * ((1.0 - worse) / (1.0 - sound)).ln()
}
