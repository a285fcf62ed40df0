//! The link between two regions: its delay, its queue, a partition, and what entries measure of it.

use std::sync::Arc;

use valetrack::gate::AttemptId;
use valetrack::placement::{CallEvent, CallTraffic};

use super::{Event, Simulation};

/// Time after which an entry gives up on a handshake, on a link without packets, and on a cancel.
const HANDSHAKE_US: u64 = 400_000;
const SILENCE_US: u64 = 1_000_000;
const CANCEL_US: u64 = 210_000;
/// Bytes of a message without a body.
const MESSAGE_BYTES: u64 = 110;

impl Simulation<'_> {
    pub(super) fn is_beyond(&self, from: usize, to: usize) -> bool {
        let region = |vm: usize| self.fleet.regions.of_domain[self.vms[vm].domain];
        region(from) != region(to)
    }

    pub(super) fn is_partitioned(&self) -> bool {
        let (from_s, to_s) = self.fleet.regions.partition_s;
        (from_s * 1_000_000..to_s * 1_000_000).contains(&self.now_us)
    }

    /// Returns the delay of a message of `bytes`, which queues on the link if it crosses to the other region.
    pub(super) fn transit_us(&mut self, from: usize, to: usize, bytes: Option<u64>) -> u64 {
        if !self.is_beyond(from, to) {
            return self.delay_us(from, to);
        }
        let bytes = bytes.unwrap_or(MESSAGE_BYTES);
        let regions = &self.fleet.regions;
        let busy_us = &mut self.region_busy_us[regions.of_domain[self.vms[from].domain]];
        *busy_us = self.now_us.max(*busy_us) + bytes * 1_000_000 / regions.link_bytes_per_s;
        self.report.region_bytes += bytes;
        *busy_us - self.now_us + regions.delay_us
    }

    /// Returns the traffic of a call of a route.
    pub(super) fn traffic(&self, route: usize, is_nested: bool) -> CallTraffic {
        let shape = &self.fleet.routes[route];
        let half_bytes = (shape.bytes / 2) as u32;
        let rank = if is_nested { 0 } else { shape.priority };
        CallTraffic { request_bytes: half_bytes, answer_bytes: half_bytes, rank }
    }

    /// Applies the state of an entry's link to one of its views, and probes the link if that is due.
    pub(super) fn update_region_link(&mut self, entry: usize, service: usize) {
        if !self.fleet.regions.is_known {
            return;
        }
        let now_us = self.now_us;
        if self.vms[entry].region_link.needs_probe(now_us) {
            self.vms[entry].region_link.record_probe(now_us);
            self.probe(entry);
        }
        let vm = &mut self.vms[entry];
        vm.views[service].set_links(&[vm.region_link.view(now_us)]);
    }

    fn probe(&mut self, entry: usize) {
        let Some(other) = (0..self.vms.len()).find(|&vm| self.is_beyond(entry, vm)) else {
            return;
        };
        if !self.is_partitioned() {
            let to_us = self.transit_us(entry, other, None);
            let back_us = self.transit_us(other, entry, None);
            self.schedule_after(to_us + back_us, Event::Probed { entry, sent_us: self.now_us });
        }
    }

    pub(super) fn handle_probed(&mut self, entry: usize, sent_us: u64) {
        let link = &mut self.vms[entry].region_link;
        link.record_reply();
        link.record_round_trip(self.now_us - sent_us, self.now_us);
    }

    /// Records what an entry learns of the link from an owner's message.
    pub(super) fn measure_region_link(&mut self, call: usize, server: usize) {
        let entry = self.calls[call].entry;
        let service = self.fleet.routes[self.calls[call].route].service;
        let vm = self.vms[entry].targets[service][server];
        if !self.is_beyond(entry, vm) {
            return;
        }
        // The connection measures the way of its packets, without the run.
        let queued_us: u64 = self.region_busy_us.iter().map(|busy_us| busy_us.saturating_sub(self.now_us)).sum();
        let link = &mut self.vms[entry].region_link;
        link.record_reply();
        link.record_round_trip(2 * self.fleet.regions.delay_us + queued_us, self.now_us);
    }

    /// Schedules what an entry notices of an attempt that is sent during a partition.
    pub(super) fn lose_attempt(&mut self, call: usize, server: usize, attempt: AttemptId, vm: usize) {
        let entry = self.calls[call].entry;
        let is_open = self.cross_domain_links.contains_key(&(entry, vm));
        match is_open {
            true => self.schedule_after(SILENCE_US, Event::Lost { call, server, event: CallEvent::Broken { attempt } }),
            false => {
                self.schedule_after(HANDSHAKE_US, Event::Lost { call, server, event: CallEvent::Unsent { attempt } });
            }
        }
    }

    /// Schedules what an entry notices of a reply that is lost in a partition.
    pub(super) fn lose_reply(&mut self, call: usize, server: usize, event: CallEvent) {
        let (after_us, event) = match event {
            CallEvent::Ran { attempt, .. }
            | CallEvent::Declined { attempt, .. }
            | CallEvent::Failed { attempt, .. } => (SILENCE_US, CallEvent::Broken { attempt }),
            CallEvent::CancelResult { attempt, .. } => (CANCEL_US, CallEvent::CancelResult { attempt, result: None }),
            other => (SILENCE_US, other),
        };
        self.schedule_after(after_us, Event::Lost { call, server, event });
    }

    pub(super) fn lose_cancel(&mut self, call: usize, server: usize, attempt: AttemptId) {
        self.schedule_after(
            CANCEL_US,
            Event::Lost { call, server, event: CallEvent::CancelResult { attempt, result: None } },
        );
    }

    pub(super) fn handle_lost(&mut self, call: usize, server: usize, event: CallEvent) {
        let entry = self.calls[call].entry;
        let service = self.fleet.routes[self.calls[call].route].service;
        let vm = self.vms[entry].targets[service][server];
        if matches!(event, CallEvent::Unsent { .. } | CallEvent::Broken { .. }) {
            let name: Arc<str> = Arc::from(format!("vm-{vm}"));
            self.vms[entry].region_link.record_failure(&name, self.now_us);
        }
        self.notify_call(call, event);
    }
}
