//! Stand-in of a server on the managed platform: it sends heartbeats to the node beside it, puts its id, stamp and load
//! on answers, and has faults injected by method calls.

mod announcement;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Request, Response};
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use self::announcement::{Incarnation, wall_ms};
use super::limit::{LimitBreach, NamedLimits};
use crate::client::Client;
use crate::web::{self, Answer, answer};

/// Time after the acknowledgement of a drain in which work may still arrive: the platform's `drainTimeout` of the small
/// sites.
const DRAIN_MS: u64 = 2_000;
/// Pause before another attempt to bind a port that is still in use.
const REBIND_MS: u64 = 5;

/// Longest body of a request that is sent back; a longer one is answered with its length.
const ECHO_MAX_BYTES: usize = 64 * 1024;

/// Time limit of a request that states none.
const DEADLINE_DEFAULT_MS: u64 = 1_000;

/// How a server spoils its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spoil {
    /// Answers are correct.
    Nothing,
    /// The answer has the id of another request.
    OtherId,
    /// The answer claims that its body is encoded.
    Encoded,
    /// The answer is a success without the server's stamp.
    NoStamp,
    /// The connection closes without an answer.
    Close,
    /// The request isn't run, and the answer states this.
    Reject,
}

/// A departure that the server states in its answers.
#[derive(Debug, Clone, Copy, Default)]
struct Leaving {
    /// When an answer first stated it.
    answered: Option<Instant>,
}

/// Requests that crash the server, and the downtime after the crash.
#[derive(Debug, Clone)]
struct Deadly {
    path: String,
    down: Duration,
}

/// A server across all its incarnations.
pub struct ManagedServer {
    /// Id of the first incarnation.
    id: String,
    incarnation: Mutex<Incarnation>,
    /// Difference of the VM's clock to the time of day.
    clock_ahead_ms: AtomicI64,
    /// End of the cold phase.
    cold_until: Mutex<Option<Instant>>,
    /// Arrival times of the requests that arrived while the server was cold.
    cold_arrivals: Mutex<Vec<Instant>>,
    /// Time at which a node acknowledged that the server is draining.
    drain_acknowledged: Mutex<Option<Instant>>,
    late_arrivals: AtomicU64,
    service: String,
    /// Address that the server listens on.
    pub addr: SocketAddr,
    slots: usize,
    work_ms: AtomicU64,
    /// Length of the answers to requests without a body; zero for the default answer.
    answer_bytes: AtomicUsize,
    /// Delay of the answers to health checks.
    health_ms: AtomicU64,
    running: AtomicUsize,
    draining: AtomicBool,
    /// Whether the server sends no heartbeats.
    silent: AtomicBool,
    /// Whether health checks succeed while the server is draining.
    health_lies: AtomicBool,
    /// Address to which the server sends announcements.
    control: SocketAddr,
    /// When an answer of the present incarnation first stated that the server leaves; `None` if it does not leave.
    leaving: Mutex<Option<Leaving>>,
    limits: Mutex<NamedLimits>,
    spoil: Mutex<Spoil>,
    /// Number of runs by request id.
    runs: Mutex<BTreeMap<String, u64>>,
    /// Nested calls of each run: the address they are sent to, their path and their number.
    calls: Mutex<Option<(SocketAddr, String, usize)>>,
    /// Whether a run makes its nested calls after its own work.
    calls_last: AtomicBool,
    /// Arrival time and id of each request, whatever its outcome.
    arrivals: Mutex<Vec<(Instant, String)>>,
    /// Start time and id of each run.
    run_starts: Mutex<Vec<(Instant, String)>>,
    /// Text that no request may contain in its headers or its path, if it is set.
    secret: Mutex<Option<String>>,
    secrets_seen: AtomicU64,
    /// Headers of the last request.
    seen: Mutex<BTreeMap<String, String>>,
    acknowledged: AtomicU64,
    abandoned: AtomicU64,
    rejected: AtomicU64,
    deadly: Mutex<Option<Deadly>>,
    /// Start times of the runs that crash the server.
    deadly_runs: Mutex<Vec<Instant>>,
    /// Task of the listener and its connections.
    listening: Mutex<Option<AbortHandle>>,
    /// Software version that the server announces.
    version: Mutex<String>,
    /// One in this many runs fails; zero means none.
    one_fails_in: AtomicU64,
    /// Whether the server has crashed and has not restarted yet.
    down: AtomicBool,
    crashes: AtomicU64,
}

impl ManagedServer {
    /// Starts a server at an address, and its heartbeats to `control`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        id: &str,
        service: &str,
        addr: SocketAddr,
        slots: usize,
        control: SocketAddr,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(addr).await?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            incarnation: Mutex::new(Incarnation { generation: 0, born_ms: wall_ms(), sequence: 0 }),
            clock_ahead_ms: AtomicI64::new(0),
            cold_until: Mutex::default(),
            cold_arrivals: Mutex::default(),
            drain_acknowledged: Mutex::new(None),
            late_arrivals: AtomicU64::new(0),
            service: service.to_owned(),
            addr,
            slots,
            work_ms: AtomicU64::new(20),
            answer_bytes: AtomicUsize::new(0),
            health_ms: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            health_lies: AtomicBool::new(false),
            control,
            leaving: Mutex::default(),
            limits: Mutex::default(),
            spoil: Mutex::new(Spoil::Nothing),
            runs: Mutex::default(),
            calls: Mutex::default(),
            calls_last: AtomicBool::new(false),
            arrivals: Mutex::default(),
            run_starts: Mutex::default(),
            secret: Mutex::default(),
            secrets_seen: AtomicU64::new(0),
            seen: Mutex::default(),
            acknowledged: AtomicU64::new(0),
            abandoned: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            deadly: Mutex::default(),
            deadly_runs: Mutex::default(),
            listening: Mutex::default(),
            version: Mutex::new("v1".to_owned()),
            one_fails_in: AtomicU64::new(0),
            down: AtomicBool::new(false),
            crashes: AtomicU64::new(0),
        });
        server.clone().serve(listener);
        tokio::spawn(server.clone().announce());
        Ok(server)
    }

    fn serve(self: Arc<Self>, listener: TcpListener) {
        let handler = self.clone();
        let serving = web::serve_on(listener, Duration::ZERO, move |request| handle(handler.clone(), request));
        let serving = tokio::spawn(serving).abort_handle();
        *self.listening.lock().unwrap_or_else(PoisonError::into_inner) = Some(serving);
    }

    /// Makes requests for a path crash the server from now on, with this downtime.
    pub fn set_deadly(&self, path: &str, down: Duration) {
        let deadly = Deadly { path: path.to_owned(), down };
        *self.deadly.lock().unwrap_or_else(PoisonError::into_inner) = Some(deadly);
    }

    /// Repairs the server: requests no longer crash it.
    pub fn repair(&self) {
        *self.deadly.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Returns the downtime after a request for a path, if such a request crashes the server.
    fn deadly_down(&self, path: &str) -> Option<Duration> {
        let deadly = self.deadly.lock().unwrap_or_else(PoisonError::into_inner);
        deadly.as_ref().filter(|deadly| deadly.path == path).map(|deadly| deadly.down)
    }

    /// Returns the start times of the runs that crash the server.
    pub fn deadly_runs(&self) -> Vec<Instant> {
        self.deadly_runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::Relaxed)
    }

    /// Crashes the server: all connections and the port close at once, and it restarts under another id after `down`.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        if self.down.swap(true, Ordering::Relaxed) {
            return;
        }
        self.crashes.fetch_add(1, Ordering::Relaxed);
        if let Some(listening) = self.listening.lock().unwrap_or_else(PoisonError::into_inner).take() {
            listening.abort();
        }
        tokio::spawn(self.clone().restart_after(down));
    }

    async fn restart_after(self: Arc<Self>, down: Duration) {
        tokio::time::sleep(down).await;
        let listener = loop {
            match TcpListener::bind(self.addr).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(REBIND_MS)).await,
            }
        };
        self.restart_with_new_id();
        self.down.store(false, Ordering::Relaxed);
        self.serve(listener);
    }

    /// Sets the software version that the server announces.
    pub fn set_version(&self, version: &str) {
        *self.version.lock().unwrap_or_else(PoisonError::into_inner) = version.to_owned();
    }

    /// Makes one in `one_in` runs fail from now on; zero means none.
    pub fn set_failing(&self, one_in: u64) {
        self.one_fails_in.store(one_in, Ordering::Relaxed);
    }

    /// Returns whether the next run fails.
    fn fails_next(&self) -> bool {
        let one_in = self.one_fails_in.load(Ordering::Relaxed);
        let runs: u64 = self.runs.lock().unwrap_or_else(PoisonError::into_inner).values().sum();
        one_in > 0 && runs.is_multiple_of(one_in)
    }

    /// Sets the duration of each run.
    pub fn set_work_ms(&self, work_ms: u64) {
        self.work_ms.store(work_ms, Ordering::Relaxed);
    }

    /// Sets the length of the answers to requests without a body; zero restores the default answer.
    pub fn set_answer_bytes(&self, answer_bytes: usize) {
        self.answer_bytes.store(answer_bytes, Ordering::Relaxed);
    }

    /// Sets the delay of the answers to health checks.
    pub fn set_health_ms(&self, health_ms: u64) {
        self.health_ms.store(health_ms, Ordering::Relaxed);
    }

    /// Makes each run send `count` nested calls for `path` to the caller listener of a node.
    pub fn set_calls(&self, node: SocketAddr, path: &str, count: usize) {
        let calls = Some((node, path.to_owned(), count));
        *self.calls.lock().unwrap_or_else(PoisonError::into_inner) = calls;
    }

    /// Makes each run send its nested calls after its own work.
    pub fn set_calls_last(&self) {
        self.calls_last.store(true, Ordering::Relaxed);
    }

    /// Makes the nested calls of one run, one after the other. They end at the deadline of the call that runs.
    async fn make_nested_calls(&self, id: &str, deadline: Instant) {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let Some((node, path, count)) = calls else {
            return;
        };
        for number in 0..count {
            let id = format!("{id}.{number}");
            let left_ms = deadline.saturating_duration_since(Instant::now()).as_millis();
            if left_ms == 0 {
                return;
            }
            let left_ms = left_ms.to_string();
            let headers = [("host", "farm.example"), ("x-request-id", &*id), ("x-deadline-milliseconds", &*left_ms)];
            // A failed nested call doesn't end the run.
            let _ = Client::new(node).call("GET", &path, &headers, String::new()).await;
        }
    }

    /// States in all answers from now on that the server leaves; heartbeats do not announce it.
    pub fn leave_by_answer(&self) {
        *self.leaving.lock().unwrap_or_else(PoisonError::into_inner) = Some(Leaving::default());
    }

    /// Returns whether the server states in its answers that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }

    /// Names a rate limit in all answers from now on by the text of its header, or none.
    pub fn set_limit(&self, text: Option<&str>) {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner).set(text, Instant::now());
    }

    /// Returns the worst window with more requests than the limit that was named in answers allows.
    pub fn limit_breach(&self) -> Option<LimitBreach> {
        let arrivals: Vec<Instant> = self.arrivals().into_iter().map(|(at, _)| at).collect();
        self.limits.lock().unwrap_or_else(PoisonError::into_inner).breach(&arrivals)
    }

    /// Returns the number of requests that arrived after `at`.
    pub fn arrivals_after(&self, at: Instant) -> usize {
        self.arrivals().iter().filter(|(arrived, _)| *arrived > at).count()
    }

    /// Returns whether an answer stated at least the drain time ago that the server leaves.
    fn has_left_by_answer(&self) -> bool {
        let leaving = *self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        let answered = leaving.and_then(|leaving| leaving.answered);
        answered.is_some_and(|answered| answered.elapsed() > Duration::from_millis(DRAIN_MS))
    }

    /// Adds the headers that every answer has.
    fn add_state_headers(&self, reply: &mut Response<web::Body>) -> Result<(), web::Abort> {
        let now = Instant::now();
        if let Some(text) = self.limits.lock().unwrap_or_else(PoisonError::into_inner).answer(now) {
            reply.headers_mut().insert("server-limit", HeaderValue::from_str(&text)?);
        }
        if let Some(leaving) = &mut *self.leaving.lock().unwrap_or_else(PoisonError::into_inner) {
            leaving.answered.get_or_insert(now);
            reply.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
        }
        Ok(())
    }

    /// Makes the server cold for this long from now on.
    pub fn turn_cold(&self, cold: Duration) {
        *self.cold_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now() + cold);
    }

    /// Returns the remaining time for which the server is cold.
    fn cold_left(&self) -> Duration {
        let until = *self.cold_until.lock().unwrap_or_else(PoisonError::into_inner);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    /// Returns the maximum number of requests that arrived within one second while the server was cold.
    pub fn max_arrivals_per_s_while_cold(&self) -> usize {
        let arrivals = self.cold_arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let within = |first: &Instant| {
            let until = *first + Duration::from_secs(1);
            arrivals.iter().filter(|at| *at >= first && **at < until).count()
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    }

    /// Returns whether the server announces that it is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that arrived later than allowed after a drain was acknowledged.
    pub fn late_arrivals(&self) -> u64 {
        self.late_arrivals.load(Ordering::Relaxed)
    }

    /// Sets how answers are spoilt.
    pub fn set_spoil(&self, spoil: Spoil) {
        *self.spoil.lock().unwrap_or_else(PoisonError::into_inner) = spoil;
    }

    /// Returns the number of runs by request id.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the arrival time and id of each request, whatever its outcome.
    pub fn arrivals(&self) -> Vec<(Instant, String)> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the start time and id of each run.
    pub fn run_starts(&self) -> Vec<(Instant, String)> {
        self.run_starts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets a text that no request may contain, such as a part of all keys.
    pub fn set_secret(&self, text: &str) {
        *self.secret.lock().unwrap_or_else(PoisonError::into_inner) = Some(text.to_owned());
    }

    /// Returns the number of requests whose headers or path contained the secret text.
    pub fn secrets_seen(&self) -> u64 {
        self.secrets_seen.load(Ordering::Relaxed)
    }

    /// Returns the headers of the last request.
    pub fn seen(&self) -> BTreeMap<String, String> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the number of acknowledged heartbeats.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::Relaxed)
    }

    /// Returns the number of runs that were abandoned because their connection closed.
    pub fn abandoned(&self) -> u64 {
        self.abandoned.load(Ordering::Relaxed)
    }

    /// Returns the number of rejected requests.
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }
}

/// A run in progress; counted as abandoned if it is dropped before `ended` is set.
struct Run<'a> {
    server: &'a ManagedServer,
    ended: bool,
}

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.server.running.fetch_sub(1, Ordering::Relaxed);
        if !self.ended {
            self.server.abandoned.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn handle(server: Arc<ManagedServer>, request: Request<Incoming>) -> Answer {
    let mut reply = handle_request(server.clone(), request).await?;
    server.add_state_headers(&mut reply)?;
    Ok(reply)
}

async fn handle_request(server: Arc<ManagedServer>, request: Request<Incoming>) -> Answer {
    if request.uri().path() == "/health" {
        tokio::time::sleep(Duration::from_millis(server.health_ms.load(Ordering::Relaxed))).await;
        let refuses = server.draining.load(Ordering::Relaxed) && !server.health_lies.load(Ordering::Relaxed);
        let status = if refuses { 503 } else { 200 };
        let mut reply = answer(status, "");
        reply.headers_mut().insert("x-instance-id", HeaderValue::from_str(&server.id())?);
        let cold_ms = server.cold_left().as_millis() as u64;
        if cold_ms > 0 {
            reply.headers_mut().insert("x-cold-remaining", HeaderValue::from(cold_ms));
        }
        return Ok(reply);
    }
    let text = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let id = text("x-request-id");
    let limit_ms = text("x-deadline-milliseconds").parse().unwrap_or(DEADLINE_DEFAULT_MS);
    let deadline = Instant::now() + Duration::from_millis(limit_ms);
    server.arrivals.lock().map_err(|_| "poisoned")?.push((Instant::now(), id.clone()));
    let headers = request.headers().iter();
    let seen: BTreeMap<String, String> =
        headers.map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned())).collect();
    let secret = server.secret.lock().map_err(|_| "poisoned")?.clone().unwrap_or_default();
    let has_secret = |text: &str| !secret.is_empty() && text.contains(&secret);
    let leaked = has_secret(request.uri().path()) || seen.values().any(|value| has_secret(value));
    server.secrets_seen.fetch_add(u64::from(leaked), Ordering::Relaxed);
    let instance = server.id();
    if text("x-expected-instance") != instance {
        let mut reply = answer(421, "");
        reply.headers_mut().insert("x-request-id", HeaderValue::from_str(&id)?);
        return Ok(reply);
    }
    if !server.cold_left().is_zero() {
        server.cold_arrivals.lock().map_err(|_| "poisoned")?.push(Instant::now());
    }
    let drained = server.has_left_by_answer()
        || server.acknowledged_drain().is_some_and(|since| since.elapsed() > Duration::from_millis(DRAIN_MS));
    server.late_arrivals.fetch_add(u64::from(drained), Ordering::Relaxed);
    let deadly_down = server.deadly_down(request.uri().path());
    let query = request.uri().query().map(|query| Bytes::from(query.to_owned()));
    *server.seen.lock().map_err(|_| "poisoned")? = seen;
    let body = request.into_body().collect().await?.to_bytes();
    let spoil = *server.spoil.lock().map_err(|_| "poisoned")?;
    if spoil == Spoil::Reject {
        server.rejected.fetch_add(1, Ordering::Relaxed);
        let mut reply = answer(503, "");
        reply.headers_mut().insert("x-request-id", HeaderValue::from_str(&id)?);
        reply.headers_mut().insert("x-not-executed", HeaderValue::from_static("1"));
        return Ok(reply);
    }
    let running = server.running.fetch_add(1, Ordering::Relaxed) + 1;
    let mut run = Run { server: &server, ended: false };
    *server.runs.lock().map_err(|_| "poisoned")?.entry(id.clone()).or_insert(0) += 1;
    server.run_starts.lock().map_err(|_| "poisoned")?.push((Instant::now(), id.clone()));
    if deadly_down.is_some() {
        server.deadly_runs.lock().map_err(|_| "poisoned")?.push(Instant::now());
    }
    let calls_last = server.calls_last.load(Ordering::Relaxed);
    if !calls_last {
        server.make_nested_calls(&id, deadline).await;
    }
    tokio::time::sleep(Duration::from_millis(server.work_ms.load(Ordering::Relaxed))).await;
    if calls_last {
        server.make_nested_calls(&id, deadline).await;
    }
    if let Some(down) = deadly_down {
        server.crash(down);
        return Err("crashed".into());
    }
    run.ended = true;
    let spoil = *server.spoil.lock().map_err(|_| "poisoned")?;
    if spoil == Spoil::Close {
        return Err("closed".into());
    }
    let status = if server.fails_next() { 500 } else { 200 };
    // A request without a body is recognized by the query in its answer.
    let answer_bytes = server.answer_bytes.load(Ordering::Relaxed);
    let body = match body.is_empty() {
        true if answer_bytes > 0 => Bytes::from(vec![b'a'; answer_bytes]),
        true => query.unwrap_or_default(),
        // The length of a long body is enough to show that it arrived whole.
        false if body.len() > ECHO_MAX_BYTES => Bytes::from(body.len().to_string()),
        false => body,
    };
    let mut reply = answer(status, body);
    let headers = reply.headers_mut();
    let id = if spoil == Spoil::OtherId { "another".to_owned() } else { id };
    headers.insert("x-request-id", HeaderValue::from_str(&id)?);
    headers.insert("x-server-load", HeaderValue::from_str(&format!("{running},0,{},100", server.slots))?);
    if spoil != Spoil::NoStamp {
        headers.insert("x-server-stamp", HeaderValue::from_str(&instance)?);
    }
    if spoil == Spoil::Encoded {
        headers.insert("content-encoding", HeaderValue::from_static("br"));
    }
    Ok(reply)
}
