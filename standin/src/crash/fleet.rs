//! Simulation of a fleet in virtual time: ten upstreams of one service among many nodes, a call that crashes them, and
//! other calls.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use valetrack::crash::{
    CrashHistory, CrashId, CrashReport, CrashedCall, FingerprintKey, RecentAnswers, Suspect, archive,
};
use valetrack::gate::{AttemptId, QueueTimeout};
use valetrack::link::message::CallHead;

use super::spread_method::SpreadMethod;

/// Number of upstreams of the service.
const OWNERS: usize = 10;
/// Slots of each upstream.
const SLOTS: usize = 6;
/// Time of a run.
const RUN_MS: u64 = 60;
/// Time for which an upstream is down after a crash.
const DOWN_MS: u64 = 3_500;
/// Period of the call that crashes upstreams.
const CRASHING_PERIOD_MS: u64 = 50;
/// Rate of the other calls.
const CALLS_PER_S: u64 = 300;
/// Longest time for which the answers to crashed calls are held until the other owners have the report.
const HOLD_MS: u64 = 30;
/// Delay of the retry of such a call.
const RETRY_DELAY_MS: u64 = 2;
/// Retries of one call, by its entry and its caller together.
const RETRIES_MAX: u32 = 3;
/// Length of a run of the simulation.
const DURATION_MS: u64 = 30_000;
/// Key of the fingerprints, which need not be secret in a simulation.
const KEY: FingerprintKey = FingerprintKey::of_parts(1, 2);
/// Path of the call that crashes upstreams.
const CRASHING_PATH: &str = "/poison";
/// The service.
const SERVICE: &str = "intake";

/// Input of the simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Seed of the random choices.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Method that spreads the reports.
    pub method: SpreadMethod,
}

/// Result of the simulation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Crashes of upstreams.
    pub crashes: u64,
    /// Time from the third crash until all owners have the reports of three.
    pub owners_informed_ms: u64,
    /// The same for all nodes that receive reports at all.
    pub all_informed_ms: u64,
    /// Bytes of all reports.
    pub bytes: u64,
    /// Other calls that were refused as suspects.
    pub false_refusals: u64,
}

struct Run {
    path: String,
    ends_ms: u64,
    retries: u32,
    suspect: bool,
}

#[derive(Default)]
struct Owner {
    runs: Vec<Run>,
    up_at_ms: u64,
    history: CrashHistory,
    answers: RecentAnswers,
}

struct Simulation {
    scenario: Scenario,
    rng: fastrand::Rng,
    owners: Vec<Owner>,
    /// Reports in flight to owners, by the time of their arrival.
    reports_in_flight: BTreeMap<u64, Vec<(usize, CrashReport)>>,
    /// Calls to be placed: time, number, path and retries so far.
    pending_calls: BTreeSet<(u64, u64, String, u32)>,
    next: u64,
    third_ms: Option<u64>,
    /// Time at which the last owner, and the last node, receives the reports of three crashes.
    last_received_ms: (u64, u64),
    outcome: Outcome,
}

/// Runs one scenario.
pub fn simulate(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation {
        rng: fastrand::Rng::with_seed(scenario.seed),
        owners: (0..OWNERS).map(|_| Owner::default()).collect(),
        reports_in_flight: BTreeMap::new(),
        pending_calls: BTreeSet::new(),
        next: 0,
        third_ms: None,
        last_received_ms: (0, 0),
        outcome: Outcome::default(),
        scenario,
    };
    for now_ms in 0..DURATION_MS {
        simulation.step(now_ms);
    }
    let third_ms = simulation.third_ms.unwrap_or(DURATION_MS);
    simulation.outcome.owners_informed_ms = simulation.last_received_ms.0.saturating_sub(third_ms);
    simulation.outcome.all_informed_ms = simulation.last_received_ms.1.saturating_sub(third_ms);
    simulation.outcome
}

impl Simulation {
    fn step(&mut self, now_ms: u64) {
        if now_ms.is_multiple_of(CRASHING_PERIOD_MS) {
            self.schedule_call(now_ms, CRASHING_PATH.to_owned(), 0);
        }
        if self.rng.u64(..1_000) < CALLS_PER_S {
            let path = format!("/usual/{now_ms}");
            self.schedule_call(now_ms, path, 0);
        }
        for (owner, report) in self.reports_in_flight.remove(&now_ms).unwrap_or_default() {
            self.owners[owner].history.join(&[report], &Arc::from("peer"), now_ms * 1000);
        }
        for at in 0..OWNERS {
            self.end_runs(at, now_ms);
        }
        while let Some((at_ms, ..)) = self.pending_calls.first()
            && *at_ms <= now_ms
            && let Some((_, _, path, retries)) = self.pending_calls.pop_first()
        {
            self.place(path, retries, now_ms);
        }
    }

    fn schedule_call(&mut self, at_ms: u64, path: String, retries: u32) {
        self.next += 1;
        self.pending_calls.insert((at_ms, self.next, path, retries));
    }

    fn place(&mut self, path: String, retries: u32, now_ms: u64) {
        let up: Vec<usize> = (0..OWNERS).filter(|at| self.owners[*at].up_at_ms <= now_ms).collect();
        let Some(at) = self.rng.choice(&up).copied() else {
            return;
        };
        let owner = &mut self.owners[at];
        let status = owner.history.status(&head(&path), b"");
        if status.is_refused() {
            self.outcome.false_refusals += u64::from(path != CRASHING_PATH);
            return;
        }
        let suspect = status.crashes() > 0;
        if owner.runs.len() >= SLOTS || (suspect && owner.runs.iter().any(|run| run.suspect)) {
            if retries < RETRIES_MAX {
                self.schedule_call(now_ms + RUN_MS / 2, path, retries + 1);
            }
            return;
        }
        owner.runs.push(Run { path, ends_ms: now_ms + RUN_MS, retries, suspect });
    }

    fn end_runs(&mut self, at: usize, now_ms: u64) {
        let owner = &mut self.owners[at];
        let crashes = owner.runs.iter().any(|run| run.ends_ms <= now_ms && run.path == CRASHING_PATH);
        if crashes {
            self.crash(at, now_ms);
            return;
        }
        let (ended, running) = std::mem::take(&mut owner.runs).into_iter().partition(|run| run.ends_ms <= now_ms);
        owner.runs = running;
        for Run { path, .. } in ended {
            let head = head(&path);
            self.owners[at].answers.answered(KEY, &head, b"", now_ms * 1000 + 1);
            let refs = self.owners[at].history.status(&head, b"").refs;
            let cleared = self.owners[at].history.clear(&refs);
            // Cleared suspects are batched and sent through the store; their bytes count with the next crash.
            for report in cleared {
                let later = (0..OWNERS).map(|owner| (owner, report.clone()));
                self.reports_in_flight.entry(now_ms + 1_500).or_default().extend(later);
            }
        }
    }

    fn crash(&mut self, at: usize, now_ms: u64) {
        self.outcome.crashes += 1;
        let owner = &mut self.owners[at];
        owner.up_at_ms = now_ms + DOWN_MS;
        let runs = std::mem::take(&mut owner.runs);
        let id = CrashId { hlc: self.outcome.crashes, vm: Arc::from(format!("vm-{at}")) };
        let mut calls: Vec<CrashedCall> = Vec::new();
        for run in &runs {
            let head = head(&run.path);
            let fingerprint = KEY.fingerprint(&head, b"");
            let is_listed = calls.iter().any(|call| call.fingerprint == fingerprint);
            if !is_listed && !owner.answers.holds(KEY, &head, b"", now_ms * 1000) {
                let refs = owner.history.status(&head, b"").refs;
                calls.push(CrashedCall { fingerprint, refs, route: Arc::from("") });
            }
        }
        let suspects =
            calls.iter().map(|call| Suspect { fingerprint: call.fingerprint, cleared: false, trials: 0 }).collect();
        let report = CrashReport { id: id.clone(), service: Arc::from(SERVICE), key: KEY, suspects };
        owner.history.join(std::slice::from_ref(&report), &Arc::from("own"), now_ms * 1000);
        let beside = owner.history.beside_cause(&id, &calls);
        let mut changed = owner.history.clear(&beside);
        if changed.iter().all(|changed| changed.id != id) {
            changed.push(report);
        }
        let stored_bytes = archive::pack(&owner.history.archive(SERVICE)).map_or(0, |value| value.len() as u64);
        let held_until_ms = self.send_reports(&changed, stored_bytes, now_ms);
        for run in runs.into_iter().filter(|run| run.retries < RETRIES_MAX) {
            self.schedule_call(held_until_ms + RETRY_DELAY_MS, run.path, run.retries + 1);
        }
    }

    /// Sends reports; returns the time until which the answers to crashed calls are held for them.
    fn send_reports(&mut self, reports: &[CrashReport], stored_bytes: u64, now_ms: u64) -> u64 {
        let Scenario { nodes, method, .. } = self.scenario;
        let report_bytes = reports.iter().filter_map(|report| serde_json::to_vec(report).ok());
        let report_bytes = report_bytes.map(|bytes| bytes.len() as u64 / 2).sum();
        let (deliveries, bytes) = method.spread((nodes, OWNERS), (report_bytes, stored_bytes), &mut self.rng);
        self.outcome.bytes += bytes;
        let is_third = self.outcome.crashes == 3;
        if is_third {
            self.third_ms = Some(now_ms);
        }
        let mut first: BTreeMap<usize, u64> = BTreeMap::new();
        for delivery in deliveries {
            let at_ms = now_ms + delivery.after_ms;
            let earliest_ms = first.entry(delivery.node).or_insert(at_ms);
            *earliest_ms = (*earliest_ms).min(at_ms);
        }
        let last_owner_ms = first.iter().filter(|(node, _)| **node < OWNERS).map(|(_, at_ms)| *at_ms).max();
        for (node, at_ms) in first {
            if is_third {
                self.last_received_ms.1 = self.last_received_ms.1.max(at_ms);
            }
            if node < OWNERS {
                let arrivals = reports.iter().map(|report| (node, report.clone()));
                self.reports_in_flight.entry(at_ms.max(now_ms + 1)).or_default().extend(arrivals);
                self.last_received_ms.0 =
                    if is_third { self.last_received_ms.0.max(at_ms) } else { self.last_received_ms.0 };
            }
        }
        last_owner_ms.unwrap_or(now_ms).min(now_ms + HOLD_MS)
    }
}

fn head(path: &str) -> CallHead {
    CallHead {
        attempt: AttemptId { entry: 1, seq: 1 },
        call_id: Arc::from("call"),
        service: Arc::from(SERVICE),
        origin: Arc::from(SERVICE),
        account: None,
        route: Arc::from(""),
        method: "GET".into(),
        path: path.into(),
        headers: Vec::new(),
        body_bytes: 0,
        deadline_ms: 1_000,
        objective_ms: 0,
        work_us: 0,
        elsewhere_permille: 0,
        priority: 0,
        repeatable: true,
        depth: 1,
        made_by_run: false,
        repeat_permille: 0,
        patience: QueueTimeout::Long,
        key: None,
        hlc: 0,
    }
}
