//! The gate's queue: who may wait for a slot, who is given back, and who starts.

use super::{Gate, Running, Waiting};
use crate::gate::message::{AttemptId, BounceReason, GateAction, GateEvent, Objective, PERMILLE, Patience};

/// A call is given back where it is worth this much more elsewhere, as a share of an answer in
/// time: the way there takes time as well.
const ELSEWHERE_GAIN: f64 = 0.02;
/// Rank of calls that runs make.
pub(crate) const INTERNAL_PRIORITY: u8 = 0;
/// A call on its last attempt may wait this many times the bound of the queue.
const LAST_QUEUES: u64 = 2;

impl Gate {
    /// Lets a call in, to start or to wait, or gives it back.
    pub(super) fn arrive(&mut self, event: GateEvent, now_us: u64, out: &mut Vec<GateAction>) {
        let GateEvent::Arrive { attempt, deadline_us, patience, priority, objective } = event else {
            return;
        };
        if self.knows(attempt) {
            // A second copy must not run; the first copy has its own answer.
            return;
        }
        if self.memory.contains_key(&attempt) {
            self.suspects.remove(&attempt);
            out.push(GateAction::Bounce { attempt, reason: BounceReason::Cancelled });
            return;
        }
        if let Some(reason) = self.closed_for(now_us) {
            self.bounce(attempt, reason, now_us, out);
            return;
        }
        let work_us = objective.map_or(0, |objective| objective.work_us);
        let run_us = self.run_us(objective, now_us);
        let in_time_by_us = match objective {
            Some(objective) if priority > INTERNAL_PRIORITY => (now_us + objective.left_us).saturating_sub(run_us),
            // Whoever waits for a call that a run made needs it until the deadline.
            Some(_) | None => u64::MAX,
        };
        let call = Waiting {
            attempt,
            deadline_us,
            leave_at_us: deadline_us,
            patience,
            priority,
            in_time_by_us,
            run_us,
            work_us,
            margin_us: Waiting::margin_us(work_us, deadline_us.saturating_sub(now_us)),
        };
        if let Some(reason) = self.turns_away(&call, objective, now_us) {
            self.bounce(attempt, reason, now_us, out);
            return;
        }
        let leave_at_us = match patience {
            // Whoever has nowhere better to go is kept once it was let in.
            Patience::Long | Patience::Last => call.start_by_us(),
            Patience::None | Patience::Short => call.start_by_us().min(now_us + self.service_us as u64),
        };
        // Order by rank, and by arrival within one rank.
        let at = self.waiting.partition_point(|other| other.priority <= priority);
        self.waiting.insert(at, Waiting { leave_at_us, ..call });
    }

    /// Returns why no call is let in at all, if none is.
    pub(super) fn closed_for(&self, now_us: u64) -> Option<BounceReason> {
        match () {
            () if self.leaving => Some(BounceReason::Leaving),
            () if self.evacuated => Some(BounceReason::Evacuated),
            () if self.outage.is_on(now_us) => Some(BounceReason::NotReady),
            () => None,
        }
    }

    /// Returns whether a call may start now, if it is the first in the queue.
    fn may_start(&self, now_us: u64) -> bool {
        self.running.len() < usize::from(self.limit(now_us)) && self.cold.left(now_us) != Some(0)
    }

    /// Returns why a call that arrives is given back, if it is.
    fn turns_away(&self, call: &Waiting, objective: Option<Objective>, now_us: u64) -> Option<BounceReason> {
        let held_back = self.is_held_back(call, now_us);
        let beside_suspect = self.waits_for_suspect(call.attempt);
        let has_slot = self.may_start(now_us) && self.waiting.is_empty();
        if !has_slot || held_back || beside_suspect {
            let wait_max_us = objective.map_or(self.config.queue_max_us, |objective| objective.wait_max_us);
            if let Some(reason) = self.refuses_to_queue(call, wait_max_us, now_us) {
                return Some(reason);
            }
        }
        let slow = match call.patience {
            Patience::None => held_back || beside_suspect,
            Patience::Short => objective.is_some_and(|objective| self.too_slow_for(objective, now_us)),
            Patience::Long | Patience::Last => false,
        };
        slow.then_some(BounceReason::Slow)
    }

    /// Returns whether a call that starts now would miss its objective, or is worth more elsewhere.
    fn too_slow_for(&self, objective: Objective, now_us: u64) -> bool {
        if objective.work_us == 0 {
            return false;
        }
        let pace = self.speed.pace(now_us);
        if objective.elsewhere_permille == 0 {
            return pace.expected_us(objective.work_us) > objective.left_us as f64;
        }
        let here = pace.worth(objective.work_us, 0.0, objective.left_us as f64);
        here + ELSEWHERE_GAIN < f64::from(objective.elsewhere_permille) / PERMILLE
    }

    /// Returns why a call may not wait here, if it may not.
    ///
    /// One that would be late by the time it ends may not: it would take a slot from a call that could be
    /// in time. With the time that callers have waited before counted, a burst of 2.2 times the usual
    /// calls on a fleet of 69 VMs and a start of it cold had 0.698 and 0.536 of the worth of their two worst
    /// windows served without both, 0.761 and 0.560 with them (virtual time, three seeds).
    fn refuses_to_queue(&self, call: &Waiting, wait_max_us: u64, now_us: u64) -> Option<BounceReason> {
        let Waiting { deadline_us, patience, run_us, .. } = *call;
        if self.config.rescue && patience != Patience::Last && self.stalled(now_us) {
            return Some(BounceReason::Stalled);
        }
        let wait_us = self.slot_wait_us(call, now_us).max(self.cold_wait_us(call, now_us));
        let patience_us = match patience {
            Patience::None => 0,
            Patience::Short => wait_max_us.min(self.service_us as u64 / 2),
            Patience::Long => wait_max_us,
            // It was let in elsewhere or turned away everywhere; turning it away now comes late.
            Patience::Last => wait_max_us * LAST_QUEUES,
        };
        let start_us = now_us + wait_us;
        let too_late = start_us + run_us > deadline_us || start_us > call.in_time_by_us;
        (wait_us > patience_us || too_late).then_some(BounceReason::Full)
    }

    /// Returns how long a call waits for a slot that is not held back, in microseconds.
    fn slot_wait_us(&self, call: &Waiting, now_us: u64) -> u64 {
        let limit = usize::from(self.limit(now_us).max(1));
        if self.running.len() + self.waiting.len() < limit {
            return 0;
        }
        // The first slot that is free again goes to the first that waits, and short runs give theirs
        // back sooner.
        let ahead = self.waiting.iter().filter(|other| other.priority <= call.priority);
        let ahead_us: u64 = ahead.map(|other| other.run_us).sum();
        (self.service_us as u64 + ahead_us) / limit as u64
    }

    /// Returns how long a call waits until the server bears it, in microseconds.
    fn cold_wait_us(&self, call: &Waiting, now_us: u64) -> u64 {
        let ahead = self.waiting.iter().filter(|other| other.priority <= call.priority).count();
        self.cold.wait_us(ahead, now_us)
    }

    /// Returns whether the machine's speed is to be asked for, since calls wait for a slow episode to
    /// end.
    pub fn asks_about_episode(&self, now_us: u64) -> bool {
        now_us >= self.speed.ask_again_us() && self.waiting.iter().any(|waiting| self.is_held_back(waiting, now_us))
    }

    pub(super) fn is_held_back(&self, waiting: &Waiting, now_us: u64) -> bool {
        self.speed.holds_back(waiting.work_us, now_us)
    }

    /// Returns whether an attempt that may crash the server has to wait for another one that runs.
    fn waits_for_suspect(&self, attempt: AttemptId) -> bool {
        self.suspects.contains(&attempt) && self.suspects.iter().any(|other| self.running.contains_key(other))
    }

    /// Gives back what has waited its time, and what waits for a server that stalls.
    pub(super) fn leave_queue(&mut self, now_us: u64, out: &mut Vec<GateAction>) {
        if self.waiting.is_empty() {
            return;
        }
        let stalled = self.config.rescue && self.stalled(now_us);
        let mut kept = 0;
        while kept < self.waiting.len() {
            let waiting = self.waiting[kept];
            let reason = match () {
                () if now_us >= waiting.leave_at_us => BounceReason::Full,
                () if stalled && waiting.patience != Patience::Last => BounceReason::Stalled,
                () => {
                    kept += 1;
                    continue;
                }
            };
            self.waiting.remove(kept);
            self.bounce(waiting.attempt, reason, now_us, out);
        }
    }

    /// Starts calls while slots are free, but for those that are held back.
    pub(super) fn start_waiting(&mut self, now_us: u64, out: &mut Vec<GateAction>) {
        while self.may_start(now_us) {
            let may_go =
                |waiting: &Waiting| !self.is_held_back(waiting, now_us) && !self.waits_for_suspect(waiting.attempt);
            let next = self.waiting.iter().position(may_go);
            let Some(waiting) = next.and_then(|at| self.waiting.remove(at)) else {
                return;
            };
            if now_us >= waiting.start_by_us() {
                self.bounce(waiting.attempt, BounceReason::Full, now_us, out);
                continue;
            }
            self.progress.began(now_us);
            self.cold.started(now_us);
            let busy = self.running.len() as u16 + 1;
            self.running.insert(waiting.attempt, Running { started_us: now_us, busy });
            out.push(GateAction::Start { attempt: waiting.attempt });
        }
    }
}
