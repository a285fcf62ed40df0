//! Results of a run, as a row of a table and a line of a plot.

use std::path::Path;

use hdrhistogram::Histogram;

use super::server::{FAULT_END_US, FAULT_START_US};
use crate::load::{Series, write_plot};

/// Time from the start of a fault until it has to be detected.
const SETTLE_US: u64 = 200_000;
/// Length of the windows in which recovery is measured.
const WINDOW_US: u64 = 100_000;

/// Figures of one candidate in one scenario.
#[derive(Debug)]
pub struct Row {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Name of the candidate.
    pub candidate: &'static str,
    /// Calls that were counted.
    pub calls: u64,
    /// Latency of successful answers.
    pub latency_us: Histogram<u64>,
    /// The same for calls that began after the fault had to be detected.
    pub settled_us: Histogram<u64>,
    /// Latency of refusals.
    pub shed_us: Histogram<u64>,
    /// Calls that were refused without a run.
    pub shed: u64,
    /// Calls that failed or whose outcome is unknown.
    pub failed: u64,
    /// Attempts of counted calls.
    pub attempts: u64,
    /// Attempts of counted calls that started.
    pub starts: u64,
    /// Declined attempts, in the whole run.
    pub declines: u64,
    /// Probes or polls, in the whole run.
    pub probes: u64,
    /// Bytes of probes and polls, in the whole run.
    pub probe_bytes: u64,
    /// Bytes of load reports piggybacked on replies, in the whole run.
    pub piggyback_bytes: u64,
    /// Highest number of concurrent runs at one server.
    pub max_running: u64,
    /// Successful answers a second.
    pub goodput_per_s: f64,
    /// Bytes of probes and polls per entry and second.
    pub probe_bytes_per_s: f64,
    /// Probes and polls per entry and second.
    pub probes_per_s: f64,
    /// Highest latency of each window after the end of the fault.
    post_fault_max_us: Vec<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds")
}

impl Row {
    /// Creates an empty row.
    pub fn new(scenario: &'static str, candidate: &'static str) -> Self {
        Self {
            scenario,
            candidate,
            calls: 0,
            latency_us: histogram(),
            settled_us: histogram(),
            shed_us: histogram(),
            shed: 0,
            failed: 0,
            attempts: 0,
            starts: 0,
            declines: 0,
            probes: 0,
            probe_bytes: 0,
            piggyback_bytes: 0,
            max_running: 0,
            goodput_per_s: 0.0,
            probe_bytes_per_s: 0.0,
            probes_per_s: 0.0,
            post_fault_max_us: Vec::new(),
        }
    }

    /// Records a successful answer.
    pub fn record_answer(&mut self, took_us: u64, began_us: u64, now_us: u64) {
        let _ = self.latency_us.record(took_us.max(1));
        if began_us >= FAULT_START_US + SETTLE_US {
            let _ = self.settled_us.record(took_us.max(1));
        }
        if now_us >= FAULT_END_US {
            let window = ((now_us - FAULT_END_US) / WINDOW_US) as usize;
            if window >= self.post_fault_max_us.len() {
                self.post_fault_max_us.resize(window + 1, 0);
            }
            self.post_fault_max_us[window] = self.post_fault_max_us[window].max(took_us);
        }
    }

    /// Computes the rates from the counts.
    pub fn finish(&mut self, counted_s: f64, entries: usize) {
        self.goodput_per_s = self.latency_us.len() as f64 / counted_s;
        self.probe_bytes_per_s = self.probe_bytes as f64 / counted_s / entries as f64;
        self.probes_per_s = self.probes as f64 / counted_s / entries as f64;
    }

    /// Returns a quantile of the latency of successful answers.
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        self.latency_us.value_at_quantile(quantile)
    }

    /// Returns the attempts per call.
    pub fn attempts_per_call(&self) -> f64 {
        self.attempts as f64 / self.calls.max(1) as f64
    }

    /// Returns the runs per call; only retries and hedges raise it above one.
    pub fn runs_per_call(&self) -> f64 {
        self.starts as f64 / self.calls.max(1) as f64
    }

    /// Returns the share of calls that failed or whose outcome is unknown.
    pub fn failed_share(&self) -> f64 {
        self.failed as f64 / self.calls.max(1) as f64
    }

    /// Returns the time from the end of the fault to the end of the last window in which a latency exceeded
    /// `limit_us`.
    pub fn recovered_us(&self, limit_us: u64) -> u64 {
        let last = self.post_fault_max_us.iter().rposition(|&max_us| max_us > limit_us);
        last.map_or(0, |window| (window as u64 + 1) * WINDOW_US)
    }
}

/// Prints the header of the table.
pub fn head() {
    println!(
        "{:<22} {:<26} {:>8} {:>7} {:>8} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>8} {:>7}",
        "scenario",
        "policy",
        "good/s",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "settled",
        "shed p99",
        "shed %",
        "fail %",
        "att/call",
        "runs/cl",
        "B/s node",
        "prb/s"
    );
}

/// Prints one row.
pub fn line(row: &Row) {
    let ms = |us: u64| us as f64 / 1_000.0;
    let percent = |count: u64| 100.0 * count as f64 / row.calls.max(1) as f64;
    println!(
        "{:<22} {:<26} {:>8.0} {:>7.2} {:>8.2} {:>8.2} {:>8.2} {:>8.2} {:>7.2} {:>7.2} {:>7.3} {:>7.3} {:>8.0} {:>7.1}",
        row.scenario,
        row.candidate,
        row.goodput_per_s,
        ms(row.quantile_us(0.5)),
        ms(row.quantile_us(0.99)),
        ms(row.quantile_us(0.999)),
        ms(row.settled_us.value_at_quantile(0.99)),
        ms(row.shed_us.value_at_quantile(0.99)),
        percent(row.shed),
        percent(row.failed),
        row.attempts_per_call(),
        row.runs_per_call(),
        row.probe_bytes_per_s,
        row.probes_per_s
    );
}

/// Writes the plot of one scenario.
///
/// # Errors
///
/// Returns the reason if it could not be drawn.
pub fn plot(path: &Path, title: &str, rows: &[Row]) -> Result<(), String> {
    let points = |row: &Row| crate::load::quantiles(&row.latency_us);
    let series = rows.iter().map(|row| Series { name: row.candidate.trim().to_owned(), points: points(row) });
    write_plot(path, title, &series.collect::<Vec<_>>())
}
