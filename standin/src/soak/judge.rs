//! Checks the guarantees against the observations of callers and upstreams.

use std::collections::{BTreeMap, BTreeSet};

use super::account::Account;

/// Maximum number of servers that run one call: the routes of the soak allow two attempts.
const RUNS_MAX: u64 = 2;

/// Time after a fault of a node's process in which the node may still cut calls: the platform's `contact`.
const CONTACT_MS: u64 = 3_000;

/// Result of a call, as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer arrived.
    Answer {
        /// Status of the answer.
        status: u16,
        /// Whether id, stamp and body of the answer belong to this call.
        own: bool,
    },
    /// The connection ended before the answer was complete.
    Cut,
    /// The caller gave up at its time limit.
    GivenUp,
}

/// One call and its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRecord {
    /// Id of the call.
    pub id: String,
    /// Number of the VM whose node the call was sent to.
    pub vm: usize,
    /// Start of the call, relative to the start of the run.
    pub began_ms: u64,
    /// End of the call, relative to the start of the run.
    pub ended_ms: u64,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Client account of the call.
    pub account: Option<&'static Account>,
    /// Whether the call was sent on a connection together with others.
    pub pipelined: bool,
    /// Result of the call.
    pub outcome: CallOutcome,
}

/// A broken guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The guarantee.
    pub guarantee: &'static str,
    /// Id of the call, or name of the VM, the service or the path.
    pub subject: String,
    /// Details of the observation.
    pub detail: String,
}

impl std::fmt::Display for Breach {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "promise=\"{}\" subject={} detail=\"{}\"", self.guarantee, self.subject, self.detail)
    }
}

/// Checks each call against the number of runs of its id; `planned` means that only planned work happened.
pub fn check_calls(calls: &[CallRecord], runs: &BTreeMap<String, u64>, planned: bool) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for call in calls {
        let ran = runs.get(&call.id).copied().unwrap_or(0);
        let mut breach = |guarantee: &'static str| {
            let detail = format!("{:?}, ran {ran} times", call.outcome);
            breaches.push(Breach { guarantee, subject: call.id.clone(), detail });
        };
        if !call.repeatable && ran > 1 {
            breach("a call that is not repeatable runs at most once");
        }
        if ran > RUNS_MAX {
            breach("a call runs on two servers at most");
        }
        match call.outcome {
            CallOutcome::Answer { status: 200, own: false } => breach("an answer is complete and belongs to its call"),
            CallOutcome::Answer { status: 408 | 421 | 429 | 503, .. }
                if ran > 0 && (!call.repeatable || call.pipelined) =>
            {
                breach("a refused call has not run");
            }
            CallOutcome::Answer { status: 400..=407 | 409..=420, .. } => breach("a valid call is not denied"),
            CallOutcome::Answer { status: 502 | 504, .. } | CallOutcome::GivenUp if planned => {
                breach("planned work fails no call");
            }
            CallOutcome::Cut if planned && ran > 0 => breach("planned work cuts no connection"),
            CallOutcome::Answer { .. } | CallOutcome::Cut | CallOutcome::GivenUp => {}
        }
    }
    let sent_ids: std::collections::BTreeSet<&str> = calls.iter().map(|call| call.id.as_str()).collect();
    // The id of a nested call starts with the id of the call that made it.
    let sent = |id: &str| sent_ids.contains(id.split('.').next().unwrap_or(id));
    for id in runs.keys().filter(|id| !sent(id)) {
        let detail = "an upstream ran it".to_owned();
        breaches.push(Breach { guarantee: "only calls sent by callers run", subject: id.clone(), detail });
    }
    breaches
}

/// Time in which a node's process was killed or stopped from outside, relative to the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disruption {
    /// Number of the VM.
    pub vm: usize,
    /// Start of the disruption.
    pub from_ms: u64,
    /// End of the disruption.
    pub to_ms: u64,
}

impl Disruption {
    /// Returns whether a call may have been cut because of the disruption.
    fn excuses(&self, call: &CallRecord) -> bool {
        self.vm == call.vm && self.from_ms <= call.ended_ms && call.began_ms <= self.to_ms + CONTACT_MS
    }
}

/// Checks that no call that arrived at an upstream was cut by a node whose process was neither killed nor stopped from
/// outside; faults of the store, of links and of upstreams are no reason to close a caller's connection.
pub fn check_cuts(calls: &[CallRecord], arrived: &BTreeSet<String>, disruptions: &[Disruption]) -> Vec<Breach> {
    let is_excused = |call: &CallRecord| disruptions.iter().any(|disruption| disruption.excuses(call));
    let is_lost = |call: &&CallRecord| call.outcome == CallOutcome::Cut && arrived.contains(&call.id);
    let breach = |call: &CallRecord| Breach {
        guarantee: "a call that was passed on is answered",
        subject: call.id.clone(),
        detail: format!("cut by vm-{} after {} ms", call.vm, call.ended_ms.saturating_sub(call.began_ms)),
    };
    calls.iter().filter(is_lost).filter(|call| !is_excused(call)).map(breach).collect()
}

/// Latest configuration version that was observed in force on one incarnation of a node.
#[derive(Debug, Clone, Default)]
pub struct Versions {
    latest: u64,
}

impl Versions {
    /// Records whether the route of a version was served; the request must be sent after all earlier answers. Returns a
    /// breach if a later version was in force before.
    pub fn record(&mut self, vm: &str, version: u64, served: bool) -> Option<Breach> {
        if !served {
            return None;
        }
        if version < self.latest {
            let detail = format!("the route of version {version} is served after that of {}", self.latest);
            return Some(Breach { guarantee: "configuration versions only increase", subject: vm.to_owned(), detail });
        }
        self.latest = version;
        None
    }
}
