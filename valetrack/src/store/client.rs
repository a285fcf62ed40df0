//! The store's published JSON gateway over HTTP.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, mpsc};
use tokio::time::timeout;

use super::message::{Found, HistoryName, Store, StoreError, Versioned, WatchNews, Written};
use super::position::{Era, Position};

/// Largest answer that is read, in bytes: a value of a megabyte in base64 with room to spare.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Longest line of a watch, in bytes.
const LINE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// A store behind the JSON gateway at one address.
///
/// The gateway counts no returns from a copy, so the client counts its connections as eras: whatever was answered over one
/// connection is of one history. Calls go over it one after the other, and a compare-and-swap whose expected position
/// was read over an earlier one is not sent, since its revision may have been given out again.
pub struct HttpStore {
    addr: SocketAddr,
    limit: Duration,
    connection: Mutex<Connection>,
    /// Whether the connection is to be given up before the next call.
    is_over: AtomicBool,
}

/// The connection that calls go over, and how many there were.
#[derive(Default)]
struct Connection {
    era: Era,
    sender: Option<SendRequest<Full<Bytes>>>,
}

/// An answer that arrived whole.
struct Answer {
    era: Era,
    body: Value,
}

enum CallError {
    /// Nothing was sent.
    Unsent(String),
    /// Nothing was sent, since the connection of the era that it belongs to has ended.
    EraOver,
    /// Something was sent, and no whole answer came.
    Unanswered(String),
    /// An answer came that is no success.
    Status(String),
}

impl HttpStore {
    /// Makes a client; it connects when it is first asked. No call takes longer than `limit`.
    pub fn new(addr: SocketAddr, limit: Duration) -> Self {
        Self { addr, limit, connection: Mutex::default(), is_over: AtomicBool::new(false) }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let unsent = |error: &dyn std::fmt::Display| CallError::Unsent(error.to_string());
        let stream = TcpStream::connect(self.addr).await.map_err(|error| unsent(&error))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(|error| unsent(&error))?;
        // The task ends by itself with the connection, which ends with its sender.
        tokio::spawn(connection);
        Ok(sender)
    }

    fn request(&self, path: &str, body: &Value) -> Result<Request<Full<Bytes>>, CallError> {
        Request::post(path)
            .header("host", self.addr.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| CallError::Unsent(error.to_string()))
    }

    /// Takes the sender out of the connection, a new one where the last has ended; whoever is cancelled meanwhile has
    /// ended the era.
    async fn sender(&self, connection: &mut Connection) -> Result<SendRequest<Full<Bytes>>, CallError> {
        let last = connection.sender.take();
        let is_over = self.is_over.swap(false, Ordering::Relaxed);
        if let Some(mut sender) = last
            && !is_over
            && sender.ready().await.is_ok()
        {
            return Ok(sender);
        }
        let sender = self.connect().await?;
        connection.era = connection.era.next();
        Ok(sender)
    }

    /// Makes a call; one that names an era is only sent over the connection of that era.
    async fn call(&self, path: &str, body: Value, only_in: Option<Era>) -> Result<Answer, CallError> {
        let exchange = async {
            let mut connection = self.connection.lock().await;
            let mut sender = self.sender(&mut connection).await?;
            let era = connection.era;
            if only_in.is_some_and(|only_in| only_in != era) {
                connection.sender = Some(sender);
                return Err(CallError::EraOver);
            }
            let answer = sender.send_request(self.request(path, &body)?).await;
            let answer = answer.map_err(|error| CallError::Unanswered(error.to_string()))?;
            let status = answer.status();
            let collected = Limited::new(answer.into_body(), ANSWER_MAX_BYTES).collect().await;
            let bytes = collected.map_err(|error| CallError::Unanswered(error.to_string()))?.to_bytes();
            if !status.is_success() {
                // A store that is on its way out or back may answer so; its next words are not taken for the same's.
                return Err(CallError::Status(status.to_string()));
            }
            connection.sender = Some(sender);
            let body = serde_json::from_slice(&bytes).map_err(|error| CallError::Unanswered(error.to_string()))?;
            Ok(Answer { era, body })
        };
        let ended = timeout(self.limit, exchange).await;
        ended.unwrap_or_else(|_| Err(CallError::Unanswered("time limit".into())))
    }

    async fn read_once(&self, key: &str) -> Result<Found, StoreError> {
        let answer = self.call("/v3/kv/range", json!({ "key": STANDARD.encode(key) }), None).await;
        let Answer { era, body } = answer.map_err(read_error)?;
        let header = Header::parse(&body);
        let revision = header.revision.ok_or(StoreError::Invalid { reason: "answer has no revision".into() })?;
        let row = body.get("kvs").and_then(Value::as_array).and_then(|rows| rows.first());
        let value = row.map(|row| parse_kv(row, era)).transpose()?;
        Ok(Found { at: Position::new(era, revision), history: header.history, value })
    }

    async fn swap_once(&self, key: &str, expected: Option<Position>, value: Vec<u8>) -> Result<Written, StoreError> {
        let key = STANDARD.encode(key);
        let revision = expected.map_or(0, Position::wire_revision);
        let body = json!({
            "compare": [{ "key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision.to_string() }],
            "success": [{ "request_put": { "key": key, "value": STANDARD.encode(value) } }],
        });
        let Answer { era, body } = match self.call("/v3/kv/txn", body, expected.map(Position::era)).await {
            Err(CallError::EraOver) => return Ok(Written::Refused),
            answer => answer.map_err(write_error)?,
        };
        if !body.get("succeeded").and_then(Value::as_bool).unwrap_or(false) {
            return Ok(Written::Refused);
        }
        // The write took effect; an answer without its revision is as good as lost.
        let reason = "answer to a write has no revision".to_owned();
        let revision = Header::parse(&body).revision.ok_or(StoreError::Lost { reason })?;
        Ok(Written::At(Position::new(era, revision)))
    }

    async fn watch_once(&self, key: &str, from_revision: u64, news: mpsc::Sender<WatchNews>) -> Result<(), StoreError> {
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
        let answer = opened.unwrap_or_else(|_| Err(CallError::Unanswered("time limit".into()))).map_err(read_error)?;
        let mut lines = Vec::new();
        let mut stream = answer.into_body();
        while let Some(frame) = stream.frame().await {
            let frame = frame.map_err(|error| StoreError::Unreachable { reason: error.to_string() })?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            lines.extend_from_slice(data);
            if lines.len() > LINE_MAX_BYTES {
                return Err(StoreError::Invalid { reason: "line of a watch is too long".into() });
            }
            if !pass_on(&mut lines, from_revision, &news).await? {
                return Ok(());
            }
        }
        Ok(())
    }
}

impl Store for HttpStore {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Found, StoreError>> {
        Box::pin(self.read_once(key))
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: Option<Position>,
        value: Vec<u8>,
    ) -> BoxFuture<'a, Result<Written, StoreError>> {
        Box::pin(self.swap_once(key, expected, value))
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        from_revision: u64,
        news: mpsc::Sender<WatchNews>,
    ) -> BoxFuture<'a, Result<(), StoreError>> {
        Box::pin(self.watch_once(key, from_revision, news))
    }

    fn end_era(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    fn has_lost_contact(&self) -> bool {
        // Whoever holds the lock is in the middle of a call and will find out.
        self.connection.try_lock().is_ok_and(|connection| match &connection.sender {
            Some(sender) => sender.is_closed() || self.is_over.load(Ordering::Relaxed),
            None => true,
        })
    }
}

/// What every answer of the gateway begins with.
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

/// Takes whole lines off the buffer; returns whether anybody still listens.
async fn pass_on(lines: &mut Vec<u8>, from_revision: u64, news: &mpsc::Sender<WatchNews>) -> Result<bool, StoreError> {
    while let Some(end) = lines.iter().position(|&byte| byte == b'\n') {
        let line: Vec<u8> = lines.drain(..=end).collect();
        let message: Value = serde_json::from_slice(&line).map_err(|error| invalid(&error))?;
        let none = Vec::new();
        let empty = Value::Null;
        let result = message.get("result").unwrap_or(&empty);
        let created = result.get("created").and_then(Value::as_bool).unwrap_or(false);
        if created && Header::parse(result).revision.is_some_and(|revision| revision + 1 < from_revision) {
            // The store has come back from before that revision: what is given out again up to it would be missed.
            return Err(StoreError::HistoryGone);
        }
        let events = result.get("events").and_then(Value::as_array).unwrap_or(&none);
        for event in events {
            let deleted = event.get("type").and_then(Value::as_str) == Some("DELETE");
            let value = match event.get("kv") {
                // No call goes over the connection of a watch, so its positions are of no era of the client's.
                Some(kv) if !deleted => Some(parse_kv(kv, Era::default())?),
                Some(_) | None => None,
            };
            if news.send(WatchNews { value }).await.is_err() {
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

/// Reads a whole number, which the gateway writes as a string.
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
        CallError::Unsent(reason) | CallError::Unanswered(reason) | CallError::Status(reason) => {
            StoreError::Unreachable { reason }
        }
        CallError::EraOver => StoreError::HistoryGone,
    }
}

fn write_error(error: CallError) -> StoreError {
    match error {
        CallError::Unsent(reason) => StoreError::Unreachable { reason },
        CallError::EraOver => StoreError::HistoryGone,
        // A gateway may fail after its cluster has taken the write, so a status says nothing.
        CallError::Unanswered(reason) | CallError::Status(reason) => StoreError::Lost { reason },
    }
}
