//! Input of a run: scenarios with users' sizes, load and faults, and the candidate policies.

use valetrack::placement::{CallRule, Policy};

/// Fault of servers, or burst of load, during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// None but the stalls.
    None,
    /// The first server runs at a tenth of its speed after one second.
    Slow,
    /// The first server fails every call at once after one second.
    FailFast,
    /// All servers but the first fail every call at once between one and two seconds.
    MostFail,
    /// The load doubles between one and two seconds.
    Burst,
}

/// Conditions of a run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// Number of servers.
    pub servers: usize,
    /// Slots of each server.
    pub slots: u16,
    /// Number of entries.
    pub entries: usize,
    /// Mean service time.
    pub service_us: u64,
    /// One-way delay between failure domains.
    pub domain_us: u64,
    /// Load relative to the capacity that the stalls leave to the servers.
    pub load_percent: u64,
    /// Mean time between two stalls of one server; zero for none.
    pub noise_every_us: u64,
    /// Whether the load alternates between half and one and a half times its mean within milliseconds.
    pub varying_load: bool,
    /// Injected fault.
    pub fault: Fault,
    /// Whether a call may run more than once.
    pub repeatable: bool,
}

const MLEKOPOT: Scenario = Scenario {
    name: "mlekopot 80%",
    servers: 4,
    slots: 12,
    entries: 15,
    service_us: 4_000,
    domain_us: 1_000,
    load_percent: 80,
    noise_every_us: 400_000,
    varying_load: true,
    fault: Fault::None,
    repeatable: true,
};
const FEDERATION: Scenario = Scenario { name: "federation 80%", slots: 6, entries: 14, domain_us: 500, ..MLEKOPOT };

/// All scenarios.
pub const SCENARIOS: &[Scenario] = &[
    MLEKOPOT,
    FEDERATION,
    Scenario { name: "mlekopot 80% writes", repeatable: false, ..MLEKOPOT },
    Scenario { name: "federation 80% writes", repeatable: false, ..FEDERATION },
    Scenario { name: "mlekopot 50%", load_percent: 50, ..MLEKOPOT },
    Scenario { name: "mlekopot 120%", load_percent: 120, ..MLEKOPOT },
    Scenario { name: "federation 120%", load_percent: 120, ..FEDERATION },
    Scenario { name: "mlekopot calm", noise_every_us: 0, load_percent: 60, ..MLEKOPOT },
    Scenario { name: "mlekopot three left", servers: 3, load_percent: 80, ..MLEKOPOT },
    Scenario { name: "mlekopot slow server", load_percent: 60, fault: Fault::Slow, ..MLEKOPOT },
    Scenario { name: "mlekopot healthy 60%", load_percent: 60, ..MLEKOPOT },
    Scenario { name: "mlekopot fail fast", load_percent: 60, fault: Fault::FailFast, ..MLEKOPOT },
    Scenario { name: "mlekopot most fail", load_percent: 40, fault: Fault::MostFail, ..MLEKOPOT },
    Scenario { name: "mlekopot burst", load_percent: 70, fault: Fault::Burst, ..MLEKOPOT },
];

/// Source of the load reports of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// No reports.
    None,
    /// Reports piggybacked on every reply, and probes within the budget.
    Piggybacked,
    /// Polls of every server with this period in microseconds.
    Polled(u64),
    /// The true state of every server, without delay.
    TrueState,
}

/// A policy with its mechanisms.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Name.
    pub name: &'static str,
    /// Policy that picks a server.
    pub policy: Policy,
    /// Source of the load reports.
    pub load_source: LoadSource,
    /// Rule for declined attempts, retries and hedges.
    pub rule: CallRule,
    /// Whether owners decline attempts that wait behind a stall.
    pub rescue: bool,
    /// Whether owners bound the time that attempts wait in their queues.
    pub bounded: bool,
}

const PLAIN: CallRule = CallRule { repeatable: false, bounces: 0, retries: 0, hedge_after_percent: None, demand: None };
const FULL: CallRule =
    CallRule { repeatable: true, bounces: 1, retries: 1, hedge_after_percent: Some(300), demand: None };

const fn baseline(name: &'static str, policy: Policy, load_source: LoadSource) -> Candidate {
    Candidate { name, policy, load_source, rule: PLAIN, rescue: false, bounded: false }
}

/// Returns the baselines, the bound, and valetrack with its mechanisms added one by one.
pub fn candidates() -> Vec<Candidate> {
    let valetrack = Candidate {
        name: "valetrack",
        policy: Policy::Valetrack,
        load_source: LoadSource::Piggybacked,
        rule: FULL,
        rescue: true,
        bounded: true,
    };
    let no_hedge = CallRule { hedge_after_percent: None, ..FULL };
    let no_decline = CallRule { bounces: 0, ..no_hedge };
    vec![
        baseline("random", Policy::Random, LoadSource::None),
        baseline("round robin", Policy::RoundRobin, LoadSource::None),
        baseline("least in flight", Policy::LeastInFlight, LoadSource::None),
        baseline("two choices, 50 ms old", Policy::TwoChoices, LoadSource::Polled(50_000)),
        baseline("polled each 10 ms", Policy::Valetrack, LoadSource::Polled(10_000)),
        baseline("bound: true state", Policy::Valetrack, LoadSource::TrueState),
        Candidate { name: "valetrack: pick only", rule: no_decline, rescue: false, bounded: false, ..valetrack },
        Candidate { name: "  and declined attempts", rule: no_hedge, rescue: false, ..valetrack },
        Candidate { name: "  and rescue from stalls", rule: no_hedge, ..valetrack },
        valetrack,
    ]
}
