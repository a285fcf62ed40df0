//! What is run: users' sizes, load, trouble, and the policies that contend.

use valetrack::placement::{CallRule, Policy};

/// Trouble that one or more servers make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// None but the neighbours.
    None,
    /// The first server works at a tenth of its speed from one second on.
    Slow,
    /// The first server fails at once from one second on.
    FailFast,
    /// All servers but one fail at once from one second to two.
    MostFail,
    /// Twice the load from one second to two.
    Burst,
}

/// One setting of the world.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// Servers of the service.
    pub servers: usize,
    /// Slots of each.
    pub slots: u16,
    /// Nodes that callers come to.
    pub entries: usize,
    /// Mean service time, in microseconds.
    pub service_us: u64,
    /// One way between failure domains, in microseconds.
    pub domain_us: u64,
    /// Load, in hundredths of what the servers can do beside their neighbours.
    pub load_percent: u64,
    /// Mean pause between two stalls of one server, in microseconds; zero for none.
    pub noise_every_us: u64,
    /// Whether the load swings between half and one and a half within milliseconds.
    pub swing: bool,
    /// Trouble.
    pub trouble: Trouble,
    /// Whether the work may repeat.
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
    swing: true,
    trouble: Trouble::None,
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
    Scenario { name: "mlekopot slow server", load_percent: 60, trouble: Trouble::Slow, ..MLEKOPOT },
    Scenario { name: "mlekopot healthy 60%", load_percent: 60, ..MLEKOPOT },
    Scenario { name: "mlekopot fail fast", load_percent: 60, trouble: Trouble::FailFast, ..MLEKOPOT },
    Scenario { name: "mlekopot most fail", load_percent: 40, trouble: Trouble::MostFail, ..MLEKOPOT },
    Scenario { name: "mlekopot burst", load_percent: 70, trouble: Trouble::Burst, ..MLEKOPOT },
];

/// How load reaches the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum News {
    /// Not at all.
    None,
    /// On every reply, and by probes out of the budget.
    Riding,
    /// By polling every server, this often, in microseconds.
    Polled(u64),
    /// Always, at once: the true state.
    True,
}

/// One policy with its mechanisms.
#[derive(Debug, Clone, Copy)]
pub struct Contender {
    /// Name.
    pub name: &'static str,
    /// How a server is picked.
    pub policy: Policy,
    /// How load is known.
    pub news: News,
    /// How calls are placed.
    pub rule: CallRule,
    /// Whether owners give back what waits behind a stall.
    pub rescue: bool,
    /// Whether owners bound their queues in time.
    pub bounded: bool,
}

const PLAIN: CallRule = CallRule { repeatable: false, bounces: 0, retries: 0, hedge_after_percent: None, demand: None };
const FULL: CallRule =
    CallRule { repeatable: true, bounces: 1, retries: 1, hedge_after_percent: Some(300), demand: None };

const fn baseline(name: &'static str, policy: Policy, news: News) -> Contender {
    Contender { name, policy, news, rule: PLAIN, rescue: false, bounded: false }
}

/// Returns the baselines, the bound, and valetrack with its mechanisms one by one.
pub fn contenders() -> Vec<Contender> {
    let valetrack = Contender {
        name: "valetrack",
        policy: Policy::Valetrack,
        news: News::Riding,
        rule: FULL,
        rescue: true,
        bounded: true,
    };
    let no_hedge = CallRule { hedge_after_percent: None, ..FULL };
    let no_bounce = CallRule { bounces: 0, ..no_hedge };
    vec![
        baseline("random", Policy::Random, News::None),
        baseline("round robin", Policy::RoundRobin, News::None),
        baseline("least in flight", Policy::LeastInFlight, News::None),
        baseline("two choices, 50 ms old", Policy::TwoChoices, News::Polled(50_000)),
        baseline("polled each 10 ms", Policy::Valetrack, News::Polled(10_000)),
        baseline("bound: true state", Policy::Valetrack, News::True),
        Contender { name: "valetrack: pick only", rule: no_bounce, rescue: false, bounded: false, ..valetrack },
        Contender { name: "  and bounces", rule: no_hedge, rescue: false, ..valetrack },
        Contender { name: "  and rescue from stalls", rule: no_hedge, ..valetrack },
        valetrack,
    ]
}
