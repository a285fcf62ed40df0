//! A load report as it travels: each figure in as few bytes as its use needs.

use serde::{Deserialize, Serialize};

use super::message::LoadReport;

/// Flag of a server that stalls.
const STALLED: u8 = 1;
/// Flag of a server that takes no new work.
const LEAVING: u8 = 2;
/// Hundredths in the unit of a factor: a tenth is finer than any pick needs.
const FACTOR_UNIT_PERCENT: u16 = 10;
/// Milliseconds in the unit of an episode's rest.
const LASTS_UNIT_MS: u16 = 10;

/// A load report on the wire.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PackedLoad {
    limit: u16,
    in_flight: u16,
    queued: u16,
    service_us: u32,
    flags: u8,
    slowdown: u8,
    mean: u8,
    lasts: u8,
    failing_percent: u8,
}

impl From<LoadReport> for PackedLoad {
    fn from(load: LoadReport) -> Self {
        let flag = |set: bool, flag: u8| if set { flag } else { 0 };
        Self {
            limit: load.limit,
            in_flight: load.in_flight,
            queued: load.queued,
            service_us: load.service_us,
            flags: flag(load.stalled, STALLED) | flag(load.leaving, LEAVING),
            slowdown: in_units(load.slowdown_percent, FACTOR_UNIT_PERCENT),
            mean: in_units(load.mean_percent, FACTOR_UNIT_PERCENT),
            lasts: in_units(load.slow_lasts_ms, LASTS_UNIT_MS),
            failing_percent: load.failing_percent,
        }
    }
}

impl From<PackedLoad> for LoadReport {
    fn from(packed: PackedLoad) -> Self {
        Self {
            limit: packed.limit,
            in_flight: packed.in_flight,
            queued: packed.queued,
            service_us: packed.service_us,
            stalled: packed.flags & STALLED != 0,
            leaving: packed.flags & LEAVING != 0,
            slowdown_percent: u16::from(packed.slowdown) * FACTOR_UNIT_PERCENT,
            mean_percent: u16::from(packed.mean) * FACTOR_UNIT_PERCENT,
            slow_lasts_ms: u16::from(packed.lasts) * LASTS_UNIT_MS,
            failing_percent: packed.failing_percent,
        }
    }
}

/// Rounds to whole units; what is over the range counts as its end.
fn in_units(figure: u16, unit: u16) -> u8 {
    (figure.saturating_add(unit / 2) / unit).min(u16::from(u8::MAX)) as u8
}
