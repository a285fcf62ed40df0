//! Stand-in of a server, with slots, a service time, a noisy neighbour and injected faults.
//!
//! Requests for all other paths are run: a run takes a slot, waits for the service time, and answers with its number
//! and the request's body. `GET /_runs` returns the number of runs by key; `GET /_stats` returns the number of runs, in
//! total, in progress, and at most at once. `POST /_fault` sets the faults: `stall_ms=N`, `slow_us=N` (added to every
//! run), `fail=1` (answers 500 at once), `leaving=1` (announced on answers) and `mute=1` (never answers); faults
//! that aren't given end.
//! 500 at once), `leaving=1`, `mute=1` (runs and never answers) or nothing (well again).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::json;
use tokio::sync::Semaphore;

use crate::web::{self, Answer, answer};

/// Settings of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerSettings {
    /// Address that the server listens on.
    pub addr: SocketAddr,
    /// Number of calls that run at the same time.
    pub slots: usize,
    /// Mean service time of a run.
    pub service_us: u64,
    /// Maximum deviation of the service time from its mean.
    pub jitter_percent: u64,
    /// Delay before the first request on a new connection.
    pub connect_us: u64,
    /// Mean pause between two stalls caused by a noisy neighbour; zero means no stalls.
    pub noise_every_ms: u64,
    /// Seed of random choices.
    pub seed: u64,
}

#[derive(Default)]
struct Faults {
    stall_until: Option<Instant>,
    slow_us: u64,
    fail: bool,
    leaving: bool,
    mute: bool,
}

struct Server {
    settings: ServerSettings,
    slots: Semaphore,
    running: AtomicU64,
    most: AtomicU64,
    count: AtomicU64,
    runs: Mutex<BTreeMap<String, u64>>,
    faults: Mutex<Faults>,
    rng: Mutex<fastrand::Rng>,
}

/// Serves until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run(settings: ServerSettings) -> std::io::Result<()> {
    let server = Arc::new(Server {
        settings,
        slots: Semaphore::new(settings.slots),
        running: AtomicU64::new(0),
        most: AtomicU64::new(0),
        count: AtomicU64::new(0),
        runs: Mutex::new(BTreeMap::new()),
        faults: Mutex::new(Faults::default()),
        rng: Mutex::new(fastrand::Rng::with_seed(settings.seed)),
    });
    if settings.noise_every_ms > 0 {
        tokio::spawn(noise(server.clone()));
    }
    let connect = Duration::from_micros(settings.connect_us);
    web::serve(settings.addr, connect, move |request| handle(server.clone(), request)).await
}

/// Stalls the whole server at random times for 1 to 50 ms.
async fn noise(server: Arc<Server>) {
    loop {
        let (pause_ms, stall_ms) = {
            let Ok(mut rng) = server.rng.lock() else {
                return;
            };
            let mean_ms = server.settings.noise_every_ms as f64;
            ((-rng.f64().max(1e-9).ln() * mean_ms) as u64, rng.u64(1..=50))
        };
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        if let Ok(mut faults) = server.faults.lock() {
            faults.stall_until = Some(Instant::now() + Duration::from_millis(stall_ms));
        }
        tokio::time::sleep(Duration::from_millis(stall_ms)).await;
    }
}

/// Counts a run in progress until it is dropped, because it ended or its caller closed the connection.
struct Running<'a>(&'a Server);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn handle(server: Arc<Server>, request: Request<Incoming>) -> Answer {
    let query = web::query(request.uri());
    match request.uri().path() {
        "/_fault" => {
            let number = |key| web::number(&query, key).unwrap_or(0);
            let stall_ms = number("stall_ms");
            let faults = Faults {
                stall_until: (stall_ms > 0).then(|| Instant::now() + Duration::from_millis(stall_ms)),
                slow_us: number("slow_us"),
                fail: number("fail") > 0,
                leaving: number("leaving") > 0,
                mute: number("mute") > 0,
            };
            *server.faults.lock().map_err(|_| "poisoned")? = faults;
            return Ok(answer(200, ""));
        }
        "/_runs" => {
            let runs = server.runs.lock().map_err(|_| "poisoned")?;
            return Ok(answer(200, json!(*runs).to_string()));
        }
        "/_stats" => {
            let most = server.most.load(Ordering::Relaxed);
            let count = server.count.load(Ordering::Relaxed);
            let running = server.running.load(Ordering::Relaxed);
            return Ok(answer(200, json!({ "most": most, "runs": count, "running": running }).to_string()));
        }
        _ => {}
    }
    work(&server, request).await
}

async fn work(server: &Server, request: Request<Incoming>) -> Answer {
    let key = request.headers().get("idempotency-key").and_then(|key| key.to_str().ok()).map(str::to_owned);
    let attempt = request.headers().get("valetrack-attempt").cloned();
    let body = request.into_body().collect().await?.to_bytes();
    let running = server.running.fetch_add(1, Ordering::Relaxed) + 1;
    let _running = Running(server);
    server.most.fetch_max(running, Ordering::Relaxed);
    let number = server.count.fetch_add(1, Ordering::Relaxed) + 1;
    if let Some(key) = key {
        *server.runs.lock().map_err(|_| "poisoned")?.entry(key).or_insert(0) += 1;
    }
    let (slow_us, fail, leaving, mute) = {
        let faults = server.faults.lock().map_err(|_| "poisoned")?;
        (faults.slow_us, faults.fail, faults.leaving, faults.mute)
    };
    if mute {
        std::future::pending::<()>().await;
    }
    if !fail {
        let _slot = server.slots.acquire().await?;
        server.stall().await;
        let work = server.service_time(slow_us);
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
        server.stall().await;
    }
    let mut reply = answer(if fail { 500 } else { 200 }, body);
    reply.headers_mut().insert("standin-run", number.into());
    if let Some(attempt) = attempt {
        reply.headers_mut().insert("valetrack-attempt", attempt);
    }
    if leaving {
        reply.headers_mut().insert("valetrack-leaving", hyper::header::HeaderValue::from_static("true"));
    }
    Ok(reply)
}

impl Server {
    async fn stall(&self) {
        loop {
            let until = self.faults.lock().ok().and_then(|faults| faults.stall_until);
            match until {
                Some(until) if until > Instant::now() => tokio::time::sleep_until(until.into()).await,
                Some(_) | None => return,
            }
        }
    }

    fn service_time(&self, slow_us: u64) -> Duration {
        let ServerSettings { service_us, jitter_percent, .. } = self.settings;
        let spread_us = service_us * jitter_percent / 100;
        let varied_us = match self.rng.lock() {
            Ok(mut rng) => service_us - spread_us + rng.u64(0..=2 * spread_us),
            Err(_) => service_us,
        };
        Duration::from_micros(varied_us + slow_us)
    }
}
