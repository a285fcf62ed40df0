//! State machine of the gate, without I/O.

mod queue;

use std::collections::{HashMap, HashSet, VecDeque};

use super::account_share::AccountShares;
use super::cold::{ColdBound, ColdRule};
use super::limit::ConcurrencyLimit;
use super::message::{
    AttemptId, CancelResult, DeclineReason, GateAction, GateEvent, LoadReport, Objective, QueueTimeout, RunTimes,
};
use super::outage::Outage;
use super::progress::Progress;
use super::rate_limit::RateLimit;
use super::speed::Speed;
use super::speed_estimate::history_weight;

/// How long the result of an ended or cancelled attempt is kept.
///
/// It must exceed the idle timeout of a link (three seconds), since no copy of a frame arrives later than that.
pub const RESULT_RETENTION_US: u64 = 6_000_000;
/// Divisor that gives the weight of the newest sample in the smoothed service time.
const SMOOTHING: i64 = 16;
/// Service time assumed before the first sample.
const FIRST_SERVICE_US: i64 = 2_000;
/// A failed call counts as this many times the smoothed service time, so that a server that fails immediately never
/// appears idle.
const FAILURE_PENALTY: i64 = 4;

/// Divisor that gives the spare time that a queued call must have at its start, as a part of its expected duration:
/// runs of one route differ by a third, and a busy machine adds to that.
const MARGIN_SHARE: u64 = 2;
/// Divisor that caps the spare time at a part of the time that the call could wait, so that a call with a short
/// deadline still starts if it can start at once.
const MARGIN_WAIT_SHARE: u64 = 2;

/// Limits of a gate, from the bundle in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateConfig {
    /// Calls that the server runs at once.
    pub slots: u16,
    /// Longest wait for a slot.
    pub queue_max_us: u64,
    /// Time over which the slots of a cold server are gradually opened.
    pub ramp_us: u64,
    /// Whether waiting calls are declined when the server stalls.
    pub rescue: bool,
    /// Whether slots are left free if a full server is slower than one with some free slots.
    pub learn_limit: bool,
    /// How many calls the server supports while it is cold.
    pub cold: ColdRule,
}

impl Default for GateConfig {
    fn default() -> Self {
        Self { slots: 8, queue_max_us: 50_000, ramp_us: 0, rescue: true, learn_limit: false, cold: ColdRule::default() }
    }
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    attempt: AttemptId,
    deadline_us: u64,
    leave_at_us: u64,
    patience: QueueTimeout,
    priority: u8,
    /// Latest start at which the run should still end within its objective.
    objective_start_by_us: u64,
    /// Expected duration of the run on this server.
    run_us: u64,
    /// Expected duration of the run on an average server; zero if unknown.
    work_us: u64,
    /// Spare time that the run must have when it starts.
    margin_us: u64,
    /// Time from which on the call leaves the queue if calls of a higher rank have overtaken it.
    overtaken_leave_at_us: u64,
}

impl Waiting {
    /// Returns the spare time that a run must have at its start, for a call with `left_us` to its deadline.
    fn margin_us(work_us: u64, left_us: u64) -> u64 {
        (work_us / MARGIN_SHARE).min(left_us.saturating_sub(work_us) / MARGIN_WAIT_SHARE)
    }

    /// Returns the time from which on a run would probably miss its deadline even on an average server.
    ///
    /// A run that starts with no time left is cut off and ends as "may have run", although declining the call would
    /// have been correct and in time. That affects callers whose work is not repeatable. A soak test showed two such
    /// calls: one waited 0.96 s and ran for its last 4 ms, and one started on a busy machine with 1 ms more than its
    /// expected duration left, and was cut off.
    fn deadline_start_by_us(&self) -> u64 {
        self.deadline_us.saturating_sub(self.work_us + self.margin_us)
    }
}

#[derive(Debug, Clone, Copy)]
struct Running {
    started_us: u64,
    /// Calls that were running when it started, including itself.
    busy: u16,
}

#[derive(Debug, Clone, Copy)]
struct StoredResult {
    /// Result that a cancellation of the attempt returns.
    result: CancelResult,
    until_us: u64,
}

/// State of the gate in front of one server.
///
/// The gate never lets more than `slots` attempts run, starts no attempt twice, and never starts an attempt for which
/// it has returned [`CancelResult::NeverStarted`] or a [`GateAction::Bounce`].
#[derive(Debug)]
pub struct Gate {
    config: GateConfig,
    opened_us: u64,
    leaving: bool,
    running: HashMap<AttemptId, Running>,
    waiting: VecDeque<Waiting>,
    results: HashMap<AttemptId, StoredResult>,
    expirations: VecDeque<(u64, AttemptId)>,
    service_us: i64,
    progress: Progress,
    speed: Speed,
    learned: ConcurrencyLimit,
    cold: ColdBound,
    rate_limit: RateLimit,
    /// Starts beyond the rate limit that were not drained yet.
    over_limit: u64,
    outage: Outage,
    /// Whether the server's failure domain is evacuated.
    evacuated: bool,
    /// Whether the bundle in force lacks the server's service.
    removed: bool,
    /// Attempts, waiting or running, that may crash the server.
    suspects: HashSet<AttemptId>,
    shares: AccountShares,
}

impl Gate {
    /// Opens a gate for a server that is cold at `now_us`.
    pub fn new(config: GateConfig, now_us: u64) -> Self {
        Self {
            config,
            opened_us: now_us,
            leaving: false,
            running: HashMap::with_capacity(64),
            waiting: VecDeque::with_capacity(64),
            results: HashMap::with_capacity(1024),
            expirations: VecDeque::with_capacity(1024),
            service_us: FIRST_SERVICE_US,
            progress: Progress::new(now_us),
            speed: Speed::default(),
            learned: ConcurrencyLimit::default(),
            cold: ColdBound::new(now_us),
            rate_limit: RateLimit::default(),
            over_limit: 0,
            outage: Outage::default(),
            evacuated: false,
            removed: false,
            suspects: HashSet::new(),
            shares: AccountShares::default(),
        }
    }

    /// Applies new limits; calls that already run are not affected.
    pub fn configure(&mut self, config: GateConfig) {
        self.cold.configure(config.cold);
        self.config = config;
    }

    /// Sets the number of calls that the server runs at once, as announced by the server.
    pub fn set_slots(&mut self, slots: u16) {
        self.config.slots = slots;
    }

    /// Returns how many calls may run at once at `now_us`; a cold server starts with one slot.
    pub fn limit(&self, now_us: u64) -> u16 {
        let slots = match self.config.learn_limit {
            true => self.learned.limit(self.config.slots, now_us),
            false => self.config.slots,
        };
        let slots = self.rate_limit.unconfirmed_calls_max().map_or(slots, |calls_max| slots.min(calls_max));
        let age_us = now_us.saturating_sub(self.opened_us);
        if age_us >= self.config.ramp_us {
            return slots;
        }
        let ramped = u64::from(slots) * age_us / self.config.ramp_us;
        (ramped as u16).max(1).min(slots)
    }

    /// Returns the load at `now_us`.
    pub fn load(&self, now_us: u64) -> LoadReport {
        let in_flight = self.running.len() as u16;
        let limit = match self.remaining_starts(now_us) {
            // A check whether the upstream limits its rate ends soon, usually before this report arrives.
            None => self.limit(now_us).max(1),
            // No start is left, so the end of a run does not allow another one.
            Some(0) => 0,
            // Slots that may not be filled now do not count as free.
            Some(left) => self.limit(now_us).min(in_flight.saturating_add(left as u16)),
        };
        let start_delay_us = self.rate_limit.start_delay_us(self.waiting.len(), now_us);
        let mut load = LoadReport {
            limit,
            in_flight,
            queued: self.waiting.len() as u16,
            service_us: self.reported_service_us(now_us) as u32,
            stalled: self.stalled(now_us),
            leaving: self.leaving,
            start_delay_ms: start_delay_us.div_ceil(1000) as u16,
            ..LoadReport::default()
        };
        self.speed.report(&mut load, now_us, self.idle_us(now_us));
        load
    }

    /// Returns how many calls may start now regardless of slots; `None` if starts are not limited.
    fn remaining_starts(&self, now_us: u64) -> Option<usize> {
        let by_rate = self.rate_limit.remaining(now_us).map(|left| left as usize);
        [self.cold.remaining(now_us), by_rate].into_iter().flatten().min()
    }

    /// Returns whether a call of `rank` may start now regardless of slots.
    fn may_start_by_rate(&self, rank: u8, now_us: u64) -> bool {
        self.cold.remaining_for(rank, now_us) != Some(0) && self.rate_limit.remaining(now_us) != Some(0)
    }

    /// Returns how long the call of `rank` behind `ahead` others waits for a start, regardless of slots.
    fn start_wait_us(&self, rank: u8, ahead: usize, now_us: u64) -> u64 {
        self.cold.wait_for_us(rank, ahead, now_us).max(self.rate_limit.wait_us(ahead, now_us))
    }

    /// Returns for how long nothing has run.
    fn idle_us(&self, now_us: u64) -> u64 {
        if self.running.is_empty() { now_us.saturating_sub(self.progress.last_end_us) } else { 0 }
    }

    /// Returns the service time that is reported to entries. An old measurement fades, since a server that was slow
    /// once would otherwise receive no call that could show a better time.
    fn reported_service_us(&self, now_us: u64) -> i64 {
        let over_us = (self.service_us - FIRST_SERVICE_US).max(0) as f64;
        let faded_us = (over_us * history_weight(self.idle_us(now_us))) as i64;
        self.service_us.min(FIRST_SERVICE_US + faded_us)
    }

    /// Records the slowdown that the server's machine reported.
    pub fn on_slowdown_reported(&mut self, slowdown_percent: u16, now_us: u64) {
        self.speed.record_slowdown(slowdown_percent, now_us);
    }

    /// Sets the end of the period in which the server is cold.
    pub fn set_cold(&mut self, until_us: u64, now_us: u64) {
        self.speed.set_cold_until(until_us, now_us);
        self.cold.set_until(until_us);
    }

    /// Returns the end of the period in which the server is cold.
    pub fn cold_until_us(&self) -> u64 {
        self.cold.until_us()
    }

    /// Returns the rate limit that the server requests.
    pub fn rate_limit(&mut self) -> &mut RateLimit {
        &mut self.rate_limit
    }

    /// Returns the shares of client accounts, which have no effect without accounts.
    pub fn shares(&mut self) -> &mut AccountShares {
        &mut self.shares
    }

    /// Returns the number of starts beyond the rate limit since the last call of this function.
    pub fn drain_over_limit(&mut self) -> u64 {
        std::mem::take(&mut self.over_limit)
    }

    /// Returns whether the server is known to have started no earlier than this node.
    pub fn is_new_start(&self) -> bool {
        self.cold.is_new_start()
    }

    /// Discards the speed that was learned while the server was cold.
    pub fn warmed_up(&mut self) {
        self.speed.warmed_up();
    }

    /// Records that the server answered a health check.
    pub fn on_health_check_answered(&mut self) {
        self.outage.clear();
    }

    /// Marks an attempt that is about to arrive as one that may crash the server. No two such attempts run at once, so
    /// that a crash identifies the attempt that caused it.
    pub fn suspect(&mut self, attempt: AttemptId) {
        self.suspects.insert(attempt);
    }

    /// Records that the machine's speed was requested.
    pub fn on_speed_requested(&mut self, now_us: u64) {
        self.speed.record_request(now_us);
    }

    /// Records that a request for the machine's speed got no answer in time.
    pub fn on_speed_request_unanswered(&mut self) {
        self.speed.record_no_answer();
    }

    /// Records that the machine answered a request for its speed without reporting one.
    pub fn on_no_load_reported(&mut self) {
        self.speed.record_no_load();
    }

    /// Returns the factor by which the machine is slowed at `now_us`, according to its last report.
    pub fn slowdown(&self, now_us: u64) -> f64 {
        self.speed.slowdown(now_us)
    }

    /// Returns the machine's slowdown in hundredths if it was reported recently, otherwise zero.
    pub fn told_percent(&self, now_us: u64) -> u16 {
        self.speed.recent_slowdown_percent(now_us)
    }

    /// Returns how long a run would have taken on a machine at full speed, given the machine's slowdown at its start
    /// and its end.
    pub fn unslowed_us(&self, ran_us: u64, start: f64, end: f64) -> u64 {
        self.speed.unslowed_us(ran_us, start, end)
    }

    /// Records the duration of a run that is about to end.
    pub fn ran(&mut self, attempt: AttemptId, times: RunTimes, healthy: bool) {
        self.speed.record_run(times, healthy);
        let Some(running) = self.running.get(&attempt) else {
            return;
        };
        if healthy && times.work_us > 0 {
            let busy = (usize::from(running.busy) + self.running.len()).div_ceil(2) as u16;
            self.learned.record_run(times.unslowed_us as f64 / times.work_us as f64, busy, self.config.slots);
        }
    }

    /// Returns whether attempts wait for a start.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns whether the gate is closed because the server leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns whether nothing runs and nothing waits.
    pub fn idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns when the gate next needs a [`GateEvent::Tick`], if at all.
    pub fn next_tick_us(&self, now_us: u64) -> Option<u64> {
        if self.waiting.is_empty() {
            return None;
        }
        let expiry = self.waiting.iter().map(|waiting| waiting.leave_at_us).min()?;
        let stall = self.stalls_at_us().filter(|_| self.config.rescue);
        let free = self.running.len() < usize::from(self.limit(now_us));
        // Calls that wait only because the server is cold need no report of the machine's speed.
        let deferred = free && self.waiting.iter().any(|waiting| self.is_deferred(waiting, now_us));
        let ask = deferred.then(|| self.speed.next_request_us());
        let first_rank = self.waiting.front().map_or(0, |waiting| waiting.priority);
        let start = (free && !self.may_start_by_rate(first_rank, now_us))
            .then(|| now_us + self.start_wait_us(first_rank, 0, now_us));
        [stall, ask, start].into_iter().flatten().fold(expiry, u64::min).into()
    }

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, event: GateEvent, now_us: u64, out: &mut Vec<GateAction>) {
        self.expire(now_us);
        match event {
            GateEvent::Arrive { .. } => self.arrive(event, now_us, out),
            GateEvent::Done { attempt, healthy } => self.done(attempt, healthy, now_us),
            GateEvent::Refused { attempt, reason } => self.refused(attempt, reason, now_us, out),
            GateEvent::Cancel { attempt } => self.cancel(attempt, now_us, out),
            GateEvent::Tick => {}
            GateEvent::Drain => self.drain(now_us, out),
            GateEvent::Evacuate => self.evacuate(now_us, out),
            GateEvent::Return { cold_until_us } => self.return_to_service(cold_until_us),
            GateEvent::Remove => self.remove(now_us, out),
            GateEvent::Restore => self.removed = false,
            GateEvent::Open => self.open(now_us),
            // Deadlines kept running during the suspension, and the entries have abandoned these attempts. Running
            // attempts were paused with the server and end normally.
            GateEvent::Resumed => self.decline_all(DeclineReason::NotReady, now_us, out),
        }
        self.leave_queue(now_us, out);
        self.start_waiting(now_us, out);
    }

    /// Returns whether the machine's speed must be requested before a run of `work_us` is admitted. A gate that admits
    /// no run needs none, and a server that limits its rate gets no requests besides calls.
    pub fn needs_speed_update(&self, work_us: u64, now_us: u64) -> bool {
        self.closed_reason(now_us).is_none()
            && self.rate_limit.rate_per_s().is_none()
            && self.running.len() < usize::from(self.config.slots)
            && self.speed.needs_report(work_us, now_us)
    }

    /// Returns the expected duration of a run: by its route if that is known, otherwise the average of this server.
    fn run_us(&self, objective: Option<Objective>, now_us: u64) -> u64 {
        match objective {
            Some(objective) if objective.work_us > 0 => {
                self.speed.estimate(now_us).expected_us(objective.work_us) as u64
            }
            Some(_) | None => self.service_us as u64,
        }
    }

    fn done(&mut self, attempt: AttemptId, healthy: bool, now_us: u64) {
        self.suspects.remove(&attempt);
        let Some(Running { started_us, .. }) = self.running.remove(&attempt) else {
            return;
        };
        self.shares.end(attempt, now_us.saturating_sub(started_us), now_us);
        self.store_result(attempt, CancelResult::Started, now_us);
        self.progress.record_end(self.running.len(), now_us);
        if healthy {
            self.outage.clear();
        }
        let mut sample_us = now_us.saturating_sub(started_us) as i64;
        if !healthy {
            sample_us = sample_us.max(self.service_us.saturating_mul(FAILURE_PENALTY).min(1_000_000));
        }
        let off_us = sample_us - self.service_us;
        self.service_us = (self.service_us + off_us / SMOOTHING).max(1);
    }

    fn refused(&mut self, attempt: AttemptId, reason: DeclineReason, now_us: u64, out: &mut Vec<GateAction>) {
        if self.running.remove(&attempt).is_none() {
            return;
        }
        self.shares.end(attempt, 0, now_us);
        self.progress.record_end(self.running.len(), now_us);
        self.decline(attempt, reason, now_us, out);
        if reason == DeclineReason::Refused && self.outage.record_refusal(now_us) {
            self.decline_all(DeclineReason::NotReady, now_us, out);
        }
    }

    fn cancel(&mut self, attempt: AttemptId, now_us: u64, out: &mut Vec<GateAction>) {
        let result = match self.running.contains_key(&attempt) {
            true => Some(CancelResult::Started),
            false => self.results.get(&attempt).map(|stored| stored.result),
        };
        if let Some(result @ (CancelResult::Started | CancelResult::Rejected)) = result {
            out.push(GateAction::ReportCancel { attempt, result });
            return;
        }
        if let Some(at) = self.waiting.iter().position(|waiting| waiting.attempt == attempt) {
            self.waiting.remove(at);
            out.push(GateAction::Bounce { attempt, reason: DeclineReason::Cancelled });
        }
        self.store_result(attempt, CancelResult::NeverStarted, now_us);
        out.push(GateAction::ReportCancel { attempt, result: CancelResult::NeverStarted });
    }

    fn open(&mut self, now_us: u64) {
        if self.leaving {
            // The speed of an earlier start does not apply to the new one.
            self.speed = Speed::default();
            self.learned = ConcurrencyLimit::default();
        }
        self.leaving = false;
        self.outage.clear();
        self.opened_us = now_us;
        self.speed.assume_variable(now_us);
    }

    fn drain(&mut self, now_us: u64, out: &mut Vec<GateAction>) {
        self.leaving = true;
        self.decline_all(DeclineReason::Leaving, now_us, out);
    }

    fn evacuate(&mut self, now_us: u64, out: &mut Vec<GateAction>) {
        self.evacuated = true;
        self.decline_all(DeclineReason::Evacuated, now_us, out);
    }

    fn remove(&mut self, now_us: u64, out: &mut Vec<GateAction>) {
        self.removed = true;
        self.decline_all(DeclineReason::ServiceRemoved, now_us, out);
    }

    fn return_to_service(&mut self, cold_until_us: u64) {
        self.evacuated = false;
        // The learned speed still applies; only the number of calls that the server supports is uncertain.
        self.cold.set_until(cold_until_us.max(self.cold.until_us()));
    }

    /// Declines all waiting attempts.
    fn decline_all(&mut self, reason: DeclineReason, now_us: u64, out: &mut Vec<GateAction>) {
        while let Some(waiting) = self.waiting.pop_front() {
            self.decline(waiting.attempt, reason, now_us, out);
        }
    }

    fn stalls_at_us(&self) -> Option<u64> {
        self.progress.stalls_at_us(self.service_us as u64)
    }

    fn stalled(&self, now_us: u64) -> bool {
        !self.running.is_empty() && self.stalls_at_us().is_some_and(|at_us| now_us >= at_us)
    }

    fn holds(&self, attempt: AttemptId) -> bool {
        self.running.contains_key(&attempt) || self.waiting.iter().any(|waiting| waiting.attempt == attempt)
    }

    fn decline(&mut self, attempt: AttemptId, reason: DeclineReason, now_us: u64, out: &mut Vec<GateAction>) {
        // An entry that loses this reply with its link asks again, and must count a rejected attempt against its
        // budget.
        if reason == DeclineReason::RateLimited {
            self.rate_limit.record_decline(now_us);
        }
        let rejected = reason == DeclineReason::Rejected;
        let result = if rejected { CancelResult::Rejected } else { CancelResult::NeverStarted };
        self.store_result(attempt, result, now_us);
        out.push(GateAction::Bounce { attempt, reason });
    }

    fn store_result(&mut self, attempt: AttemptId, result: CancelResult, now_us: u64) {
        self.suspects.remove(&attempt);
        self.shares.leave(attempt);
        let until_us = now_us + RESULT_RETENTION_US;
        self.results.insert(attempt, StoredResult { result, until_us });
        self.expirations.push_back((until_us, attempt));
    }

    fn expire(&mut self, now_us: u64) {
        while let Some(&(until_us, attempt)) = self.expirations.front() {
            if until_us > now_us {
                return;
            }
            self.expirations.pop_front();
            if self.results.get(&attempt).is_some_and(|stored| stored.until_us <= now_us) {
                self.results.remove(&attempt);
            }
        }
    }
}
