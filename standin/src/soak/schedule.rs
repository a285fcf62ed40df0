//! What goes wrong in one run of the soak, and when: decided by the seed alone.

use crate::managed::server::Spoil;
use crate::managed::store::Mode;

/// Shortest and longest time that a fault lasts, in milliseconds: from a blink to longer than a
/// lease holds.
const LASTS_MS: std::ops::RangeInclusive<u64> = 100..=3_500;
/// Average pause between two faults for each VM, in milliseconds, so that faults overlap in fleets
/// of any size.
const PAUSE_MS: u64 = 4_000;
/// Average pause between two suspensions of each VM, in milliseconds.
const SUSPENSION_PAUSE_MS: u64 = 15_000;
/// Average pause between two returns of the store from an older copy, in milliseconds.
const ROLLBACK_PAUSE_MS: u64 = 4_000;
/// Longest absence of the store before one, in milliseconds.
const ABSENCE_MAX_MS: u64 = 1_500;
/// Most changes that it loses: more than a fleet of a dozen nodes makes in a few seconds.
const LOST_MAX: usize = 60;
/// A fault follows its like on the same VM once in this many times, so that series come up.
const SERIES: u32 = 4;

/// One fault, as it is put on one VM or on the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The node is stopped by SIGTERM and started again.
    Term,
    /// The node gets SIGHUP.
    Hangup,
    /// The node is killed and started again.
    Kill,
    /// The node stands still.
    Pause,
    /// The node's calls to the store are treated so.
    StorePath(PathFault),
    /// The node's calls to its upstream are treated so.
    UpstreamPath(PathFault),
    /// Datagrams to the node are lost, or those from it, or both.
    Links {
        /// Whether those to it are.
        inbound: bool,
        /// Whether those from it are.
        outbound: bool,
    },
    /// The answers of all upstreams of the VM's service are spoilt so.
    Spoil(Spoil),
    /// The upstream announces that it leaves, ends and starts again under another id.
    Drain,
    /// The store is in this mode.
    Store(Mode),
    /// The store takes the nodes' entries away.
    Revoke,
    /// Every lease runs out.
    Lapse,
    /// The store forgets its history.
    Compact,
    /// The store goes away, and comes back from a copy that is this many changes older; then the operator writes
    /// again what is missing.
    ComeBackOlder {
        /// How many.
        changes: usize,
    },
    /// The operator writes the next configuration.
    Configure,
    /// The VM is suspended: its node stands still, and finds that the time has gone on.
    Suspend,
}

/// What a TCP path does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathFault {
    /// Bytes come this much later, in milliseconds.
    Delay(u64),
    /// Bytes to the far end are lost, and nobody is told.
    Silent,
    /// Bytes from the far end are lost, and nobody is told.
    OneWay,
    /// Connections are reset.
    Reset,
}

/// One fault at its moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When it begins, from the start of the load, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub lasts_ms: u64,
    /// The VM that it strikes; faults of the store strike all.
    pub vm: usize,
    /// The fault.
    pub fault: Fault,
}

/// Which faults a run draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Only what operators plan: stops, drains, configurations, hangups.
    Planned,
    /// Everything.
    Any,
}

impl Kind {
    /// Returns the kind of a seed: every third one is of planned work alone.
    pub fn of_seed(seed: u64) -> Self {
        if seed.is_multiple_of(3) { Self::Planned } else { Self::Any }
    }
}

/// Returns suspensions of VMs beside the other faults of a run, which they leave as they are.
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

/// Returns absences of the store from which it comes back older, beside the other faults of a run, which they leave as
/// they are; every third one follows the one before at once.
pub fn rollbacks(seed: u64, length_ms: u64) -> Vec<Step> {
    let mut rng = fastrand::Rng::with_seed(seed.rotate_left(29));
    let mut steps: Vec<Step> = Vec::new();
    for _ in 0..(length_ms / ROLLBACK_PAUSE_MS).max(1) {
        let at_ms = match steps.last() {
            Some(last) if rng.u32(..3) == 0 => last.at_ms + last.lasts_ms + rng.u64(20..=600),
            _ => rng.u64(..length_ms),
        };
        let fault = Fault::ComeBackOlder { changes: rng.usize(1..=LOST_MAX) };
        steps.push(Step { at_ms, lasts_ms: rng.u64(20..=ABSENCE_MAX_MS), vm: 0, fault });
    }
    steps
}

/// Returns the faults of a run over `vms` VMs, in the order of their moments.
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
