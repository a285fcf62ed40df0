//! Pure decision of the node that carries a roll-out on.

use super::judge::{Verdict, judge};
use super::message::{RouteRuns, Stage};

/// Part of the time of an order for which the new version is on trial, in hundredths: versions may turn bad late.
const TRIAL_PERCENT: u64 = 75;
/// Time left at the end of an order for its calls to move, at least, in milliseconds.
const END_MS: u64 = 3_000;
/// Time for which all new calls go to the new version before the old one may stop, in milliseconds: nodes hear of it
/// within a second, and what the old version runs has to end.
const MOVING_MS: u64 = 1_500;
/// Runs on trial without which nothing is known of a version.
const RUNS_MIN: u32 = 20;
/// The new version bears the load with this many upstreams for a hundred of the old one.
const CAPACITY_PERCENT: usize = 80;

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Its stage; none where it was only ordered.
    pub stage: Option<Stage>,
    /// Time since the order, in milliseconds.
    pub age_ms: u64,
    /// Time since its stage was reached, in milliseconds.
    pub stage_age_ms: u64,
    /// Time in which the calls are to have moved, in milliseconds.
    pub within_ms: u64,
}

/// What is known of both versions.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Runs of the new version by route.
    pub new_runs: Vec<RouteRuns>,
    /// Runs of the old version by route, over the same time.
    pub old_runs: Vec<RouteRuns>,
    /// Upstreams of the new version that take work.
    pub new_servers: usize,
    /// Upstreams of the old version that take work.
    pub old_servers: usize,
}

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Nothing yet.
    Wait,
    /// The roll-out reaches a stage.
    Reach(Stage),
}

/// Decides on a roll-out.
pub fn decide(progress: Progress, evidence: &Evidence) -> Decision {
    let Some(stage) = progress.stage else {
        return Decision::Reach(Stage::Trial);
    };
    if stage.is_final() {
        return Decision::Wait;
    }
    if judge(&evidence.new_runs, &evidence.old_runs) == Verdict::Worse {
        return Decision::Reach(Stage::RolledBack);
    }
    match stage {
        Stage::Trial if may_move(progress, evidence) => Decision::Reach(Stage::Moving),
        Stage::Moving if progress.stage_age_ms >= MOVING_MS => Decision::Reach(Stage::Completed),
        Stage::Trial | Stage::Moving | Stage::Completed | Stage::RolledBack => Decision::Wait,
    }
}

/// Returns whether the new version was long enough on trial and bears the load.
fn may_move(progress: Progress, evidence: &Evidence) -> bool {
    let trial_ms = (progress.within_ms * TRIAL_PERCENT / 100).min(progress.within_ms.saturating_sub(END_MS));
    let runs: u32 = evidence.new_runs.iter().map(|runs| runs.runs).sum();
    let bears_load = evidence.new_servers * 100 >= evidence.old_servers * CAPACITY_PERCENT;
    progress.age_ms >= trial_ms && runs >= RUNS_MIN && bears_load
}
