//! Choice between a call's own region and other regions.

use super::{Call, CallContext, MAX_ATTEMPTS};
use crate::gate::QueueTimeout;
use crate::placement::message::{CallAction, SendCause, ServerIndex};
use crate::placement::set::ServerSet;
use crate::placement::view::region::Crossing;

impl Call {
    /// Picks a server outside `excluded` in a fleet of several regions. Without a server of the own region outside
    /// `unusable`, other regions serve the call like the own one.
    pub(super) fn pick_by_region(
        &self,
        unusable: ServerSet,
        excluded: ServerSet,
        cx: &mut CallContext<'_>,
    ) -> Option<ServerIndex> {
        let demand = self.demand_left(cx);
        if !cx.view.own_region_serves(unusable, cx.now_us) {
            return match demand {
                Some(demand) => cx.view.pick_in_time(excluded, demand, cx.now_us, cx.rng),
                None => cx.view.pick(excluded, cx.now_us, cx.rng),
            };
        }
        let crossing = (!self.has_crossed).then_some(Crossing { demand, traffic: self.traffic });
        cx.view.pick_by_region(excluded, demand, crossing, cx.now_us, cx.rng)
    }

    /// Sends a call that its own region has declined to another region, unless it was sent there before. Returns
    /// whether an attempt was sent.
    pub(super) fn send_across(
        &mut self,
        cause: SendCause,
        cx: &mut CallContext<'_>,
        out: &mut Vec<CallAction>,
    ) -> bool {
        let is_free = !self.has_crossed && self.count < MAX_ATTEMPTS && self.outstanding() == 0;
        if !is_free || !cx.view.has_regions() {
            return false;
        }
        let crossing = Crossing { demand: self.demand_left(cx), traffic: self.traffic };
        let excluded = self.excluded.union(self.rejecting_vms(cx));
        let Some(server) = cx.view.pick_last_resort(excluded, crossing, cx.now_us, cx.rng) else {
            return false;
        };
        self.send(server, QueueTimeout::Long, cause, cx, out);
        true
    }

    /// Returns the servers of other regions if the call has a choice between them and its own region. An attempt in the
    /// own region is not declined for the sake of a server in another one.
    pub(super) fn beyond_by_choice(&self, cx: &CallContext<'_>) -> ServerSet {
        let has_choice = cx.view.has_regions() && cx.view.own_region_serves(self.rollout_excluded, cx.now_us);
        if has_choice { cx.view.beyond() } else { ServerSet::default() }
    }
}
