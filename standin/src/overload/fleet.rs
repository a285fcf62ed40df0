//! What is played: the fleet's shape, its routes, and the loads on it.

/// Failure domains of a fleet.
pub const DOMAINS: usize = 5;

/// Upstreams of one service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceShape {
    /// Upstreams by failure domain.
    pub per_domain: [usize; DOMAINS],
}

/// Calls that a run makes before it works.
#[derive(Debug, Clone, Copy)]
pub struct Nested {
    /// The route that is called.
    pub route: usize,
    /// How often, all at once.
    pub times: u8,
    /// Share of runs that call at all.
    pub share: f64,
}

/// Calls of one kind.
#[derive(Debug, Clone, Copy)]
pub struct RouteShape {
    /// Its name in reports.
    pub name: &'static str,
    /// The service that serves it.
    pub service: usize,
    /// Time that a run takes on a machine of its own, on average, in microseconds.
    pub work_us: u64,
    /// Time within which an answer is worth the most, in milliseconds.
    pub objective_ms: u32,
    /// Time that a caller waits, in milliseconds.
    pub deadline_ms: u32,
    /// Rank; zero goes first.
    pub priority: u8,
    /// Whether the work may run more than once.
    pub repeatable: bool,
    /// Calls of callers of a thousand.
    pub permille: u32,
    /// What an answer in time is worth to its caller.
    pub worth: f64,
    /// Bytes of a call and its answer.
    pub bytes: u64,
    /// Calls that its runs make.
    pub nested: Option<Nested>,
}

/// A fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Callers of a thousand by failure domain.
    pub callers_permille: [u32; DOMAINS],
    /// Its services.
    pub services: &'static [ServiceShape],
    /// Its routes.
    pub routes: &'static [RouteShape],
    /// Calls that an upstream runs at once.
    pub slots: u16,
    /// Calls within a second above which a cold upstream falls over; none where it bears any number.
    pub cold_bears: Option<usize>,
    /// Most calls a second that owners let in while their upstream is cold; none where nothing is bounded.
    pub cold_starts_per_s: Option<u32>,
}

/// What comes at a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Its name.
    pub name: &'static str,
    /// Calls of callers a second outside of the burst.
    pub per_s: u64,
    /// Factor of the burst.
    pub burst: f64,
    /// From when to when it goes, in seconds.
    pub burst_s: (u64, u64),
    /// Time from the start for which upstreams take twice as long, in microseconds.
    pub cold_us: u64,
    /// Upstreams that are gone from the start, of a hundred.
    pub gone_percent: u64,
}

/// A fleet of 195 VMs in five failure domains, as a user runs it.
pub const LARGE: Fleet = Fleet {
    callers_permille: [182, 161, 230, 197, 230],
    services: &[
        ServiceShape { per_domain: [17, 21, 20, 20, 17] },
        ServiceShape { per_domain: [12, 11, 13, 12, 12] },
        ServiceShape { per_domain: [6, 5, 5, 6, 5] },
        ServiceShape { per_domain: [3, 3, 3, 2, 2] },
    ],
    routes: &[
        RouteShape {
            name: "lookup",
            service: 0,
            work_us: 420_000,
            objective_ms: 1_200,
            deadline_ms: 2_000,
            priority: 2,
            repeatable: true,
            permille: 534,
            worth: 1.0,
            bytes: 2_000,
            nested: Some(Nested { route: 4, times: 2, share: 0.7 }),
        },
        RouteShape {
            name: "record",
            service: 1,
            work_us: 540_000,
            objective_ms: 1_500,
            deadline_ms: 2_500,
            priority: 1,
            repeatable: false,
            permille: 184,
            worth: 2.0,
            bytes: 2_100,
            nested: Some(Nested { route: 5, times: 2, share: 0.7 }),
        },
        RouteShape {
            name: "booking",
            service: 2,
            work_us: 290_000,
            objective_ms: 800,
            deadline_ms: 1_200,
            priority: 0,
            repeatable: false,
            permille: 146,
            worth: 3.0,
            bytes: 2_100,
            nested: Some(Nested { route: 6, times: 2, share: 0.7 }),
        },
        RouteShape {
            name: "status",
            service: 3,
            work_us: 170_000,
            objective_ms: 500,
            deadline_ms: 1_500,
            priority: 1,
            repeatable: true,
            permille: 136,
            worth: 2.0,
            bytes: 5_500,
            nested: None,
        },
        inner("record check", 1),
        inner("booking check", 2),
        inner("status check", 3),
    ],
    slots: 9,
    cold_bears: None,
    cold_starts_per_s: None,
};

/// A fleet of 69 VMs in three failure domains, whose upstreams fall over when they get more than 32 calls
/// in a second while they are cold.
pub const ROUNDS: Fleet = Fleet {
    callers_permille: [316, 337, 347, 0, 0],
    services: &[
        ServiceShape { per_domain: [8, 7, 7, 0, 0] },
        ServiceShape { per_domain: [10, 11, 11, 0, 0] },
        ServiceShape { per_domain: [4, 3, 2, 0, 0] },
        ServiceShape { per_domain: [3, 2, 1, 0, 0] },
    ],
    routes: &[
        RouteShape {
            name: "route sheet",
            service: 0,
            work_us: 160_000,
            objective_ms: 500,
            deadline_ms: 1_200,
            priority: 2,
            repeatable: true,
            permille: 327,
            worth: 1.0,
            bytes: 1_900,
            nested: Some(Nested { route: 4, times: 1, share: 0.7 }),
        },
        RouteShape {
            name: "pickup",
            service: 1,
            work_us: 210_000,
            objective_ms: 600,
            deadline_ms: 1_500,
            priority: 1,
            repeatable: false,
            permille: 336,
            worth: 2.0,
            bytes: 9_400,
            nested: Some(Nested { route: 5, times: 1, share: 0.7 }),
        },
        RouteShape {
            name: "booking",
            service: 2,
            work_us: 110_000,
            objective_ms: 300,
            deadline_ms: 1_000,
            priority: 0,
            repeatable: false,
            permille: 89,
            worth: 3.0,
            bytes: 6_600,
            nested: Some(Nested { route: 6, times: 2, share: 0.7 }),
        },
        RouteShape {
            name: "farm status",
            service: 3,
            work_us: 64_000,
            objective_ms: 200,
            deadline_ms: 600,
            priority: 1,
            repeatable: true,
            permille: 248,
            worth: 2.0,
            bytes: 1_900,
            nested: None,
        },
        check("pickup check", 1),
        check("sample check", 2),
        check("tank check", 3),
    ],
    slots: 11,
    cold_bears: Some(32),
    cold_starts_per_s: Some(24),
};

/// Makes a short route that only upstreams call.
const fn check(name: &'static str, service: usize) -> RouteShape {
    RouteShape { work_us: 40_000, objective_ms: 150, deadline_ms: 500, ..inner(name, service) }
}

/// Makes a route that only upstreams call.
const fn inner(name: &'static str, service: usize) -> RouteShape {
    RouteShape {
        name,
        service,
        work_us: 100_000,
        objective_ms: 300,
        deadline_ms: 1_200,
        priority: 0,
        repeatable: true,
        permille: 0,
        worth: 0.0,
        bytes: 700,
        nested: None,
    }
}

const STEADY: Load = Load { name: "steady", per_s: 600, burst: 1.0, burst_s: (0, 0), cold_us: 0, gone_percent: 0 };

/// The loads that are played.
pub const LOADS: &[Load] = &[
    STEADY,
    Load { name: "burst", per_s: 1_000, burst: 1.8, burst_s: (6, 9), gone_percent: 20, ..STEADY },
    Load { name: "long burst", per_s: 1_000, burst: 1.5, burst_s: (5, 10), ..STEADY },
    Load { name: "cold start", per_s: 860, cold_us: 3_000_000, ..STEADY },
];

/// The loads that are played on [`ROUNDS`].
pub const ROUNDS_LOADS: &[Load] = &[
    Load { per_s: 800, ..STEADY },
    Load { name: "burst", per_s: 970, burst: 2.2, burst_s: (6, 10), ..STEADY },
    Load { name: "cold start", per_s: 800, cold_us: 3_000_000, ..STEADY },
];
