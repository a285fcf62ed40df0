//! The gate's queue: which attempts wait for a slot, which are declined, and which start.

use super::{Gate, Running, Waiting};
use crate::gate::message::{AttemptId, DeclineReason, GateAction, GateEvent, Objective, PERMILLE, QueueTimeout};
use crate::gate::rank::INTERNAL_PRIORITY;

/// An attempt is declined if its utility elsewhere is higher by this much, as a share of the utility of an answer in
/// time. The transfer to another server takes time as well.
const ELSEWHERE_GAIN_MIN: f64 = 0.02;
/// An attempt with [`QueueTimeout::Last`] may wait this many times the queue's limit.
const LAST_WAIT_FACTOR: u64 = 2;
/// A call without an objective that is overtaken in the queue may wait this many times the queue's limit: as long as
/// any call of its rank is admitted for.
const OVERTAKEN_WAIT_FACTOR: u64 = LAST_WAIT_FACTOR;

impl Gate {
    /// Admits an attempt, to start or to wait, or declines it.
    pub(super) fn arrive(&mut self, event: GateEvent, now_us: u64, out: &mut Vec<GateAction>) {
        let GateEvent::Arrive { attempt, deadline_us, patience, priority, objective, is_nested } = event else {
            return;
        };
        let is_nested = is_nested || priority == INTERNAL_PRIORITY;
        if self.holds(attempt) {
            // A second copy must not run; the first copy gets its own answer.
            return;
        }
        if self.results.contains_key(&attempt) {
            self.suspects.remove(&attempt);
            self.shares.leave(attempt);
            out.push(GateAction::Bounce { attempt, reason: DeclineReason::Cancelled });
            return;
        }
        if let Some(reason) = self.closed_reason(now_us) {
            self.decline(attempt, reason, now_us, out);
            return;
        }
        self.cold.record_arrival(priority, now_us);
        let work_us = objective.map_or(0, |objective| objective.work_us);
        let run_us = self.run_us(objective, now_us);
        let objective_start_by_us = match objective {
            Some(objective) if !is_nested => (now_us + objective.left_us).saturating_sub(run_us),
            // The run that made this call needs the answer by the deadline, not by an objective.
            Some(_) | None => u64::MAX,
        };
        let call = Waiting {
            attempt,
            deadline_us,
            leave_at_us: deadline_us,
            patience,
            priority,
            objective_start_by_us,
            run_us,
            work_us,
            margin_us: Waiting::margin_us(work_us, deadline_us.saturating_sub(now_us)),
            overtaken_leave_at_us: match objective_start_by_us {
                u64::MAX => now_us + self.config.queue_max_us * OVERTAKEN_WAIT_FACTOR,
                start_by_us => start_by_us,
            },
        };
        let reason = self.decline_reason(&call, objective, now_us);
        if let Some(reason) = reason
            && !(reason == DeclineReason::Full && self.displace(&call, objective, now_us, out))
        {
            self.cold.record_decline(priority, now_us);
            self.decline(attempt, reason, now_us, out);
            return;
        }
        let leave_at_us = match patience {
            // No better server is available to these attempts, so they stay once they are admitted.
            QueueTimeout::Long | QueueTimeout::Last => call.deadline_start_by_us(),
            QueueTimeout::None | QueueTimeout::Short => {
                call.deadline_start_by_us().min(now_us + self.service_us as u64)
            }
        };
        // Order by rank, then by arrival.
        let at = self.waiting.partition_point(|other| other.priority <= priority);
        self.waiting.insert(at, Waiting { leave_at_us, ..call });
        for overtaken in self.waiting.iter_mut().skip(at + 1) {
            overtaken.leave_at_us = overtaken.leave_at_us.min(overtaken.overtaken_leave_at_us);
        }
    }

    /// Declines a waiting attempt of an account above its share in favour of an arriving one, if that admits it. Returns
    /// whether it does.
    fn displace(
        &mut self,
        call: &Waiting,
        objective: Option<Objective>,
        now_us: u64,
        out: &mut Vec<GateAction>,
    ) -> bool {
        let same_rank = self.waiting.iter().filter(|other| other.priority == call.priority);
        let victim = self.shares.at(now_us).displaced(call.attempt, same_rank.map(|other| other.attempt));
        let at = victim.and_then(|victim| self.waiting.iter().position(|other| other.attempt == victim));
        let Some((at, victim)) = at.and_then(|at| Some((at, self.waiting.remove(at)?))) else {
            return false;
        };
        if self.decline_reason(call, objective, now_us).is_some() {
            self.waiting.insert(at, victim);
            return false;
        }
        self.shares.record_displaced();
        self.decline(victim.attempt, DeclineReason::Full, now_us, out);
        true
    }

    /// Returns the position of the waiting attempt that starts next: the first one of the highest priority whose account
    /// is least above its share.
    fn next_start(&self, now_us: u64) -> Option<usize> {
        let is_ready = |waiting: &Waiting| {
            self.may_start_by_rate(waiting.priority, now_us)
                && !self.is_deferred(waiting, now_us)
                && !self.waits_for_suspect(waiting.attempt)
        };
        if !self.has_free_slot(now_us) {
            return None;
        }
        let mut ready = self.waiting.iter().enumerate().filter(|(_, waiting)| is_ready(waiting));
        let (first, Waiting { priority, .. }) = ready.next()?;
        let usage = self.shares.at(now_us);
        let mut best = (usage.rank(self.waiting[first].attempt), first);
        for (at, waiting) in ready.take_while(|(_, waiting)| waiting.priority == *priority) {
            let rank = usage.rank(waiting.attempt);
            if rank < best.0 {
                best = (rank, at);
            }
        }
        Some(best.1)
    }

    /// Ranks a waiting attempt as a call made by a run, before all callers' calls.
    pub fn promote(&mut self, attempt: AttemptId) {
        self.promote_to(attempt, INTERNAL_PRIORITY);
    }

    /// Gives a waiting attempt the rank of a call made by a run. Otherwise the calls of its route that arrive after the
    /// route was classified would overtake it until its deadline.
    ///
    /// An attempt that already has the rank keeps its position, since a route's calls may be promoted at each arrival.
    pub fn promote_to(&mut self, attempt: AttemptId, priority: u8) {
        let is_behind = |waiting: &Waiting| waiting.attempt == attempt && waiting.priority > priority;
        let position = self.waiting.iter().position(is_behind);
        let Some(mut call) = position.and_then(|position| self.waiting.remove(position)) else {
            return;
        };
        call.priority = priority;
        call.objective_start_by_us = u64::MAX;
        // The run that made the call needs the answer, so a wait that overtaking calls have cut short is restored.
        if matches!(call.patience, QueueTimeout::Long | QueueTimeout::Last) {
            call.leave_at_us = call.deadline_start_by_us();
        }
        let at = self.waiting.partition_point(|other| other.priority <= call.priority);
        self.waiting.insert(at, call);
    }

    /// Returns why the gate admits no attempt at all, if it is closed.
    pub(super) fn closed_reason(&self, now_us: u64) -> Option<DeclineReason> {
        match () {
            () if self.leaving => Some(DeclineReason::Leaving),
            () if self.evacuated => Some(DeclineReason::Evacuated),
            () if self.removed => Some(DeclineReason::ServiceRemoved),
            () if self.outage.is_active(now_us) => Some(DeclineReason::NotReady),
            () => None,
        }
    }

    /// Returns whether a slot is free.
    fn has_free_slot(&self, now_us: u64) -> bool {
        self.running.len() < usize::from(self.limit(now_us))
    }

    /// Returns whether a call of `rank` may start now.
    fn may_start(&self, rank: u8, now_us: u64) -> bool {
        self.has_free_slot(now_us) && self.may_start_by_rate(rank, now_us)
    }

    /// Returns why an arriving attempt is declined, if it is.
    fn decline_reason(&self, call: &Waiting, objective: Option<Objective>, now_us: u64) -> Option<DeclineReason> {
        let deferred = self.is_deferred(call, now_us);
        let beside_suspect = self.waits_for_suspect(call.attempt);
        let has_slot = self.may_start(call.priority, now_us) && self.waiting.is_empty();
        if !has_slot || deferred || beside_suspect {
            let wait_max_us = objective.map_or(self.config.queue_max_us, |objective| objective.wait_max_us);
            if let Some(reason) = self.queue_decline_reason(call, wait_max_us, now_us) {
                return Some(reason);
            }
        }
        let slow = match call.patience {
            QueueTimeout::None => deferred || beside_suspect,
            QueueTimeout::Short => objective.is_some_and(|objective| self.is_too_slow_for(objective, now_us)),
            QueueTimeout::Long | QueueTimeout::Last => false,
        };
        slow.then_some(DeclineReason::Slow)
    }

    /// Returns whether a call that starts now would miss its objective or has a higher utility elsewhere.
    fn is_too_slow_for(&self, objective: Objective, now_us: u64) -> bool {
        if objective.work_us == 0 {
            return false;
        }
        let estimate = self.speed.estimate(now_us);
        if objective.elsewhere_permille == 0 {
            return estimate.expected_us(objective.work_us) > objective.left_us as f64;
        }
        let here = estimate.expected_utility(objective.work_us, 0.0, objective.left_us as f64);
        here + ELSEWHERE_GAIN_MIN < f64::from(objective.elsewhere_permille) / PERMILLE
    }

    /// Returns why a call may not wait here, if it may not.
    ///
    /// A call that would end too late is declined, since it would take a slot from a call that could still be in time.
    /// Without this rule, and without counting the time that callers had waited before, a fleet of 69 VMs lost utility
    /// in a burst of 2.2 times its usual load and in a cold start.
    fn queue_decline_reason(&self, call: &Waiting, wait_max_us: u64, now_us: u64) -> Option<DeclineReason> {
        let Waiting { deadline_us, patience, run_us, .. } = *call;
        if self.config.rescue && patience != QueueTimeout::Last && self.stalled(now_us) {
            return Some(DeclineReason::Stalled);
        }
        let ahead = self.waiting.iter().filter(|other| other.priority <= call.priority).count();
        let rate_wait_us = self.rate_limit.wait_us(ahead, now_us);
        let wait_us = self.slot_wait_us(call, now_us).max(self.start_wait_us(call.priority, ahead, now_us));
        let timeout_us = match patience {
            QueueTimeout::None => 0,
            QueueTimeout::Short => wait_max_us.min(self.service_us as u64 / 2),
            QueueTimeout::Long => wait_max_us,
            // The attempt was admitted elsewhere or declined everywhere, so declining it now would come late.
            QueueTimeout::Last => wait_max_us * LAST_WAIT_FACTOR,
        };
        let is_too_long = |wait_us: u64| {
            let start_us = now_us + wait_us;
            wait_us > timeout_us || start_us + run_us > deadline_us || start_us > call.objective_start_by_us
        };
        match () {
            () if rate_wait_us > 0 && is_too_long(rate_wait_us) => Some(DeclineReason::RateLimited),
            () if is_too_long(wait_us) => Some(DeclineReason::Full),
            () => None,
        }
    }

    /// Returns how long a call that is not deferred waits for a slot.
    fn slot_wait_us(&self, call: &Waiting, now_us: u64) -> u64 {
        let limit = usize::from(self.limit(now_us).max(1));
        if self.running.len() + self.waiting.len() < limit {
            return 0;
        }
        // The first slot to become free goes to the first waiting call, and short runs free their slots sooner.
        let ahead = self.waiting.iter().filter(|other| other.priority <= call.priority);
        let ahead_us: u64 = ahead.map(|other| other.run_us).sum();
        (self.service_us as u64 + ahead_us) / limit as u64
    }

    /// Returns whether the machine's speed must be requested because calls wait for the end of a slow episode.
    pub fn needs_episode_update(&self, now_us: u64) -> bool {
        now_us >= self.speed.next_request_us() && self.waiting.iter().any(|waiting| self.is_deferred(waiting, now_us))
    }

    pub(super) fn is_deferred(&self, waiting: &Waiting, now_us: u64) -> bool {
        // A server that limits its rate gets no requests for the machine's speed, which would show the end of the wait.
        self.rate_limit.rate_per_s().is_none() && self.speed.is_better_deferred(waiting.work_us, now_us)
    }

    /// Returns whether an attempt that may crash the server has to wait for another one that runs.
    fn waits_for_suspect(&self, attempt: AttemptId) -> bool {
        self.suspects.contains(&attempt) && self.suspects.iter().any(|other| self.running.contains_key(other))
    }

    /// Declines attempts whose wait is over, and attempts that wait for a stalled server.
    pub(super) fn leave_queue(&mut self, now_us: u64, out: &mut Vec<GateAction>) {
        if self.waiting.is_empty() {
            return;
        }
        let stalled = self.config.rescue && self.stalled(now_us);
        let mut kept = 0;
        while kept < self.waiting.len() {
            let waiting = self.waiting[kept];
            let reason = match () {
                () if now_us >= waiting.leave_at_us => DeclineReason::Full,
                () if self.starts_too_late_by_rate(kept, now_us) => DeclineReason::RateLimited,
                () if stalled && waiting.patience != QueueTimeout::Last => DeclineReason::Stalled,
                () => {
                    kept += 1;
                    continue;
                }
            };
            self.waiting.remove(kept);
            self.decline(waiting.attempt, reason, now_us, out);
        }
    }

    /// Returns whether the call at `position` of the queue starts too late because of a rate limit that was lowered, or
    /// of calls that have overtaken it.
    fn starts_too_late_by_rate(&self, position: usize, now_us: u64) -> bool {
        let waiting = &self.waiting[position];
        let start_us = now_us + self.rate_limit.wait_us(position, now_us);
        self.rate_limit.rate_per_s().is_some() && start_us > waiting.leave_at_us.min(waiting.objective_start_by_us)
    }

    /// Starts waiting calls while slots are free, except for deferred ones.
    pub(super) fn start_waiting(&mut self, now_us: u64, out: &mut Vec<GateAction>) {
        while let Some(next) = self.next_start(now_us) {
            let Some(waiting) = self.waiting.remove(next) else {
                return;
            };
            if now_us >= waiting.deadline_start_by_us() {
                self.decline(waiting.attempt, DeclineReason::Full, now_us, out);
                continue;
            }
            self.progress.record_start(now_us);
            self.cold.record_ranked_start(waiting.priority, now_us);
            self.over_limit += u64::from(!self.rate_limit.record_start(now_us));
            self.shares.start(waiting.attempt, waiting.run_us, now_us);
            let busy = self.running.len() as u16 + 1;
            self.running.insert(waiting.attempt, Running { started_us: now_us, busy });
            out.push(GateAction::Start { attempt: waiting.attempt });
        }
    }
}
