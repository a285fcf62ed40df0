//! Network cost of sending an attempt to a server.

/// Cost of leaving the failure domain, as a share of the utility of a timely answer. Traffic between domains is charged
/// at a price that platforms do not state, so this is the cost of two kilobytes at a medium price.
const CROSS_DOMAIN_COST: f64 = 0.3;

/// Additional cost of opening a link to another failure domain. Its handshake takes twice the bytes of a call, and
/// later calls reuse the link.
///
/// Without this cost, a burst in a fleet of 195 VMs opened 2,233 such links instead of 1,438 and sent 22.2 MB out of
/// their domains instead of 18.5 MB, with the same results for callers.
const OPEN_LINK_COST: f64 = 0.3;

/// Cost of a kilobyte that is sent to another region, at the price that [`CROSS_DOMAIN_COST`] assumes.
const REGION_KILOBYTE_COST: f64 = CROSS_DOMAIN_COST / 2.0;

/// Cost of a kilobyte of a call that its own region has declined. The call has nothing else to lose, but large bodies
/// delay the calls behind them on the link: an upload of 60 kB has to have a better than even chance.
const LAST_RESORT_KILOBYTE_COST: f64 = 0.01;

/// Returns the network cost of a server, as a share of the utility of a timely answer. A server that has reported its
/// load probably has an open link.
pub(super) fn network_cost(cross_domain: bool, has_reported: bool) -> f64 {
    match (cross_domain, has_reported) {
        (false, _) => 0.0,
        (true, true) => CROSS_DOMAIN_COST,
        (true, false) => CROSS_DOMAIN_COST + OPEN_LINK_COST,
    }
}

/// Why a call is sent to another region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CrossingReason {
    /// The other region promises a better chance of an answer within the objective.
    BetterChance,
    /// The call's own region has declined it.
    LastResort,
}

/// Returns the network cost of a call of `bytes`, request and answer together, at a server in another region. It is at
/// least that of another failure domain of the same region.
pub(super) fn region_cost(reason: CrossingReason, bytes: u64, has_reported: bool) -> f64 {
    let kilobytes = bytes as f64 / 1_000.0;
    let open_link_cost = if has_reported { 0.0 } else { OPEN_LINK_COST };
    let bytes_cost = match reason {
        CrossingReason::BetterChance => (kilobytes * REGION_KILOBYTE_COST).max(CROSS_DOMAIN_COST),
        CrossingReason::LastResort => kilobytes * LAST_RESORT_KILOBYTE_COST,
    };
    bytes_cost + open_link_cost
}
