//! Serves one connection of a caller with hyper.

use std::rc::Rc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::TcpStream;

use super::connection::{CallService, CallerConnection};
use super::state::HELD_MAX_BYTES;
use super::stream::CallerStream;

/// Largest head of a request.
const HEAD_MAX_BYTES: usize = HELD_MAX_BYTES;

/// Result of a connection.
pub type Ended = Result<(), Box<dyn std::error::Error + Send + Sync>>;

/// Serves a connection until it closes; `head_limit` is the time that its client has to send a head, and for which it
/// may be idle. Once `idle_limit` completes and the started calls are answered, the connection closes as soon as it is
/// idle.
///
/// # Errors
///
/// Returns the reason for which the connection ended early.
pub async fn serve(
    stream: TcpStream,
    head_limit: Duration,
    service: Rc<dyn CallService>,
    idle_limit: impl Future<Output = ()>,
) -> Ended {
    let caller = CallerConnection::new(service);
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
        ended = connection.as_mut() => Some(ended),
        () = idle_limit => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            // Finishes calls in progress and closes the connection, so that the caller connects to another node.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    caller.close();
    ended
}

/// Returns hyper's settings for connections of callers.
pub(super) fn builder(head_limit: Duration) -> auto::Builder<LocalExecutor> {
    let mut builder = auto::Builder::new(LocalExecutor);
    builder.http1().timer(TokioTimer::new()).header_read_timeout(head_limit).max_buf_size(HEAD_MAX_BYTES);
    builder.http2().timer(TokioTimer::new()).max_header_list_size(HEAD_MAX_BYTES as u32);
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
