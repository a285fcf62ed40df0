//! Checks the fleet's retry budget against the arrivals at its upstreams.

use std::collections::BTreeSet;

use valetrack::placement::RetryGuarantee;

use super::judge::Breach;

/// Arrival of one call at a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Arrival {
    /// Time of arrival, relative to the start of the run.
    pub at_ms: u64,
    /// Id of the call; a retry of a call makes its nested calls under the same ids as the first run.
    pub id: String,
}

/// The window in which the retries at a service came closest to the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RetryPeak {
    /// Start of the window, relative to the start of the run.
    pub from_ms: u64,
    /// Arrivals beyond the first of their call.
    pub retries: u64,
    /// Calls that the budget of the window is based on.
    pub calls: u64,
    /// Retries that the budget allows.
    pub allowed: u64,
}

impl RetryPeak {
    /// Returns the used share of the budget, as a percentage.
    pub fn used_percent(&self) -> u64 {
        self.retries * 100 / self.allowed.max(1)
    }

    /// Returns whether this window uses a larger share of its budget than another one.
    fn is_closer_than(&self, other: &Self) -> bool {
        self.retries * other.allowed > other.retries * self.allowed
    }
}

/// Returns the peak of the arrivals at one service; `began_ms` holds the start times of the callers' calls.
pub fn retry_peak(mut arrivals: Vec<Arrival>, began_ms: &[u64], guarantee: RetryGuarantee) -> RetryPeak {
    arrivals.sort();
    let mut seen_ids = BTreeSet::new();
    let (first, retries): (Vec<&Arrival>, Vec<&Arrival>) =
        arrivals.iter().partition(|arrival| seen_ids.insert(arrival.id.as_str()));
    // Callers have no record of nested calls, so these are counted by their first arrival.
    let nested = first.iter().filter(|arrival| arrival.id.contains('.')).map(|arrival| arrival.at_ms);
    let calls_ms: Vec<u64> = began_ms.iter().copied().chain(nested).collect();
    let retries_ms: Vec<u64> = retries.iter().map(|arrival| arrival.at_ms).collect();
    let window_ms = guarantee.window_us / 1000;
    let within = |times: &[u64], from_ms: u64| {
        times.iter().filter(|at_ms| (from_ms..from_ms + window_ms).contains(at_ms)).count() as u64
    };
    let window = |from_ms: u64| {
        let earlier_ms = [0, window_ms / 2, window_ms];
        let calls = earlier_ms.map(|earlier_ms| within(&calls_ms, from_ms.saturating_sub(earlier_ms)));
        let calls = calls.into_iter().max().unwrap_or(0);
        let allowed = calls * u64::from(guarantee.percent) / 100 + u64::from(guarantee.reserve);
        RetryPeak { from_ms, retries: within(&retries_ms, from_ms), calls, allowed }
    };
    let windows = retries_ms.iter().map(|&from_ms| window(from_ms));
    windows.reduce(|peak, window| if window.is_closer_than(&peak) { window } else { peak }).unwrap_or_default()
}

/// Checks the peak of the arrivals at one service against the retry budget.
pub fn check_retries(service: &str, peak: RetryPeak) -> Option<Breach> {
    let RetryPeak { from_ms, retries, calls, allowed } = peak;
    (retries > allowed).then(|| Breach {
        guarantee: "retries stay within their budget",
        subject: service.to_owned(),
        detail: format!("from {from_ms} ms: {retries} for {calls} calls, allowed {allowed}"),
    })
}
