//! The load tool: an open-loop generator, whose arrivals don't wait for answers.
//!
//! Latency is measured from the time at which a call was due, so it includes pauses of the tool and of the system under
//! test.

mod plot;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::json;
use tokio::time::{Instant, sleep_until};

use crate::client::Client;

pub use plot::{Series, quantiles, write as write_plot};

/// Highest latency that the histogram records; longer ones are counted as this.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Two steps of the runtime's timer.
const TIMER_STEP: Duration = Duration::from_millis(2);
/// Maximum number of calls in flight; further calls are counted as failed, so that they don't accumulate without bound.
const IN_FLIGHT_MAX: usize = 20_000;

/// Settings of one run.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Addresses of the caller listeners, used in turn.
    pub caller_addrs: Vec<SocketAddr>,
    /// Whether the addresses are those of servers, without nodes, for comparison.
    pub direct: bool,
    /// The service that is called.
    pub service: String,
    /// Path of the calls.
    pub path: String,
    /// Arrival rate.
    pub rate_per_s: u64,
    /// Length of the run.
    pub seconds: u64,
    /// Share of the calls that are writes with an idempotency key.
    pub keyed_percent: u64,
    /// Seed of the arrival times, of the choice of keyed calls and of their keys.
    pub seed: u64,
    /// File that the plot is written to.
    pub plot: Option<PathBuf>,
    /// Whether the result is printed as JSON.
    pub json: bool,
    /// Name of the run.
    pub name: String,
}

/// Results of one run.
#[derive(Debug)]
pub struct Tally {
    /// Latencies of the answers with status 200.
    pub latency_us: Histogram<u64>,
    /// Number of calls by status, code and outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Number of answers with another call's body.
    pub wrong: u64,
}

impl Tally {
    fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("bounds are right");
        Self { latency_us, outcomes: BTreeMap::new(), wrong: 0 }
    }

    fn count(&mut self, outcome: String) {
        *self.outcomes.entry(outcome).or_insert(0) += 1;
    }
}

/// Runs a load and prints the results.
///
/// # Errors
///
/// Returns an error text if no address is given or the plot can't be written.
pub async fn run(settings: LoadSettings) -> Result<(), String> {
    if settings.caller_addrs.is_empty() {
        return Err("--door is missing".into());
    }
    let tally = drive(&settings).await;
    print(&settings, &tally);
    if let Some(path) = &settings.plot {
        let series = Series { name: settings.name.clone(), points: plot::quantiles(&tally.latency_us) };
        plot::write(path, &settings.name, &[series])?;
    }
    Ok(())
}

/// Runs a load and returns the results.
///
/// # Panics
///
/// Panics if the task of a call panics, which is a bug of this tool.
pub async fn drive(settings: &LoadSettings) -> Tally {
    let clients: Vec<Arc<Client>> = settings.caller_addrs.iter().map(|addr| Arc::new(Client::new(*addr))).collect();
    let tally = Arc::new(Mutex::new(Tally::new()));
    let mut rng = fastrand::Rng::with_seed(settings.seed);
    let start = Instant::now();
    let end = start + Duration::from_secs(settings.seconds);
    let mut due = start;
    let mut calls = tokio::task::JoinSet::new();
    let mut number = 0u64;
    let settings = Arc::new(settings.clone());
    while due < end {
        wait_until(due).await;
        if calls.len() < IN_FLIGHT_MAX {
            let client = clients[number as usize % clients.len()].clone();
            let keyed = rng.u64(0..100) < settings.keyed_percent;
            calls.spawn(make_call(client, settings.clone(), number, keyed, due, tally.clone()));
        } else if let Ok(mut tally) = tally.lock() {
            tally.count("too many in flight".into());
        }
        while calls.try_join_next().is_some() {}
        number += 1;
        // Poisson arrivals.
        let gap_s = -rng.f64().max(1e-12).ln() / settings.rate_per_s as f64;
        due += Duration::from_secs_f64(gap_s);
    }
    while calls.join_next().await.is_some() {}
    std::mem::replace(&mut *tally.lock().expect("no call has panicked"), Tally::new())
}

/// Waits with microsecond precision: the runtime's timer has a resolution of one millisecond, so the last two
/// milliseconds are spent polling the clock.
async fn wait_until(due: Instant) {
    sleep_until(due - TIMER_STEP).await;
    while Instant::now() < due {
        tokio::task::yield_now().await;
    }
}

async fn make_call(
    client: Arc<Client>,
    settings: Arc<LoadSettings>,
    number: u64,
    keyed: bool,
    due: Instant,
    tally: Arc<Mutex<Tally>>,
) {
    let body = format!("call-{}-{number}", settings.seed);
    let mut headers = vec![("valetrack-service", settings.service.as_str())];
    if keyed {
        headers.push(("idempotency-key", body.as_str()));
    }
    let method = if keyed { "POST" } else { "GET" };
    let reply = client.call(method, &settings.path, &headers, body.clone()).await;
    let took_us = due.elapsed().as_micros() as u64;
    let Ok(mut tally) = tally.lock() else {
        return;
    };
    match reply {
        Ok(reply) => {
            let outcome = if settings.direct { "direct" } else { reply.header("valetrack-outcome") };
            if reply.status == 200 {
                let _ = tally.latency_us.record(took_us.clamp(1, LATENCY_MAX_US));
                tally.wrong += u64::from(reply.body != body.as_bytes());
            }
            let text = format!("{} {} {outcome}", reply.status, reply.header("valetrack-code"));
            tally.count(text);
        }
        Err(error) => tally.count(format!("failed: {error}")),
    }
}

fn print(settings: &LoadSettings, tally: &Tally) {
    let quantile = |q: f64| tally.latency_us.value_at_quantile(q);
    let good = tally.latency_us.len();
    let goodput = good as f64 / settings.seconds.max(1) as f64;
    if settings.json {
        let row = json!({
            "name": settings.name, "rate_per_s": settings.rate_per_s, "goodput_per_s": goodput,
            "p50_us": quantile(0.5), "p99_us": quantile(0.99), "p999_us": quantile(0.999),
            "max_us": tally.latency_us.max(), "wrong": tally.wrong, "outcomes": tally.outcomes,
        });
        println!("{row}");
        return;
    }
    println!("{:<24} {:>9} {:>9} {:>9} {:>9} {:>9}", "run", "goodput/s", "p50 us", "p99 us", "p99.9 us", "max us");
    println!(
        "{:<24} {goodput:>9.1} {:>9} {:>9} {:>9} {:>9}",
        settings.name,
        quantile(0.5),
        quantile(0.99),
        quantile(0.999),
        tally.latency_us.max()
    );
    println!("answers with another call's body: {}", tally.wrong);
    for (outcome, count) in &tally.outcomes {
        println!("  {count:>8}  {outcome}");
    }
}
