//! Shell of the gate; it shares the link thread, since every call comes over a link's stream.

mod crash;
mod follow;
mod machine;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::error::Elapsed;
use tokio::time::{sleep, timeout};

use super::header::travelling;
use super::ledger::{LedgerEntry, RunLedger};
use super::message::{AttemptId, BounceReason, CancelResult, GateAction, GateEvent, LoadReport, PERMILLE, RunTimes};
use super::objective::objective;
use super::origin::OriginTracker;
use super::pool::{ServerAnswer, ServerError, ServerPool};
use super::protocol::Health;
use super::state::{Gate, GateConfig, INTERNAL_PRIORITY};
use super::upstream::{UpstreamPhase, UpstreamState};
use crate::clock::{SuspensionWatch, steady_us, suspended_us};
use crate::code::Code;
use crate::crash::{Admission, CrashDetector, Quarantine, RunningCall};
use crate::link::message::{AnswerHead, CallHead};
use crate::metric::Metrics;
use crate::placement::Outcome;
use crate::rollout::{RouteRuns, RunCounter};
use crate::timeline::OrNone;

/// A slot whose call passed its deadline stays taken this long, so that the server can see the
/// closed connection and stop, in milliseconds.
const LINGER_MS: u64 = 100;

/// How the gate answers an attempt.
#[derive(Debug)]
pub enum GateReply {
    /// The server's answer, or a numbered failure after the start.
    Answer(AnswerHead, Bytes),
    /// The attempt did not start and never will.
    Bounce(BounceReason),
}

/// Takes a call out of the queue when nobody waits for its end any more.
struct AbandonGuard {
    shell: Rc<GateShell>,
    attempt: Option<AttemptId>,
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.shell.handle(GateEvent::Cancel { attempt });
        }
    }
}

struct Job {
    call: Rc<RunningCall>,
    admission: Admission,
    /// Whether upstreams make calls of its route on their own, as far as this owner can tell.
    judged: Option<bool>,
    deadline_us: u64,
    reply: oneshot::Sender<GateReply>,
}

/// How an exchange with the server ended, or that its deadline passed.
type Ended = Result<Result<ServerAnswer, ServerError>, Elapsed>;

/// The gate with the jobs that it holds and the connections to its server.
pub struct GateShell {
    gate: RefCell<Gate>,
    jobs: RefCell<HashMap<AttemptId, Job>>,
    pool: ServerPool,
    answer_cap_bytes: Cell<usize>,
    /// Where the upstream tells its health, and its machine's speed with it.
    health_path: RefCell<Option<Arc<str>>>,
    /// Held by the call that asks the machine for its speed; others wait for its answer.
    asking: tokio::sync::Mutex<()>,
    origins: RefCell<OriginTracker>,
    /// How runs of the present start of the upstream ended.
    runs: RefCell<RunCounter>,
    /// The entry beside this gate.
    ledger: Rc<dyn RunLedger>,
    /// What this node knows of calls that crash upstreams.
    crashes: Rc<Quarantine>,
    /// How exchanges with the upstream end, judged for a crash.
    exchanges: RefCell<CrashDetector<Rc<RunningCall>>>,
    /// Calls whose exchange has broken and that wait to hear whether the upstream has crashed.
    broken: RefCell<Vec<oneshot::Sender<bool>>>,
    /// Whether the upstream is being tried for a crash.
    trying: Cell<bool>,
    upstream: watch::Receiver<UpstreamState>,
    /// Whether the node itself leaves, so that its gate never opens again.
    draining: Cell<bool>,
    suspensions: RefCell<SuspensionWatch>,
    changed: Notify,
    /// Notified when a health check tells another end of the cold time.
    cold_told: Notify,
    leaving: Arc<Notify>,
    metrics: Arc<Metrics>,
}

/// What a gate is joined to.
pub struct GateShellParts {
    /// Connections to the server.
    pub pool: ServerPool,
    /// State of the server as its announcements tell it.
    pub upstream: watch::Receiver<UpstreamState>,
    /// Notified when the server says that it is about to stop.
    pub leaving: Arc<Notify>,
    /// The entry beside this gate.
    pub ledger: Rc<dyn RunLedger>,
    /// What this node knows of calls that crash upstreams.
    pub crashes: Rc<Quarantine>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

impl GateShell {
    /// Makes a gate.
    pub fn new(parts: GateShellParts) -> Rc<Self> {
        let GateShellParts { pool, upstream, leaving, ledger, crashes, metrics } = parts;
        Rc::new(Self {
            upstream,
            origins: RefCell::default(),
            runs: RefCell::default(),
            ledger,
            crashes,
            exchanges: RefCell::default(),
            broken: RefCell::default(),
            trying: Cell::new(false),
            draining: Cell::new(false),
            suspensions: RefCell::new(SuspensionWatch::from_now()),
            gate: RefCell::new(Gate::new(GateConfig::default(), steady_us())),
            jobs: Default::default(),
            pool,
            answer_cap_bytes: Cell::new(crate::link::message::BODY_MAX_BYTES),
            health_path: RefCell::default(),
            asking: tokio::sync::Mutex::new(()),
            changed: Notify::new(),
            cold_told: Notify::new(),
            leaving,
            metrics,
        })
    }

    /// Takes limits of the bundle in force, and opens connections ahead of calls.
    pub async fn configure(&self, config: GateConfig, answer_cap_bytes: usize, health_path: Option<Arc<str>>) {
        *self.health_path.borrow_mut() = health_path;
        let slots = self.upstream.borrow().slots.unwrap_or(config.slots);
        let config = GateConfig { slots, ..config };
        self.gate.borrow_mut().configure(config);
        self.answer_cap_bytes.set(answer_cap_bytes);
        self.pool.warm(usize::from(config.slots)).await;
    }

    /// Returns the load now.
    pub fn load(&self) -> LoadReport {
        self.gate.borrow().load(steady_us())
    }

    /// Returns how runs of the present start of the upstream ended, by route.
    pub fn runs(&self) -> Vec<RouteRuns> {
        self.runs.borrow().routes()
    }

    /// Returns whether nothing runs and nothing waits.
    pub fn idle(&self) -> bool {
        self.gate.borrow().idle()
    }

    /// Stops taking new work for good; what waits is given back.
    pub fn drain(self: &Rc<Self>) {
        self.draining.set(true);
        self.handle(GateEvent::Drain);
    }

    /// Asks the server for its health.
    pub async fn health(&self, path: &str) -> Option<Health> {
        self.pool.health(path).await
    }

    /// Runs a call when the gate lets it, and waits for the end.
    pub async fn call(self: &Rc<Self>, head: CallHead, body: Bytes) -> GateReply {
        let attempt = head.attempt;
        let patience = head.patience;
        let deadline_us = steady_us() + u64::from(head.deadline_ms) * 1000;
        let (reply, answered) = oneshot::channel();
        if self.jobs.borrow().contains_key(&attempt) {
            return GateReply::Bounce(BounceReason::Cancelled);
        }
        if self.upstream.borrow().phase == UpstreamPhase::Unknown {
            return GateReply::Bounce(BounceReason::NotReady);
        }
        if f64::from(head.repeat_permille) >= PERMILLE && !self.ledger.admits_repeat() {
            return GateReply::Bounce(self.refuse(&head, BounceReason::RepeatRefused));
        }
        let admission = self.crashes.admit(&head, &body).await;
        if admission == Admission::Refused {
            return GateReply::Bounce(self.refuse(&head, BounceReason::Quarantined));
        }
        let judged = self.origins.borrow_mut().judge(&head.route, &head.origin);
        // An owner that has just started goes by what others have told the entry.
        let nested = judged.unwrap_or(head.made_by_run);
        // Calls of callers rank behind all that servers wait for.
        let priority = if nested { INTERNAL_PRIORITY } else { head.priority.saturating_add(1) };
        let objective = objective(&head, nested);
        self.refresh_speed(head.work_us.into()).await;
        let call = Rc::new(RunningCall { head, body });
        self.jobs.borrow_mut().insert(attempt, Job { call, admission, judged, deadline_us, reply });
        if matches!(admission, Admission::Alone | Admission::Trial) {
            self.gate.borrow_mut().suspect(attempt);
        }
        let mut abandon = AbandonGuard { shell: self.clone(), attempt: Some(attempt) };
        self.handle(GateEvent::Arrive { attempt, deadline_us, patience, priority, objective });
        let reply = answered.await;
        abandon.attempt = None;
        reply.unwrap_or(GateReply::Bounce(BounceReason::Cancelled))
    }

    /// Tells of a call that is given back before it waits for a slot.
    fn refuse(&self, head: &CallHead, reason: BounceReason) -> BounceReason {
        self.metrics.bounces.with_label_values(&[bounce_label(reason)]).inc();
        log::info!("event=gate.bounce call={} attempt={} reason={reason:?}", head.call_id, head.attempt);
        reason
    }

    /// Cancels an attempt and returns the result.
    pub fn cancel(self: &Rc<Self>, attempt: AttemptId) -> CancelResult {
        self.handle(GateEvent::Cancel { attempt }).unwrap_or(CancelResult::Started)
    }

    /// Lets waiting calls go when their time has come; runs as long as the gate.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let next_us = self.gate.borrow().next_tick_us(steady_us());
            let pause = next_us.map(|next_us| Duration::from_micros(next_us.saturating_sub(steady_us()).max(200)));
            match pause {
                Some(pause) => {
                    let _ = timeout(pause, self.changed.notified()).await;
                }
                None => self.changed.notified().await,
            }
            self.follow_episode().await;
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
                GateAction::Bounce { attempt, reason } => self.bounce(attempt, reason),
                GateAction::ReportCancel { result, .. } => cancelled = Some(result),
            }
        }
        self.observe(event);
        cancelled
    }

    fn observe(&self, event: GateEvent) {
        let load = self.load();
        self.metrics.gate_in_flight.set(load.in_flight.into());
        self.metrics.gate_queued.set(load.queued.into());
        if load.queued > 0 && event != GateEvent::Tick {
            self.changed.notify_one();
        }
    }

    fn bounce(&self, attempt: AttemptId, reason: BounceReason) {
        let Some(job) = self.jobs.borrow_mut().remove(&attempt) else {
            return;
        };
        self.metrics.bounces.with_label_values(&[bounce_label(reason)]).inc();
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

    /// Gives a started attempt back, of which it is certain that the server did not run it.
    fn give_back(self: &Rc<Self>, job: Job, reason: BounceReason) {
        let attempt = job.call.head.attempt;
        log::info!("event=gate.not_started call={} attempt={attempt} reason={reason:?}", job.call.head.call_id);
        self.jobs.borrow_mut().insert(attempt, job);
        self.handle(GateEvent::Refused { attempt, reason });
    }

    /// Reads how a run ended: its answer, or the code of what went wrong.
    ///
    /// # Errors
    ///
    /// Returns why the call is given back where it is certain that the server did not run it.
    fn outcome(&self, ended: Ended) -> Result<(Option<Code>, Option<ServerAnswer>), BounceReason> {
        Ok(match ended {
            Ok(Ok(answer)) => (None, Some(answer)),
            Ok(Err(ServerError::NotStarted)) => return Err(BounceReason::Refused),
            Ok(Err(ServerError::Rejected(reason))) => return Err(reason),
            Ok(Err(ServerError::Broken)) => (Some(Code::ServerFailed), None),
            Ok(Err(ServerError::TooLarge)) => (Some(Code::AnswerTooLarge), None),
            Ok(Err(ServerError::Misdirected)) => {
                self.metrics.stray_answers.inc();
                (Some(Code::ServerFailed), None)
            }
            Err(_) => (Some(Code::DeadlinePassed), None),
        })
    }

    /// Takes what an answer's headers tell of the server.
    fn learn(&self, answer: &ServerAnswer) {
        if let Some(load) = self.pool.protocol().host_load(&answer.headers) {
            self.told(load);
        }
        if self.pool.protocol().is_leaving(&answer.headers) {
            self.leaving.notify_one();
        }
    }

    /// Runs a started call at the server, and answers whoever asked.
    async fn run(self: Rc<Self>, mut job: Job) {
        let call = job.call.clone();
        let head = &call.head;
        let attempt = head.attempt;
        log::debug!("event=gate.start call={} attempt={attempt}", head.call_id);
        if self.crashes.forbids(job.admission, &call) {
            self.give_back(job, BounceReason::Quarantined);
            return;
        }
        let _entered = LedgerEntry::new(self.ledger.clone(), head.repeat_permille);
        let began_us = steady_us();
        let began = self.machine_at(began_us);
        let left_us = job.deadline_us.saturating_sub(began_us);
        let id = self.upstream.borrow().id.clone();
        let Some(request) = self.pool.protocol().request(head, call.body.clone(), left_us / 1000, id.as_deref()) else {
            self.give_back(job, BounceReason::Refused);
            return;
        };
        let exchange = self.begin_exchange(call.clone());
        let Some(ended) = self.exchange(&mut job, request, left_us).await else {
            log::info!("event=gate.abandoned call={} attempt={attempt}", head.call_id);
            self.handle(GateEvent::Done { attempt, healthy: true });
            return;
        };
        let late = ended.is_err();
        let crashed = self.end_exchange(exchange, &call, &ended).await;
        let (code, answer) = match self.outcome(ended) {
            Ok((Some(Code::ServerFailed), None)) if crashed => (Some(Code::ServerCrashed), None),
            Ok(outcome) => outcome,
            Err(reason) => {
                self.give_back(job, reason);
                return;
            }
        };
        if let Some(answer) = &answer {
            self.learn(answer);
        }
        let healthy = answer.as_ref().is_some_and(|answer| answer.status < 500);
        let times = self.times(began, head.work_us);
        self.gate.borrow_mut().ran(attempt, times, healthy);
        self.count_run(head, times, healthy);
        log_done(head, times, code, answer.as_ref(), healthy);
        let (mut answer_head, body) = answer_head(attempt, code, answer);
        answer_head.nested = job.judged;
        answer_head.work_us = times.unslowed_us.min(u64::from(u32::MAX)) as u32;
        let _ = job.reply.send(GateReply::Answer(answer_head, body));
        if late {
            sleep(Duration::from_millis(LINGER_MS)).await;
        }
        self.handle(GateEvent::Done { attempt, healthy });
    }

    /// Counts a run for whoever compares versions of the upstream; one that was cold is no measure of its version.
    fn count_run(&self, head: &CallHead, times: RunTimes, healthy: bool) {
        let is_cold = self.gate.borrow().cold_until_us() > steady_us().saturating_sub(times.ran_us);
        let usual_us = if is_cold { 0 } else { head.work_us.into() };
        self.runs.borrow_mut().ran(&head.route, healthy, times.unslowed_us, usual_us);
    }

    /// Puts a call to the server within `left_us`; none when whoever asked has gone away and the
    /// call may repeat.
    async fn exchange(&self, job: &mut Job, request: Request<Full<Bytes>>, left_us: u64) -> Option<Ended> {
        let exchange = self.pool.exchange(request, &job.call.head, self.answer_cap_bytes.get());
        tokio::select! {
            ended = timeout(Duration::from_micros(left_us), exchange) => Some(ended),
            // The closed connection tells the server to stop.
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

const fn bounce_label(reason: BounceReason) -> &'static str {
    match reason {
        BounceReason::Full => "full",
        BounceReason::Leaving => "leaving",
        BounceReason::Stalled => "stalled",
        BounceReason::Cancelled => "cancelled",
        BounceReason::Slow => "slow",
        BounceReason::Refused => "refused",
        BounceReason::NotReady => "not-ready",
        BounceReason::Rejected => "rejected",
        BounceReason::Evacuated => "evacuated",
        BounceReason::RepeatRefused => "repeat-refused",
        BounceReason::Quarantined => "quarantined",
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
        headers: travelling(&answer.headers),
        body_bytes: answer.body.len() as u32,
        nested: None,
        work_us: 0,
    };
    (head, answer.body)
}
