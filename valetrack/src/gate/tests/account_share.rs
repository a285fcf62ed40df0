//! A full service with 80 client accounts of unequal size, of which one sends five times its usual load.
//!
//! Failure that it guards against: every account loses calls to the surge, although only one account causes it.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

use test_case::test_case;

use super::caller_arrival;
use crate::bundle::{AccountRule, AccountTable};
use crate::gate::{AttemptId, DeclineReason, Gate, GateAction, GateConfig, GateEvent, Objective, QueueTimeout};

const GATES: usize = 12;
const RUN_US: u64 = 160_000;
const SIMULATED_US: u64 = 260_000_000;
/// Time at which the surge begins and calls are counted. Before, all accounts have their usual load.
const SURGE_US: u64 = 200_000_000;
const HOP_US: u64 = 3_000;
const ATTEMPTS_MAX: usize = 4;
const ACCOUNTS: usize = 80;
/// Accounts 0 to 3 are large, and accounts 4 to 13 send one call a second.
const LARGE: std::ops::Range<usize> = 0..4;
const SMALL: std::ops::Range<usize> = 4..14;
const USUAL: std::ops::Range<usize> = 14..ACCOUNTS;
/// An account whose callers use one entry, which sends to three of the servers only.
const ONE_ENTRY: usize = 20;

fn usual_per_s(account: usize) -> f64 {
    match account {
        _ if LARGE.contains(&account) => 32.0,
        _ if SMALL.contains(&account) => 1.0,
        _ => 4.3,
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Call { account: usize },
    Attempt { call: u64, gate: usize },
    Done { attempt: AttemptId, gate: usize },
    Tick { gate: usize },
}

#[derive(Debug, Clone, Copy)]
struct Call {
    account: usize,
    arrived_us: u64,
    attempts: usize,
}

struct Counts {
    calls: [f64; ACCOUNTS],
    served: [f64; ACCOUNTS],
}

impl Counts {
    fn share(&self, accounts: impl Iterator<Item = usize> + Clone) -> f64 {
        let sum = |counts: &[f64; ACCOUNTS]| accounts.clone().map(|account| counts[account]).sum::<f64>();
        sum(&self.served) / sum(&self.calls)
    }

    /// Returns the shares of the accounts, the lowest first.
    fn sorted(&self) -> Vec<f64> {
        let mut shares: Vec<f64> = (0..ACCOUNTS).map(|account| self.share(account..account + 1)).collect();
        shares.sort_by(f64::total_cmp);
        shares
    }
}

struct Service {
    gates: Vec<Gate>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    calls: HashMap<u64, Call>,
    next: u64,
    now_us: u64,
    rng: fastrand::Rng,
    counts: Counts,
}

impl Service {
    fn push(&mut self, after_us: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((self.now_us + after_us, self.next, event)));
    }

    fn arrive(&mut self, account: usize, per_s: f64) {
        let gap_us = -self.rng.f64().max(1e-9).ln() / per_s * 1e6;
        self.push(gap_us as u64, Event::Call { account });
        let call = self.next;
        self.calls.insert(call, Call { account, arrived_us: self.now_us, attempts: 0 });
        if self.now_us >= SURGE_US {
            self.counts.calls[account] += 1.0;
        }
        self.send(call);
    }

    fn send(&mut self, call: u64) {
        let is_local = self.calls.get(&call).is_some_and(|call| call.account == ONE_ENTRY);
        let gate = self.rng.usize(..if is_local { 3 } else { GATES });
        self.push(HOP_US, Event::Attempt { call, gate });
    }

    fn attempt(&mut self, id: u64, at: usize) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.attempts += 1;
        let passed_us = self.now_us - call.arrived_us;
        let patience = if call.attempts == ATTEMPTS_MAX { QueueTimeout::Last } else { QueueTimeout::Short };
        let left_us = 500_000_u64.saturating_sub(passed_us);
        let wait_max_us = (left_us * 8 / 10).saturating_sub(RUN_US).min(left_us / 8);
        let objective = Objective { left_us, work_us: RUN_US, elsewhere_permille: 0, wait_max_us };
        let attempt = AttemptId { entry: call.attempts as u64, seq: id };
        let name = name(call.account);
        let deadline_us = call.arrived_us + 2_000_000;
        self.gates[at].shares().arrive(attempt, &name, self.now_us);
        let objective = Some(objective);
        self.handle(at, caller_arrival(attempt, deadline_us, patience, 2, objective));
    }

    fn handle(&mut self, gate: usize, event: GateEvent) {
        let mut actions = Vec::new();
        self.gates[gate].handle(event, self.now_us, &mut actions);
        for action in actions {
            match action {
                GateAction::Start { attempt } => {
                    let run_us = RUN_US * 2 / 3 + self.rng.u64(..RUN_US * 2 / 3);
                    self.push(run_us, Event::Done { attempt, gate });
                }
                GateAction::Bounce { attempt, reason } => {
                    assert!(matches!(reason, DeclineReason::Full | DeclineReason::Slow), "{reason:?}");
                    match self.calls.get(&attempt.seq) {
                        Some(call) if call.attempts < ATTEMPTS_MAX => self.send(attempt.seq),
                        _ => drop(self.calls.remove(&attempt.seq)),
                    }
                }
                GateAction::ReportCancel { .. } => {}
            }
        }
        if let Some(tick_us) = self.gates[gate].next_tick_us(self.now_us) {
            self.push(tick_us.saturating_sub(self.now_us).max(1_000), Event::Tick { gate });
        }
    }
}

fn name(account: usize) -> Arc<str> {
    Arc::from(format!("account-{account}"))
}

/// Returns the accounts with their usual load as the rate, or without rates.
fn table(has_rates: bool) -> AccountTable {
    let mut table = AccountTable::default();
    for account in 0..ACCOUNTS {
        let rate_milli_per_s = if has_rates { (usual_per_s(account) * 1_000.0) as u64 } else { 0 };
        let rule = AccountRule { name: name(account), priority: None, rate_milli_per_s, burst_milli: rate_milli_per_s };
        table.add(rule, []).expect("an account");
    }
    table
}

/// Simulates the service while `surging` sends five times its usual load; without a table, accounts do not count.
fn simulate(accounts: Option<&AccountTable>, surging: usize) -> Counts {
    let config = GateConfig { slots: 6, rescue: false, ..GateConfig::default() };
    let mut service = Service {
        gates: (0..GATES).map(|_| Gate::new(config, 0)).collect(),
        events: BinaryHeap::new(),
        calls: HashMap::new(),
        next: 0,
        now_us: 0,
        rng: fastrand::Rng::with_seed(5),
        counts: Counts { calls: [0.0; ACCOUNTS], served: [0.0; ACCOUNTS] },
    };
    if let Some(table) = accounts {
        service.gates.iter_mut().for_each(|gate| gate.shares().configure(table));
    }
    let per_s = |account: usize, now_us: u64| {
        let is_surge = account == surging && now_us >= SURGE_US;
        usual_per_s(account) * if is_surge { 5.0 } else { 1.0 }
    };
    (0..ACCOUNTS).for_each(|account| service.push(0, Event::Call { account }));
    while let Some(Reverse((at_us, _, event))) = service.events.pop() {
        if at_us >= SIMULATED_US {
            break;
        }
        service.now_us = at_us;
        match event {
            Event::Call { account } => service.arrive(account, per_s(account, at_us)),
            Event::Attempt { call, gate } => service.attempt(call, gate),
            Event::Tick { gate } => service.handle(gate, GateEvent::Tick),
            Event::Done { attempt, gate } => {
                if let Some(call) = service.calls.remove(&attempt.seq)
                    && call.arrived_us >= SURGE_US
                {
                    service.counts.served[call.account] += 1.0;
                }
                service.handle(gate, GateEvent::Done { attempt, healthy: true });
            }
        }
    }
    service.counts
}

/// Returns a gate with one slot, which a call of account 14 holds, and in whose queue a call of account 15 waits that has
/// used the server alone before.
fn contended_gate(accounts: &AccountTable) -> Gate {
    let mut gate = Gate::new(GateConfig { slots: 1, rescue: false, ..GateConfig::default() }, 0);
    gate.shares().configure(accounts);
    for seq in 100..110 {
        let now_us = seq * 200_000;
        assert_eq!(arrive(&mut gate, seq, Some(15), 2, now_us), [GateAction::Start { attempt: attempt(seq) }]);
        gate.handle(GateEvent::Done { attempt: attempt(seq), healthy: true }, now_us + RUN_US, &mut Vec::new());
    }
    assert_eq!(arrive(&mut gate, 1, Some(14), 2, NOW_US).len(), 1);
    assert_eq!(arrive(&mut gate, 2, Some(15), 2, NOW_US), []);
    gate
}

const NOW_US: u64 = 22_000_000;

fn attempt(seq: u64) -> AttemptId {
    AttemptId { entry: 1, seq }
}

/// Lets a call arrive that may wait for one run.
fn arrive(gate: &mut Gate, seq: u64, account: Option<usize>, priority: u8, now_us: u64) -> Vec<GateAction> {
    if let Some(account) = account {
        gate.shares().arrive(attempt(seq), &name(account), now_us);
    }
    let (left_us, wait_max_us) = (1_000_000, 150_000);
    let objective = Some(Objective { left_us, work_us: RUN_US, elsewhere_permille: 0, wait_max_us });
    let (deadline_us, patience) = (now_us + 2_000_000, QueueTimeout::Long);
    let mut out = Vec::new();
    gate.handle(caller_arrival(attempt(seq), deadline_us, patience, priority, objective), now_us, &mut out);
    out
}

fn full(seq: u64) -> GateAction {
    GateAction::Bounce { attempt: attempt(seq), reason: DeclineReason::Full }
}

/// Without the limit to one rank, an account's usage would let less urgent calls displace more urgent ones.
#[test_case(Some(16), 2, &[full(2)]; "an account within its share displaces the call of one above it")]
#[test_case(Some(15), 2, &[full(3)]; "an account above its share does not")]
#[test_case(None, 2, &[full(3)]; "a call without an account does not")]
#[test_case(Some(16), 3, &[full(3)]; "a call of another rank does not")]
fn only_account_within_share_displaces(account: Option<usize>, priority: u8, expected: &[GateAction]) {
    let mut gate = contended_gate(&table(true));
    assert_eq!(arrive(&mut gate, 3, account, priority, NOW_US), expected);
}

/// A bundle without accounts must leave the gate as it was.
#[test]
fn without_accounts_nothing_is_displaced() {
    let mut gate = contended_gate(&AccountTable::default());
    assert_eq!(arrive(&mut gate, 3, Some(16), 2, NOW_US), [full(3)]);
}

/// Tabulates the share of its calls that an account gets, by group and by the account that surges.
#[test]
fn accounts_within_share_keep_it_during_surge() {
    let (rates, no_rates) = (table(true), table(false));
    let mut lines = String::from("surge, accounts: all surging large usual one_per_s one_entry worst_tenth lowest\n");
    for (surge, surging) in [("large", 0), ("usual", 30)] {
        for (kind, accounts) in [("ignored", None), ("by rate", Some(&rates)), ("alike", Some(&no_rates))] {
            let counts = simulate(accounts, surging);
            let others = |range: std::ops::Range<usize>| range.filter(move |account| *account != surging);
            let sorted = counts.sorted();
            let tenth = sorted.iter().take(ACCOUNTS / 10).sum::<f64>() / (ACCOUNTS / 10) as f64;
            let all = counts.share(0..ACCOUNTS);
            let shares = [
                all,
                counts.share(surging..surging + 1),
                counts.share(others(LARGE)),
                counts.share(others(USUAL)),
                counts.share(SMALL),
                counts.share(ONE_ENTRY..ONE_ENTRY + 1),
                tenth,
                sorted[0],
            ];
            lines += &format!("{surge}, {kind}: {}\n", shares.map(|share| format!("{share:.2}")).join(" "));
            assert!(sorted[0] >= all / 4.0, "{surge}, {kind}: {} of {all}", sorted[0]);
        }
    }
    insta::assert_snapshot!(lines, @r"
    surge, accounts: all surging large usual one_per_s one_entry worst_tenth lowest
    large, ignored: 0.81 0.82 0.81 0.81 0.80 0.73 0.76 0.73
    large, by rate: 0.82 0.50 0.95 0.94 0.95 0.93 0.87 0.50
    large, alike: 0.81 0.45 0.90 0.99 0.98 0.95 0.87 0.45
    usual, ignored: 0.99 0.98 0.99 0.99 0.98 0.97 0.97 0.96
    usual, by rate: 0.98 0.77 0.99 0.99 0.99 0.98 0.95 0.77
    usual, alike: 0.98 0.82 0.96 0.99 0.99 0.99 0.95 0.82
    ");
}
