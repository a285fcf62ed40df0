//! Warm connections to this VM's server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body as _;
use hyper::client::conn::http1::SendRequest;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::message::AttemptId;

/// Header that names the attempt to the server; a server may send it back.
pub const ATTEMPT_HEADER: &str = "valetrack-attempt";
/// Time limit of a new connection, in milliseconds.
const CONNECT_MS: u64 = 500;
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

/// Connections that wait for their next call.
pub struct ServerPool {
    addr: SocketAddr,
    idle: std::cell::RefCell<Vec<Sender>>,
}

impl ServerPool {
    /// Makes an empty pool.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: Default::default() }
    }

    /// Opens connections ahead of calls until `count` wait.
    pub async fn warm(&self, count: usize) {
        while self.idle.borrow().len() < count {
            let Some(sender) = self.connect().await else {
                return;
            };
            self.idle.borrow_mut().push(sender);
        }
    }

    /// Makes one exchange.
    ///
    /// A connection goes back to the pool only after its answer came whole; one that is dropped
    /// in the middle of a call is closed.
    ///
    /// # Errors
    ///
    /// Returns [`ServerError::NotStarted`] only when not a byte of the call reached a connection
    /// that was open.
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        attempt: AttemptId,
        cap_bytes: usize,
    ) -> Result<ServerAnswer, ServerError> {
        let (mut sender, answer) = self.send(request).await?;
        let (head, body) = answer.into_parts();
        if misdirected(&head.headers, attempt) {
            return Err(ServerError::Misdirected);
        }
        if body.size_hint().lower() > cap_bytes as u64 {
            return Err(ServerError::TooLarge);
        }
        let body = Limited::new(body, cap_bytes).collect().await;
        let body = body.map_err(|error| match error.downcast_ref::<http_body_util::LengthLimitError>() {
            Some(_) => ServerError::TooLarge,
            None => ServerError::Broken,
        })?;
        // Bytes behind the answer close the connection; let that be seen before it is used again.
        tokio::task::yield_now().await;
        let ready = timeout(Duration::from_millis(READY_MS), sender.ready()).await;
        if ready.is_ok_and(|ready| ready.is_ok()) {
            self.idle.borrow_mut().push(sender);
        }
        Ok(ServerAnswer { status: head.status.as_u16(), headers: head.headers, body: body.to_bytes() })
    }

    async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Sender, Response<hyper::body::Incoming>), ServerError> {
        loop {
            let warm = self.take_idle();
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

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
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

/// Returns whether the server says that its answer is for another attempt.
fn misdirected(headers: &HeaderMap, attempt: AttemptId) -> bool {
    headers.get(ATTEMPT_HEADER).is_some_and(|said| said.as_bytes() != attempt.to_string().as_bytes())
}
