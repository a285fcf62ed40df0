//! A small HTTP client for the load tool and for tests.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::Bytes;
use futures::stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::client::conn::http1::SendRequest;
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Longest chunk of a body that is sent in chunks.
const CHUNK_BYTES: usize = 1 << 20;

/// Body of a request.
type RequestBody = BoxBody<Bytes, Infallible>;

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Returns the value of a header, or an empty text if it is missing or not ASCII.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// A client of one address, which reuses its connections.
pub struct Client {
    addr: SocketAddr,
    idle: Mutex<Vec<SendRequest<RequestBody>>>,
}

impl Client {
    /// Returns a client, which connects on its first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, idle: Mutex::new(Vec::new()) }
    }

    async fn sender(&self) -> Result<SendRequest<RequestBody>, String> {
        while let Some(sender) = self.idle.lock().ok().and_then(|mut idle| idle.pop()) {
            if sender.is_ready() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.addr).await.map_err(|error| error.to_string())?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
        tokio::spawn(connection);
        Ok(sender)
    }

    /// Makes one call.
    ///
    /// # Errors
    ///
    /// Returns an error text if no complete answer arrives.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply, String> {
        let body = Full::new(body.into()).map_err(|never| match never {}).boxed();
        self.send(method, path, headers, body).await
    }

    /// Makes one call whose body is sent in chunks of up to [`CHUNK_BYTES`].
    ///
    /// # Errors
    ///
    /// Returns an error text if no complete answer arrives.
    pub async fn call_chunked(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply, String> {
        let body: Bytes = body.into();
        let starts = (0..body.len()).step_by(CHUNK_BYTES);
        let chunks = starts.map(move |start| body.slice(start..body.len().min(start + CHUNK_BYTES)));
        let frames = chunks.map(|chunk| Ok(Frame::data(chunk)));
        self.send(method, path, headers, StreamBody::new(stream::iter(frames)).boxed()).await
    }

    async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: RequestBody,
    ) -> Result<Reply, String> {
        let mut sender = self.sender().await?;
        let mut request = Request::builder().method(method).uri(path);
        if !headers.iter().any(|(name, _)| *name == "host") {
            request = request.header("host", self.addr.to_string());
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(body).map_err(|error| error.to_string())?;
        let answer = sender.send_request(request).await.map_err(|error| error.to_string())?;
        let (head, body) = answer.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
        if let (true, Ok(mut idle)) = (sender.is_ready(), self.idle.lock()) {
            idle.push(sender);
        }
        Ok(Reply { status: head.status.as_u16(), headers: head.headers, body })
    }
}
