//! Compact wire format of a load report.

use serde::{Deserialize, Serialize};

use super::message::LoadReport;

/// Flag of a stalled server.
const STALLED: u8 = 1;
/// Flag of a server that accepts no new work.
const LEAVING: u8 = 2;
/// Bit position of the share of kept speeds, above the flags.
const KEPT_SHIFT: u32 = 2;
/// Bit position of the share of failing runs, in the same byte.
const FAILING_SHIFT: u32 = 5;
/// Largest value that fits into three bits.
const THREE_BITS: u8 = 7;
/// Largest value that fits into four bits.
const FOUR_BITS: u8 = 15;
/// Unit of a slowdown factor: placement needs no finer resolution than a tenth.
const FACTOR_UNIT_PERCENT: u16 = 10;
/// Unit of the remaining duration of a speed.
const LASTS_UNIT_MS: u16 = 10;
/// Added to the start delay in place of a limit of zero. Slots are fewer, so the delay needs no field of its own.
const DELAY_FLAG: u16 = 1 << 15;
/// Scale of percentages.
const PERCENT: f64 = 100.0;

/// A load report on the wire.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct PackedLoad {
    /// The limit, or the start delay in milliseconds with [`DELAY_FLAG`].
    limit: u16,
    in_flight: u16,
    queued: u16,
    service_us: u32,
    /// Flags, the share of runs that keep their speed, and the square root of the share of runs that fail. The root
    /// gives small shares a finer resolution.
    flags: u8,
    fast: u8,
    slow: u8,
    /// Probability and share of slow episodes, in four bits each.
    slow_times: u8,
    lasts: u8,
}

impl From<LoadReport> for PackedLoad {
    fn from(load: LoadReport) -> Self {
        let flag = |set: bool, flag: u8| if set { flag } else { 0 };
        let kept = to_steps(share(load.kept_percent), THREE_BITS) << KEPT_SHIFT;
        let failing = to_steps(share(load.failing_percent).sqrt(), THREE_BITS) << FAILING_SHIFT;
        let slow_chance = to_steps(share(load.slow_chance_percent), FOUR_BITS);
        let slow_share = to_steps(share(load.slow_share_percent), FOUR_BITS);
        Self {
            limit: match load.start_delay_ms {
                0 => load.limit.min(DELAY_FLAG - 1),
                delay_ms => DELAY_FLAG | delay_ms,
            },
            in_flight: load.in_flight,
            queued: load.queued,
            service_us: load.service_us,
            flags: flag(load.stalled, STALLED) | flag(load.leaving, LEAVING) | kept | failing,
            fast: to_units(load.fast_percent, FACTOR_UNIT_PERCENT),
            slow: to_units(load.slow_percent, FACTOR_UNIT_PERCENT),
            slow_times: slow_chance | slow_share << 4,
            lasts: to_units(load.slow_lasts_ms, LASTS_UNIT_MS),
        }
    }
}

impl From<PackedLoad> for LoadReport {
    fn from(packed: PackedLoad) -> Self {
        let kept = from_steps(packed.flags >> KEPT_SHIFT, THREE_BITS);
        let failing = from_steps(packed.flags >> FAILING_SHIFT, THREE_BITS).powi(2);
        let is_delayed = packed.limit & DELAY_FLAG != 0;
        Self {
            limit: if is_delayed { 0 } else { packed.limit },
            start_delay_ms: if is_delayed { packed.limit & !DELAY_FLAG } else { 0 },
            in_flight: packed.in_flight,
            queued: packed.queued,
            service_us: packed.service_us,
            stalled: packed.flags & STALLED != 0,
            leaving: packed.flags & LEAVING != 0,
            fast_percent: u16::from(packed.fast) * FACTOR_UNIT_PERCENT,
            slow_percent: u16::from(packed.slow) * FACTOR_UNIT_PERCENT,
            slow_chance_percent: percent(from_steps(packed.slow_times, FOUR_BITS)),
            slow_share_percent: percent(from_steps(packed.slow_times >> 4, FOUR_BITS)),
            slow_lasts_ms: u16::from(packed.lasts) * LASTS_UNIT_MS,
            kept_percent: percent(kept),
            failing_percent: percent(failing),
        }
    }
}

fn share(percent: u8) -> f64 {
    f64::from(percent) / PERCENT
}

fn percent(share: f64) -> u8 {
    (share * PERCENT).round() as u8
}

/// Quantizes a share to steps from zero to `max`.
fn to_steps(share: f64, max: u8) -> u8 {
    (share.clamp(0.0, 1.0) * f64::from(max)).round() as u8
}

/// Decodes a share from the lowest bits.
fn from_steps(steps: u8, max: u8) -> f64 {
    f64::from(steps & max) / f64::from(max)
}

/// Rounds to whole units; values beyond the range become its maximum.
fn to_units(value: u16, unit: u16) -> u8 {
    (value.saturating_add(unit / 2) / unit).min(u16::from(u8::MAX)) as u8
}
