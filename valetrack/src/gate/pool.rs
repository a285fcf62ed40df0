//! Pooled connections to this VM's server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::message::DeclineReason;
use super::protocol::{Classified, Health, HostLoad, UpstreamProtocol, is_final_status};
use super::rate_limit::AnswerKind;
use crate::clock::{Moment, steady_us};
use crate::crash::Down;
use crate::link::message::CallHead;
use crate::memory::{CollectError, HeldKind, MemoryAccount, Patience, collect};

/// Header with the attempt's id; a server may echo it.
pub const ATTEMPT_HEADER: &str = "valetrack-attempt";
/// Timeout for opening a connection.
const CONNECT_MS: u64 = 500;
/// Timeout of a health check: a check that waits for a slot is useless.
const HEALTH_MS: u64 = 500;
/// Timeout of a request for the machine's speed: an answer that waits for a slot comes too late for the call that needs
/// it.
const LOAD_MS: u64 = 8;
/// Largest accepted body of the answer to a health check.
const HEALTH_BODY_MAX_BYTES: usize = 64 * 1024;
/// Time within which a connection must be ready again after a complete answer.
const READY_MS: u64 = 1;

/// Time before a server closes an idle connection from which on the connection is not reused.
const KEEP_ALIVE_MARGIN_MS: u64 = 200;

/// Receive buffer of a connection. An answer that waits for memory fills it.
const RECEIVE_BUFFER_BYTES: usize = 256 * 1024;
/// Longest wait for memory for an answer; longer than any call.
const ANSWER_WAIT: Duration = Duration::from_secs(600);

/// Failure of an exchange with the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerError {
    /// The server did not receive the call.
    NotStarted,
    /// The server received the call but returned no complete answer.
    Broken,
    /// The answer exceeds the size limit.
    TooLarge,
    /// There was no memory for the answer.
    NoMemory,
    /// The answer belongs to another attempt.
    Misdirected,
    /// The server answered that it did not run the call and never will.
    Rejected(DeclineReason),
}

/// Result of a request for the speed of a server's machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineAnswer {
    /// The machine reported its load.
    Load {
        /// The reported load.
        load: HostLoad,
        /// Remaining time for which the server is cold, if reported.
        cold_ms: Option<u64>,
    },
    /// The answer contains no load.
    NoLoad,
    /// No complete answer arrived in time.
    None,
}

/// A complete answer of the server.
#[derive(Debug)]
pub struct ServerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

type Sender = SendRequest<Full<Bytes>>;

/// Receives the head of each answer of a server, whatever becomes of the answer.
pub trait AnswerObserver {
    /// Handles the headers of an answer to a request that began at `begun_us`.
    fn on_answer_head(&self, headers: &HeaderMap, kind: AnswerKind, begun_us: u64);
}

/// An idle connection.
struct Idle {
    sender: Sender,
    since: Moment,
    /// Time after which the server closes it, if the server stated one.
    closes_after: Option<Duration>,
}

/// Pool of idle connections to the server.
pub struct ServerPool {
    addr: SocketAddr,
    protocol: Arc<dyn UpstreamProtocol>,
    idle: std::cell::RefCell<Vec<Idle>>,
    /// Connection that is reserved for requests for the machine's speed.
    load_connection: std::cell::RefCell<Option<Sender>>,
    /// Account to which answers are charged.
    memory: MemoryAccount,
}

impl ServerPool {
    /// Creates an empty pool, whose answers are charged to `memory`.
    pub fn new(addr: SocketAddr, protocol: Arc<dyn UpstreamProtocol>, memory: MemoryAccount) -> Self {
        Self { addr, protocol, idle: Default::default(), load_connection: Default::default(), memory }
    }

    /// Returns the protocol between the node and the server.
    pub fn protocol(&self) -> &dyn UpstreamProtocol {
        &*self.protocol
    }

    /// Closes all idle connections, since a new start of the server cannot use those of an earlier one.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
        self.load_connection.borrow_mut().take();
    }

    /// Opens connections ahead of calls until `count` are idle.
    pub async fn warm(&self, count: usize) {
        if self.protocol.reuse_within().is_some() {
            return;
        }
        while self.idle.borrow().len() < count {
            let Some(sender) = self.connect().await else {
                return;
            };
            self.keep(sender, None);
        }
    }

    fn keep(&self, sender: Sender, closes_after: Option<Duration>) {
        self.idle.borrow_mut().push(Idle { sender, since: Moment::now(), closes_after });
    }

    /// Performs one exchange.
    ///
    /// A connection returns to the pool only after a complete answer. If the exchange is dropped midway, its connection
    /// is closed.
    ///
    /// # Errors
    ///
    /// Returns [`ServerError::NotStarted`] only if no byte of the call reached an open connection, and
    /// [`ServerError::Rejected`] if the server itself answered that it did not run the call.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        call: &CallHead,
        cap_bytes: usize,
        observer: &dyn AnswerObserver,
    ) -> Result<ServerAnswer, ServerError> {
        let begun_us = steady_us();
        let (mut sender, answer) = self.send(request, self.protocol.wants_fresh_connection(call)).await?;
        let (head, body) = answer.into_parts();
        let status = head.status.as_u16();
        if !is_final_status(status) {
            return Err(ServerError::Broken);
        }
        let classified = self.protocol.classify(call, status, &head.headers);
        let is_stray = classified == Classified::Misdirected;
        let kind = if is_stray { AnswerKind::Stray } else { AnswerKind::Call };
        observer.on_answer_head(&head.headers, kind, begun_us);
        match classified {
            Classified::Ran => {}
            Classified::NotStarted(reason) => return Err(ServerError::Rejected(reason)),
            Classified::Misdirected => return Err(ServerError::Misdirected),
            Classified::Unusable => return Err(ServerError::Broken),
        }
        let body = self.read_body(body, cap_bytes).await?;
        // Extra bytes after the answer close the connection. Yielding lets the connection task read them first.
        tokio::task::yield_now().await;
        let ready = timeout(Duration::from_millis(READY_MS), sender.ready()).await;
        if ready.is_ok_and(|ready| ready.is_ok()) {
            self.keep(sender, keep_alive(&head.headers));
        }
        Ok(ServerAnswer { status, headers: head.headers, body })
    }

    async fn read_body(&self, body: Incoming, cap_bytes: usize) -> Result<Bytes, ServerError> {
        // The call has run, so its answer waits for memory. The call's deadline ends the wait.
        let held_as = (HeldKind::Answer, Patience::Wait(ANSWER_WAIT));
        let collected = collect(body, cap_bytes, &self.memory, held_as, |_| {}).await;
        collected.map_err(|error| match error {
            CollectError::TooLarge => ServerError::TooLarge,
            CollectError::NoRoom => ServerError::NoMemory,
            CollectError::Broken => ServerError::Broken,
        })
    }

    /// Requests the server's health over a new connection; `None` if no complete answer arrived in time.
    pub async fn health(&self, path: &str, observer: &dyn AnswerObserver) -> Option<Health> {
        let request = self.health_request(path)?;
        let begun_us = steady_us();
        let response = async {
            let mut sender = self.connect().await?;
            let answer = sender.send_request(request).await.ok()?;
            observer.on_answer_head(answer.headers(), AnswerKind::HealthCheck, begun_us);
            self.protocol.health(answer.status().as_u16(), answer.headers())
        };
        timeout(Duration::from_millis(HEALTH_MS), response).await.ok()?
    }

    /// Requests the load of the server's machine over the connection reserved for that.
    pub async fn machine_load(&self, path: &str, observer: &dyn AnswerObserver) -> MachineAnswer {
        match timeout(Duration::from_millis(LOAD_MS), self.request_load(path, observer)).await {
            Ok(Some(answer)) => answer,
            Ok(None) | Err(_) => MachineAnswer::None,
        }
    }

    /// Returns the machine's reply, or `None` if no complete answer arrived.
    async fn request_load(&self, path: &str, observer: &dyn AnswerObserver) -> Option<MachineAnswer> {
        let kept = self.load_connection.borrow_mut().take().filter(Sender::is_ready);
        let request = self.health_request(path)?;
        let mut sender = match kept {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let begun_us = steady_us();
        let answer = sender.send_request(request).await.ok()?;
        observer.on_answer_head(answer.headers(), AnswerKind::HealthCheck, begun_us);
        let load = self.protocol.host_load(answer.headers());
        let health = self.protocol.health(answer.status().as_u16(), answer.headers());
        let cold_ms = health.and_then(|health| health.cold_ms);
        let _whole = Limited::new(answer.into_body(), HEALTH_BODY_MAX_BYTES).collect().await.ok()?;
        *self.load_connection.borrow_mut() = Some(sender);
        Some(load.map_or(MachineAnswer::NoLoad, |load| MachineAnswer::Load { load, cold_ms }))
    }

    async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        fresh: bool,
    ) -> Result<(Sender, Response<Incoming>), ServerError> {
        loop {
            let warm = if fresh { None } else { self.take_idle() };
            let reused = warm.is_some();
            let mut sender = match warm {
                Some(sender) => sender,
                None => self.connect().await.ok_or(ServerError::NotStarted)?,
            };
            match sender.try_send_request(request).await {
                Ok(answer) => return Ok((sender, answer)),
                Err(mut error) => {
                    // A returned request was not written, so it may be sent on another connection.
                    let Some(unsent) = error.take_message() else {
                        return Err(ServerError::Broken);
                    };
                    if !reused {
                        return Err(ServerError::NotStarted);
                    }
                    request = unsent;
                }
            }
        }
    }

    /// Returns how the server shows that it is down: its port is closed, or a listener in its place closes the
    /// connection instead of answering a health check. A missing answer proves nothing.
    pub async fn check_down(&self, health_path: Option<&str>) -> Option<Down> {
        let connecting = timeout(Duration::from_millis(CONNECT_MS), TcpStream::connect(self.addr)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return (error.kind() == std::io::ErrorKind::ConnectionRefused).then_some(Down::Closed),
            Err(_) => return None,
        };
        let request = self.health_request(health_path?)?;
        let response = async {
            let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
            tokio::spawn(connection);
            sender.send_request(request).await
        };
        let response = timeout(Duration::from_millis(HEALTH_MS), response).await;
        matches!(response, Ok(Err(_))).then_some(Down::Resets)
    }

    fn health_request(&self, path: &str) -> Option<Request<Full<Bytes>>> {
        Request::get(path).header("host", self.addr.to_string()).body(Full::default()).ok()
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let within = self.protocol.reuse_within().unwrap_or(Duration::MAX);
        while let Some(Idle { sender, since, closes_after }) = idle.pop() {
            let within = closes_after.map_or(within, |closes_after| within.min(closes_after));
            if sender.is_ready() && since.elapsed() < within {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> Option<Sender> {
        let connecting = TcpStream::connect(self.addr);
        let stream = timeout(Duration::from_millis(CONNECT_MS), connecting).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        if let Err(error) = set_socket_recv_buffer_size(&stream, RECEIVE_BUFFER_BYTES) {
            log::debug!("event=gate.receive_buffer_unset reason=\"{error}\"");
        }
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        // The task ends when its sender is dropped or the server closes the connection.
        tokio::spawn(connection);
        Some(sender)
    }
}

/// Returns the time after which a server closes an idle connection, from the `Keep-Alive` header; less a margin, since a
/// request on its way when the connection closes may be lost.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = text.split(',').filter_map(|parameter| parameter.trim().strip_prefix("timeout="));
    let timeout_s: u64 = parameters.next_back()?.trim().parse().ok()?;
    Some(Duration::from_secs(timeout_s).saturating_sub(Duration::from_millis(KEEP_ALIVE_MARGIN_MS)))
}
