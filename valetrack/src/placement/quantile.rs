//! A quantile of a stream of figures, kept in one number.

/// How a quantile is learned.
#[derive(Debug, Clone, Copy)]
pub(super) struct QuantileRule {
    /// Which quantile, as a share.
    pub(super) quantile: f64,
    /// Step towards a new figure, as a share of the quantile.
    pub(super) step: f64,
    /// The first steps are longer: this share divided by the number of figures.
    pub(super) first_step: f64,
}

/// A quantile as far as it is learned; zero before the first figure.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Quantile {
    /// The quantile.
    pub(super) value: f64,
    /// Figures so far.
    pub(super) count: u32,
}

impl Quantile {
    /// Takes a figure.
    pub(super) fn take(&mut self, figure: f64, rule: &QuantileRule) {
        self.count = self.count.saturating_add(1);
        if self.value == 0.0 {
            self.value = figure;
            return;
        }
        let up = if figure > self.value { rule.quantile } else { rule.quantile - 1.0 };
        let step = rule.step.max(rule.first_step / f64::from(self.count));
        self.value *= 1.0 + step * up;
    }
}
