//! Warm connections to this VM's server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::message::BounceReason;
use super::protocol::{Classified, Health, HostLoad, UpstreamProtocol};
use crate::clock::Moment;
use crate::crash::Down;
use crate::link::message::CallHead;

/// Header that names the attempt to the server; a server may send it back.
pub const ATTEMPT_HEADER: &str = "valetrack-attempt";
/// Time limit of a new connection, in milliseconds.
const CONNECT_MS: u64 = 500;
/// Time limit of a health check, in milliseconds: a check that waits for a slot tells nothing.
const HEALTH_MS: u64 = 500;
/// Time limit of a question for the machine's speed, in milliseconds: one that waits for a slot
/// comes too late for the call that asks.
const LOAD_MS: u64 = 8;
/// Time within which a connection must be ready again after a whole answer, in milliseconds.
const READY_MS: u64 = 1;

/// How a call to the server may fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerError {
    /// The server never got the call.
    NotStarted,
    /// The server got it, and no whole answer came.
    Broken,
    /// The answer is over the cap.
    TooLarge,
    /// The answer belongs to another attempt.
    Misdirected,
    /// The server says that it did not run the call and will not.
    Rejected(BounceReason),
}

/// What came of a question for the speed of a server's machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineAnswer {
    /// What it tells.
    Load {
        /// Its load.
        load: HostLoad,
        /// How much longer the server is cold, in milliseconds, if it says so.
        cold_ms: Option<u64>,
    },
    /// An answer that tells no load.
    Untold,
    /// No whole answer in time.
    None,
}

/// A whole answer of the server.
#[derive(Debug)]
pub struct ServerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

type Sender = SendRequest<Full<Bytes>>;

/// A connection that waits for its next call.
struct Idle {
    sender: Sender,
    since: Moment,
}

/// Connections that wait for their next call.
pub struct ServerPool {
    addr: SocketAddr,
    protocol: Arc<dyn UpstreamProtocol>,
    idle: std::cell::RefCell<Vec<Idle>>,
    /// The connection for questions of the machine's speed.
    questions: std::cell::RefCell<Option<Sender>>,
}

impl ServerPool {
    /// Makes an empty pool.
    pub fn new(addr: SocketAddr, protocol: Arc<dyn UpstreamProtocol>) -> Self {
        Self { addr, protocol, idle: Default::default(), questions: Default::default() }
    }

    /// Returns how calls are put to the server and its answers are read.
    pub fn protocol(&self) -> &dyn UpstreamProtocol {
        &*self.protocol
    }

    /// Closes every connection that waits; what was sent to an earlier start of the server says
    /// nothing about the next one.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
        self.questions.borrow_mut().take();
    }

    /// Opens connections ahead of calls until `count` wait.
    pub async fn warm(&self, count: usize) {
        if self.protocol.reuse_within().is_some() {
            return;
        }
        while self.idle.borrow().len() < count {
            let Some(sender) = self.connect().await else {
                return;
            };
            self.keep(sender);
        }
    }

    fn keep(&self, sender: Sender) {
        self.idle.borrow_mut().push(Idle { sender, since: Moment::now() });
    }

    /// Makes one exchange.
    ///
    /// A connection goes back to the pool only after its answer came whole; one that is dropped
    /// in the middle of a call is closed.
    ///
    /// # Errors
    ///
    /// Returns [`ServerError::NotStarted`] only when not a byte of the call reached a connection
    /// that was open, and [`ServerError::Rejected`] when the server itself says that it did not
    /// run the call.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        call: &CallHead,
        cap_bytes: usize,
    ) -> Result<ServerAnswer, ServerError> {
        let (mut sender, answer) = self.send(request, self.protocol.wants_fresh_connection(call)).await?;
        let (head, body) = answer.into_parts();
        let status = head.status.as_u16();
        match self.protocol.classify(call, status, &head.headers) {
            Classified::Ran => {}
            Classified::NotStarted(reason) => return Err(ServerError::Rejected(reason)),
            Classified::Misdirected => return Err(ServerError::Misdirected),
            Classified::Unusable => return Err(ServerError::Broken),
        }
        let body = read_body(body, cap_bytes).await?;
        // Bytes behind the answer close the connection; let that be seen before it is used again.
        tokio::task::yield_now().await;
        let ready = timeout(Duration::from_millis(READY_MS), sender.ready()).await;
        if ready.is_ok_and(|ready| ready.is_ok()) {
            self.keep(sender);
        }
        Ok(ServerAnswer { status, headers: head.headers, body })
    }

    /// Asks the server for its health on a connection of its own; none when no whole answer
    /// came in time.
    pub async fn health(&self, path: &str) -> Option<Health> {
        let request = self.health_request(path)?;
        let asked = async {
            let mut sender = self.connect().await?;
            let answer = sender.send_request(request).await.ok()?;
            self.protocol.health(answer.status().as_u16(), answer.headers())
        };
        timeout(Duration::from_millis(HEALTH_MS), asked).await.ok()?
    }

    /// Asks the server's machine for its load over a connection kept for that.
    pub async fn machine_load(&self, path: &str) -> MachineAnswer {
        match timeout(Duration::from_millis(LOAD_MS), self.ask_machine(path)).await {
            Ok(Some(answer)) => answer,
            Ok(None) | Err(_) => MachineAnswer::None,
        }
    }

    /// Returns what the machine says, if a whole answer came.
    async fn ask_machine(&self, path: &str) -> Option<MachineAnswer> {
        let kept = self.questions.borrow_mut().take().filter(Sender::is_ready);
        let request = self.health_request(path)?;
        let mut sender = match kept {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let answer = sender.send_request(request).await.ok()?;
        let load = self.protocol.host_load(answer.headers());
        let health = self.protocol.health(answer.status().as_u16(), answer.headers());
        let cold_ms = health.and_then(|health| health.cold_ms);
        let _whole = answer.into_body().collect().await.ok()?;
        *self.questions.borrow_mut() = Some(sender);
        Some(load.map_or(MachineAnswer::Untold, |load| MachineAnswer::Load { load, cold_ms }))
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
                    // A request that comes back was not written, so another connection may have it.
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

    /// Returns how the server shows that it is down: its port is closed, or whoever listens there for it closes
    /// the connection in place of an answer to a health check. Silence says nothing.
    pub async fn down(&self, health_path: Option<&str>) -> Option<Down> {
        let connecting = timeout(Duration::from_millis(CONNECT_MS), TcpStream::connect(self.addr)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return (error.kind() == std::io::ErrorKind::ConnectionRefused).then_some(Down::Closed),
            Err(_) => return None,
        };
        let request = self.health_request(health_path?)?;
        let asked = async {
            let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
            tokio::spawn(connection);
            sender.send_request(request).await
        };
        let asked = timeout(Duration::from_millis(HEALTH_MS), asked).await;
        matches!(asked, Ok(Err(_))).then_some(Down::Resets)
    }

    fn health_request(&self, path: &str) -> Option<Request<Full<Bytes>>> {
        Request::get(path).header("host", self.addr.to_string()).body(Full::default()).ok()
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let within = self.protocol.reuse_within().unwrap_or(Duration::MAX);
        while let Some(Idle { sender, since }) = idle.pop() {
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
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
        // The task ends by itself when its sender is dropped or the server closes.
        tokio::spawn(connection);
        Some(sender)
    }
}

async fn read_body(body: Incoming, cap_bytes: usize) -> Result<Bytes, ServerError> {
    if body.size_hint().lower() > cap_bytes as u64 {
        return Err(ServerError::TooLarge);
    }
    let collected = Limited::new(body, cap_bytes).collect().await;
    let collected = collected.map_err(|error| match error.downcast_ref::<LengthLimitError>() {
        Some(_) => ServerError::TooLarge,
        None => ServerError::Broken,
    })?;
    Ok(collected.to_bytes())
}
