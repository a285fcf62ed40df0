//! Streaming estimate of a quantile, kept in one number.

/// Parameters of a quantile estimate.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuantileRule {
    /// The estimated quantile, as a share.
    pub(super) quantile: f64,
    /// Step towards a new sample, as a share of the estimate.
    pub(super) step: f64,
    /// The first steps are longer: this share divided by the number of samples.
    pub(super) first_step: f64,
}

/// Estimate of a quantile; zero before the first sample.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Quantile {
    /// Current estimate.
    pub(super) value: f64,
    /// Samples so far.
    pub(super) count: u32,
}

impl Quantile {
    /// Records a sample.
    pub(super) fn record(&mut self, sample: f64, rule: &QuantileRule) {
        self.count = self.count.saturating_add(1);
        if self.value == 0.0 {
            self.value = sample;
            return;
        }
        let up = if sample > self.value { rule.quantile } else { rule.quantile - 1.0 };
        let step = rule.step.max(rule.first_step / f64::from(self.count));
        self.value *= 1.0 + step * up;
    }
}
