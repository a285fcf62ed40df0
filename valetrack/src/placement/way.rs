//! What the way to a server costs.

/// What leaving the failure domain costs, as a share of an answer in time. Its bytes are paid for;
/// a platform does not say how dearly, so this is what two kilobytes cost at a middling price.
const FAR_COST: f64 = 0.3;

/// Returns what the way to a server costs, as a share of an answer in time.
pub(super) fn way_cost(far: bool) -> f64 {
    if far { FAR_COST } else { 0.0 }
}
