//! The interface to the entry beside the gate, through which the upstream makes its own calls.

use std::rc::Rc;
use std::sync::Arc;

use super::message::AttemptId;
use crate::link::message::CallHead;

/// A run of the upstream, as its entry needs it to rank the calls that the run makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedRun {
    /// The attempt that runs.
    pub attempt: AttemptId,
    /// Route of the call.
    pub route: Arc<str>,
    /// Priority of the call at the root.
    pub priority: u8,
    /// Deadline of the call, on this process's steady clock.
    pub deadline_us: u64,
    /// When the objective of the call ends, on the same clock; `None` if it has none.
    pub objective_end_us: Option<u64>,
    /// Probability that the run is a repeat, in thousandths.
    pub repeat_permille: u16,
}

impl StartedRun {
    /// Returns the run of a call with this deadline on the steady clock.
    pub(super) fn new(head: &CallHead, deadline_us: u64) -> Self {
        let arrived_us = deadline_us.saturating_sub(u64::from(head.deadline_ms) * 1000);
        let has_objective = head.objective_ms > 0;
        Self {
            attempt: head.attempt,
            route: head.route.clone(),
            priority: head.priority,
            deadline_us,
            objective_end_us: has_objective.then(|| arrived_us + u64::from(head.objective_ms) * 1000),
            repeat_permille: head.repeat_permille,
        }
    }
}

/// Tracks the upstream's runs, since calls made by a repeated run count as repeats at the services that receive them,
/// and calls made by any run may have the rank of its call.
pub trait RunLedger {
    /// Returns whether one more repeated run may start, which requires retry budget at the services that it would call.
    fn admits_repeat(&self) -> bool;

    /// Returns whether a caller's call may take a slot or wait for one, considering the calls that its run would make.
    /// `has_room` states whether it would start at once.
    fn admits_call(&self, head: &CallHead, has_room: bool) -> bool;

    /// Records the start of a run.
    fn run_began(&self, run: &StartedRun);

    /// Records the end of a run.
    fn run_ended(&self, run: &StartedRun);
}

/// A run in progress, which ends when this value is dropped.
pub(super) struct LedgerEntry {
    ledger: Rc<dyn RunLedger>,
    run: StartedRun,
}

impl LedgerEntry {
    /// Records the start of a run.
    pub(super) fn new(ledger: Rc<dyn RunLedger>, run: StartedRun) -> Self {
        ledger.run_began(&run);
        Self { ledger, run }
    }
}

impl Drop for LedgerEntry {
    fn drop(&mut self) {
        self.ledger.run_ended(&self.run);
    }
}
