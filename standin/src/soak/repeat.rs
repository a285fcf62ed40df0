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

/// Checks the arrivals at one service against the retry budget; `began_ms` holds the start times of the callers' calls.
pub fn check_retries(
    service: &str,
    mut arrivals: Vec<Arrival>,
    began_ms: &[u64],
    guarantee: RetryGuarantee,
) -> Option<Breach> {
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
    retries_ms.iter().find_map(|&from_ms| {
        let count = within(&retries_ms, from_ms);
        let windows = [0, window_ms / 2, window_ms];
        let calls = windows.iter().map(|earlier_ms| within(&calls_ms, from_ms.saturating_sub(*earlier_ms))).max()?;
        let allowed = calls * u64::from(guarantee.percent) / 100 + u64::from(guarantee.reserve);
        (count > allowed).then(|| Breach {
            guarantee: "retries stay within their budget",
            subject: service.to_owned(),
            detail: format!("from {from_ms} ms: {count} for {calls} calls, allowed {allowed}"),
        })
    })
}
