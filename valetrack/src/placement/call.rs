//! State machine of one call at its entry, without I/O.
//!
//! Invariants: work that is not repeatable has at most one attempt that may have started; `NotRun` is returned only if
//! each attempt that was sent was declined or has its owner's confirmation that it never starts, which its
//! [`NeverRuns`] proves; exactly one verdict is given.

mod choice;
mod crossing;
mod end;

use super::message::{CallAction, CallEvent, Demand, SendCause, ServerIndex, Verdict, quarantined};
use super::never_runs::{AttemptState, NeverRuns};
use super::repeat::{RetryBudget, RetryGuarantee};
use super::return_plan::{RETURN_LEFT_RUNS, Refusal};
use super::set::ServerSet;
use super::traffic::CallTraffic;
use super::view::ServiceView;
use crate::code::Code;
use crate::gate::{AttemptId, PERMILLE, QueueTimeout};

/// Capacity for the attempts of one call; a call makes fewer.
const MAX_ATTEMPTS: usize = 12;
/// How often owners may decline a call because its utility is higher elsewhere: if machines are slow a third of the
/// time, four slow ones in a row are rare.
const SLOW_DECLINES_MAX: u8 = 4;
/// How often owners in other failure domains may decline a call for lack of room: its traffic is charged each time, and
/// if the own domain is full, others often are too.
const CROSS_DOMAIN_DECLINES_MAX: u8 = 1;
/// Run time assumed for a second run, as a share of the usual time.
const HEDGE_RUN_PERCENT: u64 = 130;
/// Shortest retry delay of a caller.
const RETRY_AFTER_MIN_MS: u32 = 50;
/// Longest retry delay of a caller.
const RETRY_AFTER_MAX_MS: u32 = 1_000;
/// Divisor of the time that a call's objective leaves beyond a run. The quotient is the longest retry delay of its
/// caller.
const RETRY_AFTER_DIVISOR: u64 = 2;

/// Placement rule for the calls of one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallRule {
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// How often owners may decline one call.
    pub bounces: u8,
    /// How often repeatable work is retried after it may have started.
    pub retries: u8,
    /// Delay before a hedge, as a share of the usual service time; none disables hedges.
    pub hedge_after_percent: Option<u32>,
    /// Requirements of the call on its server; none if it has no objective.
    pub demand: Option<Demand>,
}

/// A caller's call, as the plan of returns distinguishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerCall {
    /// Hash of its identifier.
    pub id: u64,
    /// Its priority.
    pub priority: u8,
    /// Time from its arrival to its deadline.
    pub deadline_us: u64,
}

/// Budgets shared by all calls of one service at one entry.
#[derive(Debug, Clone, Copy)]
pub struct Budgets {
    /// Budget of all attempts that may arrive after the first one of their call, except for those charged to `hedge`.
    pub retry: RetryBudget,
    /// Budget of hedges of calls without an objective; none if they are charged to `retry` too.
    pub hedge: Option<RetryBudget>,
    /// Repeats refused for lack of budget that the shell has not counted yet.
    pub refused: RepeatsRefused,
}

impl Budgets {
    /// Creates budgets that have refused nothing yet.
    pub fn new(retry: RetryBudget, hedge: RetryBudget) -> Self {
        Self { retry, hedge: Some(hedge), refused: RepeatsRefused::default() }
    }

    /// Creates an entry's part of a fleet's guarantee at the start of the entry. All repeats are charged to it.
    pub fn of_fleet(guarantee: RetryGuarantee, now_us: u64) -> Self {
        Self { retry: RetryBudget::of_fleet(guarantee, now_us), hedge: None, refused: RepeatsRefused::default() }
    }

    /// Records a call with the chance that it is itself a repeat.
    fn begin(&mut self, repeat_permille: u16, now_us: u64) {
        let repeat = f64::from(repeat_permille) / PERMILLE;
        self.retry.begin(repeat, now_us);
        if let Some(hedge) = &mut self.hedge {
            hedge.begin(repeat, now_us);
        }
    }

    /// Returns whether the retry budget has a repeat left, and counts it as refused otherwise.
    fn has_repeat(&mut self, cause: SendCause, now_us: u64) -> bool {
        let is_left = self.retry.has_left(now_us);
        if !is_left {
            self.refused.count(cause);
        }
        is_left
    }

    /// Charges a repeat that is sent to the retry budget.
    fn charge_repeat(&mut self, now_us: u64) {
        self.retry.charge(now_us);
    }
}

/// Numbers of repeats that were refused for lack of budget, by cause.
#[derive(Debug, Clone, Copy, Default)]
pub struct RepeatsRefused([u64; SendCause::CHARGED.len()]);

impl RepeatsRefused {
    fn count(&mut self, cause: SendCause) {
        if let Some(at) = SendCause::CHARGED.iter().position(|charged| *charged == cause) {
            self.0[at] += 1;
        }
    }

    /// Returns the numbers by cause, and resets them to zero.
    pub fn drain(&mut self) -> impl Iterator<Item = (SendCause, u64)> + use<> {
        let counts = std::mem::take(&mut self.0);
        SendCause::CHARGED.into_iter().zip(counts).filter(|(_, count)| *count > 0)
    }
}

/// State that a call uses while it handles one event.
pub struct CallContext<'a> {
    /// The entry's view of the service.
    pub view: &'a mut ServiceView,
    /// The service's budgets.
    pub budgets: &'a mut Budgets,
    /// Seeded random number generator.
    pub rng: &'a mut fastrand::Rng,
    /// Current time, on this process's monotonic clock.
    pub now_us: u64,
    /// Number of the next attempt.
    pub next_seq: &'a mut u64,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    id: AttemptId,
    server: ServerIndex,
    /// Number of the server's VM.
    vm: u64,
    patience: QueueTimeout,
    state: AttemptState,
}

/// State of one call at its entry.
#[derive(Debug)]
pub struct Call {
    rule: CallRule,
    entry: u64,
    attempts: [Option<Attempt>; MAX_ATTEMPTS],
    count: usize,
    excluded: ServerSet,
    /// Servers excluded from ordinary calls while their service is rolled out.
    rollout_excluded: ServerSet,
    /// Whether a run made the call.
    made_by_run: bool,
    declines_left: u8,
    slow_declines_left: u8,
    cross_domain_declines_left: u8,
    retries_left: u8,
    /// The caller's call that it is; none if a run made it.
    caller: Option<CallerCall>,
    /// Whether its caller has returned after a refusal.
    is_return: bool,
    /// Expected traffic between its entry and its server.
    traffic: CallTraffic,
    /// Whether it was sent to another region.
    has_crossed: bool,
    hedged: bool,
    /// When the call arrived.
    began_us: u64,
    /// Whether an owner declined the call because of a stall, after it had waited in the queue.
    declined_by_stall: bool,
    /// Whether an attempt was sent with the queue timeout of the last resort.
    last_resort: bool,
    past_deadline: bool,
    last_code: Code,
    /// Chance that a repeated run made the call.
    repeat_permille: u16,
    /// Whether a repeat was charged, so that later attempts may arrive after the first one.
    repeat_charged: bool,
    /// The last attempt whose answer reports a failure of the upstream itself.
    failing_answer: Option<AttemptId>,
    /// Cause of the last loss of an attempt that may have run.
    lost_code: Option<Code>,
    finished: bool,
}

impl Call {
    /// Creates a call that waits for [`CallEvent::Begin`].
    pub fn new(rule: CallRule, entry: u64) -> Self {
        Self {
            rule,
            entry,
            attempts: [None; MAX_ATTEMPTS],
            count: 0,
            excluded: ServerSet::default(),
            rollout_excluded: ServerSet::default(),
            declines_left: rule.bounces,
            slow_declines_left: SLOW_DECLINES_MAX,
            cross_domain_declines_left: CROSS_DOMAIN_DECLINES_MAX,
            retries_left: rule.retries,
            caller: None,
            is_return: false,
            traffic: CallTraffic::default(),
            has_crossed: false,
            hedged: false,
            began_us: 0,
            declined_by_stall: false,
            last_resort: false,
            past_deadline: false,
            last_code: Code::NoServer,
            repeat_permille: 0,
            repeat_charged: false,
            made_by_run: false,
            failing_answer: None,
            lost_code: None,
            finished: false,
        }
    }

    /// Sets the chance that a repeated run made the call.
    #[must_use]
    pub fn made_by_repeat(self, repeat_permille: u16) -> Self {
        Self { repeat_permille, ..self }
    }

    /// Sets whether a run made the call. The work of the run is lost with the call, so as many owners as its rule
    /// allows may decline it, however full the service is.
    #[must_use]
    pub fn made_by_run(self, made_by_run: bool) -> Self {
        Self { made_by_run, ..self }
    }

    /// Sets the expected traffic of the call.
    #[must_use]
    pub fn with_traffic(self, traffic: CallTraffic) -> Self {
        Self { traffic, ..self }
    }

    /// Sets the caller's call that it is, so that the return of its caller can be planned.
    #[must_use]
    pub fn of_caller(self, caller: CallerCall) -> Self {
        Self { caller: Some(caller), ..self }
    }

    /// Returns the number of attempts sent.
    pub fn attempts(&self) -> usize {
        self.count
    }

    /// Returns the server of the attempt in flight, if there is exactly one.
    pub fn server_in_flight(&self) -> Option<ServerIndex> {
        let mut sent = self.attempts.iter().flatten().filter(|attempt| attempt.state == AttemptState::Sent);
        let server = sent.next()?.server;
        sent.next().is_none().then_some(server)
    }

    /// Returns whether the verdict was given and no attempt is in flight.
    pub fn closed(&self) -> bool {
        self.finished && self.outstanding() == 0
    }

    /// Returns whether the verdict was given.
    pub fn finished(&self) -> bool {
        self.finished
    }

    /// Closes all attempts in flight, since their results are not needed any more.
    pub fn abandon(&mut self, cx: &mut CallContext<'_>) {
        self.finished = true;
        for at in 0..self.count {
            if let (true, Some(attempt)) = (self.state(at).is_open(), self.attempts[at]) {
                self.close(attempt.id, AttemptState::Lost, cx);
            }
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, event: CallEvent, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        match event {
            CallEvent::Begin => self.begin(cx, out),
            CallEvent::Ran { attempt, healthy } => self.ran(attempt, healthy, cx, out),
            CallEvent::Declined { attempt, reason } => self.declined(attempt, reason, cx, out),
            CallEvent::Failed { attempt, code } => self.failed(attempt, code, cx, out),
            CallEvent::Unsent { attempt } => self.unsent(attempt, cx, out),
            CallEvent::Broken { attempt } => self.broken(attempt, cx, out),
            CallEvent::CancelResult { attempt, result } => self.cancelled(attempt, result, cx, out),
            CallEvent::HedgeDue => self.hedge(cx, out),
            CallEvent::DeadlineDue => self.deadline(cx, out),
        }
    }

    fn begin(&mut self, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        if self.count > 0 || self.finished {
            return;
        }
        self.began_us = cx.now_us;
        cx.budgets.begin(self.repeat_permille, cx.now_us);
        if let (Some(caller), Some(plan)) = (self.caller, cx.view.return_plan()) {
            self.is_return = plan.take_return(caller.id);
        }
        if !self.made_by_run {
            self.declines_left = cx.view.allowed_declines(self.rule.bounces, cx.now_us);
        }
        if self.is_rate_limited(cx) {
            self.last_code = Code::Overloaded;
            self.settle(cx, out);
            return;
        }
        let Some(server) = self.send_first(cx, out) else {
            self.settle(cx, out);
            return;
        };
        if let (true, Some(demand)) = (self.rule.repeatable && self.retries_left > 0, self.rule.demand) {
            // The last moment at which a second run would still end within the objective.
            let run_us = u64::from(demand.work_us) * HEDGE_RUN_PERCENT / 100;
            let after_us = demand.left_us.saturating_sub(run_us).max(demand.work_us.into());
            out.push(CallAction::ArmHedge { after_us });
            return;
        }
        if let (true, Some(percent)) = (self.rule.repeatable, self.rule.hedge_after_percent) {
            let after_us = u64::from(cx.view.service_us(server)) * u64::from(percent) / 100;
            out.push(CallAction::ArmHedge { after_us });
        }
    }

    fn hedge(&mut self, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        let idle = self.finished || self.past_deadline || self.hedged || !self.rule.repeatable;
        if idle || self.outstanding() != 1 || self.count >= MAX_ATTEMPTS {
            return;
        }
        let mut tried = self.excluded.union(self.rejecting_vms(cx));
        for attempt in self.attempts.iter().flatten() {
            tried.insert(attempt.server);
        }
        let Some(server) = self.pick(tried, cx) else {
            return;
        };
        if !self.may_hedge(server, cx) {
            return;
        }
        self.hedged = true;
        self.send(server, QueueTimeout::None, SendCause::Hedge, cx, out);
    }

    fn deadline(&mut self, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        if self.finished || self.past_deadline {
            return;
        }
        self.past_deadline = true;
        self.last_code = Code::DeadlinePassed;
        self.cancel_all(out);
        self.settle(cx, out);
    }

    /// Gives the verdict if no attempt can return an answer any more.
    fn settle(&mut self, cx: &mut CallContext<'_>, out: &mut Vec<CallAction>) {
        if self.finished || self.outstanding() > 0 {
            return;
        }
        let verdict = match (self.failing_answer, self.never_runs()) {
            // The upstream's own failure answer is more useful to the caller than the report that the work may have
            // run.
            (Some(answer), _) => Verdict::Answer(answer),
            (None, Some(proof)) => self.not_run(proof, cx),
            // Events after the loss, such as a full server, are not the reason why the work may have run.
            (None, None) => Verdict::Unknown { code: self.lost_code.unwrap_or(self.last_code) },
        };
        self.finish(verdict, out);
    }

    /// Returns the proof that the call has not run and never will; none if an attempt may have started.
    fn never_runs(&self) -> Option<NeverRuns> {
        NeverRuns::of_attempts(self.attempts.iter().flatten().map(|attempt| attempt.state))
    }

    /// Returns the verdict if the state of the service is missing.
    pub fn verdict_without_service(&self) -> Verdict {
        let code = Code::ServiceUnknown;
        match self.never_runs() {
            Some(proof) => Verdict::NotRun { proof, code, retry_after_ms: RETRY_AFTER_MAX_MS },
            None => Verdict::Unknown { code },
        }
    }

    /// Returns the verdict on a call without a started attempt, with its retry delay.
    fn not_run(&self, proof: NeverRuns, cx: &mut CallContext<'_>) -> Verdict {
        // Whatever ended the last attempt, no other one may be sent to a service that is being removed.
        let code = if cx.view.is_removed() { Code::ServiceUnknown } else { self.last_code };
        match code {
            Code::Quarantined => quarantined(proof),
            code => {
                if let Some(retry_after_ms) = self.planned_return_ms(code, cx) {
                    return Verdict::NotRun { proof, code, retry_after_ms };
                }
                // The random part spreads the callers that return once rate limits admit calls again.
                let start_delay_ms = cx.view.start_delay_us(cx.now_us).div_ceil(1000) as u32;
                let retry_after_ms = start_delay_ms + retry_after_ms(self.rule.demand, cx.rng);
                Verdict::NotRun { proof, code, retry_after_ms }
            }
        }
    }

    /// Plans the return of the caller if the call is refused for lack of capacity, and returns its delay; none if returns
    /// to the service are not planned, or too little is known.
    fn planned_return_ms(&self, code: Code, cx: &mut CallContext<'_>) -> Option<u32> {
        let caller = self.caller.filter(|_| code == Code::Overloaded)?;
        let demand = self.demand_left(cx).filter(|_| self.rule.demand.is_some_and(|demand| demand.left_us > 0))?;
        let run_us = cx.view.expected_run_us(demand.work_us, cx.now_us);
        let elapsed_us = cx.now_us.saturating_sub(self.began_us);
        let refusal = Refusal {
            call: caller.id,
            priority: caller.priority,
            is_return: self.is_return,
            work_us: demand.work_us.into(),
            run_us,
            left_us: demand.left_us,
            deadline_left_us: caller.deadline_us.saturating_sub(elapsed_us),
        };
        // Rate limits that the upstreams request state by themselves when a call is admitted.
        if cx.view.start_delay_us(cx.now_us) > 0 {
            return None;
        }
        let planned = cx.view.return_plan()?.refuse(&refusal, cx.now_us, cx.rng)?;
        Some(planned.delay_us.div_ceil(1000) as u32)
    }

    /// Records that the call of a caller was served, for the plan of returns.
    fn record_served(&self, cx: &mut CallContext<'_>) {
        if let (Some(caller), Some(plan)) = (self.caller, cx.view.return_plan()) {
            plan.record_served(caller.priority, self.is_return, cx.now_us);
        }
    }

    /// Returns whether the call goes before new ones of its rank: its caller has returned, and there is time for a longer
    /// wait.
    fn goes_before_new(&self, cx: &CallContext<'_>) -> bool {
        self.is_return
            && self.demand_left(cx).is_some_and(|demand| {
                demand.left_us >= RETURN_LEFT_RUNS * cx.view.expected_run_us(demand.work_us, cx.now_us)
            })
    }

    /// Returns whether the rate limits of all servers admit the call too late for its objective. A call made by a run
    /// is sent anyway: it ranks first in the queues, and the work of the run is lost with it.
    fn is_rate_limited(&self, cx: &CallContext<'_>) -> bool {
        let Some(demand) = self.rule.demand.filter(|_| !self.made_by_run) else {
            return false;
        };
        cx.view.start_delay_us(cx.now_us) > demand.left_us.saturating_sub(demand.work_us.into())
    }

    /// Sends a cancel to the owners of all attempts in flight.
    fn cancel_all(&mut self, out: &mut Vec<CallAction>) {
        for at in 0..self.count {
            if self.state(at) == AttemptState::Sent {
                self.send_cancel(at, out);
            }
        }
    }

    /// Asks the owner of an attempt whether it may have started, and to drop it if not.
    fn send_cancel(&mut self, at: usize, out: &mut Vec<CallAction>) {
        let Some(attempt) = self.attempts[at].as_mut() else {
            return;
        };
        attempt.state = AttemptState::CancelSent;
        out.push(CallAction::Cancel { attempt: attempt.id, server: attempt.server });
    }

    fn finish(&mut self, verdict: Verdict, out: &mut Vec<CallAction>) {
        self.finished = true;
        // Runs in progress are of no use any more, and an owner that still has the attempt in its queue can drop it.
        self.cancel_all(out);
        out.push(CallAction::Finish(verdict));
    }

    /// Closes an attempt that is still open, and returns its position.
    fn close(&mut self, id: AttemptId, state: AttemptState, cx: &mut CallContext<'_>) -> Option<usize> {
        let at = self.find(id)?;
        let attempt = self.attempts[at].as_mut()?;
        if !attempt.state.is_open() {
            return None;
        }
        attempt.state = state;
        cx.view.count_end(attempt.server);
        Some(at)
    }

    fn find(&self, id: AttemptId) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.is_some_and(|attempt| attempt.id == id))
    }

    fn server(&self, at: usize) -> ServerIndex {
        self.attempts[at].map_or(0, |attempt| attempt.server)
    }

    fn patience(&self, at: usize) -> QueueTimeout {
        self.attempts[at].map_or(QueueTimeout::Long, |attempt| attempt.patience)
    }

    fn state(&self, at: usize) -> AttemptState {
        self.attempts[at].map_or(AttemptState::Lost, |attempt| attempt.state)
    }

    fn outstanding(&self) -> usize {
        self.attempts.iter().flatten().filter(|attempt| attempt.state.is_open()).count()
    }
}

/// Returns the retry delay of a caller: random, so that callers do not return together, and short enough for an answer
/// within the objective.
///
/// With delays of up to a second for every call, most callers that returned were answered too late to be of use, in
/// slots from which others could have been answered in time: in a burst of 1.8 times the load of 195 VMs, 1,355 of
/// 16,400 answers were late instead of 972.
fn retry_after_ms(demand: Option<Demand>, rng: &mut fastrand::Rng) -> u32 {
    let longest_ms = demand.map_or(RETRY_AFTER_MAX_MS, |demand| {
        let spare_us = demand.left_us.saturating_sub(demand.work_us.into());
        (spare_us / RETRY_AFTER_DIVISOR / 1000).min(RETRY_AFTER_MAX_MS.into()) as u32
    });
    rng.u32(RETRY_AFTER_MIN_MS..=longest_ms.max(2 * RETRY_AFTER_MIN_MS))
}
