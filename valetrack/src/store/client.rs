//! HTTP client of the store's public JSON gateway.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, mpsc};
use tokio::time::timeout;

use super::body::read_body;
use super::message::{HistoryName, ReadResult, Store, StoreError, SwapOutcome, Versioned, WatchUpdate};
use super::position::{Era, Position};

/// Largest answer that the client reads. A value of one megabyte fits in base64 with room to spare.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Longest line of a watch that the client reads.
const LINE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// A store behind the JSON gateway at one address.
///
/// The gateway doesn't count store rollbacks, so the client uses the number of its connections as the era: all answers
/// over one connection come from the same history. Calls are sent over the connection one at a time. A compare-and-swap
/// whose expected position was read over an earlier connection is not sent, because a rolled-back store may have reused
/// the revision.
pub struct HttpStore {
    addr: SocketAddr,
    limit: Duration,
    connection: Mutex<Connection>,
    /// Whether the connection must be replaced before the next call.
    must_reconnect: AtomicBool,
}

/// The connection in use, and the number of connections so far as the era.
#[derive(Default)]
struct Connection {
    era: Era,
    sender: Option<SendRequest<Full<Bytes>>>,
}

/// A complete answer, with the era of the connection that it arrived over.
struct Answer {
    era: Era,
    body: Value,
}

enum CallError {
    /// The request was not sent.
    NotSent(String),
    /// The request was not sent, because the connection of its era has ended.
    EraEnded,
    /// The request was sent, and no complete answer arrived.
    Unanswered(String),
    /// The answer has a status other than success.
    Status(String),
}

impl HttpStore {
    /// Creates a client that connects on its first call. The answer to a call has to begin within `limit`, and no pause
    /// between two parts of it may be longer.
    pub fn new(addr: SocketAddr, limit: Duration) -> Self {
        Self { addr, limit, connection: Mutex::default(), must_reconnect: AtomicBool::new(false) }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let not_sent = |error: &dyn std::fmt::Display| CallError::NotSent(error.to_string());
        let stream = TcpStream::connect(self.addr).await.map_err(|error| not_sent(&error))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(|error| not_sent(&error))?;
        // The task ends when the connection ends, and the connection ends when its sender is dropped.
        tokio::spawn(connection);
        Ok(sender)
    }

    fn request(&self, path: &str, body: &Value) -> Result<Request<Full<Bytes>>, CallError> {
        Request::post(path)
            .header("host", self.addr.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| CallError::NotSent(error.to_string()))
    }

    /// Moves the sender out of the connection, or reconnects if the last connection has ended. A call that is
    /// cancelled in the meantime drops the sender, which ends the era.
    async fn sender(&self, connection: &mut Connection) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let last = connection.sender.take();
        let must_reconnect = self.must_reconnect.swap(false, Ordering::Relaxed);
        if let Some(mut sender) = last
            && !must_reconnect
            && sender.ready().await.is_ok()
        {
            return Ok(sender);
        }
        let sender = self.connect().await?;
        connection.era = connection.era.next();
        Ok(sender)
    }

    /// Sends a request. If `required_era` is set, the request is sent only over the connection of that era.
    async fn call(&self, path: &str, body: Value, required_era: Option<Era>) -> Result<Answer, CallError> {
        let exchange = async {
            let mut connection = self.connection.lock().await;
            let mut sender = self.sender(&mut connection).await?;
            let era = connection.era;
            if required_era.is_some_and(|required_era| required_era != era) {
                connection.sender = Some(sender);
                return Err(CallError::EraEnded);
            }
            let answer = sender.send_request(self.request(path, &body)?).await;
            let answer = answer.map_err(|error| CallError::Unanswered(error.to_string()))?;
            Ok((connection, sender, answer))
        };
        let (mut connection, sender, answer) =
            timeout(self.limit, exchange).await.unwrap_or_else(|_| Err(timed_out()))?;
        let status = answer.status();
        let read = read_body(answer.into_body(), ANSWER_MAX_BYTES, self.limit).await;
        let bytes = read.map_err(|error| CallError::Unanswered(error.to_string()))?;
        if !status.is_success() {
            // A store that is shutting down or starting up may answer with an error status. The connection is dropped, so
            // that later answers count as a new era.
            return Err(CallError::Status(status.to_string()));
        }
        let era = connection.era;
        connection.sender = Some(sender);
        let body = serde_json::from_slice(&bytes).map_err(|error| CallError::Unanswered(error.to_string()))?;
        Ok(Answer { era, body })
    }

    async fn read_once(&self, key: &str) -> Result<ReadResult, StoreError> {
        let answer = self.call("/v3/kv/range", json!({ "key": STANDARD.encode(key) }), None).await;
        let Answer { era, body } = answer.map_err(read_error)?;
        let header = Header::parse(&body);
        let revision = header.revision.ok_or(StoreError::Invalid { reason: "answer has no revision".into() })?;
        let row = body.get("kvs").and_then(Value::as_array).and_then(|rows| rows.first());
        let value = row.map(|row| parse_kv(row, era)).transpose()?;
        Ok(ReadResult { at: Position::new(era, revision), history: header.history, value })
    }

    async fn swap_once(
        &self,
        key: &str,
        expected: Option<Position>,
        value: Vec<u8>,
    ) -> Result<SwapOutcome, StoreError> {
        let key = STANDARD.encode(key);
        let revision = expected.map_or(0, Position::wire_revision);
        let body = json!({
            "compare": [{ "key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision.to_string() }],
            "success": [{ "request_put": { "key": key, "value": STANDARD.encode(value) } }],
        });
        let Answer { era, body } = match self.call("/v3/kv/txn", body, expected.map(Position::era)).await {
            Err(CallError::EraEnded) => return Ok(SwapOutcome::Refused),
            answer => answer.map_err(write_error)?,
        };
        if !body.get("succeeded").and_then(Value::as_bool).unwrap_or(false) {
            return Ok(SwapOutcome::Refused);
        }
        // The write took effect, but without its revision the outcome is treated as unknown.
        let reason = "answer to the write has no revision".to_owned();
        let revision = Header::parse(&body).revision.ok_or(StoreError::Lost { reason })?;
        Ok(SwapOutcome::At(Position::new(era, revision)))
    }

    async fn watch_once(
        &self,
        key: &str,
        from_revision: u64,
        updates: mpsc::Sender<WatchUpdate>,
    ) -> Result<(), StoreError> {
        let body = json!({ "create_request": {
            "key": STANDARD.encode(key),
            "start_revision": from_revision.to_string(),
        }});
        let open = async {
            let mut sender = self.connect().await?;
            let answer = sender.send_request(self.request("/v3/watch", &body)?).await;
            answer.map_err(|error| CallError::Unanswered(error.to_string()))
        };
        let opened = timeout(self.limit, open).await;
        let answer = opened.unwrap_or_else(|_| Err(timed_out())).map_err(read_error)?;
        let mut lines = Vec::new();
        let mut stream = answer.into_body();
        while let Some(frame) = stream.frame().await {
            let frame = frame.map_err(|error| StoreError::Unreachable { reason: error.to_string() })?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            lines.extend_from_slice(data);
            if lines.len() > LINE_MAX_BYTES {
                return Err(StoreError::Invalid { reason: "line of the watch is too long".into() });
            }
            if !forward_changes(&mut lines, from_revision, &updates).await? {
                return Ok(());
            }
        }
        Ok(())
    }
}

impl Store for HttpStore {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<ReadResult, StoreError>> {
        Box::pin(self.read_once(key))
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Option<Position>,
        value: Vec<u8>,
    ) -> BoxFuture<'a, Result<SwapOutcome, StoreError>> {
        Box::pin(self.swap_once(key, expected, value))
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        from_revision: u64,
        updates: mpsc::Sender<WatchUpdate>,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(self.watch_once(key, from_revision, updates))
    }

    fn end_era(&self) {
        self.must_reconnect.store(true, Ordering::Relaxed);
    }

    fn has_lost_contact(&self) -> bool {
        // If the lock is held, a call is in progress and will find out by itself.
        self.connection.try_lock().is_ok_and(|connection| match &connection.sender {
            Some(sender) => sender.is_closed() || self.must_reconnect.load(Ordering::Relaxed),
            None => true,
        })
    }
}

fn timed_out() -> CallError {
    CallError::Unanswered("call timed out".into())
}

/// Header of every answer of the gateway.
struct Header {
    revision: Option<u64>,
    history: Option<HistoryName>,
}

impl Header {
    fn parse(body: &Value) -> Self {
        let field = |name: &str| parse_int(body.get("header").and_then(|header| header.get(name)));
        Self { revision: field("revision"), history: field("cluster_id").map(HistoryName) }
    }
}

/// Parses the complete lines in the buffer and forwards their changes. Returns whether the receiver is still open.
async fn forward_changes(
    lines: &mut Vec<u8>,
    from_revision: u64,
    updates: &mpsc::Sender<WatchUpdate>,
) -> Result<bool, StoreError> {
    while let Some(end) = lines.iter().position(|&byte| byte == b'\n') {
        let line: Vec<u8> = lines.drain(..=end).collect();
        let message: Value = serde_json::from_slice(&line).map_err(|error| invalid(&error))?;
        let none = Vec::new();
        let empty = Value::Null;
        let result = message.get("result").unwrap_or(&empty);
        let created = result.get("created").and_then(Value::as_bool).unwrap_or(false);
        if created && Header::parse(result).revision.is_some_and(|revision| revision + 1 < from_revision) {
            // The store was rolled back to before that revision, and the watch would miss the revisions that it reuses.
            return Err(StoreError::HistoryGone);
        }
        let events = result.get("events").and_then(Value::as_array).unwrap_or(&none);
        for event in events {
            let deleted = event.get("type").and_then(Value::as_str) == Some("DELETE");
            let value = match event.get("kv") {
                // No call is sent over the connection of a watch, so its positions belong to none of the client's eras.
                Some(kv) if !deleted => Some(parse_kv(kv, Era::default())?),
                Some(_) | None => None,
            };
            if updates.send(WatchUpdate { value }).await.is_err() {
                return Ok(false);
            }
        }
    }
    Ok(true)
}

fn parse_kv(kv: &Value, era: Era) -> Result<Versioned, StoreError> {
    let text = |name: &str| -> Result<Vec<u8>, StoreError> {
        let encoded = kv.get(name).and_then(Value::as_str).unwrap_or("");
        STANDARD.decode(encoded).map_err(|error| invalid(&error))
    };
    let key = String::from_utf8(text("key")?).map_err(|error| invalid(&error))?;
    let revision = parse_int(kv.get("mod_revision"));
    let revision = revision.ok_or(StoreError::Invalid { reason: "value has no revision".into() })?;
    Ok(Versioned { key, value: text("value")?, position: Position::new(era, revision) })
}

/// Parses an integer, which the gateway writes as a string.
fn parse_int(value: Option<&Value>) -> Option<u64> {
    match value? {
        Value::String(text) => text.parse().ok(),
        Value::Number(number) => number.as_u64(),
        _ => None,
    }
}

fn invalid(error: &dyn std::fmt::Display) -> StoreError {
    StoreError::Invalid { reason: error.to_string() }
}

fn read_error(error: CallError) -> StoreError {
    match error {
        CallError::NotSent(reason) | CallError::Unanswered(reason) | CallError::Status(reason) => {
            StoreError::Unreachable { reason }
        }
        CallError::EraEnded => StoreError::HistoryGone,
    }
}

fn write_error(error: CallError) -> StoreError {
    match error {
        CallError::NotSent(reason) => StoreError::Unreachable { reason },
        CallError::EraEnded => StoreError::HistoryGone,
        // A gateway may fail after its cluster has accepted the write, so the status doesn't show whether the write
        // took effect.
        CallError::Unanswered(reason) | CallError::Status(reason) => StoreError::Lost { reason },
    }
}
