//! Pure decisions of the gate.

mod queue;

pub(super) use queue::INTERNAL_PRIORITY;

use std::collections::{HashMap, HashSet, VecDeque};

use super::cold::{ColdBound, ColdRule};
use super::limit::ConcurrencyLimit;
use super::message::{
    AttemptId, BounceReason, CancelResult, GateAction, GateEvent, LoadReport, Objective, Patience, RunTimes,
};
use super::outage::Outage;
use super::pace::fading;
use super::progress::Progress;
use super::speed::Speed;

/// How long an ended or cancelled attempt is remembered, in microseconds.
///
/// It must outlast the idle timeout of a link (three seconds), since no copy of a frame comes later
/// than that.
pub const MEMORY_US: u64 = 6_000_000;
/// Weight of the newest sample in the smoothed service time, as a divisor.
const SMOOTHING: i64 = 16;
/// Service time assumed before the first sample, in microseconds.
const FIRST_SERVICE_US: i64 = 2_000;
/// A failed call counts as this many times the smoothed service time, so that a server that
/// fails at once never looks idle.
const FAILURE_PENALTY: i64 = 4;

/// A call that waits is begun only with this part of its usual time to spare, as a divisor: runs of one
/// route differ by a third, and a busy machine adds to them.
const MARGIN_SHARE: u64 = 2;
/// It may cost a call at most this part of the time that it could wait, as a divisor: one with a short
/// deadline is begun where it can be begun at once.
const MARGIN_WAIT_SHARE: u64 = 2;

/// Limits of a gate, from the bundle in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateConfig {
    /// Calls that the server runs at once.
    pub slots: u16,
    /// Longest wait for a slot, in microseconds.
    pub queue_max_us: u64,
    /// Time over which a cold server is brought up to all its slots, in microseconds.
    pub ramp_us: u64,
    /// Whether waiting calls are given back when the server stalls.
    pub rescue: bool,
    /// Whether slots are left free where a full server is slower than one with some free.
    pub learn_limit: bool,
    /// How many calls the server bears while it is cold.
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
    patience: Patience,
    priority: u8,
    /// Latest start at which its run should still end within its objective, in microseconds.
    in_time_by_us: u64,
    /// What its run is expected to take, in microseconds.
    run_us: u64,
    /// What it should take on a usual server, in microseconds; zero when unknown.
    work_us: u64,
    /// Time that its run is to have to spare when it is begun, in microseconds.
    margin_us: u64,
}

impl Waiting {
    /// Returns the time that a run is to have to spare of a call that comes with `left_us` to its deadline.
    fn margin_us(work_us: u64, left_us: u64) -> u64 {
        (work_us / MARGIN_SHARE).min(left_us.saturating_sub(work_us) / MARGIN_WAIT_SHARE)
    }

    /// Returns from when on its run could hardly end before the deadline even on a usual server.
    ///
    /// Guards callers whose work may not repeat: a run that is begun with no time left is cut, and
    /// ends as "may have run" where giving it back is true and in time. Found by the soak: a call that
    /// waited 0.96 s and ran its last 4 ms, and one that was begun 1 ms before its usual time was left, on
    /// a busy machine, and cut.
    fn start_by_us(&self) -> u64 {
        self.deadline_us.saturating_sub(self.work_us + self.margin_us)
    }
}

#[derive(Debug, Clone, Copy)]
struct Running {
    started_us: u64,
    /// Calls that ran when it started, itself included.
    busy: u16,
}

#[derive(Debug, Clone, Copy)]
struct Memory {
    /// What is said of the attempt when it is cancelled.
    result: CancelResult,
    until_us: u64,
}

/// State of the gate before one server.
///
/// The gate never lets more than `slots` attempts run, starts no attempt twice, and never starts
/// one of which it has said [`CancelResult::NeverStarted`] or given a [`GateAction::Bounce`].
#[derive(Debug)]
pub struct Gate {
    config: GateConfig,
    opened_us: u64,
    leaving: bool,
    running: HashMap<AttemptId, Running>,
    waiting: VecDeque<Waiting>,
    memory: HashMap<AttemptId, Memory>,
    forget: VecDeque<(u64, AttemptId)>,
    service_us: i64,
    progress: Progress,
    speed: Speed,
    learned: ConcurrencyLimit,
    cold: ColdBound,
    outage: Outage,
    /// Whether the server's failure domain is evacuated.
    evacuated: bool,
    /// Attempts, waiting or running, that may crash the server.
    suspects: HashSet<AttemptId>,
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
            memory: HashMap::with_capacity(1024),
            forget: VecDeque::with_capacity(1024),
            service_us: FIRST_SERVICE_US,
            progress: Progress::new(now_us),
            speed: Speed::default(),
            learned: ConcurrencyLimit::default(),
            cold: ColdBound::new(now_us),
            outage: Outage::default(),
            evacuated: false,
            suspects: HashSet::new(),
        }
    }

    /// Takes new limits; calls that already run are let finish.
    pub fn configure(&mut self, config: GateConfig) {
        self.cold.configure(config.cold);
        self.config = config;
    }

    /// Takes how many calls the server runs at once, as it says itself.
    pub fn set_slots(&mut self, slots: u16) {
        self.config.slots = slots;
    }

    /// Returns how many calls may run at once at `now_us`; a cold server starts with one slot.
    pub fn limit(&self, now_us: u64) -> u16 {
        let slots = match self.config.learn_limit {
            true => self.learned.limit(self.config.slots, now_us),
            false => self.config.slots,
        };
        let age_us = now_us.saturating_sub(self.opened_us);
        if age_us >= self.config.ramp_us {
            return slots;
        }
        let ramped = u64::from(slots) * age_us / self.config.ramp_us;
        (ramped as u16).max(1)
    }

    /// Returns the load as it stands at `now_us`.
    pub fn load(&self, now_us: u64) -> LoadReport {
        let in_flight = self.running.len() as u16;
        let limit = match self.cold.left(now_us) {
            None => self.limit(now_us),
            // Whatever runs, no end of a run makes room for the next one.
            Some(0) => 0,
            // Slots of a cold server that may not be filled now are no room.
            Some(left) => self.limit(now_us).min(in_flight.saturating_add(left as u16)),
        };
        let mut load = LoadReport {
            limit,
            in_flight,
            queued: self.waiting.len() as u16,
            service_us: self.reported_service_us(now_us) as u32,
            stalled: self.stalled(now_us),
            leaving: self.leaving,
            ..LoadReport::default()
        };
        self.speed.report(&mut load, now_us, self.idle_us(now_us));
        load
    }

    /// Returns for how long nothing has run.
    fn idle_us(&self, now_us: u64) -> u64 {
        if self.running.is_empty() { now_us.saturating_sub(self.progress.last_us) } else { 0 }
    }

    /// Returns the service time as it is told to entries: what was seen long ago fades, or a server
    /// that was slow once would get no call any more that could show otherwise.
    fn reported_service_us(&self, now_us: u64) -> i64 {
        let over_us = (self.service_us - FIRST_SERVICE_US).max(0) as f64;
        let faded_us = (over_us * fading(self.idle_us(now_us))) as i64;
        self.service_us.min(FIRST_SERVICE_US + faded_us)
    }

    /// Takes what the server's machine tells of its speed.
    pub fn told(&mut self, slowdown_percent: u16, now_us: u64) {
        self.speed.told(slowdown_percent, now_us);
    }

    /// Takes until when the server is cold.
    pub fn set_cold(&mut self, until_us: u64, now_us: u64) {
        self.speed.cold(until_us, now_us);
        self.cold.set_until(until_us);
    }

    /// Returns until when the server is cold, in microseconds.
    pub fn cold_until_us(&self) -> u64 {
        self.cold.until_us()
    }

    /// Takes note that the server is not slow from its start any more.
    pub fn warmed_up(&mut self) {
        self.speed.warmed_up();
    }

    /// Takes note that the server answered a health check.
    pub fn answered(&mut self) {
        self.outage.over();
    }

    /// Says of an attempt that is about to arrive that it may crash the server: no two such attempts run at
    /// once, so that a crash tells which of them it was.
    pub fn suspect(&mut self, attempt: AttemptId) {
        self.suspects.insert(attempt);
    }

    /// Notes that the machine is asked for its speed.
    pub fn asked(&mut self, now_us: u64) {
        self.speed.asked(now_us);
    }

    /// Takes note that the machine was asked for its speed and gave no answer in time.
    pub fn unanswered(&mut self) {
        self.speed.unanswered();
    }

    /// Takes note that the machine was asked for its speed and told nothing.
    pub fn told_nothing(&mut self) {
        self.speed.told_nothing();
    }

    /// Returns the factor by which the machine is slowed at `now_us`, as far as it has told.
    pub fn slowdown(&self, now_us: u64) -> f64 {
        self.speed.slowdown(now_us)
    }

    /// Returns the same in hundredths where the machine told it a moment ago; zero elsewhere.
    pub fn told_percent(&self, now_us: u64) -> u16 {
        self.speed.told_percent(now_us)
    }

    /// Returns how long a run had taken on a machine at full speed that was slowed by these factors
    /// at its start and its end, in microseconds.
    pub fn unslowed_us(&self, ran_us: u64, start: f64, end: f64) -> u64 {
        self.speed.unslowed_us(ran_us, start, end)
    }

    /// Takes how long a run took that is about to end.
    pub fn ran(&mut self, attempt: AttemptId, times: RunTimes, healthy: bool) {
        self.speed.ran(times, healthy);
        let Some(running) = self.running.get(&attempt) else {
            return;
        };
        if healthy && times.work_us > 0 {
            let busy = (usize::from(running.busy) + self.running.len()).div_ceil(2) as u16;
            self.learned.ran(times.unslowed_us as f64 / times.work_us as f64, busy, self.config.slots);
        }
    }

    /// Returns whether nothing runs and nothing waits.
    pub fn idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns when the gate next needs a [`GateEvent::Tick`], if it does.
    pub fn next_tick_us(&self, now_us: u64) -> Option<u64> {
        if self.waiting.is_empty() {
            return None;
        }
        let leave = self.waiting.iter().map(|w| w.leave_at_us).min()?;
        let stall = self.stalls_at_us().filter(|_| self.config.rescue);
        let free = self.running.len() < usize::from(self.limit(now_us));
        // Calls that wait for a cold server have nothing to ask its machine.
        let held_back = free && self.waiting.iter().any(|waiting| self.is_held_back(waiting, now_us));
        let ask = held_back.then(|| self.speed.ask_again_us());
        let start = (free && self.cold.left(now_us) == Some(0)).then(|| now_us + self.cold.wait_us(0, now_us));
        [stall, ask, start].into_iter().flatten().fold(leave, u64::min).into()
    }

    /// Takes one event and appends what must be done to `out`.
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
            GateEvent::Open => self.open(now_us),
            // Their deadlines went on, and whoever sent them has given them up; what runs stood still with
            // the server and ends as it would have.
            GateEvent::Resumed => self.give_all_back(BounceReason::NotReady, now_us, out),
        }
        self.leave_queue(now_us, out);
        self.start_waiting(now_us, out);
    }

    /// Returns whether the machine's speed is to be asked for before a run of `work_us` is let in; not where
    /// none is.
    pub fn wants_news(&self, work_us: u64, now_us: u64) -> bool {
        self.closed_for(now_us).is_none()
            && self.running.len() < usize::from(self.config.slots)
            && self.speed.wants_news(work_us, now_us)
    }

    /// Returns what a run is expected to take: by its route where that is known, else as the runs
    /// of this server did.
    fn run_us(&self, objective: Option<Objective>, now_us: u64) -> u64 {
        match objective {
            Some(objective) if objective.work_us > 0 => self.speed.pace(now_us).expected_us(objective.work_us) as u64,
            Some(_) | None => self.service_us as u64,
        }
    }

    fn done(&mut self, attempt: AttemptId, healthy: bool, now_us: u64) {
        self.suspects.remove(&attempt);
        let Some(Running { started_us, .. }) = self.running.remove(&attempt) else {
            return;
        };
        self.remember(attempt, CancelResult::Started, now_us);
        self.progress.ended(self.running.len(), now_us);
        if healthy {
            self.outage.over();
        }
        let mut sample_us = now_us.saturating_sub(started_us) as i64;
        if !healthy {
            sample_us = sample_us.max(self.service_us.saturating_mul(FAILURE_PENALTY).min(1_000_000));
        }
        let off_us = sample_us - self.service_us;
        self.service_us = (self.service_us + off_us / SMOOTHING).max(1);
    }

    fn refused(&mut self, attempt: AttemptId, reason: BounceReason, now_us: u64, out: &mut Vec<GateAction>) {
        if self.running.remove(&attempt).is_none() {
            return;
        }
        self.progress.ended(self.running.len(), now_us);
        self.bounce(attempt, reason, now_us, out);
        if reason == BounceReason::Refused && self.outage.refused(now_us) {
            self.give_all_back(BounceReason::NotReady, now_us, out);
        }
    }

    fn cancel(&mut self, attempt: AttemptId, now_us: u64, out: &mut Vec<GateAction>) {
        let known = match self.running.contains_key(&attempt) {
            true => Some(CancelResult::Started),
            false => self.memory.get(&attempt).map(|memory| memory.result),
        };
        if let Some(result @ (CancelResult::Started | CancelResult::Rejected)) = known {
            out.push(GateAction::ReportCancel { attempt, result });
            return;
        }
        if let Some(at) = self.waiting.iter().position(|waiting| waiting.attempt == attempt) {
            self.waiting.remove(at);
            out.push(GateAction::Bounce { attempt, reason: BounceReason::Cancelled });
        }
        self.remember(attempt, CancelResult::NeverStarted, now_us);
        out.push(GateAction::ReportCancel { attempt, result: CancelResult::NeverStarted });
    }

    fn open(&mut self, now_us: u64) {
        if self.leaving {
            // Another start of the server has a speed of its own.
            self.speed = Speed::default();
            self.learned = ConcurrencyLimit::default();
        }
        self.leaving = false;
        self.outage.over();
        self.opened_us = now_us;
        self.speed.opened(now_us);
    }

    fn drain(&mut self, now_us: u64, out: &mut Vec<GateAction>) {
        self.leaving = true;
        self.give_all_back(BounceReason::Leaving, now_us, out);
    }

    fn evacuate(&mut self, now_us: u64, out: &mut Vec<GateAction>) {
        self.evacuated = true;
        self.give_all_back(BounceReason::Evacuated, now_us, out);
    }

    fn return_to_service(&mut self, cold_until_us: u64) {
        self.evacuated = false;
        // Its speed is as it was learned; only how many calls it gets is in doubt.
        self.cold.set_until(cold_until_us.max(self.cold.until_us()));
    }

    /// Gives back all that waits.
    fn give_all_back(&mut self, reason: BounceReason, now_us: u64, out: &mut Vec<GateAction>) {
        while let Some(waiting) = self.waiting.pop_front() {
            self.bounce(waiting.attempt, reason, now_us, out);
        }
    }

    fn stalls_at_us(&self) -> Option<u64> {
        self.progress.stalls_at_us(self.service_us as u64)
    }

    fn stalled(&self, now_us: u64) -> bool {
        !self.running.is_empty() && self.stalls_at_us().is_some_and(|at_us| now_us >= at_us)
    }

    fn knows(&self, attempt: AttemptId) -> bool {
        self.running.contains_key(&attempt) || self.waiting.iter().any(|waiting| waiting.attempt == attempt)
    }

    fn bounce(&mut self, attempt: AttemptId, reason: BounceReason, now_us: u64, out: &mut Vec<GateAction>) {
        // An entry that loses this word with its link asks again, and has to pay for what has arrived.
        let rejected = reason == BounceReason::Rejected;
        let result = if rejected { CancelResult::Rejected } else { CancelResult::NeverStarted };
        self.remember(attempt, result, now_us);
        out.push(GateAction::Bounce { attempt, reason });
    }

    fn remember(&mut self, attempt: AttemptId, result: CancelResult, now_us: u64) {
        self.suspects.remove(&attempt);
        let until_us = now_us + MEMORY_US;
        self.memory.insert(attempt, Memory { result, until_us });
        self.forget.push_back((until_us, attempt));
    }

    fn expire(&mut self, now_us: u64) {
        while let Some(&(until_us, attempt)) = self.forget.front() {
            if until_us > now_us {
                return;
            }
            self.forget.pop_front();
            if self.memory.get(&attempt).is_some_and(|memory| memory.until_us <= now_us) {
                self.memory.remove(&attempt);
            }
        }
    }
}
