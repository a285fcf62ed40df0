//! HTTP/2 connections whose requests do not end, or whose answers are not read.

use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http2::{Builder, SendRequest, handshake};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Time limit that the requests state, above that of any route.
const DEADLINE_MS: u32 = 60_000;
/// Window that a client grants for a connection, the least that the protocol allows.
const WINDOW_BYTES: u32 = 65_535;
/// Header field that a client repeats. After the first one, each takes a byte on the wire.
const FIELD: (&str, &str) = ("x", "u");

/// Most attempts of a request without a body, and the pause between two of them.
const ATTEMPTS_MAX: usize = 20;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);

/// Beginning of a connection, with empty settings.
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00";
/// A header field that is added to the dynamic table, as RFC 7541 encodes it, and its index there.
const ADDED_FIELD: &[u8] = b"\x40\x01x\x01u";
const ADDED_FIELD_INDEX: u8 = 0xbe;

/// Requests on one connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct Streams {
    /// Number of requests.
    pub count: usize,
    /// Length that each request states for its body, whose last byte is not sent; zero for requests without one.
    pub body_bytes: usize,
    /// Bytes of a body that are sent in one frame.
    pub frame_bytes: usize,
    /// Further header fields of each request.
    pub fields: usize,
    /// Bytes that a client grants for each answer.
    pub window_bytes: u32,
}

/// A body without its last byte, or none.
struct StalledBody {
    is_none: bool,
    left_bytes: usize,
    frame_bytes: usize,
    /// Dropped when all bytes are sent.
    sent: Option<mpsc::Sender<()>>,
}

impl Body for StalledBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left_bytes == 0 {
            self.sent.take();
            return Poll::Pending;
        }
        let data = vec![b'u'; self.left_bytes.min(self.frame_bytes)];
        self.left_bytes -= data.len();
        Poll::Ready(Some(Ok(Frame::data(data.into()))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_none
    }
}

/// Sends requests on streams of one connection, whose bodies never end if they have any, and reads no answer beyond its
/// window; keeps the connection open until the node closes it. `sent` is dropped once all bodies are sent, or all answers
/// have begun.
pub async fn hold(stream: TcpStream, path: &str, streams: Streams, sent: mpsc::Sender<()>) {
    let mut builder = Builder::new(TokioExecutor::new());
    builder.initial_stream_window_size(streams.window_bytes).initial_connection_window_size(WINDOW_BYTES);
    let Ok((sender, connection)) = builder.handshake(TokioIo::new(stream)).await else {
        return;
    };
    let answers = join_all((0..streams.count).map(|_| answer(sender.clone(), path, streams, sent.clone())));
    drop(sent);
    let requests = async {
        // An answer gives its window back when it is dropped.
        let _answers = answers.await;
        pending::<()>().await;
    };
    tokio::select! {
        _ = connection => {}
        () = requests => {}
    }
}

/// Sends a request, and returns the beginning of its answer. One without a body is repeated while it is refused.
async fn answer(
    mut sender: SendRequest<StalledBody>,
    path: &str,
    streams: Streams,
    sent: mpsc::Sender<()>,
) -> Option<Response<Incoming>> {
    let mut sent = Some(sent);
    for _ in 0..ATTEMPTS_MAX {
        let body_sent = if streams.body_bytes > 0 { sent.take() } else { None };
        sender.ready().await.ok()?;
        let answer = sender.send_request(request(path, streams, body_sent)).await.ok()?;
        if streams.body_bytes > 0 || answer.status() != StatusCode::SERVICE_UNAVAILABLE {
            return Some(answer);
        }
        sleep(ATTEMPT_PAUSE).await;
    }
    None
}

/// Returns the bytes of a connection with a head that does not end after `fields` fields.
///
/// # Panics
///
/// Panics if the fields exceed a frame.
pub fn unfinished_head(fields: usize) -> Vec<u8> {
    let mut block = ADDED_FIELD.to_vec();
    block.resize(block.len() + fields - 1, ADDED_FIELD_INDEX);
    let length = u16::try_from(block.len()).expect("a short frame").to_be_bytes();
    // A HEADERS frame without flags, on the first stream.
    let frame = [0, length[0], length[1], 1, 0, 0, 0, 0, 1];
    [PREFACE, &frame, &block].concat()
}

/// Sends a request without a body on a connection of its own, and returns the status of its answer.
pub async fn status_of(addr: SocketAddr, path: &str) -> Option<u16> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut sender, connection) = handshake(TokioExecutor::new(), TokioIo::new(stream)).await.ok()?;
    tokio::select! {
        _ = connection => None,
        answer = sender.send_request(request(path, Streams::default(), None)) => Some(answer.ok()?.status().as_u16()),
    }
}

/// Returns a request.
///
/// # Panics
///
/// Panics if the path is invalid.
fn request(path: &str, streams: Streams, sent: Option<mpsc::Sender<()>>) -> Request<StalledBody> {
    let Streams { body_bytes, frame_bytes, fields, .. } = streams;
    let mut request = Request::builder()
        .method(if body_bytes > 0 { "POST" } else { "GET" })
        .uri(format!("http://farm.example{path}"))
        .header("x-request-id", format!("{:016x}", fastrand::u64(..)))
        .header("x-deadline-milliseconds", DEADLINE_MS);
    if body_bytes > 0 {
        request = request.header("content-length", body_bytes);
    }
    for _ in 0..fields {
        request = request.header(FIELD.0, FIELD.1);
    }
    let left_bytes = body_bytes.saturating_sub(1);
    request.body(StalledBody { is_none: body_bytes == 0, left_bytes, frame_bytes, sent }).expect("a valid request")
}
