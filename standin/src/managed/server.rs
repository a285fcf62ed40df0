//! Stand-in of a server on the managed platform: heartbeats to the node beside it, its own id and
//! stamp on answers, its load, and faults by command.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use crate::client::Client;
use crate::web::{self, Answer, answer};

/// Time after the acknowledgement that the server drains in which work may still come, in
/// milliseconds: the platform's `drainTimeout` of the small sites.
const DRAIN_MS: u64 = 2_000;
/// Pause between two heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 200;
/// Pause before a port that is still taken is listened on again, in milliseconds.
const REBIND_MS: u64 = 5;

/// How a server spoils its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spoil {
    /// Not at all.
    Nothing,
    /// The answer carries the id of another request.
    OtherId,
    /// The answer says that its body is encoded.
    Encoded,
    /// A success without the server's stamp.
    NoStamp,
    /// The connection closes without an answer.
    Close,
    /// The request is not run, and the answer says so.
    Reject,
}

/// What tells one start of a server from the others, and where it stands.
#[derive(Debug, Clone, Copy)]
struct Life {
    /// Ids before this one; starts under the same id share it.
    generation: u64,
    /// When it began, in milliseconds since 1970.
    born_ms: u64,
    /// Heartbeats so far.
    sequence: u64,
}

impl Life {
    /// Begins a life that is not the first one.
    fn after(earlier: Self, generation: u64) -> Self {
        Self { generation, born_ms: wall_ms().max(earlier.born_ms + 1), sequence: 0 }
    }
}

/// Requests that crash the server, and for how long it is down then.
#[derive(Debug, Clone)]
struct Deadly {
    path: String,
    down: Duration,
}

/// A server with all its starts.
pub struct ManagedServer {
    /// Its id at its first start.
    id: String,
    life: Mutex<Life>,
    /// Until when it is cold.
    cold_until: Mutex<Option<Instant>>,
    /// When each request that it took while it was cold arrived.
    cold_arrivals: Mutex<Vec<Instant>>,
    /// When a node acknowledged that the server drains.
    drain_acknowledged: Mutex<Option<Instant>>,
    late_arrivals: AtomicU64,
    service: String,
    /// Where it listens.
    pub addr: SocketAddr,
    slots: usize,
    work_ms: AtomicU64,
    running: AtomicUsize,
    draining: AtomicBool,
    spoil: Mutex<Spoil>,
    /// How often each request id ran.
    runs: Mutex<BTreeMap<String, u64>>,
    /// Where runs make a call of their own, its path, and how many.
    calls: Mutex<Option<(SocketAddr, String, usize)>>,
    /// When each request arrived, whatever became of it, with its id.
    arrivals: Mutex<Vec<(Instant, String)>>,
    /// What came with the last request.
    seen: Mutex<BTreeMap<String, String>>,
    acknowledged: AtomicU64,
    abandoned: AtomicU64,
    rejected: AtomicU64,
    deadly: Mutex<Option<Deadly>>,
    /// When each run of a request began that crashes the server.
    deadly_runs: Mutex<Vec<Instant>>,
    /// The listener with its connections.
    listening: Mutex<Option<AbortHandle>>,
    /// Version of its software, as it announces it.
    version: Mutex<String>,
    /// Of how many runs one fails; zero for none.
    one_fails_in: AtomicU64,
    /// Whether it has crashed and is not back yet.
    down: AtomicBool,
    crashes: AtomicU64,
}

impl ManagedServer {
    /// Starts a server at an address, and its heartbeats to `control`.
    ///
    /// # Errors
    ///
    /// Returns why the address could not be listened on.
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
            life: Mutex::new(Life { generation: 0, born_ms: wall_ms(), sequence: 0 }),
            cold_until: Mutex::default(),
            cold_arrivals: Mutex::default(),
            drain_acknowledged: Mutex::new(None),
            late_arrivals: AtomicU64::new(0),
            service: service.to_owned(),
            addr,
            slots,
            work_ms: AtomicU64::new(20),
            running: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            spoil: Mutex::new(Spoil::Nothing),
            runs: Mutex::default(),
            calls: Mutex::default(),
            arrivals: Mutex::default(),
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
        tokio::spawn(server.clone().announce(control));
        Ok(server)
    }

    fn serve(self: Arc<Self>, listener: TcpListener) {
        let handler = self.clone();
        let serving = web::serve_on(listener, Duration::ZERO, move |request| handle(handler.clone(), request));
        let serving = tokio::spawn(serving).abort_handle();
        *self.listening.lock().unwrap_or_else(PoisonError::into_inner) = Some(serving);
    }

    /// Has requests for a path crash the server from now on; it is then down for this long.
    pub fn set_deadly(&self, path: &str, down: Duration) {
        let deadly = Deadly { path: path.to_owned(), down };
        *self.deadly.lock().unwrap_or_else(PoisonError::into_inner) = Some(deadly);
    }

    /// Repairs the server: no request crashes it any more.
    pub fn repair(&self) {
        *self.deadly.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Returns for how long a request for a path takes the server down, if it does.
    fn deadly_down(&self, path: &str) -> Option<Duration> {
        let deadly = self.deadly.lock().unwrap_or_else(PoisonError::into_inner);
        deadly.as_ref().filter(|deadly| deadly.path == path).map(|deadly| deadly.down)
    }

    /// Returns when each run of a request began that crashed the server.
    pub fn deadly_runs(&self) -> Vec<Instant> {
        self.deadly_runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns how often the server has crashed.
    pub fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::Relaxed)
    }

    /// Crashes: all connections and the port close at once, and it is back under another id after `down`.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        if self.down.swap(true, Ordering::Relaxed) {
            return;
        }
        self.crashes.fetch_add(1, Ordering::Relaxed);
        if let Some(listening) = self.listening.lock().unwrap_or_else(PoisonError::into_inner).take() {
            listening.abort();
        }
        tokio::spawn(self.clone().come_back(down));
    }

    async fn come_back(self: Arc<Self>, down: Duration) {
        tokio::time::sleep(down).await;
        let listener = loop {
            match TcpListener::bind(self.addr).await {
                Ok(listener) => break listener,
                Err(_) => tokio::time::sleep(Duration::from_millis(REBIND_MS)).await,
            }
        };
        self.start_again();
        self.down.store(false, Ordering::Relaxed);
        self.serve(listener);
    }

    /// Sets the version that it announces.
    pub fn set_version(&self, version: &str) {
        *self.version.lock().unwrap_or_else(PoisonError::into_inner) = version.to_owned();
    }

    /// Lets one of so many runs fail from now on.
    pub fn set_failing(&self, one_in: u64) {
        self.one_fails_in.store(one_in, Ordering::Relaxed);
    }

    /// Returns whether the next run fails.
    fn fails_next(&self) -> bool {
        let one_in = self.one_fails_in.load(Ordering::Relaxed);
        let runs: u64 = self.runs.lock().unwrap_or_else(PoisonError::into_inner).values().sum();
        one_in > 0 && runs.is_multiple_of(one_in)
    }

    /// Sets how long each request takes, in milliseconds.
    pub fn set_work_ms(&self, work_ms: u64) {
        self.work_ms.store(work_ms, Ordering::Relaxed);
    }

    /// Lets each run make `count` calls of its own to `path` through a node's listener for callers.
    pub fn set_calls(&self, node: SocketAddr, path: &str, count: usize) {
        let calls = Some((node, path.to_owned(), count));
        *self.calls.lock().unwrap_or_else(PoisonError::into_inner) = calls;
    }

    /// Makes the calls of one run, one after the other.
    async fn call_others(&self, id: &str) {
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let Some((node, path, count)) = calls else {
            return;
        };
        for number in 0..count {
            let id = format!("{id}.{number}");
            let headers = [("host", "farm.example"), ("x-request-id", &*id), ("x-deadline-milliseconds", "1000")];
            // A run goes on without what it could not learn.
            let _ = Client::new(node).call("GET", &path, &headers, String::new()).await;
        }
    }

    /// Says from now on that the server is draining.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the id of the present start.
    pub fn id(&self) -> String {
        self.id_of(*self.life())
    }

    fn id_of(&self, life: Life) -> String {
        match life.generation {
            0 => self.id.clone(),
            generation => format!("{}-{generation}", self.id),
        }
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends and starts again under another id; what still runs ends well.
    pub fn start_again(&self) {
        let generation = self.life().generation + 1;
        self.begin_life(generation);
    }

    /// Crashes and starts again under the id that it had, knowing nothing of before.
    pub fn reborn(&self) {
        let generation = self.life().generation;
        self.begin_life(generation);
    }

    fn begin_life(&self, generation: u64) {
        *self.acknowledged_drain() = None;
        let mut life = self.life();
        *life = Life::after(*life, generation);
        self.draining.store(false, Ordering::Relaxed);
    }

    /// Turns cold for this long from now on.
    pub fn turn_cold(&self, cold: Duration) {
        *self.cold_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now() + cold);
    }

    /// Returns how much longer the server is cold.
    fn cold_left(&self) -> Duration {
        let until = *self.cold_until.lock().unwrap_or_else(PoisonError::into_inner);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(Instant::now()))
    }

    /// Returns the most requests that arrived within one second while the server was cold.
    pub fn most_while_cold(&self) -> usize {
        let arrivals = self.cold_arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        let within = |first: &Instant| {
            let until = *first + Duration::from_secs(1);
            arrivals.iter().filter(|at| *at >= first && **at < until).count()
        };
        arrivals.iter().map(within).max().unwrap_or(0)
    }

    /// Returns whether the server says that it is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns how many requests came later than they may after a drain was acknowledged.
    pub fn late_arrivals(&self) -> u64 {
        self.late_arrivals.load(Ordering::Relaxed)
    }

    fn acknowledged_drain(&self) -> MutexGuard<'_, Option<Instant>> {
        self.drain_acknowledged.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets how answers are spoilt.
    pub fn set_spoil(&self, spoil: Spoil) {
        *self.spoil.lock().unwrap_or_else(PoisonError::into_inner) = spoil;
    }

    /// Returns how often each request id ran.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns when each request arrived, whatever became of it, with its id.
    pub fn arrivals(&self) -> Vec<(Instant, String)> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the headers of the last request.
    pub fn seen(&self) -> BTreeMap<String, String> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns how many heartbeats were acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::Relaxed)
    }

    /// Returns how many runs were given up because their connection closed.
    pub fn abandoned(&self) -> u64 {
        self.abandoned.load(Ordering::Relaxed)
    }

    /// Returns how many requests were rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    async fn announce(self: Arc<Self>, control: SocketAddr) {
        loop {
            if self.down.load(Ordering::Relaxed) {
                tokio::time::sleep(Duration::from_millis(REBIND_MS)).await;
                continue;
            }
            let (life, draining) = {
                let mut life = self.life();
                life.sequence += 1;
                (*life, self.is_draining())
            };
            let id = self.id_of(life);
            let state = if draining { "draining" } else { "ready" };
            let version = self.version.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let heartbeat = json!({
                "service": self.service, "address": self.addr, "zone": "kranj", "version": version,
                "slots": self.slots, "state": state, "cold_ms": self.cold_left().as_millis() as u64,
                "sequence": life.sequence, "born": life.born_ms,
            });
            let path = format!("/api/instances/{}/heartbeat", id);
            let sent = Client::new(control).call("POST", &path, &[], heartbeat.to_string()).await;
            if sent.is_ok_and(|reply| reply.status == 200) {
                self.acknowledged.fetch_add(1, Ordering::Relaxed);
                if draining && id == self.id() {
                    self.acknowledged_drain().get_or_insert_with(Instant::now);
                }
            }
            tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
        }
    }
}

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Counts a run as given up unless it is told that it ended.
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
    if request.uri().path() == "/health" {
        let status = if server.draining.load(Ordering::Relaxed) { 503 } else { 200 };
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
    server.arrivals.lock().map_err(|_| "poisoned")?.push((Instant::now(), id.clone()));
    let instance = server.id();
    if text("x-expected-instance") != instance {
        let mut reply = answer(421, "");
        reply.headers_mut().insert("x-request-id", HeaderValue::from_str(&id)?);
        return Ok(reply);
    }
    if !server.cold_left().is_zero() {
        server.cold_arrivals.lock().map_err(|_| "poisoned")?.push(Instant::now());
    }
    let drained = server.acknowledged_drain().is_some_and(|since| since.elapsed() > Duration::from_millis(DRAIN_MS));
    server.late_arrivals.fetch_add(u64::from(drained), Ordering::Relaxed);
    let deadly_down = server.deadly_down(request.uri().path());
    let headers = request.headers().iter();
    let seen = headers.map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned())).collect();
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
    if deadly_down.is_some() {
        server.deadly_runs.lock().map_err(|_| "poisoned")?.push(Instant::now());
    }
    server.call_others(&id).await;
    tokio::time::sleep(Duration::from_millis(server.work_ms.load(Ordering::Relaxed))).await;
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
