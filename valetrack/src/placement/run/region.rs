//! Links of an entry to other regions: their measurement, their traffic and their metrics.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::{Placer, REPLY_LIMIT_MS};
use crate::clock::{Moment, now_us};
use crate::code::Code;
use crate::link::message::{AnswerHead, CallHead, Reply};
use crate::link::peer::{LinkResult, Target};
use crate::placement::message::ServerIndex;
use crate::placement::region_link::{LinkChange, LinkView, RegionLink};
use crate::placement::run::probe::PROBE_BYTES;
use crate::placement::service::Recipient;
use crate::placement::traffic::{CallTraffic, answer_bytes, request_bytes};
use crate::placement::view::ServiceView;
use crate::region::Regions;
use crate::timeline::Quoted;

/// Largest number of links; further regions share the last one.
const LINKS_MAX: usize = 64;

/// Links of an entry to other regions, each with a stable index.
#[derive(Default)]
pub(super) struct RegionLinks {
    names: Vec<Arc<str>>,
    links: Vec<RegionLink>,
    /// Reused buffer.
    views: Vec<LinkView>,
    /// Failure domains that were reported as not listed.
    unlisted: HashSet<Arc<str>>,
}

impl RegionLinks {
    /// Returns the link to the region of a failure domain.
    pub(super) fn index_of(&mut self, regions: &Regions, domain: &str) -> usize {
        if !regions.lists(domain) && self.unlisted.len() < LINKS_MAX && self.unlisted.insert(Arc::from(domain)) {
            log::warn!("event=region.domain_unlisted code={} domain={domain}", Code::DomainUnlisted);
        }
        let region = regions.region_of(domain);
        if let Some(at) = self.names.iter().position(|name| **name == *region) {
            return at;
        }
        if self.names.len() < LINKS_MAX {
            self.names.push(Arc::from(region));
            self.links.push(RegionLink::default());
        }
        self.names.len() - 1
    }

    /// Sets the capacity of all links.
    pub(super) fn configure(&mut self, mbps: f64, nodes: usize, now_us: u64) {
        self.links.iter_mut().for_each(|link| link.configure(mbps, nodes, now_us));
    }

    /// Applies the states of the links to a view.
    pub(super) fn update(&mut self, view: &mut ServiceView, now_us: u64) {
        if self.links.is_empty() {
            return;
        }
        self.views.clear();
        self.views.extend(self.links.iter().map(|link| link.view(now_us)));
        view.set_links(&self.views);
    }

    /// Returns the links that are due for a probe.
    pub(super) fn due_probes(&self, now_us: u64) -> impl Iterator<Item = usize> + '_ {
        (0..self.links.len()).filter(move |at| self.links[*at].needs_probe(now_us))
    }

    /// Records that a link is being probed.
    pub(super) fn record_probe(&mut self, at: usize, now_us: u64) {
        self.links[at].record_probe(now_us);
    }
}

/// A request to another region without a result yet.
pub(in crate::placement) struct OpenCrossing {
    link: usize,
    target: Target,
    began: Moment,
}

impl Placer {
    /// Returns the expected traffic of a call; nothing in a fleet with a single region.
    pub(in crate::placement) fn traffic(&self, head: &CallHead, body: &Bytes) -> CallTraffic {
        if !self.regions.has_several() {
            return CallTraffic::default();
        }
        let inner = self.inner.borrow();
        let answer_size = inner.answer_sizes.get(&head.route).copied().unwrap_or_default();
        CallTraffic {
            request_bytes: request_bytes(head, body),
            answer_bytes: answer_size.expected_bytes(),
            // The run that made the call holds a slot until its answer arrives.
            rank: if head.made_by_run { 0 } else { head.priority },
        }
    }

    /// Records the size of an answer of a route.
    pub(in crate::placement) fn record_answer_size(&self, route: &Arc<str>, head: &AnswerHead, body: &Bytes) {
        if self.regions.has_several() && !route.is_empty() {
            let mut inner = self.inner.borrow_mut();
            inner.answer_sizes.entry(route.clone()).or_default().record(answer_bytes(head, body));
        }
    }

    /// Records a request to a server that is sent now; none if the server is in the region of this node.
    pub(in crate::placement) fn begin_crossing(
        &self,
        service: &str,
        recipient: &Recipient,
        bytes: u32,
    ) -> Option<OpenCrossing> {
        let link = self.region_link(service, recipient)?;
        let inner = &mut *self.inner.borrow_mut();
        let target = recipient.target.clone();
        inner.links.links[link].charge(bytes, now_us());
        let region = &*inner.links.names[link];
        self.metrics.region_bytes.with_label_values(&[region, "sent"]).inc_by(bytes.into());
        Some(OpenCrossing { link, target, began: Moment::now() })
    }

    fn region_link(&self, service: &str, recipient: &Recipient) -> Option<usize> {
        self.with_view(service, recipient, |view, server| view.region_link(server))?
    }

    /// Records the result of a request to another region that was to wait for `limit`.
    pub(in crate::placement) fn end_crossing(&self, crossing: &OpenCrossing, result: &LinkResult, limit: Duration) {
        let inner = &mut *self.inner.borrow_mut();
        let (region, link) = (&*inner.links.names[crossing.link], &mut inner.links.links[crossing.link]);
        let (now, took) = (now_us(), crossing.began.elapsed());
        let change = match result {
            LinkResult::Reply(answered) => {
                let bytes = match &answered.head.reply {
                    Reply::Answer(head) => answer_bytes(head, &answered.body),
                    _ => PROBE_BYTES as u32 / 2,
                };
                if let Some(round_trip) = self.paths.round_trip(crossing.target.addr) {
                    link.record_round_trip(round_trip.as_micros() as u64, now);
                }
                link.charge(bytes, now);
                self.metrics.region_bytes.with_label_values(&[region, "received"]).inc_by(bytes.into());
                link.record_reply()
            }
            // A run that takes longer than its deadline is no failure of the link.
            LinkResult::Broken if took >= limit => None,
            LinkResult::Broken | LinkResult::Unsent => link.record_failure(&crossing.target.vm, now),
        };
        let LinkView { round_trip_us, load, .. } = link.view(now);
        self.metrics.region_round_trip.with_label_values(&[region]).set(f64::from(round_trip_us) / 1e6);
        self.metrics.region_link_load.with_label_values(&[region]).set(load);
        match change {
            Some(LinkChange::Unreachable) => log::warn!("event=region.unreachable region={}", Quoted(region)),
            Some(LinkChange::Reachable) => {
                log::info!("event=region.reachable region={} round_trip_us={round_trip_us}", Quoted(region));
            }
            None => {}
        }
    }

    /// Counts a call that crosses to another region.
    pub(in crate::placement) fn record_crossing(&self, crossing: &OpenCrossing, call_id: &str, bytes: u32) {
        let inner = self.inner.borrow();
        let region = &*inner.links.names[crossing.link];
        let view = inner.links.links[crossing.link].view(now_us());
        self.metrics.region_calls.with_label_values(&[region]).inc();
        log::info!(
            "event=call.cross_region call={call_id} region={} bytes={bytes} round_trip_us={} link_load={:.2}",
            Quoted(region),
            view.round_trip_us,
            view.load
        );
    }

    /// Returns the time limit of a reply that a server sends at once.
    pub(in crate::placement) fn reply_limit(&self, service: &str, recipient: &Recipient) -> Duration {
        let link = self.region_link(service, recipient);
        let inner = self.inner.borrow();
        let round_trip_us = link.map_or(0, |link| inner.links.links[link].view(now_us()).round_trip_us);
        Duration::from_millis(REPLY_LIMIT_MS) + Duration::from_micros(round_trip_us.into())
    }

    /// Returns a server whose probe measures a link that is due, and charges the probe, if the budget allows one.
    pub(super) fn next_region_probe(&self, stale_us: u64) -> Option<(Arc<str>, ServerIndex)> {
        let inner = &mut *self.inner.borrow_mut();
        let now = now_us();
        let (link, service, server) = inner.links.due_probes(now).find_map(|link| {
            let in_use = inner.services.iter().filter(|(_, state)| state.view.is_in_use(now, stale_us));
            let mut targets = in_use.filter_map(|(name, state)| Some((name, state.view.probe_target(link, now)?)));
            targets.next().map(|(name, server)| (link, name.clone(), server))
        })?;
        let granted = inner.probes.take(1, now) && inner.measure.take(PROBE_BYTES, now);
        if !granted {
            return None;
        }
        inner.links.record_probe(link, now);
        self.metrics.probes.inc();
        self.metrics.measure_bytes.inc_by(PROBE_BYTES);
        Some((service, server))
    }
}
