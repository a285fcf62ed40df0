//! Whether a new version is worse than the old one: a sequential test on the same routes at the same time.

use super::message::RouteRuns;

/// Rate of bad runs that any version may have, at least.
const BAD_MIN: f64 = 0.03;
/// A worse version has at least this rate of bad runs.
const WORSE_MIN: f64 = 0.2;
/// And at least this many times the old version's.
const WORSE_FACTOR: f64 = 4.0;
/// Largest rate that a worse version is tested for.
const WORSE_MAX: f64 = 0.95;
/// Logarithm of how much likelier it must be that the new version is worse: one sound version in ten thousand is taken
/// for worse, over each route and all together.
const EVIDENCE_MIN: f64 = 9.2;
/// Runs of the old version that its rate is told by; with fewer it counts as sound.
const OLD_RUNS_MIN: u32 = 20;

/// What the counts say of a new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is worse than the old version.
    Worse,
    /// Nothing shows that it is worse.
    NotWorse,
}

/// Judges the runs of a new version beside those of the old one, by route and over all.
pub fn judge(new: &[RouteRuns], old: &[RouteRuns]) -> Verdict {
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

/// Returns how much likelier so many bad runs are where the version is worse, as a logarithm.
fn evidence(runs: u32, bad: u32, old_rate: f64) -> f64 {
    let sound = old_rate.max(BAD_MIN);
    let worse = (sound * WORSE_FACTOR).clamp(WORSE_MIN, WORSE_MAX);
    if worse <= sound {
        return 0.0;
    }
    let good = f64::from(runs.saturating_sub(bad));
    f64::from(bad) * (worse / sound).ln() + good * ((1.0 - worse) / (1.0 - sound)).ln()
}
