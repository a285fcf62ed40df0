//! Limits of the VM, as its kernel states them.

use std::fs;

use rustix::process::{Resource, getrlimit};

/// Most connections of callers, whatever the limits of the VM.
const CONNECTIONS_MAX: usize = 10_000;
/// Descriptors that callers can't use: those of files, listeners and runtimes.
const RESERVED_DESCRIPTORS: usize = 200;
/// Part of the other descriptors that is reserved for the store, the upstream, announcements and operators, as a divisor.
const RESERVE_DIVISOR: usize = 4;
/// Part of the memory for what clients, peers and the upstream make the process hold, as a divisor. The rest is for the
/// process itself, its state of the fleet, and buffers of the kernel and of links.
const HELD_DIVISOR: u64 = 2;
/// Memory of a VM whose kernel does not state it.
const UNKNOWN_MEMORY_BYTES: u64 = 160_000_000;

/// Memory and descriptors of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory.
    pub memory_bytes: u64,
    /// Descriptors that a process may have open.
    pub descriptors: usize,
}

impl MachineLimits {
    /// Returns the limits from the settings, and those that the kernel states where there are none.
    pub fn new(memory_mb: Option<u64>, descriptors: Option<u64>) -> Self {
        let memory_bytes = memory_mb.map(|memory_mb| memory_mb * 1_000_000);
        let descriptors = descriptors.or_else(|| getrlimit(Resource::Nofile).current);
        Self {
            memory_bytes: memory_bytes.or_else(machine_memory).unwrap_or(UNKNOWN_MEMORY_BYTES),
            descriptors: descriptors.map_or(usize::MAX, |descriptors| descriptors as usize),
        }
    }

    /// Returns the memory for what clients, peers and the upstream make the process hold.
    pub const fn held_bytes(&self) -> u64 {
        self.memory_bytes / HELD_DIVISOR
    }
}

/// Returns how many connections of callers may be open with a limit on descriptors.
pub fn connections_max(descriptors: usize) -> usize {
    let shared = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    (shared - shared / RESERVE_DIVISOR).clamp(1, CONNECTIONS_MAX)
}

/// Reads the memory of the machine; none if the kernel does not state it.
fn machine_memory() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let total_kb: u64 = total.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(total_kb * 1024)
}
