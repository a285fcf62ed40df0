//! How long a caller has waited before it came, told by the time that it still gives.
//!
//! A caller that was refused comes back with what is left of its time, and its objective counts from its
//! first call. Taken for a new one it is let in and served when that helps nobody: of 592 late answers
//! of one route in a burst 429 went to callers who had come back, in slots from which others could
//! have been served in time.

/// Place of the usual time among those that callers give: the middle, so that neither callers who have
/// come back nor some patient ones move it.
const QUANTILE: f64 = 0.5;
/// Step of the usual time towards a new one, as a share of itself.
const STEP: f64 = 0.01;
/// The first steps are longer: this share divided by the number of calls.
const FIRST_STEP: f64 = 0.5;
/// Calls of a route after which its usual time is known.
const CALLS_MIN: u32 = 10;
/// A caller that gives less than the usual time by this share of it may be an impatient one: callers of
/// one kind differ by up to a seventh.
const UNSURE_SHARE: f64 = 0.12;

/// The time that callers of one route usually give, as one entry learns it.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerTime {
    usual_ms: f64,
    calls: u32,
}

impl CallerTime {
    /// Takes the time that a caller still gives; returns how much of it is likely gone already, in
    /// milliseconds.
    pub fn waited_ms(&mut self, given_ms: u32) -> u32 {
        let given = f64::from(given_ms);
        self.calls = self.calls.saturating_add(1);
        if self.calls == 1 {
            self.usual_ms = given;
            return 0;
        }
        let up = if given > self.usual_ms { QUANTILE } else { QUANTILE - 1.0 };
        let step = STEP.max(FIRST_STEP / f64::from(self.calls));
        self.usual_ms *= 1.0 + step * up;
        let short_ms = self.usual_ms - given;
        let is_sure = self.calls > CALLS_MIN && short_ms > self.usual_ms * UNSURE_SHARE;
        if is_sure { short_ms as u32 } else { 0 }
    }
}
