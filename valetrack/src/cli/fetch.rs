//! HTTP GET for the command line.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Limit of the response body.
const ANSWER_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Time limit of a request.
const TIMEOUT_MS: u64 = 5_000;

/// Returns the body of a page as text.
///
/// # Errors
///
/// Returns the error message.
pub async fn get(addr: SocketAddr, path: &str) -> Result<String, String> {
    let limit = Duration::from_millis(TIMEOUT_MS);
    timeout(limit, get_unbounded(addr, path)).await.unwrap_or_else(|_| Err("time limit".into()))
}

async fn get_unbounded(addr: SocketAddr, path: &str) -> Result<String, String> {
    let text = |error: &dyn std::fmt::Display| error.to_string();
    let stream = TcpStream::connect(addr).await.map_err(|error| text(&error))?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(|error| text(&error))?;
    // The task ends when its sender is dropped.
    tokio::spawn(connection);
    let request = Request::get(path).header("host", addr.to_string()).body(Empty::<Bytes>::new());
    let request = request.map_err(|error| text(&error))?;
    let answer = sender.send_request(request).await.map_err(|error| text(&error))?;
    if !answer.status().is_success() {
        return Err(answer.status().to_string());
    }
    let body = Limited::new(answer.into_body(), ANSWER_MAX_BYTES).collect().await;
    let body = body.map_err(|error| text(&error))?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}
