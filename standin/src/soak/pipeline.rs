//! Several requests on one connection before the first answer.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::judge::{Breach, CallOutcome};
use crate::client::Reply;

/// Sends requests at once on a new connection. Returns the answers, at most `count`, and the outcome of the requests
/// without one; each answer has to arrive within `limit` of the one before it.
pub(super) async fn send_at_once(
    addr: SocketAddr,
    requests: &str,
    count: usize,
    limit: Duration,
) -> (Vec<Reply>, CallOutcome) {
    let mut replies = Vec::new();
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return (replies, CallOutcome::Cut);
    };
    // A connection that is closed meanwhile shows when answers are read.
    let _ = stream.write_all(requests.as_bytes()).await;
    let mut bytes = Vec::new();
    while replies.len() < count {
        let read = async {
            loop {
                if let Some(reply) = parse(&mut bytes) {
                    return Some(reply);
                }
                if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                    return None;
                }
            }
        };
        match timeout(limit, read).await {
            Ok(Some(reply)) => replies.push(reply),
            Ok(None) => break,
            Err(_) => return (replies, CallOutcome::GivenUp),
        }
    }
    (replies, CallOutcome::Cut)
}

/// Removes an answer with `content-length`, as nodes send them, if it is complete.
fn parse(bytes: &mut Vec<u8>) -> Option<Reply> {
    let head_bytes = bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_bytes]);
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let read = |(name, value): (&str, &str)| Some((name.parse().ok()?, value.trim().parse().ok()?));
    let headers: HeaderMap = lines.filter_map(read).collect::<Vec<(HeaderName, HeaderValue)>>().into_iter().collect();
    let length = headers.get("content-length").and_then(|value| value.to_str().ok()?.parse().ok()).unwrap_or(0);
    let body = bytes.get(head_bytes..head_bytes + length)?.to_vec().into();
    bytes.drain(..head_bytes + length);
    Some(Reply { status, headers, body })
}

/// Checks that an answer on a connection has the id of the request whose turn it is.
pub(super) fn check_order(id: &str, reply: &Reply) -> Option<Breach> {
    let answered = reply.header("x-request-id");
    (!answered.is_empty() && answered != id).then(|| Breach {
        guarantee: "pipelined answers come in the order of their requests",
        subject: id.to_owned(),
        detail: format!("the answer {} has the id {answered}", reply.status),
    })
}
