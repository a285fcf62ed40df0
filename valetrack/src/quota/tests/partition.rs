//! A simulated home, stand-in and entries under random partitions (also one-way), restarts, suspensions and clock drift.
//!
//! Failure that it guards against: a home and a stand-in that cannot reach each other each grant the whole rate, so an
//! account runs up to twice its rate for as long as the partition lasts.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;

use super::steps::rule;
use crate::bundle::AccountRule;
use crate::link::peer::Target;
use crate::quota::{Allowances, Grant, PromiseReply, Promises, QuotaHome, Renewal, Role, Step};

const NODES: usize = 5;
const HOME: usize = 0;
const STAND_IN: usize = 1;
const WINDOW_US: u64 = 5_000_000;
const ASK_TIMEOUT_US: u64 = 150_000;
const CLOCK_START_US: u64 = 10_000_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call,
    Ask {
        entry: usize,
        id: u64,
        calls: u32,
    },
    /// The stand-in has found that the home does not answer.
    StandIn {
        entry: usize,
        id: u64,
        calls: u32,
    },
    AskTimeout {
        id: u64,
        stage: usize,
    },
    Granted {
        id: u64,
        calls: u32,
        retry_after_ms: u32,
        asked_us: u64,
    },
    NoQuota {
        id: u64,
    },
    PromiseAsked {
        request: u64,
    },
    PromiseDone {
        request: u64,
        calls: u32,
        retry_after_ms: u32,
    },
    PromiseTimeout {
        request: u64,
    },
}

struct Node {
    promises: Promises,
    home: QuotaHome,
    entry: Allowances,
    /// Calls that wait for credits, with the node that was asked.
    asked: HashMap<u64, usize>,
    request: Option<(u64, u64)>,
    waiting: Vec<Event>,
    down_until_us: u64,
    suspended_until_us: u64,
    suspended_us: u64,
    drift: f64,
}

struct Fleet {
    rule: AccountRule,
    nodes: Vec<Node>,
    links: [[bool; NODES]; NODES],
    events: BinaryHeap<Reverse<(u64, u64, usize, Event)>>,
    now_us: u64,
    next_id: u64,
    rng: fastrand::Rng,
    admitted: VecDeque<u64>,
    admitted_sum: u64,
    admitted_max: usize,
}

impl Node {
    fn new(at_us: u64, drift: f64, suspended_us: u64, phase: f64) -> Self {
        let mut entry = Allowances::with_share_phase(phase);
        entry.set_nodes(NODES as u32);
        let mut node = Self {
            promises: Promises::new(0),
            home: QuotaHome::default(),
            entry,
            asked: HashMap::new(),
            request: None,
            waiting: Vec::new(),
            down_until_us: at_us,
            suspended_until_us: 0,
            suspended_us,
            drift,
        };
        node.promises = Promises::new(node.steady_us(at_us));
        node
    }

    fn boot_us(&self, now_us: u64) -> u64 {
        CLOCK_START_US + (now_us as f64 * self.drift) as u64
    }

    fn steady_us(&self, now_us: u64) -> u64 {
        self.boot_us(now_us) - self.suspended_us
    }
}

impl Fleet {
    fn new(rule: AccountRule, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = (0..NODES).map(|_| Node::new(0, 1.0 + (rng.f64() - 0.5) / 500.0, 0, rng.f64())).collect();
        Self {
            rule,
            nodes,
            links: [[true; NODES]; NODES],
            events: BinaryHeap::new(),
            now_us: 0,
            next_id: 0,
            rng,
            admitted: VecDeque::new(),
            admitted_sum: 0,
            admitted_max: 0,
        }
    }

    fn push(&mut self, node: usize, after_us: u64, event: Event) {
        self.next_id += 1;
        self.events.push(Reverse((self.now_us + after_us, self.next_id, node, event)));
    }

    /// Sends a message; it is lost if the link is cut in this direction.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        if from == to || self.links[from][to] {
            let delay_us = if from == to { 0 } else { 500 + self.rng.u64(..4_000) };
            self.push(to, delay_us, event);
        }
    }

    /// Sends calls at `load` times the rate to the entries in `at` and processes events until `until_us`.
    fn run(&mut self, load: f64, at: std::ops::Range<usize>, until_us: u64) {
        let gap_us = 1e9 / (self.rule.rate_milli_per_s as f64 * load);
        let mut call_us = self.now_us as f64;
        while call_us < until_us as f64 {
            let node = self.rng.usize(at.clone());
            self.push(node, call_us as u64 - self.now_us, Event::Call);
            call_us += gap_us * 2.0 * self.rng.f64();
        }
        while self.events.peek().is_some_and(|Reverse((at_us, ..))| *at_us < until_us) {
            let Some(Reverse((at_us, _, node, event))) = self.events.pop() else { break };
            self.now_us = at_us;
            if at_us < self.nodes[node].down_until_us {
                continue;
            }
            match self.nodes[node].suspended_until_us {
                resume_us if at_us < resume_us => self.push(node, resume_us - at_us, event),
                _ => self.handle(node, event),
            }
        }
        self.now_us = until_us;
    }

    fn admit(&mut self, step: Step) {
        if step != Step::Admit {
            return;
        }
        self.admitted.push_back(self.now_us);
        while self.admitted.front().is_some_and(|first| first + WINDOW_US <= self.now_us) {
            self.admitted.pop_front();
        }
        self.admitted_sum += 1;
        self.admitted_max = self.admitted_max.max(self.admitted.len());
    }

    fn ask_next(&mut self, node: usize, id: u64, stage: usize) {
        let now_us = self.nodes[node].boot_us(self.now_us);
        let rule = self.rule.clone();
        if stage > STAND_IN {
            self.nodes[node].asked.remove(&id);
            let step = self.nodes[node].entry.admit_by_share(&rule, now_us);
            return self.admit(step);
        }
        self.nodes[node].asked.insert(id, stage);
        self.send(
            node,
            stage,
            Event::Ask { entry: node, id, calls: (self.rule.rate_milli_per_s / 10_000).max(1) as u32 },
        );
        self.push(node, ASK_TIMEOUT_US, Event::AskTimeout { id, stage });
    }

    fn handle(&mut self, node: usize, event: Event) {
        let (now_us, rule) = (self.nodes[node].boot_us(self.now_us), self.rule.clone());
        match event {
            Event::Call => match self.nodes[node].entry.begin(&rule, now_us) {
                Step::Request { .. } => {
                    let id = self.next_id;
                    self.ask_next(node, id, HOME);
                }
                step => self.admit(step),
            },
            Event::Ask { .. } if node == HOME => self.ask_home(event, now_us),
            Event::Ask { entry, id, calls } => {
                let home = &self.nodes[HOME];
                let is_up = self.now_us >= home.down_until_us.max(home.suspended_until_us);
                match self.links[STAND_IN][HOME] && self.links[HOME][STAND_IN] && is_up {
                    true => self.send(node, entry, Event::NoQuota { id }),
                    false => self.push(node, ASK_TIMEOUT_US / 2, Event::StandIn { entry, id, calls }),
                }
            }
            Event::StandIn { .. } => self.decide(node, event),
            Event::AskTimeout { id, stage } if self.nodes[node].asked.get(&id) == Some(&stage) => {
                self.ask_next(node, id, stage + 1);
            }
            Event::NoQuota { id } => {
                if let Some(stage) = self.nodes[node].asked.get(&id).copied() {
                    self.ask_next(node, id, stage + 1);
                }
            }
            Event::Granted { id, calls, retry_after_ms, asked_us } => {
                if self.nodes[node].asked.remove(&id).is_some() && self.now_us - asked_us < 2 * ASK_TIMEOUT_US {
                    let grant = Grant { calls, retry_after_ms };
                    let step = self.nodes[node].entry.apply_grant(&rule.name, grant, now_us);
                    self.admit(step);
                }
            }
            Event::PromiseAsked { request } => {
                let steady_us = self.nodes[node].steady_us(self.now_us);
                self.nodes[node].home.remove(|_| true);
                let reply = self.nodes[node].promises.given.give(&Arc::from("home"), steady_us).to_grant();
                let Grant { calls, retry_after_ms } = reply.expect("a promise");
                self.send(node, HOME, Event::PromiseDone { request, calls, retry_after_ms });
            }
            Event::PromiseDone { request, calls, retry_after_ms } => {
                self.promise_done(request, Some(Grant { calls, retry_after_ms }));
            }
            Event::PromiseTimeout { request } => self.promise_done(request, None),
            Event::AskTimeout { .. } => {}
        }
    }

    fn ask_home(&mut self, ask: Event, now_us: u64) {
        let home = &mut self.nodes[HOME];
        match (home.promises.received.renewal("stand-in", now_us), home.request) {
            (Renewal::NotDue, _) | (Renewal::Early, Some(_)) => return self.decide(HOME, ask),
            (Renewal::Required, Some(_)) => return home.waiting.push(ask),
            (Renewal::Early | Renewal::Required, None) => home.waiting.push(ask),
        }
        self.next_id += 1;
        let request = self.next_id;
        home.request = Some((request, now_us));
        home.promises.received.begin(&Arc::from("stand-in"));
        self.send(HOME, STAND_IN, Event::PromiseAsked { request });
        self.push(HOME, ASK_TIMEOUT_US / 2, Event::PromiseTimeout { request });
    }

    fn promise_done(&mut self, request: u64, grant: Option<Grant>) {
        let home = &mut self.nodes[HOME];
        let Some((_, asked_us)) = home.request.filter(|(current, _)| *current == request) else { return };
        home.request = None;
        home.promises.received.record(&Arc::from("stand-in"), PromiseReply::from_grant(grant), asked_us);
        for ask in std::mem::take(&mut home.waiting) {
            self.decide(HOME, ask);
        }
    }

    fn decide(&mut self, node: usize, ask: Event) {
        let (Event::Ask { entry, id, calls } | Event::StandIn { entry, id, calls }) = ask else { return };
        let target = |vm: &str| Target { vm: Arc::from(vm), addr: ([127, 0, 0, 1], 1).into() };
        let role = match node {
            HOME => Role::Home { stand_in: Some(target("stand-in")) },
            _ => Role::StandIn { home: target("home") },
        };
        let outranks = |vm: &str| node == STAND_IN && vm == "home";
        let at = &mut self.nodes[node];
        let (now_us, steady_us) = (at.boot_us(self.now_us), at.steady_us(self.now_us));
        let Some(right) = at.promises.right(&role, outranks, now_us, steady_us) else {
            return self.send(node, entry, Event::NoQuota { id });
        };
        at.promises.given.record_grant(outranks);
        let Grant { calls, retry_after_ms } = at.home.grant_within(&self.rule, right, calls, now_us);
        self.send(node, entry, Event::Granted { id, calls, retry_after_ms, asked_us: self.now_us });
    }

    /// Draws a fault: links that are cut one way or both ways, a paused home or stand-in, a restart, or no fault.
    fn fault(&mut self) {
        let node = self.rng.usize(..NODES).min(self.rng.usize(..NODES));
        match self.rng.u32(..8) {
            0 => self.links = [[true; NODES]; NODES],
            1 => (self.links[HOME][STAND_IN], self.links[STAND_IN][HOME]) = (self.rng.bool(), self.rng.bool()),
            2 => (0..NODES).for_each(|other| self.links[node][other] = self.rng.bool()),
            3 => (0..NODES).for_each(|other| self.links[other][node] = self.rng.bool()),
            4 | 5 => {
                let down_us = self.rng.u64(..1_500_000);
                let at_us = self.now_us + down_us;
                let Node { drift, suspended_us, .. } = self.nodes[node];
                self.nodes[node] = Node::new(at_us, drift, suspended_us, self.rng.f64());
            }
            6 => self.suspend(node),
            _ => [HOME, STAND_IN].into_iter().for_each(|node| self.suspend(node)),
        }
    }

    fn suspend(&mut self, node: usize) {
        let pause_us = 20_000 + self.rng.u64(..2_000_000);
        let at = &mut self.nodes[node];
        if self.now_us >= at.suspended_until_us.max(at.down_until_us) {
            at.suspended_until_us = self.now_us + pause_us;
            at.suspended_us += pause_us;
        }
    }
}

/// Returns the limit of calls in a window that docs/design/hard-load.md states.
fn limit(rate_per_s: u64, burst: u64) -> usize {
    ((rate_per_s * 5 + burst) as f64 * 1.1) as usize + 20
}

#[test]
fn grants_of_all_nodes_together_stay_within_limit() {
    for seed in 0..400 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (rate_per_s, bursts) = (rng.choice([2, 20, 100, 400]).unwrap_or(2), [0, 1, 3, 10]);
        let burst = rate_per_s * rng.choice(bursts).unwrap_or(1) / 2;
        let mut fleet = Fleet::new(rule(rate_per_s, burst), seed);
        for _ in 0..40 {
            let until_us = fleet.now_us + 50_000 + rng.u64(..1_500_000);
            // Pauses let the buckets fill.
            let load = rng.choice([0.05, 0.5, 5.0, 8.0]).unwrap_or(5.0);
            let first = rng.usize(..NODES - 1);
            fleet.run(load, first..NODES, until_us);
            fleet.fault();
        }
        let limit = limit(rate_per_s, burst);
        assert!(fleet.admitted_max <= limit, "seed {seed}, {rate_per_s}/s: {} of {limit}", fleet.admitted_max);
    }
}

/// A home that keeps its bucket, or an entry that keeps its credits, would exceed a much lower rate.
#[test]
fn lowered_rate_binds_within_a_window() {
    for (old_per_s, new_per_s) in [(400, 1), (400, 40), (40, 2), (10, 0)] {
        for seed in 0..40 {
            let mut fleet = Fleet::new(rule(old_per_s, old_per_s), seed);
            let until_us = 8_000_000 + fleet.rng.u64(..1_000_000);
            fleet.run(0.2, 0..NODES, 5_000_000);
            // At a load below the rate, entries hold credits that they have not used.
            fleet.run(if seed % 2 == 0 { 0.9 } else { 8.0 }, 0..NODES, until_us);
            let lowered = AccountRule { rate_milli_per_s: (new_per_s * 1_000).max(500), ..rule(0, new_per_s) };
            let load = 8.0 * old_per_s as f64 * 1_000.0 / lowered.rate_milli_per_s as f64;
            fleet.rule = lowered;
            (fleet.admitted, fleet.admitted_max) = (VecDeque::new(), 0);
            fleet.run(load, 0..NODES, until_us + 30_000_000);
            let limit = limit(new_per_s, new_per_s);
            let admitted = fleet.admitted_max;
            assert!(admitted <= limit, "seed {seed}, {old_per_s}/s to {new_per_s}/s: {admitted} of {limit}");
        }
    }
}

/// Tabulates the share of its rate that an account gets in ten minutes, of 1 and 40 calls a second that sends 0.8 and 5
/// times its rate. An account whose home answers must keep what a home without a stand-in would grant, and both nodes
/// together must not grant more.
#[test]
fn share_of_rate_by_fault() {
    let faults: [(&str, &[(usize, usize)]); 6] = [
        ("no fault", &[]),
        ("the home cannot reach its stand-in", &[(HOME, STAND_IN)]),
        ("the stand-in cannot reach the home", &[(STAND_IN, HOME)]),
        ("no entry reaches the home", &[(1, HOME), (2, HOME), (3, HOME), (4, HOME)]),
        ("an entry is cut off with the stand-in", &[(2, HOME), (HOME, STAND_IN), (STAND_IN, HOME)]),
        ("both are paused", &[(2, HOME), (3, HOME), (4, HOME), (2, STAND_IN), (3, STAND_IN), (4, STAND_IN)]),
    ];
    let mut table = String::new();
    for (name, cuts) in faults {
        let shares = [(1, 0.8), (1, 5.0), (40, 0.8), (40, 5.0)].map(|(rate_per_s, load)| {
            let mut fleet = Fleet::new(rule(rate_per_s, rate_per_s), 7);
            cuts.iter().for_each(|(from, to)| fleet.links[*from][*to] = false);
            fleet.run(load, 2..NODES, 600_000_000);
            format!("{:.2}", fleet.admitted_sum as f64 / (rate_per_s * 600) as f64)
        });
        table += &format!("{name}: {}\n", shares.join(" "));
    }
    insta::assert_snapshot!(table, @r"
    no fault: 0.53 0.82 0.79 0.97
    the home cannot reach its stand-in: 0.34 0.44 0.47 0.48
    the stand-in cannot reach the home: 0.34 0.44 0.47 0.48
    no entry reaches the home: 0.34 0.43 0.48 0.45
    an entry is cut off with the stand-in: 0.46 0.79 0.71 0.97
    both are paused: 0.00 0.02 0.02 0.02
    ");
}
