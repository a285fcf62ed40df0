//! Input of a run: the shape of a fleet, its routes, and the loads on it.

/// Number of failure domains of a fleet.
pub const DOMAINS: usize = 5;

/// Number of upstreams of one service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceShape {
    /// Upstreams per failure domain.
    pub per_domain: [usize; DOMAINS],
}

/// Nested calls that a run makes before its own work.
#[derive(Debug, Clone, Copy)]
pub struct Nested {
    /// Index of the called route.
    pub route: usize,
    /// Number of concurrent calls.
    pub times: u8,
    /// Share of the runs that make these calls.
    pub share: f64,
}

/// A route and its calls.
#[derive(Debug, Clone, Copy)]
pub struct RouteShape {
    /// Name in reports.
    pub name: &'static str,
    /// Index of the service that serves it.
    pub service: usize,
    /// Mean time of a run on an otherwise idle machine.
    pub work_us: u64,
    /// Time within which an answer has its full utility.
    pub objective_ms: u32,
    /// Time for which a caller waits.
    pub deadline_ms: u32,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// Share of the callers that call this route.
    pub permille: u32,
    /// Utility of an answer within the objective.
    pub utility: f64,
    /// Size of a call and its answer together.
    pub bytes: u64,
    /// Nested calls that its runs make.
    pub nested: Option<Nested>,
}

/// Shape of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    /// Share of the callers per failure domain.
    pub callers_permille: [u32; DOMAINS],
    /// Services.
    pub services: &'static [ServiceShape],
    /// Routes.
    pub routes: &'static [RouteShape],
    /// Concurrent runs of an upstream.
    pub slots: u16,
    /// Calls in a second above which a cold upstream crashes; `None` where it accepts any number.
    pub cold_calls_max: Option<usize>,
    /// Calls a second that an owner admits while its upstream is cold; `None` where they are not bounded.
    pub cold_starts_per_s: Option<u32>,
    /// Regions of the failure domains.
    pub regions: RegionShape,
}

/// Regions of a fleet, and the link between them.
#[derive(Debug, Clone, Copy)]
pub struct RegionShape {
    /// Region of each failure domain.
    pub of_domain: [usize; DOMAINS],
    /// Whether the entries know them from their settings.
    pub is_known: bool,
    /// One-way delay between two regions, without a queue.
    pub delay_us: u64,
    /// Bytes a second of the link in each direction.
    pub link_bytes_per_s: u64,
    /// Start and end of a partition between the regions.
    pub partition_s: (u64, u64),
}

/// A single region.
const ONE_REGION: RegionShape = RegionShape {
    of_domain: [0; DOMAINS],
    is_known: false,
    delay_us: 0,
    link_bytes_per_s: u64::MAX,
    partition_s: (0, 0),
};

/// Load on a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Name.
    pub name: &'static str,
    /// Arrivals of callers a second outside of the burst.
    pub per_s: u64,
    /// Factor of the rate in the burst.
    pub burst: f64,
    /// Start and end of the burst.
    pub burst_s: (u64, u64),
    /// Time after a start for which upstreams are cold and take twice as long.
    pub cold_us: u64,
    /// Probability that an upstream is absent for the whole run.
    pub absent_percent: u64,
}

/// A fleet of 195 VMs in five failure domains, modelled on a user's.
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
            utility: 1.0,
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
            utility: 2.0,
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
            utility: 3.0,
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
            utility: 2.0,
            bytes: 5_500,
            nested: None,
        },
        inner("record check", 1),
        inner("booking check", 2),
        inner("status check", 3),
    ],
    slots: 9,
    cold_calls_max: None,
    cold_starts_per_s: None,
    regions: ONE_REGION,
};

/// A fleet of 69 VMs in three failure domains, whose upstreams crash when they receive more than 32 calls in
/// a second while they are cold.
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
            utility: 1.0,
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
            utility: 2.0,
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
            utility: 3.0,
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
            utility: 2.0,
            bytes: 1_900,
            nested: None,
        },
        check("pickup check", 1),
        check("sample check", 2),
        check("tank check", 3),
    ],
    slots: 11,
    cold_calls_max: Some(32),
    cold_starts_per_s: Some(24),
    regions: ONE_REGION,
};

/// A fleet of 81 VMs in two regions with two failure domains each, modelled on a user's. Most callers are in the first
/// region.
pub const TWO_REGIONS: Fleet = Fleet {
    callers_permille: [380, 380, 120, 120, 0],
    services: &[
        ServiceShape { per_domain: [11, 11, 11, 10, 0] },
        ServiceShape { per_domain: [8, 8, 8, 7, 0] },
        ServiceShape { per_domain: [2, 2, 2, 1, 0] },
    ],
    routes: &[
        RouteShape {
            name: "playback",
            service: 0,
            work_us: 190_000,
            objective_ms: 1_000,
            deadline_ms: 2_500,
            priority: 2,
            repeatable: true,
            permille: 672,
            utility: 1.0,
            bytes: 2_500,
            nested: Some(Nested { route: 3, times: 2, share: 0.7 }),
        },
        RouteShape {
            name: "publish",
            service: 1,
            work_us: 250_000,
            objective_ms: 1_200,
            deadline_ms: 3_000,
            priority: 1,
            repeatable: false,
            permille: 270,
            utility: 2.0,
            bytes: 3_000,
            nested: Some(Nested { route: 4, times: 1, share: 0.7 }),
        },
        RouteShape {
            name: "upload",
            service: 2,
            work_us: 220_000,
            objective_ms: 2_000,
            deadline_ms: 4_000,
            priority: 1,
            repeatable: false,
            permille: 58,
            utility: 2.0,
            bytes: 60_000,
            nested: None,
        },
        RouteShape { work_us: 55_000, objective_ms: 150, deadline_ms: 600, ..inner("catalogue lookup", 1) },
        RouteShape { work_us: 55_000, objective_ms: 150, deadline_ms: 600, ..inner("media check", 2) },
    ],
    slots: 6,
    cold_calls_max: None,
    cold_starts_per_s: None,
    regions: RegionShape {
        of_domain: [0, 0, 1, 1, 1],
        is_known: true,
        delay_us: 30_000,
        link_bytes_per_s: 7_500_000,
        partition_s: (0, 0),
    },
};

/// [`TWO_REGIONS`] with entries that do not know the regions.
pub const UNKNOWN_REGIONS: Fleet =
    Fleet { regions: RegionShape { is_known: false, ..TWO_REGIONS.regions }, ..TWO_REGIONS };

/// Creates a short route that only upstreams call.
const fn check(name: &'static str, service: usize) -> RouteShape {
    RouteShape { work_us: 40_000, objective_ms: 150, deadline_ms: 500, ..inner(name, service) }
}

/// Creates a route that only upstreams call.
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
        utility: 0.0,
        bytes: 700,
        nested: None,
    }
}

const STEADY: Load = Load { name: "steady", per_s: 600, burst: 1.0, burst_s: (0, 0), cold_us: 0, absent_percent: 0 };

/// Loads on [`LARGE`].
pub const LOADS: &[Load] = &[
    STEADY,
    Load { name: "burst", per_s: 1_000, burst: 1.8, burst_s: (6, 9), absent_percent: 20, ..STEADY },
    Load { name: "long burst", per_s: 1_000, burst: 1.5, burst_s: (5, 10), ..STEADY },
    Load { name: "cold start", per_s: 860, cold_us: 3_000_000, ..STEADY },
];

/// Loads on [`ROUNDS`].
pub const ROUNDS_LOADS: &[Load] = &[
    Load { per_s: 800, ..STEADY },
    Load { name: "burst", per_s: 970, burst: 2.2, burst_s: (6, 10), ..STEADY },
    Load { name: "cold start", per_s: 800, cold_us: 3_000_000, ..STEADY },
];

/// [`TWO_REGIONS`] with a link of half a Mbit/s.
pub const NARROW_LINK: Fleet =
    Fleet { regions: RegionShape { link_bytes_per_s: 60_000, ..TWO_REGIONS.regions }, ..TWO_REGIONS };

/// [`TWO_REGIONS`] with a partition between the regions.
pub const PARTITIONED: Fleet =
    Fleet { regions: RegionShape { partition_s: (4, 7), ..TWO_REGIONS.regions }, ..TWO_REGIONS };

/// Loads on [`TWO_REGIONS`]: within the capacity of each region, and with 1.5 times the calls that the first region
/// serves without loss.
pub const TWO_REGIONS_LOADS: &[Load] =
    &[Load { per_s: 300, ..STEADY }, Load { name: "overloaded region", per_s: 600, ..STEADY }];
