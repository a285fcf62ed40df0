//! I/O shell that requests the texts of published bundles from other nodes.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use tokio::time::sleep;

use super::adopt::Adopter;
use super::fetch::{FetchStep, ReceivedPart};
use crate::clock::now_us;
use crate::link::message::{Ask, PeerRequest, Reply, TextPart};
use crate::link::peer::{self, LinkJob, LinkResult, Target, TimeLimit};

/// Time limits of a request for a part. A node that is about to receive the text itself holds the request for a while.
const PART_LIMIT: TimeLimit =
    TimeLimit::Progress { first: Duration::from_millis(800), idle: Duration::from_millis(800) };

impl Adopter {
    /// Records that another node has the text of a published bundle, or is about to have it, and requests the text unless
    /// it is here. `is_near` says whether the node is in this one's region or the one that this node follows.
    pub fn announce(&self, number: u64, node: Target, is_near: bool) {
        if !self.record_number(number) {
            return;
        }
        self.fetch.borrow_mut().announce(number, node, is_near, now_us());
        self.fetch_changed.notify_waiters();
    }

    /// Waits until all announced texts are here, for at most `limit`.
    pub async fn wait_for_text(&self, limit: Duration) {
        let until_us = now_us() + limit.as_micros() as u64;
        while self.fetch.borrow().is_wanted() && now_us() < until_us {
            let left = Duration::from_micros(until_us - now_us());
            // The state is checked again after the timeout or the notification.
            let _ = tokio::time::timeout(left, self.fetch_changed.notified()).await;
        }
    }

    /// Requests the texts of announced bundles, one part at a time; runs as long as the node.
    ///
    /// `me` is this node. `read_store` is called when no node has sent a wanted text for `overdue`.
    pub async fn fetch_texts(
        &self,
        me: &Target,
        to_link: &Sender<LinkJob>,
        overdue: impl Fn() -> Duration,
        read_store: impl AsyncFn(),
    ) {
        loop {
            let changed = self.fetch_changed.notified();
            let overdue_us = u64::try_from(overdue().as_micros()).unwrap_or(u64::MAX);
            let step = self.fetch.borrow_mut().next(overdue_us, now_us());
            match step {
                FetchStep::Idle | FetchStep::Wait { until_us: None } => changed.await,
                FetchStep::Wait { until_us: Some(until_us) } => {
                    let pause = Duration::from_micros(until_us.saturating_sub(now_us()) + 1);
                    tokio::select! {
                        () = sleep(pause) => {}
                        () = changed => {}
                    }
                }
                FetchStep::Request { from, part, insists } => {
                    self.request_part(me, to_link, from, part, insists).await;
                }
                FetchStep::ReadStore => read_store().await,
            }
        }
    }

    async fn request_part(
        &self,
        me: &Target,
        to_link: &Sender<LinkJob>,
        from: Target,
        part: Option<(Arc<str>, u32)>,
        insists: bool,
    ) {
        let part = part.map(|(version, offset)| TextPart { version, offset });
        let after = self.fetch.borrow().held().max(self.number());
        let ask = Ask::Bundle { after, part, vm: me.vm.clone(), addr: me.addr, insists };
        let request = PeerRequest { ask, body: Bytes::new() };
        let sent_us = now_us();
        let result = match peer::ask_with(to_link, from.clone(), request, PART_LIMIT).await {
            LinkResult::Reply(answered) => self.on_text_reply(&from, answered.head.reply, answered.body),
            LinkResult::Unsent | LinkResult::Broken => {
                self.fetch.borrow_mut().on_failed(&from, now_us());
                "failed"
            }
        };
        let after_ms = (now_us() - sent_us) / 1_000;
        log::info!("event=bundle.requested from={} after={after} result={result} after_ms={after_ms}", from.vm);
        self.metrics.bundle_fetches.with_label_values(&[result]).inc();
    }

    /// Applies the reply to a request for a part; returns the kind of reply for the metrics.
    fn on_text_reply(&self, from: &Target, reply: Reply, body: Bytes) -> &'static str {
        let now = now_us();
        match reply {
            Reply::Bundle { number, version, packed_bytes, offset } => {
                let part = ReceivedPart { number, version, packed_bytes, offset, body };
                let whole = self.fetch.borrow_mut().on_part(part, now);
                if let Some(Err(code)) = whole.map(|packed| self.offer_packed(packed)) {
                    log::warn!("event=bundle.refused number={number} code={code} from={}", from.vm);
                    self.fetch.borrow_mut().on_failed(from, now);
                }
                "received"
            }
            Reply::BundleFrom { nodes } => {
                let nodes = nodes.into_iter().map(|(vm, addr)| Target { vm, addr }).collect();
                self.fetch.borrow_mut().on_referred(from, nodes, now);
                "referred"
            }
            _ => {
                self.fetch.borrow_mut().on_lacking(from, now);
                "lacking"
            }
        }
    }
}
