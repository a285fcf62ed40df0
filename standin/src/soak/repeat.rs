//! The fleet's promise on repeats, held against what arrived at its upstreams.

use std::collections::BTreeSet;

use valetrack::placement::RepeatPromise;

use super::judge::Breach;

/// One arrival at a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Arrival {
    /// When, from the start of the run, in milliseconds.
    pub at_ms: u64,
    /// Id of the call; the calls of a run that was repeated have the ids of the first run's calls.
    pub id: String,
}

/// Holds the arrivals at one service against a promise; `began_ms` tells when callers called it.
pub fn judge_repeats(
    service: &str,
    mut arrivals: Vec<Arrival>,
    began_ms: &[u64],
    promise: RepeatPromise,
) -> Option<Breach> {
    arrivals.sort();
    let mut known = BTreeSet::new();
    let (first, repeats): (Vec<&Arrival>, Vec<&Arrival>) =
        arrivals.iter().partition(|arrival| known.insert(arrival.id.as_str()));
    // Calls that runs make are known by their arrivals only.
    let nested = first.iter().filter(|arrival| arrival.id.contains('.')).map(|arrival| arrival.at_ms);
    let calls_ms: Vec<u64> = began_ms.iter().copied().chain(nested).collect();
    let repeats_ms: Vec<u64> = repeats.iter().map(|arrival| arrival.at_ms).collect();
    let window_ms = promise.window_us / 1000;
    let within = |times: &[u64], from_ms: u64| {
        times.iter().filter(|at_ms| (from_ms..from_ms + window_ms).contains(at_ms)).count() as u64
    };
    repeats_ms.iter().find_map(|&from_ms| {
        let count = within(&repeats_ms, from_ms);
        let windows = [0, window_ms / 2, window_ms];
        let calls = windows.iter().map(|earlier_ms| within(&calls_ms, from_ms.saturating_sub(*earlier_ms))).max()?;
        let allowed = calls * u64::from(promise.percent) / 100 + u64::from(promise.reserve);
        (count > allowed).then(|| Breach {
            promise: "repeats stay within their budget",
            subject: service.to_owned(),
            detail: format!("from {from_ms} ms: {count} for {calls} calls, allowed {allowed}"),
        })
    })
}
