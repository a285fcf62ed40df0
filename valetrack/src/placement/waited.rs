//! How long a caller has waited before it came, told by the time that it still gives.
//!
//! A caller that was refused comes back with what is left of its time, and its objective counts from its
//! first call. Taken for a new one it is let in and served when that helps nobody: of 592 late answers
//! of one route in a burst 429 went to callers who had come back, in slots from which others could
//! have been served in time.

use super::quantile::{Quantile, QuantileRule};

/// The usual time is the middle of all, so that neither callers who have come back nor some patient ones
/// move it.
const RULE: QuantileRule = QuantileRule { quantile: 0.5, step: 0.01, first_step: 0.5 };
/// Calls of a route after which its usual time is known.
const CALLS_MIN: u32 = 10;
/// A caller that gives less than the usual time by this share of it may be an impatient one: callers of
/// one kind differ by up to a seventh.
const UNSURE_SHARE: f64 = 0.12;

/// The time that callers of one route usually give, as one entry learns it.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerTime {
    usual_ms: Quantile,
}

impl CallerTime {
    /// Takes the time that a caller still gives; returns how much of it is likely gone already, in
    /// milliseconds.
    pub fn waited_ms(&mut self, given_ms: u32) -> u32 {
        let given = f64::from(given_ms);
        self.usual_ms.take(given, &RULE);
        let Quantile { value: usual, count } = self.usual_ms;
        let short = usual - given;
        if count > CALLS_MIN && short > usual * UNSURE_SHARE { short as u32 } else { 0 }
    }
}
