//! A fleet in virtual time: ten upstreams of one service among many nodes, a call that crashes them, and others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use valetrack::crash::{
    CrashHistory, CrashId, CrashReport, CrashedCall, FingerprintKey, RecentAnswers, Suspect, archive,
};
use valetrack::gate::{AttemptId, Patience};
use valetrack::link::message::CallHead;

use super::way::Way;

/// Upstreams of the service.
const OWNERS: usize = 10;
/// Slots of each.
const SLOTS: usize = 6;
/// Time that a run takes, in milliseconds.
const RUN_MS: u64 = 60;
/// Time for which an upstream is away after a crash, in milliseconds.
const DOWN_MS: u64 = 3_500;
/// Pause between two arrivals of the call that crashes upstreams, in milliseconds.
const POISON_PAUSE_MS: u64 = 50;
/// Other calls a second.
const CALLS_PER_S: u64 = 300;
/// Longest time for which answers to crashed calls are held until other owners know, in milliseconds.
const HOLD_MS: u64 = 30;
/// Time until such a call is sent again, in milliseconds.
const BACK_MS: u64 = 2;
/// Tries of one call, by its entry and its caller together.
const TRIES_MAX: u32 = 3;
/// Length of a play, in milliseconds.
const LENGTH_MS: u64 = 30_000;
/// Key of the fingerprints; a model keeps no secret.
const KEY: FingerprintKey = FingerprintKey::of_parts(1, 2);
/// Path of the call that crashes upstreams.
const POISON: &str = "/poison";
/// The service.
const SERVICE: &str = "intake";

/// One play.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Seed of random choices.
    pub seed: u64,
    /// Nodes of the fleet.
    pub nodes: usize,
    /// How news spread.
    pub way: Way,
}

/// What came of a play.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Upstreams that have crashed.
    pub crashes: u64,
    /// Time from the third crash until all owners know of three, in milliseconds.
    pub owners_know_ms: u64,
    /// The same for all nodes that are told at all.
    pub all_know_ms: u64,
    /// Bytes of all news.
    pub bytes: u64,
    /// Other calls that were refused as if they crashed upstreams.
    pub false_refusals: u64,
}

struct Run {
    path: String,
    ends_ms: u64,
    tries: u32,
    suspect: bool,
}

#[derive(Default)]
struct Owner {
    runs: Vec<Run>,
    up_at_ms: u64,
    history: CrashHistory,
    answers: RecentAnswers,
}

struct World {
    scenario: Scenario,
    rng: fastrand::Rng,
    owners: Vec<Owner>,
    /// News for owners: when, for whom, and what.
    news: BTreeMap<u64, Vec<(usize, CrashReport)>>,
    /// Calls to be placed: when, a number, path and tries.
    coming: BTreeSet<(u64, u64, String, u32)>,
    next: u64,
    third_ms: Option<u64>,
    /// When the last of the news that make three crashes known reaches owners, and anybody.
    known_ms: (u64, u64),
    outcome: Outcome,
}

/// Plays one scenario.
pub fn play(scenario: Scenario) -> Outcome {
    let mut world = World {
        rng: fastrand::Rng::with_seed(scenario.seed),
        owners: (0..OWNERS).map(|_| Owner::default()).collect(),
        news: BTreeMap::new(),
        coming: BTreeSet::new(),
        next: 0,
        third_ms: None,
        known_ms: (0, 0),
        outcome: Outcome::default(),
        scenario,
    };
    for now_ms in 0..LENGTH_MS {
        world.step(now_ms);
    }
    let third_ms = world.third_ms.unwrap_or(LENGTH_MS);
    world.outcome.owners_know_ms = world.known_ms.0.saturating_sub(third_ms);
    world.outcome.all_know_ms = world.known_ms.1.saturating_sub(third_ms);
    world.outcome
}

impl World {
    fn step(&mut self, now_ms: u64) {
        if now_ms.is_multiple_of(POISON_PAUSE_MS) {
            self.come(now_ms, POISON.to_owned(), 0);
        }
        if self.rng.u64(..1_000) < CALLS_PER_S {
            let path = format!("/usual/{now_ms}");
            self.come(now_ms, path, 0);
        }
        for (owner, report) in self.news.remove(&now_ms).unwrap_or_default() {
            self.owners[owner].history.join(&[report], &Arc::from("peer"), now_ms * 1000);
        }
        for at in 0..OWNERS {
            self.end_runs(at, now_ms);
        }
        while let Some((at_ms, ..)) = self.coming.first()
            && *at_ms <= now_ms
            && let Some((_, _, path, tries)) = self.coming.pop_first()
        {
            self.place(path, tries, now_ms);
        }
    }

    fn come(&mut self, at_ms: u64, path: String, tries: u32) {
        self.next += 1;
        self.coming.insert((at_ms, self.next, path, tries));
    }

    fn place(&mut self, path: String, tries: u32, now_ms: u64) {
        let up: Vec<usize> = (0..OWNERS).filter(|at| self.owners[*at].up_at_ms <= now_ms).collect();
        let Some(at) = self.rng.choice(&up).copied() else {
            return;
        };
        let owner = &mut self.owners[at];
        let standing = owner.history.standing(&head(&path), b"");
        if standing.is_refused() {
            self.outcome.false_refusals += u64::from(path != POISON);
            return;
        }
        let suspect = standing.crashes() > 0;
        if owner.runs.len() >= SLOTS || (suspect && owner.runs.iter().any(|run| run.suspect)) {
            if tries < TRIES_MAX {
                self.come(now_ms + RUN_MS / 2, path, tries + 1);
            }
            return;
        }
        owner.runs.push(Run { path, ends_ms: now_ms + RUN_MS, tries, suspect });
    }

    fn end_runs(&mut self, at: usize, now_ms: u64) {
        let owner = &mut self.owners[at];
        let crashes = owner.runs.iter().any(|run| run.ends_ms <= now_ms && run.path == POISON);
        if crashes {
            self.crash(at, now_ms);
            return;
        }
        let (ended, running) = std::mem::take(&mut owner.runs).into_iter().partition(|run| run.ends_ms <= now_ms);
        owner.runs = running;
        for Run { path, .. } in ended {
            let head = head(&path);
            self.owners[at].answers.answered(KEY, &head, b"", now_ms * 1000 + 1);
            let refs = self.owners[at].history.standing(&head, b"").refs;
            let cleared = self.owners[at].history.clear(&refs);
            // Such news are gathered and go by the store, whose next value is counted with the next crash.
            for report in cleared {
                let later = (0..OWNERS).map(|owner| (owner, report.clone()));
                self.news.entry(now_ms + 1_500).or_default().extend(later);
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
            let known = calls.iter().any(|call| call.fingerprint == fingerprint);
            if !known && !owner.answers.holds(KEY, &head, b"", now_ms * 1000) {
                let refs = owner.history.standing(&head, b"").refs;
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
        let told_ms = self.tell(&changed, stored_bytes, now_ms);
        for run in runs.into_iter().filter(|run| run.tries < TRIES_MAX) {
            self.come(told_ms + BACK_MS, run.path, run.tries + 1);
        }
    }

    /// Sends reports on their way; returns until when the answers to crashed calls are held for it.
    fn tell(&mut self, reports: &[CrashReport], stored_bytes: u64, now_ms: u64) -> u64 {
        let Scenario { nodes, way, .. } = self.scenario;
        let report_bytes = reports.iter().filter_map(|report| serde_json::to_vec(report).ok());
        let report_bytes = report_bytes.map(|bytes| bytes.len() as u64 / 2).sum();
        let (deliveries, bytes) = way.spread((nodes, OWNERS), (report_bytes, stored_bytes), &mut self.rng);
        self.outcome.bytes += bytes;
        let is_third = self.outcome.crashes == 3;
        if is_third {
            self.third_ms = Some(now_ms);
        }
        let mut first: BTreeMap<usize, u64> = BTreeMap::new();
        for delivery in deliveries {
            let at_ms = now_ms + delivery.after_ms;
            let known = first.entry(delivery.node).or_insert(at_ms);
            *known = (*known).min(at_ms);
        }
        let told = first.iter().filter(|(node, _)| **node < OWNERS).map(|(_, at_ms)| *at_ms).max();
        for (node, at_ms) in first {
            if is_third {
                self.known_ms.1 = self.known_ms.1.max(at_ms);
            }
            if node < OWNERS {
                let news = reports.iter().map(|report| (node, report.clone()));
                self.news.entry(at_ms.max(now_ms + 1)).or_default().extend(news);
                self.known_ms.0 = if is_third { self.known_ms.0.max(at_ms) } else { self.known_ms.0 };
            }
        }
        told.unwrap_or(now_ms).min(now_ms + HOLD_MS)
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
        patience: Patience::Long,
        key: None,
        hlc: 0,
    }
}
