//! Server selection for fleets of several regions.
//!
//! A call stays in its own region unless another region promises a better chance of an answer within its objective, net
//! of the cost of the bytes. The share of the calls that cross grows with the gain, so that the entries of an overloaded
//! region do not all send their calls to the same few servers at once.

use super::ServiceView;
use super::utility::pick_highest;
use crate::gate::LoadReport;
use crate::placement::message::{Demand, ServerIndex};
use crate::placement::network_cost::{CrossingReason, region_cost};
use crate::placement::policy::Policy;
use crate::placement::region_link::LinkView;
use crate::placement::set::ServerSet;
use crate::placement::traffic::CallTraffic;

/// Smallest utility for which a declined call crosses: a call with a lower chance would mostly take a slot from calls of
/// the other region that are answered in time.
const LAST_RESORT_MIN: f64 = 0.25;

/// Requirements of a call that may cross to another region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crossing {
    /// Remaining requirements on the server; none if the call has no objective.
    pub demand: Option<Demand>,
    /// Expected traffic.
    pub traffic: CallTraffic,
}

impl ServiceView {
    /// Sets the link to the region of a server; none if the server is in the region of the entry.
    pub fn set_region(&mut self, server: ServerIndex, link: Option<usize>) {
        if let Some(view) = self.servers.get_mut(server) {
            view.region_link = link;
        }
    }

    /// Sets the states of the links to other regions. Without any, the view ignores regions.
    pub fn set_links(&mut self, links: &[LinkView]) {
        self.links.clear();
        self.links.extend_from_slice(links);
        for view in &mut self.servers {
            if let Some(link) = view.region_link.and_then(|link| links.get(link)) {
                view.network_us = link.round_trip_us;
            }
        }
    }

    /// Returns whether the fleet has several regions.
    pub fn has_regions(&self) -> bool {
        !self.links.is_empty()
    }

    /// Returns the link to the region of a server; none if the server is in the region of the entry.
    pub fn region_link(&self, server: ServerIndex) -> Option<usize> {
        self.servers.get(server)?.region_link
    }

    /// Returns the servers in other regions.
    pub fn beyond(&self) -> ServerSet {
        let mut beyond = ServerSet::default();
        for (server, _) in self.servers.iter().enumerate().filter(|(_, view)| view.region_link.is_some()) {
            beyond.insert(server);
        }
        beyond
    }

    /// Returns whether a server of the entry's own region is in rotation outside `excluded`.
    pub fn own_region_serves(&self, excluded: ServerSet, now_us: u64) -> bool {
        let rotation = self.rotation(now_us);
        let serves = |server: usize| {
            rotation.contains(server) && !excluded.contains(server) && self.region_link(server).is_none()
        };
        (0..self.servers.len()).any(serves)
    }

    /// Picks a server of the own region, or one of another region if that is worth it. `crossing` is none for a call
    /// that stays in its region.
    pub fn pick_by_region(
        &mut self,
        excluded: ServerSet,
        demand: Option<Demand>,
        crossing: Option<Crossing>,
        now_us: u64,
        rng: &mut fastrand::Rng,
    ) -> Option<ServerIndex> {
        let here = excluded.union(self.beyond());
        let own = match demand {
            Some(demand) => self.pick_in_time(here, demand, now_us, rng),
            None => self.pick(here, now_us, rng),
        }?;
        let (Some(demand), Some(crossing), Policy::Valetrack) = (demand, crossing, self.policy) else {
            return Some(own);
        };
        let Some((far, far_utility)) = self.best_beyond(excluded, crossing, CrossingReason::BetterChance, now_us, rng)
        else {
            return Some(own);
        };
        let gain = far_utility - self.utility(own, demand, &self.assumed_report(), now_us);
        Some(if gain > 0.0 && rng.f64() < gain { far } else { own })
    }

    /// Picks a server in another region for a call that its own region has declined: one that is likely to answer
    /// within the objective, if the link has room.
    pub fn pick_last_resort(
        &mut self,
        excluded: ServerSet,
        crossing: Crossing,
        now_us: u64,
        rng: &mut fastrand::Rng,
    ) -> Option<ServerIndex> {
        if crossing.demand.is_none() {
            let closed = self.closed_to(&crossing);
            return self.pick(excluded.union(closed), now_us, rng);
        }
        let (server, utility) = self.best_beyond(excluded, crossing, CrossingReason::LastResort, now_us, rng)?;
        (utility > LAST_RESORT_MIN).then_some(server)
    }

    /// Returns the best server in another region to which a call may cross, with its utility net of the cost.
    fn best_beyond(
        &self,
        excluded: ServerSet,
        crossing: Crossing,
        reason: CrossingReason,
        now_us: u64,
        rng: &mut fastrand::Rng,
    ) -> Option<(ServerIndex, f64)> {
        let demand = crossing.demand?;
        let (eligible, count) = self.eligible(excluded.union(self.closed_to(&crossing)), now_us);
        let eligible = &eligible[..count];
        let assumed_report = self.assumed_report();
        pick_highest(eligible, rng, |server| {
            self.utility_beyond(server, demand, &crossing.traffic, reason, &assumed_report, now_us)
        })
    }

    fn utility_beyond(
        &self,
        server: ServerIndex,
        demand: Demand,
        traffic: &CallTraffic,
        reason: CrossingReason,
        assumed_report: &LoadReport,
        now_us: u64,
    ) -> f64 {
        let view = &self.servers[server];
        let Some(link) = view.region_link.and_then(|link| self.links.get(link)) else {
            return f64::NEG_INFINITY;
        };
        let has_reported = view.last_report.is_some();
        let travel_us = link.travel_us(traffic, has_reported);
        if travel_us + f64::from(demand.work_us) > demand.left_us as f64 {
            return f64::NEG_INFINITY;
        }
        // `network_us` already holds one round trip.
        let further_us = travel_us - f64::from(link.round_trip_us);
        let chance = self.timely_chance(server, demand, further_us, assumed_report, now_us);
        chance - region_cost(reason, traffic.bytes(), has_reported)
    }

    /// Returns the servers to which a call must not cross: those of the own region, and those behind a link without
    /// room.
    fn closed_to(&self, crossing: &Crossing) -> ServerSet {
        let mut closed = ServerSet::default();
        for (server, view) in self.servers.iter().enumerate() {
            let link = view.region_link.and_then(|link| self.links.get(link));
            if !link.is_some_and(|link| link.admits(&crossing.traffic)) {
                closed.insert(server);
            }
        }
        closed
    }

    /// Returns the server by which the round trip of a link is measured: one with an open link if there is one, since
    /// a handshake takes more bytes than many probes.
    pub fn probe_target(&self, link: usize, now_us: u64) -> Option<ServerIndex> {
        let usable = |(_, view): &(usize, &super::ServerView)| {
            view.present && !view.leaving && view.region_link == Some(link) && view.ejected_until_us <= now_us
        };
        let received_us = |view: &super::ServerView| view.last_report.map(|last_report| last_report.received_us);
        let last = self.servers.iter().enumerate().filter(usable).max_by_key(|(_, view)| received_us(view));
        last.map(|(server, _)| server)
    }
}
