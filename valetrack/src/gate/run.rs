//! I/O shell of the gate. It runs on the link thread, since every call arrives on a stream of a link.

mod crash;
mod follow;
mod machine;
mod signal;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};

use super::departure::{self, Departures};
use super::header::forwarded_headers;
use super::ledger::{LedgerEntry, RunLedger, StartedRun};
use super::message::{AttemptId, CancelResult, DeclineReason, GateAction, GateEvent, LoadReport, PERMILLE, RunTimes};
use super::objective::objective;
use super::origin::OriginTracker;
use super::pool::{ServerAnswer, ServerError, ServerPool};
use super::protocol::Health;
use super::rank::NestedRank;
use super::state::{Gate, GateConfig};
use super::upstream::{Announcement, UpstreamPhase, UpstreamState};
use crate::bundle::AccountTable;
use crate::clock::{Moment, SuspensionWatch, steady_us, suspended_us};
use crate::code::Code;
use crate::crash::{Admission, CrashDetector, Quarantine, RunningCall};
use crate::link::message::{AnswerHead, CallHead};
use crate::metric::Metrics;
use crate::placement::Outcome;
use crate::rollout::{RouteRuns, RunCounter};
use crate::timeline::OrNone;

/// How long a slot stays occupied after its call's deadline, so that the server can notice the closed connection and
/// stop.
const LINGER_MS: u64 = 100;

/// Reply of the gate to an attempt.
#[derive(Debug)]
pub enum GateReply {
    /// The server's answer, or a numbered failure after the start.
    Answer(AnswerHead, Bytes),
    /// The attempt was declined: it did not start and never will.
    Bounce(DeclineReason),
}

/// Cancels a queued attempt when its caller stops waiting.
struct CancelGuard {
    shell: Rc<GateShell>,
    attempt: Option<AttemptId>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.shell.handle(GateEvent::Cancel { attempt });
        }
    }
}

struct Job {
    call: Rc<RunningCall>,
    admission: Admission,
    /// Whether upstreams make calls of this route, if this owner has enough observations.
    observed_nested: Option<bool>,
    deadline_us: u64,
    reply: oneshot::Sender<GateReply>,
}

/// Result of an exchange with the server, or an elapsed deadline.
type ExchangeResult = Result<Result<ServerAnswer, ServerError>, Elapsed>;

/// I/O shell of the gate, with its pending jobs and the connections to its server.
pub struct GateShell {
    gate: RefCell<Gate>,
    jobs: RefCell<HashMap<AttemptId, Job>>,
    /// When an invalid header of the server was last logged.
    invalid_logged: Cell<Option<Moment>>,
    /// Rate limit of the server that was last logged.
    logged_rate_per_s: Cell<Option<f64>>,
    pool: ServerPool,
    answer_cap_bytes: Cell<usize>,
    /// Rank of calls that upstreams make.
    nested_rank: Cell<NestedRank>,
    /// Path of the upstream's health check, whose answer includes the machine's speed.
    health_path: RefCell<Option<Arc<str>>>,
    /// Held during a request for the machine's speed, so that other calls wait for the same answer.
    speed_request: tokio::sync::Mutex<()>,
    origins: RefCell<OriginTracker>,
    /// Outcomes of the runs of the upstream's present start.
    runs: RefCell<RunCounter>,
    /// The entry beside this gate.
    ledger: Rc<dyn RunLedger>,
    /// This node's record of calls that crash upstreams.
    crashes: Rc<Quarantine>,
    /// Detects crashes from the ends of exchanges with the upstream.
    exchanges: RefCell<CrashDetector<Rc<RunningCall>>>,
    /// Calls whose connection broke and which wait for the result of the crash check.
    crash_waiters: RefCell<Vec<oneshot::Sender<bool>>>,
    /// Whether a crash check of the upstream is in progress.
    is_checking_crash: Cell<bool>,
    upstream: watch::Receiver<UpstreamState>,
    /// Whether the node itself leaves, so that its gate never opens again.
    draining: Cell<bool>,
    suspensions: RefCell<SuspensionWatch>,
    changed: Notify,
    /// Notified when a health check reports a different end of the cold period.
    cold_changed: Notify,
    leaving: Arc<Notify>,
    vm: Arc<str>,
    /// Channel for what answers state about the server, if the server has announcements.
    to_upstream: Option<Sender<Announcement>>,
    /// Incarnations of upstreams that are known to leave.
    departures: Rc<Departures>,
    /// Whether an answer has stated that the server leaves before its first announcement.
    has_left_unannounced: Cell<bool>,
    /// When the present start of the server was observed, unless it may have been running before the node.
    start_since_us: Cell<u64>,
    metrics: Arc<Metrics>,
}

/// Dependencies of a gate.
pub struct GateShellParts {
    /// Connections to the server.
    pub pool: ServerPool,
    /// State of the server according to its announcements.
    pub upstream: watch::Receiver<UpstreamState>,
    /// Notified when a server without announcements states that it is about to stop.
    pub leaving: Arc<Notify>,
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Channel for what answers state about the server; `None` if the platform has no announcements.
    pub to_upstream: Option<Sender<Announcement>>,
    /// Incarnations of upstreams that are known to leave.
    pub departures: Rc<Departures>,
    /// The entry beside this gate.
    pub ledger: Rc<dyn RunLedger>,
    /// This node's record of calls that crash upstreams.
    pub crashes: Rc<Quarantine>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

impl GateShell {
    /// Creates a gate.
    pub fn new(parts: GateShellParts) -> Rc<Self> {
        let GateShellParts { pool, upstream, leaving, vm, to_upstream, departures, ledger, crashes, metrics } = parts;
        Rc::new(Self {
            upstream,
            origins: RefCell::default(),
            runs: RefCell::default(),
            ledger,
            crashes,
            exchanges: RefCell::default(),
            crash_waiters: RefCell::default(),
            is_checking_crash: Cell::new(false),
            draining: Cell::new(false),
            suspensions: RefCell::new(SuspensionWatch::from_now()),
            gate: RefCell::new(Gate::new(GateConfig::default(), steady_us())),
            jobs: Default::default(),
            invalid_logged: Cell::new(None),
            logged_rate_per_s: Cell::new(None),
            pool,
            answer_cap_bytes: Cell::new(crate::link::message::BODY_MAX_BYTES),
            nested_rank: Cell::default(),
            health_path: RefCell::default(),
            speed_request: tokio::sync::Mutex::new(()),
            changed: Notify::new(),
            cold_changed: Notify::new(),
            leaving,
            vm,
            to_upstream,
            departures,
            has_left_unannounced: Cell::new(false),
            start_since_us: Cell::new(0),
            metrics,
        })
    }

    /// Applies the limits of the bundle in force, and opens connections ahead of calls.
    pub async fn configure(
        self: &Rc<Self>,
        config: GateConfig,
        answer_cap_bytes: usize,
        health_path: Option<Arc<str>>,
    ) {
        *self.health_path.borrow_mut() = health_path;
        let slots = self.upstream.borrow().slots.unwrap_or(config.slots);
        let config = GateConfig { slots, ..config };
        self.gate.borrow_mut().configure(config);
        self.answer_cap_bytes.set(answer_cap_bytes);
        self.confirm_rate_limit();
        self.pool.warm(usize::from(config.slots)).await;
    }

    /// Closes or reopens the gate, depending on whether the bundle in force has the server's service.
    pub fn set_configured(self: &Rc<Self>, is_configured: bool) {
        self.handle(if is_configured { GateEvent::Restore } else { GateEvent::Remove });
    }

    /// Sets the rank of calls that upstreams make, according to the bundle in force.
    pub fn set_nested_rank(&self, nested_rank: NestedRank) {
        self.nested_rank.set(nested_rank);
    }

    /// Applies the client accounts of the bundle in force.
    pub fn configure_accounts(&self, accounts: &AccountTable) {
        self.gate.borrow_mut().shares().configure(accounts);
    }

    /// Returns the present load.
    pub fn load(&self) -> LoadReport {
        self.gate.borrow().load(steady_us())
    }

    /// Returns whether a call that arrives now would start at once.
    fn has_room(&self) -> bool {
        let load = self.load();
        load.queued == 0 && load.in_flight < load.limit
    }

    /// Returns the outcomes of the runs of the upstream's present start, by route.
    pub fn runs(&self) -> Vec<RouteRuns> {
        self.runs.borrow().routes()
    }

    /// Returns whether nothing runs and nothing waits.
    pub fn idle(&self) -> bool {
        self.gate.borrow().idle()
    }

    /// Stops accepting work permanently and declines all waiting attempts.
    pub fn drain(self: &Rc<Self>) {
        self.draining.set(true);
        self.handle(GateEvent::Drain);
    }

    /// Requests the server's health.
    pub async fn health(self: &Rc<Self>, path: &str) -> Option<Health> {
        self.pool.health(path, self).await
    }

    /// Runs a call once the gate admits it, and waits for its end.
    pub async fn call(self: &Rc<Self>, head: CallHead, body: Bytes) -> GateReply {
        let attempt = head.attempt;
        let patience = head.patience;
        let deadline_us = steady_us() + u64::from(head.deadline_ms) * 1000;
        let (reply, answered) = oneshot::channel();
        if self.jobs.borrow().contains_key(&attempt) {
            return GateReply::Bounce(DeclineReason::Cancelled);
        }
        if self.upstream.borrow().phase == UpstreamPhase::Unknown {
            return GateReply::Bounce(DeclineReason::NotReady);
        }
        self.follow_departures();
        if f64::from(head.repeat_permille) >= PERMILLE && !self.ledger.admits_repeat() {
            return GateReply::Bounce(self.log_decline(&head, DeclineReason::RepeatRefused));
        }
        let admission = self.crashes.admit(&head, &body).await;
        if admission == Admission::Refused {
            return GateReply::Bounce(self.log_decline(&head, DeclineReason::Quarantined));
        }
        let observed_nested = self.origins.borrow_mut().record_and_classify(&head.route, &head.origin);
        // An owner that has just started relies on the classification that other owners reported to the entry.
        let nested = observed_nested.unwrap_or(head.made_by_run);
        if observed_nested == Some(true) {
            self.promote_waiting(&head.route);
        }
        // A trial is already counted in the store, so it runs.
        let is_exempt = nested || admission == Admission::Trial || self.nested_rank.get() == NestedRank::First;
        if !is_exempt && !self.ledger.admits_call(&head, self.has_room()) {
            return GateReply::Bounce(self.log_decline(&head, DeclineReason::RepeatRefused));
        }
        let priority = self.nested_rank.get().rank(head.priority, nested);
        let objective = objective(&head, nested);
        self.refresh_speed(head.work_us.into()).await;
        self.check_rate_limit();
        let account = head.account.clone();
        let call = Rc::new(RunningCall { head, body });
        self.jobs.borrow_mut().insert(attempt, Job { call, admission, observed_nested, deadline_us, reply });
        if matches!(admission, Admission::Alone | Admission::Trial) {
            self.gate.borrow_mut().suspect(attempt);
        }
        if let Some(account) = account.filter(|_| !nested) {
            self.gate.borrow_mut().shares().arrive(attempt, &account, steady_us());
        }
        let mut cancel_guard = CancelGuard { shell: self.clone(), attempt: Some(attempt) };
        self.handle(GateEvent::Arrive { attempt, deadline_us, patience, priority, objective, is_nested: nested });
        let reply = answered.await;
        cancel_guard.attempt = None;
        reply.unwrap_or(GateReply::Bounce(DeclineReason::Cancelled))
    }

    /// Ranks the waiting calls of a route that arrived before the route was classified as one that upstreams call.
    fn promote_waiting(&self, route: &Arc<str>) {
        for (attempt, job) in &*self.jobs.borrow() {
            if job.observed_nested != Some(true) && job.call.head.route == *route {
                let rank = self.nested_rank.get().rank(job.call.head.priority, true);
                self.gate.borrow_mut().promote_to(*attempt, rank);
            }
        }
    }

    /// Logs and counts an attempt that is declined before it waits for a slot.
    fn log_decline(&self, head: &CallHead, reason: DeclineReason) -> DeclineReason {
        self.metrics.declined_attempts.with_label_values(&[decline_label(reason)]).inc();
        log::info!("event=gate.bounce call={} attempt={} reason={reason:?}", head.call_id, head.attempt);
        reason
    }

    /// Cancels an attempt and returns the result.
    pub fn cancel(self: &Rc<Self>, attempt: AttemptId) -> CancelResult {
        self.handle(GateEvent::Cancel { attempt }).unwrap_or(CancelResult::Started)
    }

    /// Runs the gate's timer, which ends waits that have expired; it never returns.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let next_us = self.gate.borrow().next_tick_us(steady_us());
            let pause = next_us.map(|next_us| Duration::from_micros(next_us.saturating_sub(steady_us()).max(200)));
            match pause {
                Some(pause) => {
                    let _ = timeout(pause, self.changed.notified()).await;
                }
                None => self.changed.notified().await,
            }
            self.refresh_deferred_speed().await;
            self.handle(GateEvent::Tick);
        }
    }

    fn handle(self: &Rc<Self>, event: GateEvent) -> Option<CancelResult> {
        let mut actions = Vec::new();
        let now_us = steady_us();
        if self.suspensions.borrow_mut().take(suspended_us()).is_some() {
            self.gate.borrow_mut().handle(GateEvent::Resumed, now_us, &mut actions);
        }
        self.gate.borrow_mut().handle(event, now_us, &mut actions);
        let mut cancelled = None;
        for action in actions {
            match action {
                GateAction::Start { attempt } => self.start(attempt),
                GateAction::Bounce { attempt, reason } => self.decline(attempt, reason),
                GateAction::ReportCancel { result, .. } => cancelled = Some(result),
            }
        }
        self.on_load_changed(event);
        cancelled
    }

    fn on_load_changed(&self, event: GateEvent) {
        let load = self.load();
        self.metrics.gate_in_flight.set(load.in_flight.into());
        self.metrics.gate_queued.set(load.queued.into());
        self.metrics.upstream_calls_over_limit.inc_by(self.gate.borrow_mut().drain_over_limit());
        self.metrics.displaced_attempts.inc_by(self.gate.borrow_mut().shares().drain_displaced());
        if load.queued > 0 && event != GateEvent::Tick {
            self.changed.notify_one();
        }
    }

    fn decline(&self, attempt: AttemptId, reason: DeclineReason) {
        let Some(job) = self.jobs.borrow_mut().remove(&attempt) else {
            return;
        };
        self.metrics.declined_attempts.with_label_values(&[decline_label(reason)]).inc();
        let load = self.load();
        log::info!(
            "event=gate.bounce call={} attempt={attempt} reason={reason:?} running={} waiting={} limit={} \
             slow_chance_percent={} slow_percent={}",
            job.call.head.call_id,
            load.in_flight,
            load.queued,
            load.limit,
            load.slow_chance_percent,
            load.slow_percent
        );
        let _ = job.reply.send(GateReply::Bounce(reason));
    }

    fn start(self: &Rc<Self>, attempt: AttemptId) {
        let Some(job) = self.jobs.borrow_mut().remove(&attempt) else {
            return;
        };
        tokio::task::spawn_local(self.clone().run(job));
    }

    /// Declines a started attempt that the server certainly did not run.
    fn decline_started(self: &Rc<Self>, job: Job, reason: DeclineReason) {
        let attempt = job.call.head.attempt;
        log::info!("event=gate.not_started call={} attempt={attempt} reason={reason:?}", job.call.head.call_id);
        self.jobs.borrow_mut().insert(attempt, job);
        self.handle(GateEvent::Refused { attempt, reason });
    }

    /// Returns the answer of a run, or the code of its failure.
    ///
    /// # Errors
    ///
    /// Returns the reason for declining the attempt if the server certainly did not run it.
    fn outcome(&self, result: ExchangeResult) -> Result<(Option<Code>, Option<ServerAnswer>), DeclineReason> {
        Ok(match result {
            Ok(Ok(answer)) => (None, Some(answer)),
            Ok(Err(ServerError::NotStarted)) => return Err(DeclineReason::Refused),
            Ok(Err(ServerError::Rejected(reason))) => return Err(reason),
            Ok(Err(ServerError::Broken)) => (Some(Code::ServerFailed), None),
            Ok(Err(ServerError::TooLarge)) => (Some(Code::AnswerTooLarge), None),
            Ok(Err(ServerError::NoMemory)) => (Some(Code::MemoryFull), None),
            Ok(Err(ServerError::Misdirected)) => {
                self.metrics.stray_answers.inc();
                (Some(Code::ServerFailed), None)
            }
            Err(_) => (Some(Code::DeadlinePassed), None),
        })
    }

    /// Applies the information about the server in an answer's headers.
    fn apply_headers(&self, answer: &ServerAnswer) {
        if let Some(load) = self.pool.protocol().host_load(&answer.headers) {
            self.record_load(load);
        }
    }

    /// Runs a started call at the server and sends the reply.
    async fn run(self: Rc<Self>, mut job: Job) {
        let call = job.call.clone();
        let head = &call.head;
        let attempt = head.attempt;
        log::debug!("event=gate.start call={} attempt={attempt}", head.call_id);
        if self.crashes.forbids(job.admission, &call) {
            self.decline_started(job, DeclineReason::Quarantined);
            return;
        }
        let _ledger_entry = LedgerEntry::new(self.ledger.clone(), StartedRun::new(head, job.deadline_us));
        let start_us = steady_us();
        let start = self.machine_at(start_us);
        let left_us = job.deadline_us.saturating_sub(start_us);
        let incarnation = self.upstream.borrow().incarnation(&self.vm);
        let id = incarnation.as_ref().map(|incarnation| incarnation.id.clone());
        let Some(request) = self.pool.protocol().request(head, call.body.clone(), left_us / 1000, id.as_deref()) else {
            self.decline_started(job, DeclineReason::Refused);
            return;
        };
        let exchange = self.begin_exchange(call.clone());
        let Some(result) = self.exchange(&mut job, request, left_us).await else {
            log::info!("event=gate.abandoned call={} attempt={attempt}", head.call_id);
            self.handle(GateEvent::Done { attempt, healthy: true });
            return;
        };
        let late = result.is_err();
        let crashed = self.end_exchange(exchange, &call, &result).await;
        let (code, answer) = match self.outcome(result) {
            Ok((Some(Code::ServerFailed), None)) if crashed => (Some(Code::ServerCrashed), None),
            Ok(outcome) => outcome,
            Err(reason) => {
                self.decline_started(job, reason);
                return;
            }
        };
        if let Some(answer) = &answer {
            self.apply_headers(answer);
        }
        let healthy = answer.as_ref().is_some_and(|answer| answer.status < 500);
        let times = self.times(start, head.work_us);
        self.gate.borrow_mut().ran(attempt, times, healthy);
        self.count_run(head, times, healthy);
        log_done(head, times, code, answer.as_ref(), healthy);
        let departure = answer.as_ref().filter(|answer| self.pool.protocol().is_leaving(&answer.headers));
        let departure = departure.and(incarnation.as_ref()).and_then(departure::header);
        let (mut answer_head, body) = answer_head(attempt, code, answer);
        answer_head.headers.extend(departure);
        answer_head.nested = job.observed_nested;
        answer_head.work_us = times.unslowed_us.min(u64::from(u32::MAX)) as u32;
        let _ = job.reply.send(GateReply::Answer(answer_head, body));
        if late {
            sleep(Duration::from_millis(LINGER_MS)).await;
        }
        self.handle(GateEvent::Done { attempt, healthy });
    }

    /// Counts a run for the comparison of upstream versions. The duration of a run on a cold upstream is excluded,
    /// since it does not characterize the version.
    fn count_run(&self, head: &CallHead, times: RunTimes, healthy: bool) {
        let is_cold = self.gate.borrow().cold_until_us() > steady_us().saturating_sub(times.ran_us);
        let usual_us = if is_cold { 0 } else { head.work_us.into() };
        self.runs.borrow_mut().ran(&head.route, healthy, times.unslowed_us, usual_us);
    }

    /// Sends a call to the server within `left_us`; returns `None` if the caller has left and the call is repeatable.
    async fn exchange(
        self: &Rc<Self>,
        job: &mut Job,
        request: Request<Full<Bytes>>,
        left_us: u64,
    ) -> Option<ExchangeResult> {
        let exchange = self.pool.exchange(request, &job.call.head, self.answer_cap_bytes.get(), self);
        tokio::select! {
            result = timeout(Duration::from_micros(left_us), exchange) => Some(result),
            // Closing the connection signals the server to stop.
            () = job.reply.closed(), if job.call.head.repeatable => None,
        }
    }
}

fn log_done(head: &CallHead, times: RunTimes, code: Option<Code>, answer: Option<&ServerAnswer>, healthy: bool) {
    let level = if healthy { log::Level::Debug } else { log::Level::Warn };
    let RunTimes { ran_us, unslowed_us, .. } = times;
    log::log!(
        level,
        "event=gate.done call={} attempt={} status={} code={} ran_us={ran_us} unslowed_us={unslowed_us}",
        head.call_id,
        head.attempt,
        answer.map_or(0, |answer| answer.status),
        OrNone(code)
    );
}

const fn decline_label(reason: DeclineReason) -> &'static str {
    match reason {
        DeclineReason::Full => "full",
        DeclineReason::Leaving => "leaving",
        DeclineReason::Stalled => "stalled",
        DeclineReason::Cancelled => "cancelled",
        DeclineReason::Slow => "slow",
        DeclineReason::Refused => "refused",
        DeclineReason::NotReady => "not-ready",
        DeclineReason::Rejected => "rejected",
        DeclineReason::Evacuated => "evacuated",
        DeclineReason::RepeatRefused => "repeat-refused",
        DeclineReason::Quarantined => "quarantined",
        DeclineReason::RateLimited => "rate-limited",
        DeclineReason::ServiceRemoved => "service-removed",
    }
}

fn answer_head(attempt: AttemptId, code: Option<Code>, answer: Option<ServerAnswer>) -> (AnswerHead, Bytes) {
    let Some(answer) = answer else {
        let head = AnswerHead {
            attempt,
            outcome: Outcome::Unknown,
            code: code.unwrap_or(Code::ServerFailed).number(),
            status: 502,
            retry_after_ms: 0,
            headers: Vec::new(),
            body_bytes: 0,
            nested: None,
            work_us: 0,
        };
        return (head, Bytes::new());
    };
    let head = AnswerHead {
        attempt,
        outcome: Outcome::Ran,
        code: 0,
        status: answer.status,
        retry_after_ms: 0,
        headers: forwarded_headers(&answer.headers),
        body_bytes: answer.body.len() as u32,
        nested: None,
        work_us: 0,
    };
    (head, answer.body)
}
