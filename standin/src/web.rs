//! HTTP helpers of the stand-ins: servers, queries and bodies.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// An error that ends a connection without an answer.
pub type Abort = Box<dyn std::error::Error + Send + Sync>;
/// A body that is sent whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, Abort>;
/// An answer of a stand-in.
pub type Answer = Result<Response<Body>, Abort>;

/// Returns a body that is sent whole.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns an answer with a status and a body that is sent whole.
pub fn answer(status: u16, body: impl Into<Bytes>) -> Response<Body> {
    let mut answer = Response::new(full(body));
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer
}

/// Parses the pairs of a query; a key without a value has the value 1.
pub fn query(uri: &hyper::Uri) -> BTreeMap<String, String> {
    let pairs = uri.query().unwrap_or("").split('&').filter(|pair| !pair.is_empty());
    let split = |pair: &str| {
        let (key, value) = pair.split_once('=').unwrap_or((pair, "1"));
        (key.to_owned(), value.to_owned())
    };
    pairs.map(split).collect()
}

/// Returns the number that a query has for a key.
pub fn number(query: &BTreeMap<String, String>, key: &str) -> Option<u64> {
    query.get(key)?.parse().ok()
}

/// Serves HTTP/1.1 until the process ends; each new connection is delayed by `connect`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve<H, F>(addr: SocketAddr, connect: Duration, handler: H) -> std::io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    serve_on(listener, connect, handler).await;
    Ok(())
}

/// Serves HTTP/1.1 on a bound listener; dropping the future closes the listener and its connections.
pub async fn serve_on<H, F>(listener: TcpListener, connect: Duration, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        connections.spawn(async move {
            tokio::time::sleep(connect).await;
            let service = service_fn(handler);
            let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
