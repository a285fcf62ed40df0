//! The store's published JSON gateway over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, mpsc};
use tokio::time::timeout;

use super::message::{Store, StoreError, Versioned, WatchNews, Written};

/// Largest answer that is read, in bytes: a value of a megabyte in base64 with room to spare.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Longest line of a watch, in bytes.
const LINE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// A store behind the JSON gateway at one address.
pub struct HttpStore {
    addr: SocketAddr,
    limit: Duration,
    /// One warm connection; a second caller at the same time opens its own.
    warm: Mutex<Option<SendRequest<Full<Bytes>>>>,
}

enum CallError {
    /// Nothing was sent.
    Unsent(String),
    /// Something was sent, and no whole answer came.
    Unanswered(String),
    /// An answer came that is no success.
    Status(String),
}

impl HttpStore {
    /// Makes a client; it connects when it is first asked. No call takes longer than `limit`.
    pub fn new(addr: SocketAddr, limit: Duration) -> Self {
        Self { addr, limit, warm: Mutex::new(None) }
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

    async fn send(&self, path: &str, body: &Value) -> Result<Response<Incoming>, CallError> {
        let warm = self.warm.lock().await.take().filter(|sender| sender.is_ready());
        let mut sender = match warm {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let request = Request::post(path)
            .header("host", self.addr.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| CallError::Unsent(error.to_string()))?;
        let answer = sender.send_request(request).await;
        let answer = answer.map_err(|error| CallError::Unanswered(error.to_string()))?;
        if path != "/v3/watch" {
            *self.warm.lock().await = Some(sender);
        }
        Ok(answer)
    }

    async fn call(&self, path: &str, body: Value) -> Result<Value, CallError> {
        let exchange = async {
            let answer = self.send(path, &body).await?;
            let status = answer.status();
            let collected = Limited::new(answer.into_body(), ANSWER_MAX_BYTES).collect().await;
            let bytes = collected.map_err(|error| CallError::Unanswered(error.to_string()))?.to_bytes();
            if !status.is_success() {
                return Err(CallError::Status(status.to_string()));
            }
            serde_json::from_slice(&bytes).map_err(|error| CallError::Unanswered(error.to_string()))
        };
        let ended = timeout(self.limit, exchange).await;
        ended.unwrap_or_else(|_| Err(CallError::Unanswered("time limit".into())))
    }

    async fn range(&self, body: Value) -> Result<Vec<Versioned>, StoreError> {
        let answer = self.call("/v3/kv/range", body).await.map_err(read_error)?;
        let none = Vec::new();
        let rows = answer.get("kvs").and_then(Value::as_array).unwrap_or(&none);
        rows.iter().map(parse_kv).collect()
    }

    async fn swap_once(&self, key: &str, expected: u64, value: Vec<u8>) -> Result<Written, StoreError> {
        let key = STANDARD.encode(key);
        let body = json!({
            "compare": [{ "key": key, "target": "MOD", "result": "EQUAL", "mod_revision": expected.to_string() }],
            "success": [{ "request_put": { "key": key, "value": STANDARD.encode(value) } }],
        });
        let answer = self.call("/v3/kv/txn", body).await.map_err(write_error)?;
        if !answer.get("succeeded").and_then(Value::as_bool).unwrap_or(false) {
            return Ok(Written::Refused);
        }
        // The write took effect; an answer without its revision is as good as lost.
        let revision = answer.get("header").and_then(|header| parse_int(header.get("revision")));
        let reason = "answer to a write has no revision".to_owned();
        revision.map(Written::At).ok_or(StoreError::Lost { reason })
    }

    async fn watch_once(&self, key: &str, from_revision: u64, news: mpsc::Sender<WatchNews>) -> Result<(), StoreError> {
        let body = json!({ "create_request": {
            "key": STANDARD.encode(key),
            "start_revision": from_revision.to_string(),
        }});
        let opened = timeout(self.limit, self.send("/v3/watch", &body)).await;
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
            if !pass_on(&mut lines, &news).await? {
                return Ok(());
            }
        }
        Ok(())
    }
}

impl Store for HttpStore {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Versioned>, StoreError>> {
        Box::pin(async move {
            let rows = self.range(json!({ "key": STANDARD.encode(key) })).await?;
            Ok(rows.into_iter().next())
        })
    }

    fn swap<'a>(&'a self, key: &'a str, expected: u64, value: Vec<u8>) -> BoxFuture<'a, Result<Written, StoreError>> {
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
}

/// Takes whole lines off the buffer; returns whether anybody still listens.
async fn pass_on(lines: &mut Vec<u8>, news: &mpsc::Sender<WatchNews>) -> Result<bool, StoreError> {
    while let Some(end) = lines.iter().position(|&byte| byte == b'\n') {
        let line: Vec<u8> = lines.drain(..=end).collect();
        let message: Value = serde_json::from_slice(&line).map_err(|error| invalid(&error))?;
        let none = Vec::new();
        let events = message.pointer("/result/events").and_then(Value::as_array).unwrap_or(&none);
        for event in events {
            let deleted = event.get("type").and_then(Value::as_str) == Some("DELETE");
            let value = match event.get("kv") {
                Some(kv) if !deleted => Some(parse_kv(kv)?),
                Some(_) | None => None,
            };
            if news.send(WatchNews { value }).await.is_err() {
                return Ok(false);
            }
        }
    }
    Ok(true)
}

fn parse_kv(kv: &Value) -> Result<Versioned, StoreError> {
    let text = |name: &str| -> Result<Vec<u8>, StoreError> {
        let encoded = kv.get(name).and_then(Value::as_str).unwrap_or("");
        STANDARD.decode(encoded).map_err(|error| invalid(&error))
    };
    let key = String::from_utf8(text("key")?).map_err(|error| invalid(&error))?;
    let revision = parse_int(kv.get("mod_revision"));
    let revision = revision.ok_or(StoreError::Invalid { reason: "value has no revision".into() })?;
    Ok(Versioned { key, value: text("value")?, revision })
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
    }
}

fn write_error(error: CallError) -> StoreError {
    match error {
        CallError::Unsent(reason) => StoreError::Unreachable { reason },
        // A gateway may fail after its cluster has taken the write, so a status says nothing.
        CallError::Unanswered(reason) | CallError::Status(reason) => StoreError::Lost { reason },
    }
}
