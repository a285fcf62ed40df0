//! Connections to other nodes, which stay open and are shared by all requests.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::{Bytes, BytesMut};
use prometheus::IntGauge;
use quinn::{Connection, Endpoint, RecvStream, SendStream};
use tokio::sync::{Mutex, oneshot};
use tokio::time::timeout;

use super::codec::{self, FrameError};
use super::message::{BODY_MAX_BYTES, HEAD_MAX_BYTES, PeerReply, PeerRequest, Reply, ReplyHead};
use super::path::PathTimes;
use crate::clock::{Moment, SuspensionWatch, now_us, suspended_us};
use crate::gate::CancelResult;

/// Timeout of a handshake.
const HANDSHAKE_MS: u64 = 400;
/// Interval of checks for received packets while a reply is pending.
const CHECK_INTERVAL_MS: u64 = 250;
/// Checks in a row without a received packet after which the peer counts as unresponsive. They take one second, ten
/// times as long as a VM is paused after it has used up its share of a core.
const SILENT_CHECKS_MAX: u32 = 4;
/// Time without a packet from the peer after which an abandoned request closes the link. It is five times as long as
/// a VM is paused after it has used up its share of a core.
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
/// Largest frame, including the length prefix.
pub const FRAME_MAX_BYTES: usize = codec::LENGTH_BYTES + HEAD_MAX_BYTES + BODY_MAX_BYTES;

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

#[derive(Default)]
struct Slot {
    connection: Option<Connection>,
    /// Detects suspensions of this VM since the connection was opened.
    since: SuspensionWatch,
    failed_us: Option<u64>,
}

impl Slot {
    /// Returns the connection if it is open and this VM was not suspended since it was opened. The peer abandons the
    /// connection during a suspension, and packets sent on it afterwards are lost.
    fn open(&mut self) -> Option<Connection> {
        let connection = self.connection.take().filter(|connection| connection.close_reason().is_none())?;
        if self.since.take(suspended_us()).is_some() {
            connection.close(ABANDONED.into(), b"suspended");
            return None;
        }
        self.connection = Some(connection.clone());
        Some(connection)
    }

    fn opened(&mut self, connection: Connection) {
        self.failed_us = None;
        self.since = SuspensionWatch::from_now();
        self.connection = Some(connection);
    }
}

type Slots = Rc<RefCell<HashMap<Target, Rc<Mutex<Slot>>>>>;

/// Outgoing connections of this node.
pub struct Peers {
    endpoint: Endpoint,
    slots: Slots,
    paths: Rc<PathTimes>,
    /// Number of open connections.
    open_links: IntGauge,
}

impl Peers {
    /// Returns an empty set of connections on an endpoint, whose round trips are recorded in `paths`, and whose number
    /// in `open_links`.
    pub fn new(endpoint: Endpoint, paths: Rc<PathTimes>, open_links: IntGauge) -> Self {
        Self { endpoint, slots: Slots::default(), paths, open_links }
    }

    /// Sends a request and waits for the reply within `limit`.
    pub async fn ask(&self, target: &Target, request: PeerRequest, limit: TimeLimit) -> LinkResult {
        let Ok(head) = codec::pack(&request.ask) else {
            return LinkResult::Unsent;
        };
        let from = Moment::now();
        let Some(connection) = self.connection(target).await else {
            return LinkResult::Unsent;
        };
        let connected = Moment::now();
        let (TimeLimit::Whole(longest) | TimeLimit::Progress { first: longest, .. }) = limit;
        let Some(stream) = open_stream(&connection, longest).await else {
            return LinkResult::Unsent;
        };
        let exchanged = match limit {
            TimeLimit::Whole(limit) => {
                let left = limit.saturating_sub(connected.elapsed());
                timeout(left, exchange(&connection, stream, head, request.body, None)).await
            }
            TimeLimit::Progress { first, idle } => {
                let pace = Pace { first: first.saturating_sub(from.elapsed()), idle };
                Ok(exchange(&connection, stream, head, request.body, Some(pace)).await)
            }
        };
        match exchanged {
            Ok(Ok(answered)) => {
                self.paths.record(target.addr, connection.rtt());
                LinkResult::Reply(Box::new(answered))
            }
            Ok(Err(ExchangeError::Frame(error))) => {
                log::warn!("event=link.frame_invalid peer={} code={} reason=\"{error}\"", target.vm, error.code());
                LinkResult::Broken
            }
            Ok(Err(ExchangeError::Broken)) | Err(_) => LinkResult::Broken,
        }
    }

    async fn connection(&self, target: &Target) -> Option<Connection> {
        let shared = self.slots.borrow_mut().entry(target.clone()).or_default().clone();
        // Concurrent requests wait here for the result of a handshake in progress.
        let mut slot = shared.lock().await;
        if let Some(connection) = slot.open() {
            return Some(connection);
        }
        if slot.failed_us.is_some_and(|failed_us| now_us() < failed_us + REDIAL_US) {
            return None;
        }
        let connecting = self.endpoint.connect(target.addr, &target.vm).ok()?;
        let connected = timeout(Duration::from_millis(HANDSHAKE_MS), connecting).await;
        match connected {
            Ok(Ok(connection)) => {
                slot.opened(connection.clone());
                self.open_links.inc();
                let (slots, open_links) = (self.slots.clone(), self.open_links.clone());
                let release = release_closed(slots, target.clone(), shared.clone(), connection.clone(), open_links);
                tokio::task::spawn_local(release);
                Some(connection)
            }
            Ok(Err(error)) => {
                log::debug!("event=link.refused peer={} reason=\"{error}\"", target.vm);
                slot.failed_us = Some(now_us());
                None
            }
            Err(_) => {
                slot.failed_us = Some(now_us());
                None
            }
        }
    }
}

/// Drops a connection once it is closed, together with its slot if nothing else uses the slot. A closed connection keeps
/// all its memory until its last handle is dropped.
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
    slot.connection.take_if(|connection| connection.close_reason().is_some());
    let is_empty = slot.connection.is_none() && slot.failed_us.is_none();
    drop(slot);
    // The map and this task hold the slot, and so does each request that waits for it.
    if is_empty && Rc::strong_count(&shared) == 2 {
        slots.borrow_mut().remove(&target);
    }
}

enum ExchangeError {
    Broken,
    Frame(FrameError),
}

/// A request in flight.
///
/// If it is dropped before the reply is received, it resets the stream. No copy of a call then reaches the owner after
/// the entry has abandoned the call.
struct OpenRequest {
    connection: Connection,
    send: SendStream,
    answered: bool,
    sent_at: Moment,
    /// Packets received from the peer before the request was sent.
    packets_before: u64,
    /// Bytes of the reply that have arrived.
    received_bytes: usize,
}

impl OpenRequest {
    fn new(connection: &Connection, send: SendStream) -> Self {
        let packets_before = connection.stats().udp_rx.datagrams;
        Self {
            connection: connection.clone(),
            send,
            answered: false,
            sent_at: Moment::now(),
            packets_before,
            received_bytes: 0,
        }
    }

    fn close_silent_link(&self) {
        log::info!(
            "event=link.silent peer={} after_ms={}",
            self.connection.remote_address(),
            self.sent_at.elapsed().as_millis()
        );
        self.connection.close(ABANDONED.into(), b"silent");
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
                self.connection.remote_address(),
                self.received_bytes,
                self.sent_at.elapsed().as_millis()
            );
        }
        // The reset fails only if the stream is already closed.
        let _ = self.send.reset(ABANDONED.into());
        // A live peer acknowledges a request within some milliseconds. The timeout of this request may be shorter than
        // the checks in `silence` take, so the link is closed here to keep the next request from being lost as well.
        let silent = self.connection.stats().udp_rx.datagrams == self.packets_before;
        if silent
            && self.sent_at.elapsed() >= Duration::from_millis(SILENT_MS)
            && self.connection.close_reason().is_none()
        {
            self.close_silent_link();
        }
    }
}

/// Time until the first bytes of a reply arrive, and until further ones do.
#[derive(Debug, Clone, Copy)]
struct Pace {
    first: Duration,
    idle: Duration,
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

async fn exchange(
    connection: &Connection,
    (send, mut receive): (SendStream, RecvStream),
    head: Bytes,
    body: Bytes,
    pace: Option<Pace>,
) -> Result<PeerReply, ExchangeError> {
    let mut request = OpenRequest::new(connection, send);
    let mut chunks = [head, body];
    request.send.write_all_chunks(&mut chunks).await.map_err(|_| ExchangeError::Broken)?;
    request.send.finish().map_err(|_| ExchangeError::Broken)?;
    let frame = tokio::select! {
        frame = read_frame(&mut receive, pace, &mut request.received_bytes) => frame?,
        () = silence(connection) => {
            request.close_silent_link();
            return Err(ExchangeError::Broken);
        }
    };
    request.answered = true;
    let (head, body) = codec::unpack::<ReplyHead>(frame).map_err(ExchangeError::Frame)?;
    Ok(PeerReply { head, body })
}

/// Reads a reply up to the end of the stream, and counts the bytes that have arrived.
async fn read_frame(
    receive: &mut RecvStream,
    pace: Option<Pace>,
    received_bytes: &mut usize,
) -> Result<Bytes, ExchangeError> {
    let mut frame = BytesMut::new();
    loop {
        let next = receive.read_chunk(FRAME_MAX_BYTES, true);
        let limit = pace.map(|pace| if frame.is_empty() { pace.first } else { pace.idle });
        let next = match limit {
            Some(limit) => timeout(limit, next).await.map_err(|_| ExchangeError::Broken)?,
            None => next.await,
        };
        let Some(chunk) = next.map_err(|_| ExchangeError::Broken)? else {
            return Ok(frame.freeze());
        };
        frame.extend_from_slice(&chunk.bytes);
        *received_bytes = frame.len();
        if frame.len() > FRAME_MAX_BYTES {
            return Err(ExchangeError::Broken);
        }
    }
}

/// Sends empty datagrams to the peer, and returns after [`SILENT_CHECKS_MAX`] checks in a row have found no new packet
/// from it.
async fn silence(connection: &Connection) {
    let mut packets_before = connection.stats().udp_rx.datagrams;
    let mut silent_checks = 0;
    while silent_checks < SILENT_CHECKS_MAX {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let packets = connection.stats().udp_rx.datagrams;
        silent_checks = if packets == packets_before { silent_checks + 1 } else { 0 };
        packets_before = packets;
        // A live peer acknowledges the datagram. Sending fails only if the link is closed, which also ends the wait
        // for the reply.
        let _ = connection.send_datagram(Bytes::new());
    }
}
