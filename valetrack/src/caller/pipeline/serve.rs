//! Serves one connection of a caller with hyper.

use std::error::Error;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::thread::panicking;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::TcpStream;

use super::connection::{CallService, CallerConnection};
use super::end::EndReason;
use super::state::HELD_MAX_BYTES;
use super::stream::CallerStream;
use crate::memory::{Charge, ClientConnection};

/// Largest head of a request.
const HEAD_MAX_BYTES: usize = HELD_MAX_BYTES;

/// Time for the answer to a call that is refused on a connection that has to close.
const REFUSAL_MS: u64 = 50;
/// Bytes that may be in flight on one stream of an HTTP/2 connection, and on all of them.
const HTTP2_STREAM_WINDOW_BYTES: u32 = 64 * 1024;
const HTTP2_WINDOW_BYTES: u32 = 128 * 1024;

/// Result of a connection from hyper.
type HyperResult = Result<(), Box<dyn Error + Send + Sync>>;

/// Serves a connection until it closes; `head_limit` is the time that its client has to send a head, and for which it
/// may be idle. Once `idle_limit` completes, no further requests are received, and the connection closes as soon as
/// those that are received completely are answered.
///
/// The service gets a record of the end of the connection and of each request without its whole answer, also if the
/// returned future is dropped.
pub async fn serve(
    stream: TcpStream,
    head_limit: Duration,
    service: Rc<dyn CallService>,
    memory: (Charge, ClientConnection),
    idle_limit: impl Future<Output = ()>,
) {
    let caller = CallerConnection::new(service, memory);
    let _ending = Ending(caller.clone());
    let answering = caller.clone();
    let service = service_fn(move |request| answering.clone().deliver(request));
    let builder = builder(head_limit);
    let connection = builder.serve_connection(TokioIo::new(CallerStream::new(stream, caller.clone())), service);
    let mut connection = std::pin::pin!(connection);
    let idle_limit = async {
        idle_limit.await;
        // After a graceful shutdown, hyper closes the connection with the answer to the request delivered last.
        caller.all_delivered().await;
    };
    let ended = tokio::select! {
        // After a pause of the thread, a request that has arrived meanwhile is read before its connection closes.
        biased;
        ended = drive(&caller, connection.as_mut()) => Some(ended),
        () = evicted(&caller) => return caller.end(EndReason::MemoryFull, None),
        () = idle_limit => None,
    };
    let is_graceful = ended.is_none();
    let ended = match ended {
        Some(ended) => ended,
        None => {
            // Finishes calls in progress and closes the connection, so that the caller connects to another node.
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = drive(&caller, connection) => ended,
                () = evicted(&caller) => return caller.end(EndReason::MemoryFull, None),
            }
        }
    };
    let (reason, error) = reason_of(&caller, ended, is_graceful);
    caller.end(reason, error);
}

/// Serves a connection with hyper, which has delivered all requests that it could read whenever it waits.
async fn drive(caller: &CallerConnection, mut connection: Pin<&mut impl Future<Output = HyperResult>>) -> HyperResult {
    poll_fn(|cx| {
        let polled = connection.as_mut().poll(cx);
        caller.on_all_delivered();
        polled
    })
    .await
}

/// Waits until the connection has to close since memory or descriptors have run out. A call whose body is being read is
/// answered before.
async fn evicted(caller: &CallerConnection) {
    caller.evicted().await;
    if caller.is_body_awaited() {
        tokio::time::sleep(Duration::from_millis(REFUSAL_MS)).await;
    }
}

/// Ends a connection whose task is dropped or panics.
struct Ending(Rc<CallerConnection>);

impl Drop for Ending {
    fn drop(&mut self) {
        self.0.end(if panicking() { EndReason::Panic } else { EndReason::Exit }, None);
    }
}

/// Returns the reason for which a connection has ended, with the text of an error; `is_graceful` states that hyper was
/// asked to close it.
fn reason_of(caller: &CallerConnection, ended: HyperResult, is_graceful: bool) -> (EndReason, Option<String>) {
    if let Some(end) = caller.client_end() {
        return end;
    }
    let error = match ended {
        Err(error) => error,
        Ok(()) if is_graceful || caller.is_leaving() => return (EndReason::Leaving, None),
        Ok(()) if caller.closes() => return (EndReason::LastRequest, None),
        Ok(()) => return (EndReason::AfterAnswer, None),
    };
    let reason = match error.downcast_ref::<hyper::Error>() {
        Some(error) if error.is_timeout() && caller.has_partial_request() => EndReason::HeadLimit,
        Some(error) if error.is_timeout() => EndReason::IdleLimit,
        Some(error) if error.is_parse() => EndReason::InvalidRequest,
        Some(error) if error.is_incomplete_message() => EndReason::ClientClosed,
        // A connection without a first byte is cancelled before hyper serves it.
        None if is_graceful => return (EndReason::Leaving, None),
        _ => EndReason::Error,
    };
    (reason, Some(text_of(&*error)))
}

/// Returns the text of an error with its causes.
fn text_of(error: &(dyn Error + 'static)) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Returns hyper's settings for connections of callers.
pub(super) fn builder(head_limit: Duration) -> auto::Builder<LocalExecutor> {
    let mut builder = auto::Builder::new(LocalExecutor);
    builder.http1().timer(TokioTimer::new()).header_read_timeout(head_limit).max_buf_size(HEAD_MAX_BYTES);
    let mut http2 = builder.http2();
    http2.timer(TokioTimer::new()).max_header_list_size(HEAD_MAX_BYTES as u32);
    http2.initial_stream_window_size(HTTP2_STREAM_WINDOW_BYTES).initial_connection_window_size(HTTP2_WINDOW_BYTES);
    builder
}

/// Spawns the tasks of a connection on the thread of the listener.
#[derive(Debug, Clone, Copy)]
pub(super) struct LocalExecutor;

impl<F: Future + 'static> hyper::rt::Executor<F> for LocalExecutor {
    fn execute(&self, future: F) {
        tokio::task::spawn_local(future);
    }
}
