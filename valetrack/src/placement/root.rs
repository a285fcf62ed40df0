//! Derives the call at the root of a nested call.
//!
//! Upstreams do not pass on marks of the calls that they run. The time limit that a nested call carries ends at the
//! deadline of the run that made it, which identifies the run in most cases. Otherwise the most urgent of the runs that
//! could have made the call determines its rank: a rank that is too low would lose a run that holds a slot, and one
//! that is too high affects a single call.

use std::sync::Arc;

use crate::gate::{AttemptId, StartedRun};

/// How much more time a nested call may state than its run has left by this node's clock. The upstream reads the time
/// left of a call after the node has written it, and the node reads a nested call after the upstream has written it; a
/// node with a tenth of a core needs some tens of milliseconds for both.
const LIMIT_OVER_US: u64 = 50_000;
/// How much less time it may state: time limits are whole milliseconds, rounded down at the node and at the upstream.
const LIMIT_UNDER_US: u64 = 3_000;

/// How the root of a nested call was determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RootBasis {
    /// All runs that could have made the call have one priority.
    Clear,
    /// Runs of several priorities could have made it, and the most urgent one counts.
    Urgency,
}

impl RootBasis {
    /// Returns the label in metrics and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Clear => "clear",
            Self::Urgency => "urgency",
        }
    }
}

/// Call at the root of a nested call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Root {
    /// Its priority.
    pub priority: u8,
    /// Time left until the latest deadline of the runs that could have made the nested call.
    pub left_us: u64,
    /// Time left of the latest of their objectives; zero if it has passed.
    pub objective_left_us: u64,
    /// How it was determined.
    pub basis: RootBasis,
}

/// A run with the nested calls that it made so far.
#[derive(Debug, Clone)]
struct Run {
    started: StartedRun,
    /// Calls by service; parts of calls that several runs could have made.
    calls: Vec<(Arc<str>, f32)>,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedRun {
    /// Route of its call.
    pub route: Arc<str>,
    /// Nested calls that it made, by service.
    pub calls: Vec<(Arc<str>, f32)>,
}

/// Runs in progress of the upstream beside an entry; at most as many as it has slots.
#[derive(Debug, Default)]
pub struct RunsInProgress(Vec<Run>);

impl RunsInProgress {
    /// Records the start of a run.
    pub fn began(&mut self, run: StartedRun) {
        self.0.push(Run { started: run, calls: Vec::new() });
    }

    /// Records the end of a run, and returns what is known of it.
    pub fn ended(&mut self, attempt: AttemptId) -> Option<EndedRun> {
        let at = self.0.iter().position(|run| run.started.attempt == attempt)?;
        let Run { started, calls } = self.0.swap_remove(at);
        Some(EndedRun { route: started.route, calls })
    }

    /// Attributes a nested call to the runs that could have made it, in proportion to the calls that runs of their
    /// routes make to the service.
    pub fn record_call(
        &mut self,
        service: &Arc<str>,
        limit_ms: Option<u32>,
        now_us: u64,
        mut calls_per_run: impl FnMut(&str) -> f64,
    ) {
        let makers = self.makers(limit_ms, now_us);
        let weights: Vec<f64> = makers.iter().map(|&at| calls_per_run(&self.0[at].started.route)).collect();
        let total: f64 = weights.iter().sum();
        for (at, weight) in makers.into_iter().zip(weights) {
            let part = (weight / total) as f32;
            let calls = &mut self.0[at].calls;
            match calls.iter_mut().find(|(other, _)| other == service) {
                Some((_, count)) => *count += part,
                None => calls.push((service.clone(), part)),
            }
        }
    }

    /// Returns the indexes of the runs that could have made a nested call with this time limit: those whose deadline it
    /// matches, else those that had at least that much time left, else all.
    fn makers(&self, limit_ms: Option<u32>, now_us: u64) -> Vec<usize> {
        let all = 0..self.0.len();
        let Some(limit_us) = limit_ms.map(|limit_ms| u64::from(limit_ms) * 1000) else {
            return all.collect();
        };
        let left_us = |at: usize| self.0[at].started.deadline_us.saturating_sub(now_us);
        let has_time = |at: &usize| limit_us <= left_us(*at) + LIMIT_OVER_US;
        let is_match = |at: &usize| has_time(at) && left_us(*at) <= limit_us + LIMIT_UNDER_US;
        let matching: Vec<usize> = all.clone().filter(is_match).collect();
        if !matching.is_empty() {
            return matching;
        }
        let possible: Vec<usize> = all.clone().filter(has_time).collect();
        if possible.is_empty() { all.collect() } else { possible }
    }

    /// Returns the root of a nested call with this time limit; `None` if no run is in progress, as after a restart of
    /// the node.
    pub fn root(&self, limit_ms: Option<u32>, now_us: u64) -> Option<Root> {
        let makers: Vec<_> = self.makers(limit_ms, now_us).into_iter().map(|at| &self.0[at].started).collect();
        let urgency = |run: &&&StartedRun| (run.priority, run.objective_end_us.unwrap_or(run.deadline_us));
        let priority = makers.iter().min_by_key(urgency)?.priority;
        let is_clear = makers.iter().all(|run| run.priority == priority);
        // An earlier deadline than that of the run that made the call would fail a call that could still be in time.
        let deadline_us = makers.iter().map(|run| run.deadline_us).max()?;
        let objective_end_us = makers.iter().map(|run| run.objective_end_us.unwrap_or(run.deadline_us)).max()?;
        let basis = if is_clear { RootBasis::Clear } else { RootBasis::Urgency };
        let left_us = deadline_us.saturating_sub(now_us);
        Some(Root { priority, left_us, objective_left_us: objective_end_us.saturating_sub(now_us), basis })
    }
}
