//! Decisions of a node that drives a roll-out, without I/O.

use super::comparison::{Verdict, compare};
use super::message::{RouteRuns, Stage};

/// Part of the time of an order for which the new version is on trial; faults of a version may show late.
const TRIAL_PERCENT: u64 = 75;
/// Shortest time at the end of an order that is left for its calls to move.
const MOVE_MIN_MS: u64 = 3_000;
/// Time for which all new calls go to the new version before the old one may stop: nodes receive the stage within a
/// second, and running calls of the old version have to end.
const MOVING_MS: u64 = 1_500;
/// Fewest runs on trial before calls move to a version.
const RUNS_MIN: u32 = 20;
/// Fewest upstreams of the new version that can serve the load, in percent of those of the old version.
const CAPACITY_PERCENT: usize = 80;

/// Progress of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Stage of the roll-out; none if it was ordered and has not started.
    pub stage: Option<Stage>,
    /// Time since the order.
    pub age_ms: u64,
    /// Time since the stage was reached.
    pub stage_age_ms: u64,
    /// Time from the order within which the calls have to move.
    pub within_ms: u64,
}

/// Observations of both versions.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Runs of the new version by route.
    pub new_runs: Vec<RouteRuns>,
    /// Runs of the old version by route, over the same time.
    pub old_runs: Vec<RouteRuns>,
    /// Upstreams of the new version that accept work.
    pub new_servers: usize,
    /// Upstreams of the old version that accept work.
    pub old_servers: usize,
}

/// Decision on a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The roll-out stays at its stage.
    Wait,
    /// The roll-out reaches a stage.
    Reach(Stage),
}

/// Decides whether a roll-out reaches another stage.
pub fn decide(progress: Progress, evidence: &Evidence) -> Decision {
    let Some(stage) = progress.stage else {
        return Decision::Reach(Stage::Trial);
    };
    if stage.is_final() {
        return Decision::Wait;
    }
    if compare(&evidence.new_runs, &evidence.old_runs) == Verdict::Worse {
        return Decision::Reach(Stage::RolledBack);
    }
    match stage {
        Stage::Trial if may_move(progress, evidence) => Decision::Reach(Stage::Moving),
        Stage::Moving if progress.stage_age_ms >= MOVING_MS => Decision::Reach(Stage::Completed),
        Stage::Trial | Stage::Moving | Stage::Completed | Stage::RolledBack => Decision::Wait,
    }
}

/// Returns whether the new version was on trial for long enough and can serve the load.
fn may_move(progress: Progress, evidence: &Evidence) -> bool {
    let trial_ms = (progress.within_ms * TRIAL_PERCENT / 100).min(progress.within_ms.saturating_sub(MOVE_MIN_MS));
    let runs: u32 = evidence.new_runs.iter().map(|runs| runs.runs).sum();
    let has_capacity = evidence.new_servers * 100 >= evidence.old_servers * CAPACITY_PERCENT;
    progress.age_ms >= trial_ms && runs >= RUNS_MIN && has_capacity
}
