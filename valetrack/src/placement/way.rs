//! What the way to a server costs.

/// What leaving the failure domain costs, as a share of an answer in time. Its bytes are paid for;
/// a platform does not say how dearly, so this is what two kilobytes cost at a middling price.
const FAR_COST: f64 = 0.3;
/// What opening a link to another failure domain costs, as a share of an answer in time: some
/// five kilobytes of handshake, of which half a dozen later calls have their use too.
const FIRST_COST: f64 = 0.15;

/// Returns what the way to a server costs, as a share of an answer in time.
pub(super) fn way_cost(far: bool) -> f64 {
    if far { FAR_COST } else { 0.0 }
}

/// Returns what opening a link to a server costs that was never asked, as a share of an answer in
/// time.
pub(super) fn link_cost(far: bool, never_asked: bool) -> f64 {
    if far && never_asked { FIRST_COST } else { 0.0 }
}
