//! Objective of a call, and how long the call may wait for a slot.

use super::message::Objective;
use crate::link::message::CallHead;

/// Divisor of the time to the objective that gives the longest wait of a caller's call. Past that, declining is better,
/// since the caller can still try elsewhere in time.
const WAIT_SHARE: u64 = 8;
/// Share of the time to the objective into which the wait and the run of a call must fit. Runs of one route differ by a
/// third, so with less spare time most would end too late and take a slot from a call that could be in time.
const IN_TIME_PERCENT: u64 = 80;
/// Divisor of the deadline that gives the longest wait of a call made by a server. Declining such a call also wastes
/// the work that waits for it.
const INTERNAL_WAIT_SHARE: u64 = 2;

/// Returns the objective of a call and its longest wait for a slot, or `None` for a call without an objective.
pub fn objective(head: &CallHead, internal: bool) -> Option<Objective> {
    if head.objective_ms == 0 {
        return None;
    }
    let left_us = u64::from(head.objective_ms) * 1000;
    let wait_max_us = match internal {
        true => u64::from(head.deadline_ms) * 1000 / INTERNAL_WAIT_SHARE,
        false => wait_max_us(left_us, head.work_us.into()),
    };
    let elsewhere_permille = head.elsewhere_permille;
    Some(Objective { left_us, work_us: head.work_us.into(), elsewhere_permille, wait_max_us })
}

/// Returns how long a caller's call may wait for a slot, with `left_us` to its objective and an expected duration of
/// `work_us`.
fn wait_max_us(left_us: u64, work_us: u64) -> u64 {
    let spare_us = (left_us * IN_TIME_PERCENT / 100).saturating_sub(work_us);
    spare_us.min(left_us / WAIT_SHARE)
}
