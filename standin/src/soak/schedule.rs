//! The fault schedule of one run, which depends on the seed alone.

use crate::managed::server::Spoil;
use crate::managed::store::Mode;

/// Shortest and longest duration of a fault; the longest one exceeds a lease.
const LASTS_MS: std::ops::RangeInclusive<u64> = 100..=3_500;
/// Average pause between two faults for each VM, so that faults overlap in fleets of any size.
const PAUSE_MS: u64 = 4_000;
/// Average pause between two suspensions of each VM.
const SUSPENSION_PAUSE_MS: u64 = 15_000;
/// Average pause between two store rollbacks.
const ROLLBACK_PAUSE_MS: u64 = 4_000;
/// Longest time for which the store is unavailable before a rollback.
const OUTAGE_MAX_MS: u64 = 1_500;
/// Maximum number of changes lost by a rollback: more than a fleet of a dozen nodes makes in a few seconds.
const LOST_MAX: usize = 60;
/// Average pause between two limits or departures of each VM.
const LIMIT_PAUSE_MS: u64 = 8_000;
/// Average pause between two removals of the service and two departures beside a node that is killed.
const CHURN_PAUSE_MS: u64 = 2_500;
/// Shortest and longest time for which the configuration lacks the service.
const REMOVED_MS: std::ops::RangeInclusive<u64> = 50..=1_500;
/// Shortest and longest time for which a deregistered upstream serves on; the shortest one exceeds the drain timeout.
const SERVES_ON_MS: std::ops::RangeInclusive<u64> = 2_500..=6_000;
/// Shortest and longest time for which a node stays down after a kill beside a leaving upstream.
const DOWN_MS: std::ops::RangeInclusive<u64> = 50..=600;
/// Average pause between two ends of all nodes.
const END_ALL_PAUSE_MS: u64 = 5_000;
/// Longest time from the departure of an upstream to the end of all nodes.
const END_ALL_AFTER_MS: u64 = 1_500;
/// Pause between two ends of all nodes in series: some meet nodes that have not served yet.
const END_ALL_AGAIN_MS: std::ops::RangeInclusive<u64> = 200..=2_500;
/// Longest step of an upstream's clock, in either direction.
const CLOCK_STEP_MAX_MS: i64 = 10_000;
/// Shortest and longest time for which a limit or a departure is stated; the longest one exceeds the window of a limit.
const LIMIT_LASTS_MS: std::ops::RangeInclusive<u64> = 500..=7_000;
/// Limits that are drawn, in thousandths of a request per second.
const LIMITS_MILLI_PER_S: [u32; 5] = [0, 400, 3_000, 8_000, 40_000];
/// One in this many limits is a departure instead.
const DEPARTURES: u32 = 4;
/// One in this many faults repeats the previous one on the same VM, so that series of the same fault occur.
const SERIES: u32 = 4;

/// A fault of one VM or of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The node is stopped by SIGTERM and started again.
    Term,
    /// The node receives SIGHUP.
    Hangup,
    /// The node is killed and started again.
    Kill,
    /// The node is paused.
    Pause,
    /// The path from the node to the store has this fault.
    StorePath(PathFault),
    /// The path from the node to its upstream has this fault.
    UpstreamPath(PathFault),
    /// Datagrams to the node, from it, or both are dropped.
    Links {
        /// Whether datagrams to the node are dropped.
        inbound: bool,
        /// Whether datagrams from the node are dropped.
        outbound: bool,
    },
    /// All upstreams of the VM's service spoil their answers in this way.
    Spoil(Spoil),
    /// The upstream announces that it is draining, stops, and starts again under another id.
    Drain,
    /// The store is in this mode.
    Store(Mode),
    /// The store removes the nodes' entries.
    Revoke,
    /// Every lease expires.
    Lapse,
    /// The store discards its history.
    Compact,
    /// The store becomes unavailable and is restored from an older copy; then the operator writes the configuration
    /// again.
    RollBack {
        /// Number of changes that the copy lacks.
        changes: usize,
    },
    /// The operator writes the next configuration.
    Configure,
    /// The VM is suspended: its node is paused and finds on resumption that time has passed.
    Suspend,
    /// The upstream names a rate limit in its answers.
    Limit {
        /// The limit in thousandths of a request per second.
        milli_per_s: u32,
    },
    /// The upstream states in its answers that it leaves, stops, and starts again under another id.
    Leave,
    /// The operator writes a configuration without the service of calls that must not be repeated, whose routes lead to
    /// the other one, and later one with it.
    RemoveService,
    /// The upstream sends a heartbeat that arrives at the end of the fault.
    LateHeartbeat,
    /// The upstream deregisters, sends no more heartbeats, serves on, and starts again under another id.
    Deregister,
    /// The upstream's health check succeeds even while the upstream leaves.
    LyingHealth,
    /// All nodes end at the same moment and are started again.
    EndAll {
        /// Whether they are stopped by SIGTERM instead of killed.
        by_signal: bool,
    },
    /// The clock of the upstream's VM is set.
    StepClock {
        /// Difference to the time of day.
        ahead_ms: i64,
    },
}

/// A fault of a TCP path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathFault {
    /// Bytes are delayed by this many milliseconds.
    Delay(u64),
    /// Bytes to the far end are dropped silently.
    Silent,
    /// Bytes from the far end are dropped silently.
    OneWay,
    /// Connections are reset.
    Reset,
}

/// One scheduled fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Start of the fault, relative to the start of the load.
    pub at_ms: u64,
    /// Duration of the fault.
    pub lasts_ms: u64,
    /// Number of the affected VM; faults of the store affect all VMs.
    pub vm: usize,
    /// The fault.
    pub fault: Fault,
}

/// The set of faults that a run draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Only planned work: stops, drains, configurations, hangups.
    Planned,
    /// All faults.
    Any,
}

impl Kind {
    /// Returns the kind of a seed: every third seed has planned work alone.
    pub fn of_seed(seed: u64) -> Self {
        if seed.is_multiple_of(3) { Self::Planned } else { Self::Any }
    }
}

/// Returns the suspensions of a run; they are drawn separately, so the other faults of the seed don't change.
pub fn suspensions(seed: u64, vms: usize, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed.rotate_left(17));
    let count = length_ms * vms as u64 / SUSPENSION_PAUSE_MS;
    let step = |_| Step {
        at_ms: rng.u64(..length_ms),
        lasts_ms: rng.u64(LASTS_MS),
        vm: rng.usize(..vms),
        fault: Fault::Suspend,
    };
    (0..count).map(step).collect()
}

/// Returns the limits and departures that upstreams state during a run; they are drawn separately, so the other faults of
/// the seed don't change. About one in four starts shortly after the previous one, on the same VM.
pub fn limits(seed: u64, vms: usize, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed.rotate_left(41));
    let mut steps: Vec<Step> = Vec::new();
    for _ in 0..(length_ms * vms as u64 / LIMIT_PAUSE_MS).max(1) {
        let fault = match rng.u32(..DEPARTURES) {
            0 => Fault::Leave,
            _ => Fault::Limit { milli_per_s: LIMITS_MILLI_PER_S[rng.usize(..LIMITS_MILLI_PER_S.len())] },
        };
        let (at_ms, vm) = match steps.last() {
            Some(last) if rng.u32(..SERIES) == 0 => (last.at_ms + rng.u64(50..=1_500), last.vm),
            _ => (rng.u64(..length_ms), rng.usize(..vms)),
        };
        steps.push(Step { at_ms, lasts_ms: rng.u64(LIMIT_LASTS_MS), vm, fault });
    }
    steps
}

/// Returns the removals of the service, and the departures whose nodes are killed, of a run; they are drawn separately, so
/// the other faults of the seed don't change.
pub fn churn(seed: u64, vms: usize, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed.rotate_left(53));
    let mut steps: Vec<Step> = Vec::new();
    for _ in 0..(length_ms / CHURN_PAUSE_MS).max(1) {
        let (at_ms, vm) = (rng.u64(..length_ms), rng.usize(..vms));
        steps.push(Step { at_ms, lasts_ms: rng.u64(REMOVED_MS), vm, fault: Fault::RemoveService });
        // The node is killed while calls run, in half of the cases.
        let kill_ms = at_ms + rng.u64(..=1_500);
        if rng.bool() {
            steps.push(Step { at_ms: kill_ms, lasts_ms: 0, vm: rng.usize(..vms), fault: Fault::Kill });
        }
        let departs_ms = rng.u64(..length_ms);
        steps.extend(departure(&mut rng, departs_ms, vms));
    }
    steps
}

/// Returns a departure whose node is killed once or twice, and heartbeats from before it that arrive late.
fn departure(rng: &mut fastrand::Rng, at_ms: u64, vms: usize) -> Vec<Step> {
    let vm = rng.usize(..vms);
    let late = |rng: &mut fastrand::Rng| Step { at_ms, lasts_ms: rng.u64(LASTS_MS), vm, fault: Fault::LateHeartbeat };
    let mut steps: Vec<Step> = (0..rng.usize(1..=3)).map(|_| late(rng)).collect();
    let lasts_ms = rng.u64(SERVES_ON_MS);
    steps.push(Step { at_ms: at_ms + 20, lasts_ms, vm, fault: Fault::Deregister });
    let mut kill_ms = at_ms + 40;
    for _ in 0..rng.usize(1..=2) {
        kill_ms += rng.u64(DOWN_MS);
        steps.push(Step { at_ms: kill_ms, lasts_ms: 0, vm, fault: Fault::Kill });
    }
    steps
}

/// Returns the departures beside ends of all nodes of a run; they are drawn separately, so the other faults of the seed don't
/// change.
pub fn fleet_ends(seed: u64, vms: usize, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed.rotate_left(7));
    let mut steps: Vec<Step> = Vec::new();
    for _ in 0..(length_ms / END_ALL_PAUSE_MS).max(1) {
        let (at_ms, vm) = (rng.u64(..length_ms), rng.usize(..vms));
        let step = |at_ms, lasts_ms, fault| Step { at_ms, lasts_ms, vm, fault };
        let ahead_ms = rng.i64(-CLOCK_STEP_MAX_MS..=CLOCK_STEP_MAX_MS);
        steps.push(step(at_ms.saturating_sub(20), rng.u64(SERVES_ON_MS), Fault::StepClock { ahead_ms }));
        steps.extend((0..rng.usize(1..=3)).map(|_| step(at_ms, rng.u64(LASTS_MS), Fault::LateHeartbeat)));
        if rng.bool() {
            steps.push(step(at_ms, 0, Fault::LyingHealth));
        }
        let departure = if rng.bool() { Fault::Deregister } else { Fault::Drain };
        steps.push(step(at_ms + 20, rng.u64(SERVES_ON_MS), departure));
        let mut end_ms = at_ms + 20 + rng.u64(..=END_ALL_AFTER_MS);
        for _ in 0..rng.usize(1..=2) {
            steps.push(step(end_ms, 0, Fault::EndAll { by_signal: rng.bool() }));
            end_ms += rng.u64(END_ALL_AGAIN_MS);
        }
    }
    steps
}

/// Returns the store rollbacks of a run; they are drawn separately, so the other faults of the seed don't change. About
/// one in three starts shortly after the previous one ends.
pub fn rollbacks(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed.rotate_left(29));
    let mut steps: Vec<Step> = Vec::new();
    for _ in 0..(length_ms / ROLLBACK_PAUSE_MS).max(1) {
        let at_ms = match steps.last() {
            Some(last) if rng.u32(..3) == 0 => last.at_ms + last.lasts_ms + rng.u64(20..=600),
            _ => rng.u64(..length_ms),
        };
        let fault = Fault::RollBack { changes: rng.usize(1..=LOST_MAX) };
        steps.push(Step { at_ms, lasts_ms: rng.u64(20..=OUTAGE_MAX_MS), vm: 0, fault });
    }
    steps
}

/// Returns the faults of a run over `vms` VMs, ordered by their start.
pub fn schedule(seed: u64, vms: usize, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let kind = Kind::of_seed(seed);
    let count = (length_ms * vms as u64 / PAUSE_MS).max(1);
    let mut steps: Vec<Step> = Vec::new();
    for _ in 0..count {
        let step = match steps.last() {
            Some(&last) if rng.u32(..SERIES) == 0 => Step { at_ms: last.at_ms + rng.u64(50..=400), ..last },
            _ => Step {
                at_ms: rng.u64(..length_ms),
                lasts_ms: rng.u64(LASTS_MS),
                vm: rng.usize(..vms),
                fault: draw(kind, &mut rng),
            },
        };
        steps.push(step);
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
}

fn draw(kind: Kind, rng: &mut fastrand::Rng) -> Fault {
    let planned = [Fault::Term, Fault::Hangup, Fault::Drain, Fault::Configure];
    if kind == Kind::Planned || rng.u32(..3) == 0 {
        return planned[rng.usize(..planned.len())];
    }
    match rng.u32(..12) {
        0 => Fault::Kill,
        1 => Fault::Pause,
        2 => Fault::StorePath(path_fault(rng)),
        3 | 4 => Fault::UpstreamPath(path_fault(rng)),
        5 => Fault::Links { inbound: true, outbound: rng.bool() },
        6 => Fault::Links { inbound: rng.bool(), outbound: true },
        8 | 9 => Fault::Spoil([Spoil::Reject, Spoil::Close][rng.usize(..2)]),
        7 => [Fault::Revoke, Fault::Lapse, Fault::Compact][rng.usize(..3)],
        _ => {
            let modes = [Mode::Refusing, Mode::Silent, Mode::Slow(rng.u64(20..800)), Mode::LosingAnswers];
            Fault::Store(modes[rng.usize(..modes.len())])
        }
    }
}

fn path_fault(rng: &mut fastrand::Rng) -> PathFault {
    let faults = [PathFault::Delay(rng.u64(5..400)), PathFault::Silent, PathFault::OneWay, PathFault::Reset];
    faults[rng.usize(..faults.len())]
}
