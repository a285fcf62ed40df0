//! Stand-in of the platform's store: the etcd v3 JSON gateway's range, put, txn, deleterange, lease and watch, kept in
//! memory.
//!
//! `POST /_fault` sets the faults: `down=1`, `slow_ms=N`, `lose=N` (the next N writes take effect, and their answers
//! are lost) and `fail=N` (the next N writes fail without effect or answer); faults that aren't given end.
//! `GET /_counts` returns the number of calls so far.
//!
//! `POST /_copy` copies the whole contents of the store. `POST /_return?away_ms=N` makes the store unavailable, closes
//! its connections, and restores that copy after N milliseconds; `history=N` changes the cluster id, `leases=0` drops
//! all leases, and `connections=kept` keeps the connections open, as a proxy before the store may do with idle ones.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};

use crate::web::{self, Answer, answer};
use restore::{Copy, Restore};

mod restore;

/// Maximum size of a value.
const VALUE_MAX_BYTES: usize = 1_048_576;
/// Number of events kept for watches that start in the past.
const EVENTS_KEPT: usize = 10_000;

#[derive(Clone)]
struct Entry {
    value: Vec<u8>,
    create_revision: u64,
    mod_revision: u64,
    version: u64,
    lease: u64,
}

#[derive(Default)]
struct Faults {
    down: bool,
    slow: Duration,
    lose: u64,
    fail: u64,
}

#[derive(Default)]
struct Counts {
    reads: u64,
    writes: u64,
    watches: u64,
    leases: u64,
}

struct Watcher {
    key: Vec<u8>,
    end: Vec<u8>,
    lines: mpsc::Sender<Bytes>,
}

#[derive(Default)]
struct State {
    /// Number of the history; the header of each answer contains it, plus one, as the cluster id.
    history: u64,
    copy: Option<Copy>,
    revision: u64,
    entries: BTreeMap<Vec<u8>, Entry>,
    events: Vec<(u64, Vec<u8>, Value)>,
    watchers: Vec<Watcher>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    faults: Faults,
    counts: Counts,
}

type Shared = Arc<Mutex<State>>;

/// Serves the store until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn run(addr: SocketAddr) -> std::io::Result<()> {
    let state = Shared::default();
    let restores = Arc::new(Notify::new());
    loop {
        let handler = (state.clone(), restores.clone());
        let listener = restore::bind(addr).await?;
        let serving = web::serve_on(listener, Duration::ZERO, move |request| {
            let (state, restores) = handler.clone();
            handle(state, restores, request)
        });
        tokio::select! {
            () = serving => {}
            // Dropping the serving future closes the port and all connections.
            () = restores.notified() => {}
        }
        restore::wait(&state).await;
    }
}

async fn handle(state: Shared, restores: Arc<Notify>, request: Request<Incoming>) -> Answer {
    let query = web::query(request.uri());
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await?.to_bytes();
    match path.as_str() {
        "/_fault" => {
            let mut state = state.lock().map_err(|_| "poisoned")?;
            let number = |key| web::number(&query, key).unwrap_or(0);
            state.faults = Faults {
                down: number("down") > 0,
                slow: Duration::from_millis(number("slow_ms")),
                lose: number("lose"),
                fail: number("fail"),
            };
            if state.faults.down {
                state.watchers.clear();
            }
            return Ok(answer(200, ""));
        }
        "/_counts" => {
            let state = state.lock().map_err(|_| "poisoned")?;
            let Counts { reads, writes, watches, leases } = &state.counts;
            let counts = json!({ "reads": reads, "writes": writes, "watches": watches, "leases": leases });
            return Ok(answer(200, counts.to_string()));
        }
        "/_copy" => {
            let mut state = state.lock().map_err(|_| "poisoned")?;
            state.copy = Some(Copy::of(&state));
            return Ok(answer(200, ""));
        }
        "/_return" => {
            Restore::of(&query).begin(&state, restores)?;
            return Ok(answer(200, ""));
        }
        _ => {}
    }
    let slow = {
        let state = state.lock().map_err(|_| "poisoned")?;
        if state.faults.down {
            return Err("down".into());
        }
        state.faults.slow
    };
    tokio::time::sleep(slow).await;
    let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    if path == "/v3/watch" {
        return watch(&state, &body);
    }
    let mut state = state.lock().map_err(|_| "poisoned")?;
    state.expire();
    let write = matches!(path.as_str(), "/v3/kv/put" | "/v3/kv/txn" | "/v3/kv/deleterange");
    if write && state.faults.fail > 0 {
        state.faults.fail -= 1;
        return Err("write failed".into());
    }
    let reply = match path.as_str() {
        "/v3/kv/range" => {
            state.counts.reads += 1;
            state.range(&body)
        }
        "/v3/kv/put" => {
            state.counts.writes += 1;
            state.put(&body)
        }
        "/v3/kv/deleterange" => {
            state.counts.writes += 1;
            state.delete(&body)
        }
        "/v3/kv/txn" => {
            state.counts.writes += 1;
            state.txn(&body)
        }
        "/v3/lease/grant" => {
            state.counts.leases += 1;
            Ok(state.grant(&body))
        }
        "/v3/lease/keepalive" => {
            state.counts.leases += 1;
            Ok(state.keep_alive(&body))
        }
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => {
            state.counts.leases += 1;
            let lease = int(&body["ID"]);
            state.drop_lease(lease);
            Ok(json!({ "header": state.header() }))
        }
        _ => return Ok(answer(404, "{}")),
    };
    if write && state.faults.lose > 0 {
        state.faults.lose -= 1;
        return Err("answer lost".into());
    }
    match reply {
        Ok(reply) => Ok(answer(200, reply.to_string())),
        Err(text) => Ok(answer(400, json!({ "error": text }).to_string())),
    }
}

fn watch(state: &Shared, body: &Value) -> Answer {
    let request = &body["create_request"];
    let key = bytes(&request["key"]).ok_or("no key")?;
    let end = bytes(&request["range_end"]).unwrap_or_default();
    let start = int(&request["start_revision"]);
    let (lines, receiver) = mpsc::channel::<Bytes>(1_024);
    {
        let mut state = state.lock().map_err(|_| "poisoned")?;
        state.counts.watches += 1;
        let created = json!({ "result": { "header": state.header(), "created": true } });
        let _ = lines.try_send(line(&created));
        if start > 0 {
            for (revision, changed, event) in &state.events {
                if *revision >= start && covers(&key, &end, changed) {
                    let _ = lines.try_send(line(&json!({ "result": { "events": [event] } })));
                }
            }
        }
        state.watchers.push(Watcher { key, end, lines });
    }
    // Once the watcher is dropped, the stream ends with an error, as when an etcd member fails.
    let frames = stream::unfold(Some(receiver), |receiver| async {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(line) => Some((Ok(Frame::data(line)), Some(receiver))),
            None => Some((Err(web::Abort::from("watch ended")), None)),
        }
    });
    let body = StreamBody::new(frames).boxed_unsync();
    Ok(Response::new(body))
}

fn line(message: &Value) -> Bytes {
    Bytes::from(format!("{message}\n"))
}

fn covers(key: &[u8], end: &[u8], changed: &[u8]) -> bool {
    if end.is_empty() { key == changed } else { key <= changed && (end == [0] || changed < end) }
}

fn bytes(value: &Value) -> Option<Vec<u8>> {
    STANDARD.decode(value.as_str()?).ok()
}

/// Reads an int64, which the gateway accepts as a string or a number.
fn int(value: &Value) -> u64 {
    value.as_u64().or_else(|| value.as_str()?.parse().ok()).unwrap_or(0)
}

fn kv(key: &[u8], entry: &Entry) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&entry.value),
        "create_revision": entry.create_revision.to_string(),
        "mod_revision": entry.mod_revision.to_string(),
        "version": entry.version.to_string(),
        "lease": entry.lease.to_string(),
    })
}

impl State {
    fn header(&self) -> Value {
        let history = (self.history + 1).to_string();
        json!({ "cluster_id": history, "member_id": "1", "revision": self.revision.to_string(), "raft_term": "1" })
    }

    fn range(&self, body: &Value) -> Result<Value, String> {
        let key = bytes(&body["key"]).ok_or("no key")?;
        let end = bytes(&body["range_end"]).unwrap_or_default();
        let limit = match int(&body["limit"]) {
            0 => usize::MAX,
            limit => limit as usize,
        };
        let rows: Vec<Value> = self
            .entries
            .iter()
            .filter(|(name, _)| covers(&key, &end, name))
            .take(limit)
            .map(|(name, entry)| kv(name, entry))
            .collect();
        Ok(json!({ "header": self.header(), "count": rows.len().to_string(), "kvs": rows }))
    }

    fn put(&mut self, body: &Value) -> Result<Value, String> {
        let key = bytes(&body["key"]).ok_or("no key")?;
        let value = bytes(&body["value"]).unwrap_or_default();
        if value.len() > VALUE_MAX_BYTES {
            return Err("value is too large".into());
        }
        let lease = int(&body["lease"]);
        if lease > 0 && !self.leases.contains_key(&lease) {
            return Err("lease not found".into());
        }
        self.revision += 1;
        let revision = self.revision;
        let existing = self.entries.get(&key);
        let entry = Entry {
            value,
            create_revision: existing.map_or(revision, |existing| existing.create_revision),
            mod_revision: revision,
            version: existing.map_or(1, |existing| existing.version + 1),
            lease,
        };
        let event = json!({ "type": "PUT", "kv": kv(&key, &entry) });
        self.entries.insert(key.clone(), entry);
        self.notify_watchers(key, event);
        Ok(json!({ "header": self.header() }))
    }

    fn delete(&mut self, body: &Value) -> Result<Value, String> {
        let key = bytes(&body["key"]).ok_or("no key")?;
        let end = bytes(&body["range_end"]).unwrap_or_default();
        let removed_keys: Vec<Vec<u8>> = self.entries.keys().filter(|name| covers(&key, &end, name)).cloned().collect();
        for name in &removed_keys {
            self.remove(name);
        }
        Ok(json!({ "header": self.header(), "deleted": removed_keys.len().to_string() }))
    }

    fn remove(&mut self, key: &[u8]) {
        self.entries.remove(key);
        self.revision += 1;
        let revision = self.revision.to_string();
        let kv = json!({ "key": STANDARD.encode(key), "mod_revision": revision });
        self.notify_watchers(key.to_vec(), json!({ "type": "DELETE", "kv": kv }));
    }

    fn notify_watchers(&mut self, key: Vec<u8>, event: Value) {
        let message = line(&json!({ "result": { "header": self.header(), "events": [event] } }));
        self.watchers.retain(|watcher| {
            !covers(&watcher.key, &watcher.end, &key) || watcher.lines.try_send(message.clone()).is_ok()
        });
        self.events.push((self.revision, key, event));
        if self.events.len() > EVENTS_KEPT {
            self.events.remove(0);
        }
    }

    fn txn(&mut self, body: &Value) -> Result<Value, String> {
        let none = Vec::new();
        let compares = body["compare"].as_array().unwrap_or(&none);
        let succeeded = compares.iter().all(|compare| self.holds(compare));
        let branch = if succeeded { &body["success"] } else { &body["failure"] };
        let mut responses = Vec::new();
        for op in branch.as_array().unwrap_or(&none) {
            let response = match () {
                () if op.get("request_put").is_some() => json!({ "response_put": self.put(&op["request_put"])? }),
                () if op.get("request_range").is_some() => {
                    json!({ "response_range": self.range(&op["request_range"])? })
                }
                () => json!({ "response_delete_range": self.delete(&op["request_delete_range"])? }),
            };
            responses.push(response);
        }
        Ok(json!({ "header": self.header(), "succeeded": succeeded, "responses": responses }))
    }

    fn holds(&self, compare: &Value) -> bool {
        let Some(key) = bytes(&compare["key"]) else {
            return false;
        };
        let entry = self.entries.get(&key);
        let (found, wanted) = match compare["target"].as_str().unwrap_or("VERSION") {
            "MOD" => (entry.map_or(0, |entry| entry.mod_revision), int(&compare["mod_revision"])),
            "CREATE" => (entry.map_or(0, |entry| entry.create_revision), int(&compare["create_revision"])),
            "VERSION" => (entry.map_or(0, |entry| entry.version), int(&compare["version"])),
            _ => return entry.is_some_and(|entry| Some(&entry.value) == bytes(&compare["value"]).as_ref()),
        };
        match compare["result"].as_str().unwrap_or("EQUAL") {
            "GREATER" => found > wanted,
            "LESS" => found < wanted,
            "NOT_EQUAL" => found != wanted,
            _ => found == wanted,
        }
    }

    fn grant(&mut self, body: &Value) -> Value {
        let id = match int(&body["ID"]) {
            0 => {
                self.next_lease += 1;
                self.next_lease
            }
            id => id,
        };
        let ttl_s = int(&body["TTL"]).max(1);
        let ttl = Duration::from_secs(ttl_s);
        self.leases.insert(id, (Instant::now() + ttl, ttl));
        json!({ "header": self.header(), "ID": id.to_string(), "TTL": ttl_s.to_string() })
    }

    fn keep_alive(&mut self, body: &Value) -> Value {
        let id = int(&body["ID"]);
        let mut left_s = 0;
        if let Some((until, ttl)) = self.leases.get_mut(&id) {
            *until = Instant::now() + *ttl;
            left_s = ttl.as_secs();
        }
        json!({ "result": { "header": self.header(), "ID": id.to_string(), "TTL": left_s.to_string() } })
    }

    fn drop_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = |(_, entry): &(&Vec<u8>, &Entry)| entry.lease == lease;
        let removed_keys: Vec<Vec<u8>> = self.entries.iter().filter(held).map(|(key, _)| key.clone()).collect();
        for key in removed_keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.drop_lease(lease);
        }
    }
}
