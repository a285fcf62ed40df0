//! Probes of servers without a recent load report, within the budget of measurements.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::Placer;
use crate::clock::now_us;
use crate::link::message::{Ask, PeerRequest};
use crate::link::peer::LinkResult;
use crate::placement::message::ServerIndex;
use crate::placement::service::{Recipient, ServiceState};

/// Bytes on the wire of one probe and its reply, including the headers of UDP and QUIC.
pub const PROBE_BYTES: u64 = 220;
/// Interval of the search for stale views while calls arrive.
const PROBE_PERIOD_MS: u64 = 20;
/// Interval of the search for stale views while no calls arrive.
const PROBE_IDLE_PERIOD_MS: u64 = 250;

impl Placer {
    /// Probes stale views within the budget, for as long as the placer runs.
    pub async fn probe(self: Rc<Self>) {
        let mut seen_seq = 0;
        loop {
            let seq = self.inner.borrow().next_seq;
            let pause_ms = if seq == seen_seq { PROBE_IDLE_PERIOD_MS } else { PROBE_PERIOD_MS };
            seen_seq = seq;
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let stale_ms = self.bundle.borrow().as_ref().map(|bundle| bundle.bundle.measure.stale_ms);
            let Some(stale_ms) = stale_ms else {
                continue;
            };
            let stale_us = u64::from(stale_ms) * 1000;
            let next = || self.next_probe(stale_us).or_else(|| self.next_region_probe(stale_us));
            while let Some((service, server)) = next() {
                let Some(recipient) = self.recipient(&service, server) else {
                    continue;
                };
                let placer = self.clone();
                tokio::task::spawn_local(async move {
                    // A view that stays stale is probed again.
                    placer.probe_one(&service, &recipient).await;
                });
            }
        }
    }

    /// Returns the server with the oldest view among the services that this entry uses, and charges its probe, if the
    /// budget allows one.
    fn next_probe(&self, stale_us: u64) -> Option<(Arc<str>, ServerIndex)> {
        let mut inner = self.inner.borrow_mut();
        let now = now_us();
        let stalest = |(name, state): (&Arc<str>, &ServiceState)| {
            let (age_us, server) = state.view.stalest(now, stale_us)?;
            Some((age_us, name.clone(), server))
        };
        let (_, name, server) = inner.services.iter().filter_map(stalest).max()?;
        let granted = inner.probes.take(1, now) && inner.measure.take(PROBE_BYTES, now);
        if !granted {
            return None;
        }
        inner.services.get_mut(&name)?.view.record_probe(server, now);
        self.metrics.probes.inc();
        self.metrics.measure_bytes.inc_by(PROBE_BYTES);
        Some((name, server))
    }

    /// Probes a server's owner and returns whether it replied.
    pub(in crate::placement) async fn probe_one(&self, service: &str, recipient: &Recipient) -> bool {
        let question = PeerRequest { ask: Ask::Probe, body: Bytes::new() };
        let limit = self.reply_limit(service, recipient);
        let crossing = self.begin_crossing(service, recipient, PROBE_BYTES as u32 / 2);
        let result = self.ask(recipient.target.clone(), question, limit).await;
        if let Some(crossing) = crossing {
            // An owner replies to a probe at once, so a reply that is late is a failure too.
            self.end_crossing(&crossing, &result, Duration::MAX);
        }
        self.apply_piggyback(service, recipient, &result);
        matches!(result, LinkResult::Reply(_))
    }
}
