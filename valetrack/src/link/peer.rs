//! Connections to other nodes, kept open and shared by all questions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use quinn::{Connection, Endpoint, SendStream};
use tokio::sync::{Mutex, oneshot};
use tokio::time::timeout;

use super::codec::{self, FrameError};
use super::message::{Answered, BODY_MAX_BYTES, HEAD_MAX_BYTES, Question, Reply, ReplyHead};
use crate::clock::{Moment, SuspensionWatch, now_us, suspended_us};
use crate::gate::CancelResult;

/// Time limit of a handshake, in milliseconds.
const HANDSHAKE_MS: u64 = 400;
/// Pause between two looks at whether a peer that owes a reply has been heard, in milliseconds.
const LOOK_MS: u64 = 250;
/// Looks without a packet after which a peer counts as gone: a second, ten times as long as a VM
/// that has used up its share of a core stands still.
const SILENT_LOOKS: u32 = 4;
/// A question that was given up after this time without a packet from the peer closes the link, in
/// milliseconds: five times as long as such a VM stands still.
const SILENT_MS: u64 = 500;
/// Error code of a stream or link that this node gives up.
const GIVEN_UP: u32 = 1;
/// After a failed handshake the next is tried no sooner than this, in microseconds.
const REDIAL_US: u64 = 200_000;
/// Largest whole frame, in bytes.
pub const FRAME_MAX_BYTES: usize = codec::LENGTH_BYTES + HEAD_MAX_BYTES + BODY_MAX_BYTES;

/// Where a node is, and which VM's certificate it must show.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Address of its links.
    pub addr: SocketAddr,
}

/// How a question ended.
#[derive(Debug)]
pub enum LinkResult {
    /// The reply.
    Reply(Box<Answered>),
    /// The question was never sent.
    Unsent,
    /// The question was sent, at least in part, and no whole reply came.
    Broken,
}

impl LinkResult {
    /// Returns the result of a cancel of an attempt that was sent `sent_ago`, if this is one and its
    /// owner's process lived already when the attempt was sent.
    pub fn cancel_result(&self, sent_ago: Duration) -> Option<CancelResult> {
        let Self::Reply(answered) = self else {
            return None;
        };
        let Reply::Cancelled { result, up_ms, .. } = answered.head.reply else {
            return None;
        };
        let lived = Duration::from_millis(up_ms.into()) > sent_ago;
        let remembered = matches!(result, CancelResult::Started | CancelResult::Rejected);
        (lived || remembered).then_some(result)
    }
}

/// A question on its way through the ring to the link thread.
#[derive(Debug)]
pub struct LinkJob {
    /// Whom to ask.
    pub target: Target,
    /// What to ask.
    pub question: Question,
    /// How long to wait for the reply.
    pub limit: Duration,
    /// Where the result goes.
    pub reply: oneshot::Sender<LinkResult>,
}

/// Asks another node through the ring of the link thread, and waits for the result.
pub async fn ask(ring: &Sender<LinkJob>, target: Target, question: Question, limit: Duration) -> LinkResult {
    let (reply, result) = oneshot::channel();
    if ring.send(LinkJob { target, question, limit, reply }).await.is_err() {
        return LinkResult::Unsent;
    }
    result.await.unwrap_or(LinkResult::Broken)
}

/// Asks another node as [`ask`] does, and gives up after `limit` whatever is waited for; a handshake
/// may otherwise come on top.
pub async fn ask_within(ring: &Sender<LinkJob>, target: Target, question: Question, limit: Duration) -> LinkResult {
    timeout(limit, ask(ring, target, question, limit)).await.unwrap_or(LinkResult::Broken)
}

#[derive(Default)]
struct Slot {
    connection: Option<Connection>,
    /// From when the connection is.
    since: SuspensionWatch,
    failed_us: Option<u64>,
}

impl Slot {
    /// Returns the connection, if it is open and this VM was not suspended since it was opened: the peer has
    /// given it up meanwhile, and whatever is sent on it is lost.
    fn open(&mut self) -> Option<Connection> {
        let connection = self.connection.take().filter(|connection| connection.close_reason().is_none())?;
        if self.since.take(suspended_us()).is_some() {
            connection.close(GIVEN_UP.into(), b"suspended");
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

/// All connections that this node has opened.
pub struct Peers {
    endpoint: Endpoint,
    slots: std::cell::RefCell<HashMap<Target, Rc<Mutex<Slot>>>>,
}

impl Peers {
    /// Makes an empty set on an endpoint.
    pub fn new(endpoint: Endpoint) -> Self {
        Self { endpoint, slots: Default::default() }
    }

    /// Returns how many connections are open.
    pub fn open_count(&self) -> usize {
        let open = |slot: &&Rc<Mutex<Slot>>| slot.try_lock().is_ok_and(|slot| slot.connection.is_some());
        self.slots.borrow().values().filter(open).count()
    }

    /// Asks a question; the wait for the reply is bounded by `limit`.
    pub async fn ask(&self, target: &Target, question: Question, limit: Duration) -> LinkResult {
        let Ok(head) = codec::pack(&question.ask) else {
            return LinkResult::Unsent;
        };
        let Some(connection) = self.connection(target).await else {
            return LinkResult::Unsent;
        };
        let asked = timeout(limit, exchange(&connection, head, question.body)).await;
        match asked {
            Ok(Ok(answered)) => LinkResult::Reply(Box::new(answered)),
            Ok(Err(ExchangeError::Unsent)) => LinkResult::Unsent,
            Ok(Err(ExchangeError::Frame(error))) => {
                log::warn!("event=link.frame_invalid peer={} code={} reason=\"{error}\"", target.vm, error.code());
                LinkResult::Broken
            }
            Ok(Err(ExchangeError::Broken)) | Err(_) => LinkResult::Broken,
        }
    }

    async fn connection(&self, target: &Target) -> Option<Connection> {
        let slot = self.slots.borrow_mut().entry(target.clone()).or_default().clone();
        // Whoever comes while a handshake is under way waits for its result.
        let mut slot = slot.lock().await;
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

enum ExchangeError {
    Unsent,
    Broken,
    Frame(FrameError),
}

/// A question that is out; dropped before its reply came, it takes back what was not delivered,
/// so that no copy of a call reaches its owner after its entry has given it up.
struct OpenQuestion {
    connection: Connection,
    send: SendStream,
    answered: bool,
    asked: Moment,
    /// Packets that the peer had sent when the question went out.
    heard: u64,
}

impl OpenQuestion {
    fn new(connection: &Connection, send: SendStream) -> Self {
        let heard = connection.stats().udp_rx.datagrams;
        Self { connection: connection.clone(), send, answered: false, asked: Moment::now(), heard }
    }

    fn close_silent_link(&self) {
        log::info!(
            "event=link.silent peer={} after_ms={}",
            self.connection.remote_address(),
            self.asked.elapsed().as_millis()
        );
        self.connection.close(GIVEN_UP.into(), b"silent");
    }
}

impl Drop for OpenQuestion {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        // It fails only where the stream is closed already.
        let _ = self.send.reset(GIVEN_UP.into());
        // A peer that lives acknowledges a question within some milliseconds. Whoever asked may
        // have had less time than the looks take, and the next question must not be lost as well.
        let silent = self.connection.stats().udp_rx.datagrams == self.heard;
        if silent
            && self.asked.elapsed() >= Duration::from_millis(SILENT_MS)
            && self.connection.close_reason().is_none()
        {
            self.close_silent_link();
        }
    }
}

async fn exchange(connection: &Connection, head: Bytes, body: Bytes) -> Result<Answered, ExchangeError> {
    let (send, mut receive) = connection.open_bi().await.map_err(|_| ExchangeError::Unsent)?;
    let mut question = OpenQuestion::new(connection, send);
    let mut chunks = [head, body];
    question.send.write_all_chunks(&mut chunks).await.map_err(|_| ExchangeError::Broken)?;
    question.send.finish().map_err(|_| ExchangeError::Broken)?;
    let frame = tokio::select! {
        frame = receive.read_to_end(FRAME_MAX_BYTES) => frame.map_err(|_| ExchangeError::Broken)?,
        () = silence(connection) => {
            question.close_silent_link();
            return Err(ExchangeError::Broken);
        }
    };
    question.answered = true;
    let (head, body) = codec::unpack::<ReplyHead>(Bytes::from(frame)).map_err(ExchangeError::Frame)?;
    Ok(Answered { head, body })
}

/// Waits until a peer that is asked for signs of life has given none for [`SILENT_LOOKS`] looks.
async fn silence(connection: &Connection) {
    let mut heard = connection.stats().udp_rx.datagrams;
    let mut looks = 0;
    while looks < SILENT_LOOKS {
        tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        let now = connection.stats().udp_rx.datagrams;
        looks = if now == heard { looks + 1 } else { 0 };
        heard = now;
        // It is acknowledged by whoever lives, and fails only where the link is closed, which ends
        // the wait for the reply as well.
        let _ = connection.send_datagram(Bytes::new());
    }
}
