//! Estimate of the time that a caller waited before its call arrived, derived from the time limit that it sends.
//!
//! A caller that was refused calls again with the rest of its time, and its objective counts from its first call. If it
//! is treated as a new caller, it is admitted and answered too late to be of use: in a burst, 429 of 592 late answers
//! of one route went to callers that had called again, in slots from which others could have been answered within their
//! objective.

use super::quantile::{Quantile, QuantileRule};

/// The usual time is the median, which neither returning callers nor a few callers with long limits shift.
const RULE: QuantileRule = QuantileRule { quantile: 0.5, step: 0.01, first_step: 0.5 };
/// Calls of a route after which its usual time is used.
const CALLS_MIN: u32 = 10;
/// A time limit below the usual one by at most this share may be the first one of an impatient caller: the limits of
/// callers of one kind differ by up to a seventh.
const LIMIT_VARIATION_SHARE: f64 = 0.12;

/// Usual time limit of the callers of one route, learned by one entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerTime {
    usual_ms: Quantile,
}

impl CallerTime {
    /// Records the time limit that a caller sends, and returns how much time has probably passed since its first call.
    pub fn waited_ms(&mut self, limit_ms: u32) -> u32 {
        let limit = f64::from(limit_ms);
        self.usual_ms.record(limit, &RULE);
        let Quantile { value: usual, count } = self.usual_ms;
        let short = usual - limit;
        if count > CALLS_MIN && short > usual * LIMIT_VARIATION_SHARE { short as u32 } else { 0 }
    }
}
