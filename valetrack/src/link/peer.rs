//! Connections to other nodes, which stay open and are shared by all requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use prometheus::IntGauge;
use quinn::{Connection, Endpoint, ReadError, RecvStream, SendStream, WriteError};
use tokio::sync::{Mutex, oneshot};
use tokio::time::timeout;

use super::codec::{self, Head};
use super::message::{Ask, PeerReply, PeerRequest, Reply, ReplyHead};
use super::path::PathTimes;
use super::read::{FrameReadError, FrameReader, Pace};
use super::tls::STREAM_WINDOW_BYTES;
use crate::clock::{Moment, SuspensionWatch, now_us, suspended_us};
use crate::code::Code;
use crate::gate::CancelResult;
use crate::memory::{HeldKind, MemoryAccount, Patience};
use crate::metric::Metrics;

/// Timeout of a handshake.
const HANDSHAKE_MS: u64 = 400;
/// Interval of checks for received packets while a reply is pending.
const CHECK_INTERVAL_MS: u64 = 250;
/// Checks in a row without a received packet after which the peer counts as unresponsive. They take one second, ten
/// times as long as a VM is paused after it has used up its share of a core.
const SILENT_CHECKS_MAX: u32 = 4;
/// Checks after which a peer counts as unresponsive on a link that is no longer used.
const SILENT_CHECKS_UNUSED: u32 = 2;
/// Time without a packet from the peer after which an abandoned request ends the use of the link. It is five times as
/// long as a VM is paused after it has used up its share of a core.
const SILENT_MS: u64 = 500;
/// Longest wait for a free stream of an open link, in addition to [`STREAM_WAIT_ROUND_TRIPS`]. It is as long as a VM is
/// paused after it has used up its share of a core.
const STREAM_WAIT_MS: u64 = 100;
/// Round trips in which the peer raises the number of streams from its first to its largest value.
const STREAM_WAIT_ROUND_TRIPS: u32 = 4;
/// Error code of a stream or link that this node abandons.
const ABANDONED: u32 = 1;
/// Shortest time between a failed handshake and the next one with the same peer.
const REDIAL_US: u64 = 200_000;
/// Longest wait for memory for a reply. Clients that make no progress give way within half of it.
const ROOM_WAIT_MS: u64 = 1_000;

/// Address of a node and the VM that its certificate must name.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Address on which the node accepts links.
    pub addr: SocketAddr,
}

/// Result of a request to another node.
#[derive(Debug)]
pub enum LinkResult {
    /// The reply.
    Reply(Box<PeerReply>),
    /// The request was not sent.
    Unsent,
    /// The request was sent at least in part, and no complete reply was received.
    Broken,
}

impl LinkResult {
    /// Returns the result of a cancellation of an attempt that was sent `sent_ago`.
    ///
    /// Returns `None` for every other reply. If the owner's process started after the attempt was sent, only `Started`
    /// and `Rejected` are returned, because the process has no record of earlier attempts.
    pub fn cancel_result(&self, sent_ago: Duration) -> Option<CancelResult> {
        let Self::Reply(answered) = self else {
            return None;
        };
        let Reply::Cancelled { result, up_ms, .. } = answered.head.reply else {
            return None;
        };
        let was_running = Duration::from_millis(up_ms.into()) > sent_ago;
        let is_recorded = matches!(result, CancelResult::Started | CancelResult::Rejected);
        (was_running || is_recorded).then_some(result)
    }
}

/// Time limit of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimeLimit {
    /// Time until the whole reply has arrived.
    Whole(Duration),
    /// Limits of a reply whose size is not known: a large one on a narrow link may take long, and it is given up only
    /// when nothing arrives any more.
    Progress {
        /// Time until the reply begins to arrive, including a handshake.
        first: Duration,
        /// Time until the next bytes arrive.
        idle: Duration,
    },
}

/// Request passed through the ring to the link thread.
#[derive(Debug)]
pub struct LinkJob {
    /// Node that the request is sent to.
    pub target: Target,
    /// The request.
    pub request: PeerRequest,
    /// Time limit of the reply.
    pub limit: TimeLimit,
    /// Receives the result.
    pub reply: oneshot::Sender<LinkResult>,
}

/// Sends a request to another node through the ring of the link thread and waits for the result. `limit` does not
/// include a handshake.
pub async fn ask(ring: &Sender<LinkJob>, target: Target, request: PeerRequest, limit: Duration) -> LinkResult {
    ask_with(ring, target, request, TimeLimit::Whole(limit)).await
}

/// Sends a request like [`ask`], with `limit` as the timeout of the whole operation.
pub async fn ask_within(ring: &Sender<LinkJob>, target: Target, request: PeerRequest, limit: Duration) -> LinkResult {
    timeout(limit, ask(ring, target, request, limit)).await.unwrap_or(LinkResult::Broken)
}

/// Sends a request like [`ask`], with a time limit of either kind.
pub async fn ask_with(ring: &Sender<LinkJob>, target: Target, request: PeerRequest, limit: TimeLimit) -> LinkResult {
    let (reply, result) = oneshot::channel();
    if ring.send(LinkJob { target, request, limit, reply }).await.is_err() {
        return LinkResult::Unsent;
    }
    result.await.unwrap_or(LinkResult::Broken)
}

/// A connection to a peer. It closes once it is neither used for further requests nor has any in flight.
struct Link {
    connection: Connection,
    /// Whether the peer seemed unresponsive, so that further requests use another link. Requests in flight stay on this
    /// one: the peer may only be short of processor time, and their replies arrive on no other link.
    is_silent: Cell<bool>,
}

impl Link {
    /// Ends the use of the link for further requests, since a request that was sent at `since` found the peer
    /// unresponsive.
    fn stop_use(&self, since: Moment) {
        if self.is_silent.replace(true) {
            return;
        }
        log::info!(
            "event=link.silent peer={} after_ms={}",
            self.connection.remote_address(),
            since.elapsed().as_millis()
        );
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        // The task that waits for the end of the connection holds a handle, so it does not close by itself.
        self.connection.close(0u32.into(), b"unused");
    }
}

#[derive(Default)]
struct Slot {
    link: Option<Rc<Link>>,
    /// Detects suspensions of this VM since the connection was opened.
    since: SuspensionWatch,
    failed_us: Option<u64>,
}

impl Slot {
    /// Returns the link if it is open, its peer responds, and this VM was not suspended since it was opened. The peer
    /// abandons the connection during a suspension, and packets sent on it afterwards are lost.
    fn open(&mut self) -> Option<Rc<Link>> {
        let is_usable = |link: &Rc<Link>| link.connection.close_reason().is_none() && !link.is_silent.get();
        let link = self.link.take().filter(is_usable)?;
        if let Some(suspended) = self.since.take(suspended_us()) {
            log::info!(
                "event=link.closed_after_suspension peer={} suspended_ms={}",
                link.connection.remote_address(),
                suspended.as_millis()
            );
            link.connection.close(ABANDONED.into(), b"suspended");
            return None;
        }
        self.link = Some(link.clone());
        Some(link)
    }

    /// Returns whether a handshake has failed too recently for another one.
    fn has_just_failed(&self, now_us: u64) -> bool {
        self.failed_us.is_some_and(|failed_us| now_us < failed_us + REDIAL_US)
    }

    fn opened(&mut self, connection: Connection) -> Rc<Link> {
        self.failed_us = None;
        self.since = SuspensionWatch::from_now();
        let link = Rc::new(Link { connection, is_silent: Cell::new(false) });
        self.link = Some(link.clone());
        link
    }
}

type Slots = Rc<RefCell<HashMap<Target, Rc<Mutex<Slot>>>>>;

/// Outgoing connections of this node.
pub struct Peers {
    endpoint: Endpoint,
    slots: Slots,
    paths: Rc<PathTimes>,
    memory: MemoryAccount,
    metrics: Arc<Metrics>,
}

impl Peers {
    /// Returns an empty set of connections on an endpoint, whose round trips are recorded in `paths`, and whose replies
    /// are charged to `memory`.
    pub fn new(endpoint: Endpoint, paths: Rc<PathTimes>, memory: MemoryAccount, metrics: Arc<Metrics>) -> Self {
        Self { endpoint, slots: Slots::default(), paths, memory, metrics }
    }

    /// Returns the number of links that are kept, open or closed.
    #[cfg(test)]
    pub fn kept_count(&self) -> usize {
        let is_kept = |slot: &&Rc<Mutex<Slot>>| slot.try_lock().is_ok_and(|slot| slot.link.is_some());
        self.slots.borrow().values().filter(is_kept).count()
    }

    /// Sends a request and waits for the reply within `limit`.
    pub async fn ask(&self, target: &Target, request: PeerRequest, limit: TimeLimit) -> LinkResult {
        let Ok(head) = codec::pack(&request.ask) else {
            return LinkResult::Unsent;
        };
        let from = Moment::now();
        let Some(link) = self.link(target, request.ask.kind()).await else {
            return LinkResult::Unsent;
        };
        let connected = Moment::now();
        let (TimeLimit::Whole(longest) | TimeLimit::Progress { first: longest, .. }) = limit;
        let Some(stream) = open_stream(&link.connection, longest).await else {
            return LinkResult::Unsent;
        };
        let exchange = Exchange { link: &link, memory: &self.memory, outlasts_silence: is_only_run(&request.ask) };
        let exchanged = match limit {
            TimeLimit::Whole(limit) => {
                let left = limit.saturating_sub(connected.elapsed());
                timeout(left, exchange.run(stream, head, request.body, None)).await
            }
            TimeLimit::Progress { first, idle } => {
                let pace = Pace { first: first.saturating_sub(from.elapsed()), idle };
                Ok(exchange.run(stream, head, request.body, Some(pace)).await)
            }
        };
        match exchanged {
            Ok(Ok(answered)) => {
                self.paths.record(target.addr, link.connection.rtt());
                LinkResult::Reply(Box::new(answered))
            }
            Ok(Err(FrameReadError::Frame { source: error })) => {
                log::warn!("event=link.frame_invalid peer={} code={} reason=\"{error}\"", target.vm, error.code());
                LinkResult::Broken
            }
            Ok(Err(FrameReadError::NoRoom)) => {
                log::warn!("event=link.reply_not_held peer={} code={}", target.vm, Code::MemoryFull);
                LinkResult::Broken
            }
            Ok(Err(FrameReadError::Stream { .. } | FrameReadError::Late { .. })) | Err(_) => LinkResult::Broken,
        }
    }

    /// Returns the link to a node, or opens one; `purpose` is the kind of the request that needs it.
    async fn link(&self, target: &Target, purpose: &'static str) -> Option<Rc<Link>> {
        let shared = self.slots.borrow_mut().entry(target.clone()).or_default().clone();
        // Concurrent requests wait here for the result of a handshake in progress.
        let mut slot = shared.lock().await;
        if let Some(link) = slot.open() {
            return Some(link);
        }
        if slot.has_just_failed(now_us()) {
            return None;
        }
        let connecting = self.endpoint.connect(target.addr, &target.vm).ok()?;
        let connection = match timeout(Duration::from_millis(HANDSHAKE_MS), connecting).await {
            Ok(Ok(connection)) => connection,
            failed => {
                match failed {
                    Ok(Err(error)) => {
                        log::debug!("event=link.refused peer={} purpose={purpose} reason=\"{error}\"", target.vm);
                    }
                    _ => log::debug!("event=link.timed_out peer={} purpose={purpose}", target.vm),
                }
                self.metrics.links_failed.with_label_values(&[purpose]).inc();
                slot.failed_us = Some(now_us());
                return None;
            }
        };
        log::debug!("event=link.opened peer={} purpose={purpose}", target.vm);
        self.metrics.links_opened.with_label_values(&[purpose]).inc();
        self.metrics.links.inc();
        let (slots, open_links) = (self.slots.clone(), self.metrics.links.clone());
        let release = release_closed(slots, target.clone(), shared.clone(), connection.clone(), open_links);
        tokio::task::spawn_local(release);
        Some(slot.opened(connection))
    }
}

/// Drops a link once it is closed, together with its slot if nothing else uses the slot. A closed connection keeps all
/// its memory until its last handle is dropped.
async fn release_closed(
    slots: Slots,
    target: Target,
    shared: Rc<Mutex<Slot>>,
    connection: Connection,
    open_links: IntGauge,
) {
    connection.closed().await;
    open_links.dec();
    drop(connection);
    let mut slot = shared.lock().await;
    slot.link.take_if(|link| link.connection.close_reason().is_some());
    let is_empty = slot.link.is_none() && slot.failed_us.is_none();
    drop(slot);
    // The map and this task hold the slot, and so does each request that waits for it.
    if is_empty && Rc::strong_count(&shared) == 2 {
        slots.borrow_mut().remove(&target);
    }
}

/// Returns whether a request is a call that may not be repeated. Another owner can't run it, so that its caller would
/// get a failure while the upstream of an owner that is short of processor time is still at work on it.
const fn is_only_run(ask: &Ask) -> bool {
    matches!(ask, Ask::Run(head) if !head.repeatable)
}

/// A request in flight.
///
/// If it is dropped before the reply is received, it resets the stream. No copy of a call then reaches the owner after
/// the entry has abandoned the call.
struct OpenRequest {
    link: Rc<Link>,
    send: SendStream,
    answered: bool,
    sent_at: Moment,
    /// Packets received from the peer before the request was sent.
    packets_before: u64,
    /// Bytes of the reply that have arrived.
    received_bytes: usize,
}

impl OpenRequest {
    fn new(link: &Rc<Link>, send: SendStream) -> Self {
        let packets_before = link.connection.stats().udp_rx.datagrams;
        Self { link: link.clone(), send, answered: false, sent_at: Moment::now(), packets_before, received_bytes: 0 }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        if self.received_bytes > 0 {
            log::info!(
                "event=link.reply_abandoned peer={} received_bytes={} after_ms={}",
                self.link.connection.remote_address(),
                self.received_bytes,
                self.sent_at.elapsed().as_millis()
            );
        }
        // The reset fails only if the stream is already closed.
        let _ = self.send.reset(ABANDONED.into());
        // A live peer acknowledges a request within some milliseconds. The timeout of this request may be shorter than
        // the checks in `silence` take, so the use of the link ends here to keep the next request from being lost as
        // well.
        let connection = &self.link.connection;
        let silent = connection.stats().udp_rx.datagrams == self.packets_before;
        if silent && self.sent_at.elapsed() >= Duration::from_millis(SILENT_MS) && connection.close_reason().is_none() {
            self.link.stop_use(self.sent_at);
        }
    }
}

/// Opens a stream within `longest` or a shorter time. Returns `None` if the link is closed or has no free stream, in which
/// case nothing is sent and another node may get the request.
async fn open_stream(connection: &Connection, longest: Duration) -> Option<(SendStream, RecvStream)> {
    let wait = Duration::from_millis(STREAM_WAIT_MS) + connection.rtt() * STREAM_WAIT_ROUND_TRIPS;
    match timeout(wait.min(longest), connection.open_bi()).await {
        Ok(opened) => opened.ok(),
        Err(_) => {
            log::info!("event=link.no_free_stream peer={}", connection.remote_address());
            None
        }
    }
}

/// Sends requests on a link.
struct Exchange<'a> {
    link: &'a Rc<Link>,
    memory: &'a MemoryAccount,
    /// Whether the request goes on while the peer is unresponsive.
    outlasts_silence: bool,
}

impl Exchange<'_> {
    /// Sends a request and returns the reply.
    async fn run(
        &self,
        (send, mut receive): (SendStream, RecvStream),
        head: Bytes,
        body: Bytes,
        pace: Option<Pace>,
    ) -> Result<PeerReply, FrameReadError> {
        let mut request = OpenRequest::new(self.link, send);
        let mut chunks = [head, body];
        match request.send.write_all_chunks(&mut chunks).await {
            Ok(()) => {
                // Finishing fails only if the peer has stopped the stream, and its reply is read then.
                let _ = request.send.finish();
            }
            // A peer without memory for the body declines the request without reading it.
            Err(WriteError::Stopped(_)) => {}
            Err(_) => return Err(FrameReadError::Stream { source: ReadError::ClosedStream }),
        }
        let sent_at = request.sent_at;
        let received_bytes = &mut request.received_bytes;
        let answered = {
            let mut reading = std::pin::pin!(read_reply(&mut receive, pace, self.memory, received_bytes));
            loop {
                tokio::select! {
                    answered = &mut reading => break answered?,
                    () = silence(self.link) => self.link.stop_use(sent_at),
                }
                if !self.outlasts_silence {
                    return Err(FrameReadError::Stream { source: ReadError::ClosedStream });
                }
            }
        };
        request.answered = true;
        Ok(answered)
    }
}

/// Reads a reply, and counts the bytes that have arrived.
async fn read_reply(
    receive: &mut RecvStream,
    pace: Option<Pace>,
    memory: &MemoryAccount,
    received_bytes: &mut usize,
) -> Result<PeerReply, FrameReadError> {
    let mut on_received = |bytes| *received_bytes = bytes;
    let mut reader = FrameReader::new(receive, pace, &mut on_received);
    let (head, begun) = reader.head::<ReplyHead>().await?;
    if !matches!(head.reply, Reply::Answer(_)) {
        let body = reader.body(&head, begun, memory, (HeldKind::State, Patience::Eviction)).await?;
        return Ok(PeerReply { head, body });
    }
    // While a reply waits for memory, as much of it arrives as the window of its stream holds.
    let may_wait = head.body_bytes().is_some_and(|bytes| bytes > STREAM_WINDOW_BYTES as usize);
    let (_window, patience) = match may_wait {
        true => {
            let window = memory.charge(HeldKind::Answer, STREAM_WINDOW_BYTES.into(), Patience::Eviction).await;
            let window = window.ok_or(FrameReadError::NoRoom)?;
            (Some(window), Patience::Wait(Duration::from_millis(ROOM_WAIT_MS)))
        }
        false => (None, Patience::Eviction),
    };
    let body = reader.body(&head, begun, memory, (HeldKind::Answer, patience)).await?;
    Ok(PeerReply { head, body })
}

/// Sends empty datagrams to the peer, and returns after [`SILENT_CHECKS_MAX`] checks in a row have found no new packet
/// from it; on a link that is no longer used, after [`SILENT_CHECKS_UNUSED`].
async fn silence(link: &Link) {
    let mut packets_before = link.connection.stats().udp_rx.datagrams;
    let mut silent_checks = 0;
    while silent_checks < if link.is_silent.get() { SILENT_CHECKS_UNUSED } else { SILENT_CHECKS_MAX } {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let packets = link.connection.stats().udp_rx.datagrams;
        silent_checks = if packets == packets_before { silent_checks + 1 } else { 0 };
        packets_before = packets;
        // A live peer acknowledges the datagram. Sending fails only if the link is closed, which also ends the wait
        // for the reply.
        let _ = link.connection.send_datagram(Bytes::new());
    }
}
