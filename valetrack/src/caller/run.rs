//! I/O shell of the caller listener: serves callers' connections and places their calls.

mod service;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::answer::{self, Answer};
use super::keyed::KeyedRouter;
use super::pipeline::{self, CONNECTION_BYTES, CallerConnection, Delivered, OpenRequest, head_bytes};
use super::protocol::{CallerProtocol, ReadContext};
use super::request::{IncomingCall, Rejection};
use crate::bundle::{Confirmation, HostRoute, InForce, SplitPicker};
use crate::clock::{Moment, now_us};
use crate::code::Code;
use crate::gate::{DepartureSource, NestedRank};
use crate::link::message::{BODY_MAX_BYTES, CallHead};
use crate::memory::{Charge, CollectError, HeldKind, MemoryAccount, Patience, collect};
use crate::placement::run::Placer;
use crate::placement::{NeverRuns, PlaceJob, Placed, SERVICE_UNKNOWN, Verdict};
use crate::quota::run::Quotas;
use crate::timeline::{OrNone, Quoted};

/// Most calls without an answer yet; further ones are rejected immediately.
const OPEN_CALLS_MAX: usize = 2_048;
/// Receive buffer of a caller's connection.
const RECEIVE_BUFFER_BYTES: usize = 128 * 1024;
/// Copies of the head of a call: as it was received, as it is sent to owners, and in a message.
const HEAD_COPIES: u64 = 4;
/// Memory for a header field beside its text in these copies: entries of two lists, and the least that the allocator takes
/// for its name and its value.
const FIELD_BYTES: u64 = 224;
/// Rejection of a call for which there is no memory.
const MEMORY_FULL: Rejection = Rejection { code: Code::MemoryFull, status: 503 };
/// Longest part of a caller's host or path in a log line.
const LOGGED_MAX_BYTES: usize = 128;
/// Id of a rejected request whose caller gave it none.
const NO_CALL_ID: &str = "-";
/// Retry delay of a call that a leaving node does not accept: about as long as it takes callers to find another node or
/// the next incarnation of this one.
const LEAVING_RETRY_MS: u32 = 200;
/// Verdict on a call that may still run when this node exits.
const LEAVING: Verdict =
    Verdict::NotRun { proof: NeverRuns::unsent(), code: Code::Leaving, retry_after_ms: LEAVING_RETRY_MS };
/// Shortest time between two log lines on refused connections.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time for which an idle connection stays open once the node leaves.
const IDLE_MIN_MS: u64 = 500;

/// Dependencies of the caller listener.
pub struct ListenerParts {
    /// Calls of claims that have to be placed.
    pub jobs: Receiver<PlaceJob>,
    /// Protocol between this node and its callers.
    pub protocol: Arc<dyn CallerProtocol>,
    /// When the bundle in force was last confirmed.
    pub confirmation: watch::Receiver<Confirmation>,
    /// Age of the last confirmation up to which a call may be rejected for good; none if confirmations do not expire.
    pub confirmation_age_max: Option<Duration>,
    /// Service of the upstream beside this node.
    pub service: Arc<str>,
    /// Time that a caller has to send a head, and for which its connection may be idle.
    pub head_limit: Duration,
    /// Time for which callers still connect after leaving has begun.
    pub linger: Duration,
    /// Time from the start of leaving until calls that still run are aborted.
    pub drain: Duration,
    /// Seed of random choices.
    pub seed: u64,
    /// Account of held bytes.
    pub memory: MemoryAccount,
    /// Most connections of callers.
    pub connections_max: usize,
    /// Time that a caller has to send a body.
    pub body_limit: Duration,
    /// Becomes true when this node leaves.
    pub leaving: watch::Receiver<bool>,
    /// Becomes true when the listener has to close.
    pub closing: watch::Receiver<bool>,
    /// Becomes true once the upstream runs no call any more after leaving has begun.
    pub drained: watch::Receiver<bool>,
    /// Set to true once no caller is connected any more after leaving has begun.
    pub emptied: watch::Sender<bool>,
}

struct CallerListener {
    placer: Rc<Placer>,
    /// Router of keyed calls.
    keyed: KeyedRouter,
    quotas: Rc<Quotas>,
    parts: ListenerParts,
    connections: Rc<Cell<usize>>,
    /// Calls without an answer yet.
    open_calls: Rc<Cell<usize>>,
    /// Time at which leaving began.
    left_at: Cell<Option<Moment>>,
    /// Time of the last log line on a connection that was refused.
    refusal_logged_at: Cell<Option<Instant>>,
    splits: RefCell<Splits>,
}

/// Pickers of the routes that are split over several services.
struct Splits {
    pickers: HashMap<Arc<str>, SplitPicker>,
    rng: fastrand::Rng,
}

/// Serves callers until `closing` becomes true; must run on a local task set.
pub async fn run(
    socket: TcpListener,
    placer: Rc<Placer>,
    keyed: KeyedRouter,
    quotas: Rc<Quotas>,
    parts: ListenerParts,
) {
    // Accepted connections inherit it. Without a limit, the kernel lets a client that sends fast fill several megabytes
    // that are not read.
    if let Err(error) = set_socket_recv_buffer_size(&socket, RECEIVE_BUFFER_BYTES) {
        log::warn!("event=caller.receive_buffer_unset reason=\"{error}\"");
    }
    let mut emptied = parts.emptied.subscribe();
    let mut closing = parts.closing.clone();
    let splits = Splits { pickers: HashMap::new(), rng: fastrand::Rng::with_seed(parts.seed) };
    let listener = Rc::new(CallerListener {
        placer,
        keyed,
        quotas,
        parts,
        connections: Rc::default(),
        open_calls: Rc::default(),
        left_at: Cell::new(None),
        refusal_logged_at: Cell::new(None),
        splits: RefCell::new(splits),
    });
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn_local(listener.placer.clone().follow());
    tasks.spawn_local(listener.placer.clone().probe());
    tasks.spawn_local(listener.quotas.clone().follow());
    tasks.spawn_local(listener.clone().place_jobs());
    tasks.spawn_local(listener.clone().watch_emptied());
    while let Some(accepted) = next_caller(&socket, &mut emptied, &mut closing).await {
        match accepted {
            Ok(stream) => {
                // The connection is counted before it is admitted, so that the listener does not count as empty in
                // between.
                let counted = Counted::new(listener.connections.clone());
                if let Some(charge) = listener.admit().await {
                    tokio::task::spawn_local(listener.clone().serve(stream, charge, counted));
                } else {
                    listener.placer.metrics.bad_calls.inc();
                    listener.placer.metrics.connections_ended.with_label_values(&["limit"]).inc();
                    listener.on_refused("limit", None);
                }
            }
            Err(error) => {
                listener.on_refused("error", Some(&error));
                // The process may be out of file descriptors; a short pause lets some connections close.
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
    drop(socket);
    // Calls of claims are placed until the listener closes.
    let _ = closing.wait_for(|closing| *closing).await;
    tasks.shutdown().await;
}

/// Returns whether a call with this deadline, accepted `since` after leaving began, may still run at the end of
/// `drain`, when running calls are aborted.
pub(super) fn outlasts(since: Duration, deadline_ms: u32, drain: Duration) -> bool {
    since + Duration::from_millis(deadline_ms.into()) > drain
}

/// Waits for the next caller; none once the listener has reported that no caller is connected any more, or has to
/// close.
///
/// A connection accepted between that report and the exit would be cut off, so a caller in the accept queue is not
/// accepted either.
pub(super) async fn next_caller(
    socket: &TcpListener,
    emptied: &mut watch::Receiver<bool>,
    closing: &mut watch::Receiver<bool>,
) -> Option<std::io::Result<TcpStream>> {
    tokio::select! {
        biased;
        _ = emptied.wait_for(|emptied| *emptied) => None,
        _ = closing.wait_for(|closing| *closing) => None,
        accepted = socket.accept() => Some(accepted.map(|(stream, _)| stream)),
    }
}

impl CallerListener {
    async fn place_jobs(self: Rc<Self>) {
        while let Ok(job) = self.parts.jobs.recv().await {
            let listener = self.clone();
            tokio::task::spawn_local(async move {
                let placed = listener.place_on_route(job.head, job.body, job.repeatable, None).await;
                let _ = job.reply.send(placed);
            });
        }
    }

    async fn watch_emptied(self: Rc<Self>) {
        let mut leaving = self.parts.leaving.clone();
        if leaving.wait_for(|leaving| *leaving).await.is_err() {
            return;
        }
        self.left_at.set(Some(Moment::now()));
        tokio::time::sleep(self.parts.linger).await;
        // The runs of the upstream beside this node may still call other services through it.
        let mut drained = self.parts.drained.clone();
        if drained.wait_for(|drained| *drained).await.is_err() {
            return;
        }
        while self.connections.get() > 0 || self.open_calls.get() > 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        self.parts.emptied.send_replace(true);
    }

    /// Logs that a connection was refused, unless another one was a moment ago.
    fn on_refused(&self, reason: &str, error: Option<&std::io::Error>) {
        if self.refusal_logged_at.get().is_some_and(|at| at.elapsed() < REFUSAL_LOG_INTERVAL) {
            return;
        }
        self.refusal_logged_at.set(Some(Instant::now()));
        let error = error.map(ToString::to_string);
        log::warn!(
            "event=caller.refused reason={reason} error={} connections={}",
            OrNone(error.as_ref().map(|error| Quoted(error))),
            self.connections.get()
        );
    }

    /// Returns the memory of a new connection, for which stalled and idle ones are closed if there is no room or too many
    /// are open.
    async fn admit(&self) -> Option<Charge> {
        let memory = &self.parts.memory;
        while self.connections.get() > self.parts.connections_max {
            if !memory.evict_one().await {
                return None;
            }
        }
        memory.charge(HeldKind::Connection, CONNECTION_BYTES as u64, Patience::Eviction).await
    }

    async fn serve(self: Rc<Self>, stream: TcpStream, mut charge: Charge, _counted: Counted) {
        let _ = stream.set_nodelay(true);
        let mut leaving = self.parts.leaving.clone();
        let idle_limit = idle_limit(&mut leaving, self.parts.linger);
        let client = self.parts.memory.add_client(&mut charge);
        pipeline::serve(stream, self.parts.head_limit, self.clone(), (charge, client), idle_limit).await;
    }

    async fn answer(self: Rc<Self>, parts: Parts, delivered: Option<Delivered>, request: Rc<OpenRequest>) -> Answer {
        let _open = Counted::new(self.open_calls.clone());
        let began = Instant::now();
        let answer = self.clone().handle(parts, delivered, &request).await;
        let metrics = &self.placer.metrics;
        metrics.call_seconds.observe(began.elapsed().as_secs_f64());
        let outcome = answer.headers().get(answer::OUTCOME_HEADER).and_then(|value| value.to_str().ok());
        metrics.calls.with_label_values(&[outcome.unwrap_or("unknown")]).inc();
        answer
    }

    async fn handle(self: Rc<Self>, parts: Parts, delivered: Option<Delivered>, request: &OpenRequest) -> Answer {
        let began = Instant::now();
        let given_id = self.parts.protocol.call_id(&parts.headers).unwrap_or(NO_CALL_ID);
        if self.open_calls.get() > OPEN_CALLS_MAX {
            return self.reject(Rejection { code: Code::Overloaded, status: 503 }, given_id, &parts);
        }
        let head_bytes = head_bytes(&parts, HEAD_COPIES, FIELD_BYTES);
        let Some(_head_charge) = self.parts.memory.try_charge(HeldKind::Head, head_bytes) else {
            return self.reject(MEMORY_FULL, given_id, &parts);
        };
        let in_force = self.placer.bundle.borrow().clone();
        let Some(in_force) = in_force else {
            return self.reject(Rejection { code: Code::NoBundle, status: 503 }, given_id, &parts);
        };
        let (call, body) = match self.read(&parts, delivered, request, &in_force).await {
            Ok(read) => read,
            Err(rejection) => {
                let is_conclusive = self.is_conclusive(&in_force);
                let rejection = if is_conclusive { rejection } else { rejection.under_inconclusive_bundle() };
                self.placer.metrics.bad_calls.inc_by(u64::from(rejection.code != Code::BundleUnconfirmed));
                return self.reject(rejection, given_id, &parts);
            }
        };
        let IncomingCall { mut head, given_ms, repeatable, attempts_max, .. } = call;
        head.made_by_run |= self.placer.is_nested(&head.route);
        let is_ranked_by_root = in_force.bundle.nested_rank == NestedRank::Root;
        let watch = is_ranked_by_root.then(|| self.placer.watch_outcome(&mut head, given_ms));
        if let (Some(given_ms), false) = (given_ms, head.made_by_run) {
            let waited_ms = self.placer.waited_ms(&head.route, given_ms);
            // Zero stands for a call without an objective, so one whose objective has passed keeps 1 ms.
            head.objective_ms = head.objective_ms.saturating_sub(waited_ms).max(head.objective_ms.min(1));
        }
        let call_id = head.call_id.clone();
        request.on_placed();
        let (route, service) = (head.route.clone(), head.service.clone());
        log::debug!("event=call.begin call={call_id} service={}", head.service);
        let mut placed = if self.outlasts_exit(head.deadline_ms) {
            Placed::Verdict(LEAVING)
        } else {
            self.place_within_quota(head, body, repeatable, attempts_max).await
        };
        if let Some(watch) = watch {
            self.placer.record_outcome(&watch, &placed);
        }
        if let Placed::Answer(head, _) = &mut placed {
            self.placer.departures.take_from(&mut head.headers, DepartureSource::Answer);
        }
        let code = code_of_placed(&placed);
        let answer = self.parts.protocol.of_placed(placed, &call_id);
        let level = if answer.status().is_success() { log::Level::Info } else { log::Level::Warn };
        log::log!(
            level,
            "event=call.end call={call_id} route={} service={} status={} code={} after_ms={} bundle={}",
            Quoted(&route),
            Quoted(&service),
            answer.status().as_u16(),
            OrNone(code),
            began.elapsed().as_millis(),
            in_force.number
        );
        answer
    }

    /// Returns whether calls may be rejected for good because of what a bundle lacks.
    fn is_conclusive(&self, in_force: &InForce) -> bool {
        let ListenerParts { confirmation, confirmation_age_max, .. } = &self.parts;
        confirmation.borrow().is_conclusive(in_force.number, *confirmation_age_max, now_us())
    }

    /// Returns whether a call that is accepted now may still run when this node exits.
    fn outlasts_exit(&self, deadline_ms: u32) -> bool {
        let left_at = self.left_at.get();
        left_at.is_some_and(|left_at| outlasts(left_at.elapsed(), deadline_ms, self.parts.drain))
    }

    /// Reads a call with its body.
    ///
    /// # Errors
    ///
    /// Returns the reason for which it is rejected.
    async fn read(
        &self,
        parts: &Parts,
        delivered: Option<Delivered>,
        request: &OpenRequest,
        in_force: &InForce,
    ) -> Result<(IncomingCall, Bytes), Rejection> {
        let cx = ReadContext {
            bundle: &in_force.bundle,
            new_id: &|| self.placer.next_attempt().to_string(),
            choose: &|route| self.choose(route),
            is_upstream_running: &|| self.placer.is_upstream_running(),
        };
        let mut call = self.parts.protocol.read(parts, &cx)?;
        call.head.origin = self.parts.service.clone();
        request.set_call_id(call.head.call_id.clone());
        let body = match delivered {
            Some(Delivered { body, connection }) => {
                let body = self.read_body(body, call.request_cap_bytes, &connection).await?;
                request.on_body_read();
                connection.on_read(call.repeatable);
                body
            }
            None => {
                request.on_body_read();
                Bytes::new()
            }
        };
        call.head.body_bytes = body.len() as u32;
        Ok((call, body))
    }

    /// Places a call if its client account is within its rate.
    async fn place_within_quota(
        &self,
        mut head: CallHead,
        body: Bytes,
        repeatable: bool,
        attempts_max: Option<u8>,
    ) -> Placed {
        let account = head.account.clone();
        if let Some(account) = &account {
            let began = Instant::now();
            if let Err(retry_after_ms) = self.quotas.admit(account).await {
                let proof = NeverRuns::unsent();
                return Placed::Verdict(Verdict::NotRun { proof, code: Code::OverRate, retry_after_ms });
            }
            let waited_ms = began.elapsed().as_millis() as u32;
            head.deadline_ms = head.deadline_ms.saturating_sub(waited_ms);
            head.objective_ms = head.objective_ms.saturating_sub(waited_ms).max(head.objective_ms.min(1));
        }
        let placed = match head.key {
            Some(_) => self.keyed.submit(head, body).await,
            None => self.place_on_route(head, body, repeatable, attempts_max).await,
        };
        if let (Some(account), Placed::Verdict(Verdict::NotRun { .. })) = (&account, &placed) {
            self.quotas.restore_credit(account);
        }
        placed
    }

    async fn place_on_route(&self, head: CallHead, body: Bytes, repeatable: bool, attempts_max: Option<u8>) -> Placed {
        let placer = &self.placer;
        let Some(mut rule) = placer.rule(&head.service, repeatable, attempts_max) else {
            return Placed::Verdict(SERVICE_UNKNOWN);
        };
        let route = head.route.clone();
        if !route.is_empty() {
            rule.demand = Some(placer.demand(&route, head.objective_ms));
        }
        let placed = placer.clone().place(head, body, rule).await;
        if let Placed::Answer(head, _) = &placed
            && !route.is_empty()
            && head.status < 400
        {
            placer.ran(&route, head.work_us);
        }
        placed
    }

    fn reject(&self, rejection: Rejection, call_id: &str, parts: &Parts) -> Answer {
        let in_force = self.placer.bundle.borrow().clone();
        let confirmation = self.parts.confirmation.borrow().clone();
        let host = parts.headers.get("host").and_then(|host| host.to_str().ok()).or(parts.uri.host()).unwrap_or("");
        log::warn!(
            "event=call.rejected call={call_id} code={} status={} host={} path={} bundle={} version={} published={} \
             confirmed_ms={} confirmed_by={}",
            rejection.code,
            rejection.status,
            Quoted(abbreviated(host)),
            Quoted(abbreviated(parts.uri.path())),
            in_force.as_ref().map_or(0, |in_force| in_force.number),
            OrNone(in_force.as_ref().map(|in_force| &in_force.version)),
            confirmation.published(),
            OrNone(confirmation.age(now_us()).map(|age| age.as_millis())),
            OrNone(confirmation.confirmed_by())
        );
        self.placer.metrics.rejected_calls.with_label_values(&[&rejection.code.to_string()]).inc();
        self.parts.protocol.of_rejection(rejection, call_id)
    }

    /// Chooses the service for the next call of a route.
    fn choose(&self, route: &HostRoute) -> Arc<str> {
        if let [only] = route.targets.as_slice() {
            return only.service.clone();
        }
        let Splits { pickers, rng } = &mut *self.splits.borrow_mut();
        let picker = pickers.entry(route.name.clone()).or_insert_with(|| SplitPicker::new(&route.targets, rng));
        route.targets[picker.next(&route.targets)].service.clone()
    }

    /// Reads the body of a call.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the call is rejected. None of the body was passed on then.
    async fn read_body(
        &self,
        body: Incoming,
        cap_bytes: usize,
        connection: &CallerConnection,
    ) -> Result<Bytes, Rejection> {
        let held_as = (HeldKind::Body, Patience::Eviction);
        let cap_bytes = cap_bytes.min(BODY_MAX_BYTES);
        let collecting =
            collect(body, cap_bytes, connection.account(), held_as, |bytes| connection.on_body_bytes(bytes));
        let collected = tokio::select! {
            biased;
            collected = timeout(self.parts.body_limit, collecting) => collected,
            () = connection.evicted() => Ok(Err(CollectError::NoRoom)),
        };
        match collected {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(CollectError::TooLarge)) => Err(Rejection { code: Code::BodyTooLarge, status: 413 }),
            Ok(Err(CollectError::NoRoom)) => Err(MEMORY_FULL),
            Ok(Err(CollectError::Broken)) => Err(Rejection { code: Code::BodyBroken, status: 400 }),
            Err(_) => Err(Rejection { code: Code::BodyBroken, status: 408 }),
        }
    }
}

/// Returns the beginning of a caller's text, up to the length that a log line may contain.
fn abbreviated(text: &str) -> &str {
    &text[..text.floor_char_boundary(LOGGED_MAX_BYTES)]
}

/// Returns the code of a call that has one: it failed, or it has no answer of a server.
fn code_of_placed(placed: &Placed) -> Option<Code> {
    match placed {
        Placed::Answer(head, _) => (head.code != 0).then(|| Code::of_number(head.code)),
        Placed::Verdict(Verdict::NotRun { code, .. } | Verdict::Unknown { code }) => Some(*code),
        Placed::Verdict(Verdict::Answer(_)) => None,
    }
}

/// Waits until the node leaves, and then for as long as an idle connection stays open.
async fn idle_limit(leaving: &mut watch::Receiver<bool>, linger: Duration) {
    if leaving.wait_for(|leaving| *leaving).await.is_err() {
        return std::future::pending().await;
    }
    tokio::time::sleep(linger.max(Duration::from_millis(IDLE_MIN_MS))).await;
}

/// Counts a call or a connection as open until it is dropped, also when its task is cancelled or panics.
pub(super) struct Counted(Rc<Cell<usize>>);

impl Counted {
    /// Increments `open`.
    pub(super) fn new(open: Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
