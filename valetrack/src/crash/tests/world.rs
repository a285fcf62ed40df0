//! Simulation of a fleet in virtual time: one service, several upstreams, calls that crash them and calls that don't.
//!
//! It covers only the decisions of owners and entries: the status of a call, which calls run beside each other, and
//! which are refused. Reports reach other nodes after a delay.

use std::collections::{BTreeMap, BTreeSet};

use test_case::test_case;

use super::*;

/// Duration of a run.
const RUN_MS: u64 = 60;
/// Time for which an upstream is down after a crash.
const DOWN_MS: u64 = 3_500;
/// Slots of an upstream.
const SLOTS: usize = 6;

/// Cause of the crashes of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// Calls whose path begins with "/deadly", with this number of different paths.
    Calls(u32),
    /// The first upstream crashes by itself whenever it was up for this time, in milliseconds.
    Itself(u64),
    /// All upstreams crash at the same time, this many times per minute.
    PowerLoss(u64),
}

/// Parameters of one simulation.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    seed: u64,
    upstreams: usize,
    cause: Cause,
    /// Harmless calls per second.
    calls_per_s: u64,
    /// Number of different harmless calls; zero makes all of them different.
    kinds: u64,
    /// Body of every call.
    body: &'static [u8],
    /// Delay of a report to other nodes.
    report_delay_ms: u64,
    length_ms: u64,
}

#[derive(Debug, Clone)]
struct Run {
    path: String,
    ends_ms: u64,
    tries: u32,
    suspect: bool,
}

#[derive(Debug, Default)]
struct Upstream {
    runs: Vec<Run>,
    up_at_ms: u64,
    answers: RecentAnswers,
    history: CrashHistory,
}

/// Results of a simulation.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    /// Number of crashes under each deadly call.
    crashes: BTreeMap<String, u32>,
    /// Harmless calls that were refused as if they crashed upstreams.
    false_refusals: u64,
    served: u64,
}

struct World {
    scenario: Scenario,
    rng: fastrand::Rng,
    upstreams: Vec<Upstream>,
    /// Reports in flight, with their arrival times.
    in_flight: Vec<(u64, CrashReport)>,
    /// Upcoming calls: arrival time, sequence number, path and number of retries.
    upcoming: BTreeSet<(u64, u64, String, u32)>,
    next: u64,
    hlc: u64,
    refused: BTreeSet<String>,
    outcome: Outcome,
}

impl World {
    fn simulate(scenario: Scenario) -> Outcome {
        let mut world = Self {
            rng: fastrand::Rng::with_seed(scenario.seed),
            upstreams: (0..scenario.upstreams).map(|_| Upstream::default()).collect(),
            in_flight: Vec::new(),
            upcoming: BTreeSet::new(),
            next: 0,
            hlc: 0,
            refused: BTreeSet::new(),
            outcome: Outcome::default(),
            scenario,
        };
        for now_ms in 0..scenario.length_ms {
            world.step(now_ms);
        }
        world.outcome
    }

    fn step(&mut self, now_ms: u64) {
        self.arrivals(now_ms);
        self.deliver(now_ms);
        for at in 0..self.upstreams.len() {
            self.end_runs(at, now_ms);
        }
        self.crash_by_itself(now_ms);
        while let Some((at_ms, ..)) = self.upcoming.first()
            && *at_ms <= now_ms
            && let Some((_, _, path, tries)) = self.upcoming.pop_first()
        {
            self.place(path, tries, now_ms);
        }
    }

    fn head(&self, path: &str) -> CallHead {
        head(path, self.scenario.body)
    }

    fn arrivals(&mut self, now_ms: u64) {
        if self.rng.u64(..1000) < self.scenario.calls_per_s {
            let kind = if self.scenario.kinds == 0 { self.next } else { self.rng.u64(..self.scenario.kinds) };
            self.schedule(now_ms, format!("/usual/{kind}"), 0);
        }
        if let Cause::Calls(kinds) = self.scenario.cause
            && now_ms.is_multiple_of(50)
        {
            let kind = self.rng.u32(..kinds);
            self.schedule(now_ms, format!("/deadly/{kind}"), 0);
        }
    }

    fn schedule(&mut self, at_ms: u64, path: String, tries: u32) {
        self.next += 1;
        self.upcoming.insert((at_ms, self.next, path, tries));
    }

    fn deliver(&mut self, now_ms: u64) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now_ms);
        self.in_flight = later;
        let reports: Vec<CrashReport> = due.into_iter().map(|(_, report)| report).collect();
        for upstream in self.upstreams.iter_mut().filter(|_| !reports.is_empty()) {
            upstream.history.join(&reports, &Arc::from("peer"), now_ms * 1000);
        }
    }

    fn send(&mut self, reports: Vec<CrashReport>, now_ms: u64) {
        let at_ms = now_ms + self.scenario.report_delay_ms;
        self.in_flight.extend(reports.into_iter().map(|report| (at_ms, report)));
    }

    fn end_runs(&mut self, at: usize, now_ms: u64) {
        let ended: Vec<Run> = {
            let runs = &mut self.upstreams[at].runs;
            let ended = runs.iter().filter(|run| run.ends_ms <= now_ms).cloned().collect();
            runs.retain(|run| run.ends_ms > now_ms);
            ended
        };
        if let Some(deadly) = ended.iter().position(|run| run.path.starts_with("/deadly")) {
            let path = ended[deadly].path.clone();
            *self.outcome.crashes.entry(path).or_insert(0) += 1;
            self.upstreams[at].runs.extend(ended);
            self.crash(at, now_ms);
            return;
        }
        for run in ended {
            self.outcome.served += 1;
            let (head, body) = (self.head(&run.path), self.scenario.body);
            let upstream = &mut self.upstreams[at];
            upstream.answers.answered(KEY, &head, body, now_ms * 1000 + 1);
            let refs = upstream.history.status(&head, body).refs;
            let cleared = upstream.history.clear(&refs);
            self.send(cleared, now_ms);
        }
    }

    fn crash_by_itself(&mut self, now_ms: u64) {
        match self.scenario.cause {
            Cause::Itself(up_ms) if now_ms > 0 && now_ms == self.upstreams[0].up_at_ms + up_ms => self.crash(0, now_ms),
            Cause::PowerLoss(a_minute) if now_ms > 0 && now_ms.is_multiple_of(60_000 / a_minute) => {
                for at in 0..self.upstreams.len() {
                    self.crash(at, now_ms);
                }
            }
            Cause::Calls(_) | Cause::Itself(_) | Cause::PowerLoss(_) => {}
        }
    }

    fn crash(&mut self, at: usize, now_ms: u64) {
        self.hlc += 1;
        let id = CrashId { hlc: self.hlc, vm: Arc::from(format!("vm-{at}")) };
        let upstream = &mut self.upstreams[at];
        upstream.up_at_ms = now_ms + DOWN_MS;
        let runs = std::mem::take(&mut upstream.runs);
        let mut calls: Vec<CrashedCall> = Vec::new();
        for run in &runs {
            let (head, body) = (self.head(&run.path), self.scenario.body);
            let fingerprint = KEY.fingerprint(&head, body);
            let upstream = &self.upstreams[at];
            let answered = upstream.answers.holds(KEY, &head, body, now_ms * 1000);
            if !answered && calls.iter().all(|call| call.fingerprint != fingerprint) {
                let refs = upstream.history.status(&head, body).refs;
                calls.push(CrashedCall { fingerprint, refs, route: Arc::from("") });
            }
        }
        let suspects =
            calls.iter().map(|call| Suspect { fingerprint: call.fingerprint, cleared: false, trials: 0 }).collect();
        let report = CrashReport { id: id.clone(), service: Arc::from("rounds"), key: KEY, suspects };
        let upstream = &mut self.upstreams[at];
        upstream.history.join(std::slice::from_ref(&report), &Arc::from("own"), now_ms * 1000);
        let mut changed = upstream.history.clear(&upstream.history.beside_cause(&id, &calls));
        if changed.iter().all(|changed| changed.id != id) {
            changed.push(report);
        }
        self.send(changed, now_ms);
        // The answers to crashed calls wait until the report has arrived; then their callers retry.
        let retry_ms = now_ms + self.scenario.report_delay_ms + 1;
        for run in runs.into_iter().filter(|run| run.tries < 6) {
            self.schedule(retry_ms, run.path, run.tries + 1);
        }
    }

    fn place(&mut self, path: String, tries: u32, now_ms: u64) {
        let call = self.head(&path);
        let up: Vec<usize> = (0..self.upstreams.len()).filter(|at| self.upstreams[*at].up_at_ms <= now_ms).collect();
        let Some(at) = self.rng.choice(&up).copied() else {
            return;
        };
        let status = self.upstreams[at].history.status(&call, self.scenario.body);
        if status.is_refused() {
            if path.starts_with("/usual") && self.refused.insert(path) {
                self.outcome.false_refusals += 1;
            }
            return;
        }
        let suspect = status.crashes() > 0;
        let upstream = &mut self.upstreams[at];
        let beside = suspect && upstream.runs.iter().any(|run| run.suspect);
        if beside || upstream.runs.len() >= SLOTS {
            if tries < 6 {
                self.schedule(now_ms + 20, path, tries + 1);
            }
            return;
        }
        upstream.runs.push(Run { path, ends_ms: now_ms + RUN_MS, tries, suspect });
    }
}

/// A body that is too long for [`RecentAnswers`].
const LONG: &[u8] = &[0; 2_000];

const USUAL: Scenario = Scenario {
    seed: 1,
    upstreams: 4,
    cause: Cause::Calls(1),
    calls_per_s: 90,
    kinds: 0,
    body: b"",
    report_delay_ms: 10,
    length_ms: 60_000,
};

#[test_case(USUAL; "four upstreams")]
#[test_case(Scenario { upstreams: 1, ..USUAL }; "one upstream")]
#[test_case(Scenario { upstreams: 30, calls_per_s: 700, ..USUAL }; "thirty upstreams")]
#[test_case(Scenario { cause: Cause::Calls(3), ..USUAL }; "three deadly requests at a time")]
#[test_case(Scenario { kinds: 5, ..USUAL }; "few requests that are sent often")]
fn call_that_crashes_upstreams_is_refused_and_others_are_not(scenario: Scenario) {
    for seed in 0..20 {
        let outcome = World::simulate(Scenario { seed, ..scenario });
        let most = outcome.crashes.values().max().copied().unwrap_or(0);
        assert!((3..=6).contains(&most), "seed {seed}: {outcome:?}");
        assert_eq!(outcome.false_refusals, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn slow_reports_cost_at_most_seven_crashes() {
    for seed in 0..20 {
        let outcome = World::simulate(Scenario { seed, report_delay_ms: 1_200, ..USUAL });
        let most = outcome.crashes.values().max().copied().unwrap_or(0);
        assert!(most <= 6 + 1, "seed {seed}: {outcome:?}");
    }
}

#[test_case(Scenario { cause: Cause::Itself(1_000), ..USUAL }; "an upstream that crashes after each second of uptime")]
#[test_case(Scenario { cause: Cause::Itself(200), upstreams: 1, ..USUAL }; "the only upstream crashes after a fifth of a second")]
#[test_case(Scenario { cause: Cause::Itself(1_000), kinds: 3, ..USUAL }; "one crashing upstream and few requests that are sent often")]
#[test_case(Scenario { cause: Cause::Itself(1_000), kinds: 3, body: LONG, ..USUAL }; "own crashes and long bodies")]
#[test_case(Scenario { cause: Cause::PowerLoss(6), ..USUAL }; "power failures")]
#[test_case(Scenario { cause: Cause::PowerLoss(6), kinds: 3, calls_per_s: 300, ..USUAL }; "power failures with few requests that are sent often")]
fn harmless_calls_are_never_refused(scenario: Scenario) {
    for seed in 0..20 {
        let outcome = World::simulate(Scenario { seed, length_ms: 120_000, ..scenario });
        assert_eq!(outcome.false_refusals, 0, "seed {seed}: {outcome:?}");
    }
}
