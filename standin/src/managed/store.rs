//! Stand-in of the managed platform's store: items, leases that expire, calls that wait for changes, a history that can
//! be discarded, rollbacks to an older copy, and faults injected by method calls.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::web::{self, Answer, answer};

/// Pause between two checks for expired leases.
const EXPIRY_MS: u64 = 20;
/// Maximum number of items on one page: so few that small tests need several pages.
const PAGE_ITEMS: usize = 4;
/// Maximum age of the state that a read with `allow_stale` is answered from.
const STALE_MS: u64 = 500;
/// Price of a renewal and of a read with `allow_stale`, in tenths of a call.
const DISCOUNTED_TENTHS: u64 = 1;
/// Price of any other call, in tenths of a call.
const CALL_TENTHS: u64 = 10;
/// Maximum number of entries of one transaction, conditions and changes together.
const ENTRIES_MAX: usize = 32;
/// Number of copies kept, one for each change: more than any test rolls back.
const COPIES_MAX: usize = 512;
/// Header of all answers that contains the era.
const ERA: &str = "store-era";

/// How the store handles calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Calls are answered.
    Up,
    /// Every call is refused without effect.
    Refusing,
    /// Calls are accepted and never answered; leases continue to run out.
    Silent,
    /// The connection of every call is cut, without effect.
    Resetting,
    /// Each call takes this many milliseconds longer.
    Slow(u64),
    /// Writes take effect, and their answers are lost.
    LosingAnswers,
    /// Reads with `allow_stale` show the store as it was when this mode was set; every other call is refused.
    StaleReadsOnly,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created_revision: u64,
    lease: u64,
}

/// A change as a watch returns it.
struct Event {
    revision: u64,
    key: String,
    /// The serialized item as it was written, or the removal.
    json: String,
}

/// A snapshot of the items.
struct Snapshot {
    taken: Instant,
    items: BTreeMap<String, Value>,
    revision: u64,
}

/// Copy of the store after a change, for rollbacks.
#[derive(Clone)]
struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Time to live by lease id.
    leases: BTreeMap<u64, Duration>,
    next_lease: u64,
}

struct State {
    mode: Mode,
    /// Number of rollbacks so far, plus one.
    era: u64,
    copies: VecDeque<Copy>,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in the order in which they were written.
    history: Vec<Event>,
    /// Revision up to which the history is discarded.
    discarded_revision: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    calls: u64,
    /// Total price of all calls.
    price_tenths: u64,
    /// Snapshot for reads with `allow_stale`.
    earlier: Option<Snapshot>,
    /// Number of calls to `/api/kv-watch`.
    watch_calls: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct ManagedStore {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

/// Handling of one node's calls, independent of the other nodes.
#[derive(Clone)]
pub struct NodeAccess {
    mode: Arc<Mutex<Mode>>,
    changed: Arc<Notify>,
}

impl NodeAccess {
    /// Sets how the node's calls are handled from now on; waiting calls are cut if the store becomes unavailable to it.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
        self.changed.notify_waiters();
    }

    fn get(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManagedStore {
    fn default() -> Self {
        let state = State {
            mode: Mode::Up,
            era: 1,
            copies: VecDeque::new(),
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            discarded_revision: 0,
            leases: BTreeMap::new(),
            next_lease: 100,
            calls: 0,
            price_tenths: 0,
            earlier: None,
            watch_calls: 0,
        };
        Self { state: Arc::new(Mutex::new(state)), changed: Arc::new(Notify::new()) }
    }
}

impl ManagedStore {
    /// Serves on a free port until the runtime ends; returns the address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(&self) -> std::io::Result<SocketAddr> {
        tokio::spawn(self.clone().expire());
        let (addr, _) = self.serve_node().await?;
        Ok(addr)
    }

    /// Serves one node on a port of its own until the runtime ends; returns the address and the handling of its calls.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn serve_node(&self) -> std::io::Result<(SocketAddr, NodeAccess)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let access = NodeAccess { mode: Arc::new(Mutex::new(Mode::Up)), changed: self.changed.clone() };
        let (store, node_access) = (self.clone(), access.clone());
        let handle = move |request| store.clone().handle(request, node_access.clone());
        tokio::spawn(web::serve_on(listener, Duration::ZERO, handle));
        Ok((addr, access))
    }

    /// Sets how calls are handled from now on; calls that wait are cut if the store becomes unavailable.
    pub fn set_mode(&self, mode: Mode) {
        let mut state = self.lock();
        if mode == Mode::StaleReadsOnly {
            state.earlier = Some(state.present());
        }
        state.mode = mode;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Writes an item as the operator does.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.lock().put(key, STANDARD.encode(value), 0);
        self.changed.notify_waiters();
        revision
    }

    /// Removes all items below a prefix, with or without leases.
    pub fn revoke(&self, prefix: &str) {
        let mut state = self.lock();
        let keys: Vec<String> = state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect();
        for key in keys {
            state.remove(&key);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Makes every lease expire at once.
    pub fn expire_leases(&self) {
        let mut state = self.lock();
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.end_lease(lease);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Discards the history of changes.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.discarded_revision = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Restores the copy that is `changes` changes old, or the oldest one kept: later writes and leases are lost, and
    /// their revisions and lease ids are assigned again.
    pub fn roll_back(&self, changes: usize) {
        let mut state = self.lock();
        let kept = state.copies.len().saturating_sub(changes).max(1);
        state.copies.truncate(kept);
        if let Some(copy) = state.copies.back().cloned() {
            state.restore(copy);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Returns the value of a key as text, if the key exists.
    pub fn text(&self, key: &str) -> Option<String> {
        let value = self.lock().items.get(key).map(|item| item.value.clone())?;
        let bytes = STANDARD.decode(value).unwrap_or_default();
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Returns the keys below a prefix.
    pub fn keys(&self, prefix: &str) -> BTreeSet<String> {
        self.lock().items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns the total price of the calls so far, in calls.
    pub fn price(&self) -> f64 {
        self.lock().price_tenths as f64 / CALL_TENTHS as f64
    }

    /// Returns the number of calls to `/api/kv-watch` so far.
    pub fn watch_calls(&self) -> u64 {
        self.lock().watch_calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn expire(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(EXPIRY_MS)).await;
            let mut state = self.lock();
            let now = Instant::now();
            let expired: Vec<u64> =
                state.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
            if expired.is_empty() {
                continue;
            }
            for lease in expired {
                state.end_lease(lease);
            }
            drop(state);
            self.changed.notify_waiters();
        }
    }

    async fn handle(self, request: Request<Incoming>, access: NodeAccess) -> Answer {
        let mut answer = self.clone().answer(request, access).await?;
        answer.headers_mut().insert(ERA, self.lock().era.into());
        Ok(answer)
    }

    async fn answer(self, request: Request<Incoming>, access: NodeAccess) -> Answer {
        let query = web::query(request.uri());
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let bytes = request.into_body().collect().await?.to_bytes();
        let body: Value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        let mode = {
            let mut state = self.lock();
            state.calls += 1;
            let is_discounted = path.starts_with("/api/kv-keep/") || query.contains_key("allow_stale");
            state.price_tenths += if is_discounted { DISCOUNTED_TENTHS } else { CALL_TENTHS };
            state.watch_calls += u64::from(path == "/api/kv-watch");
            if access.get() == Mode::Up { state.mode } else { access.get() }
        };
        match mode {
            Mode::Refusing => return Ok(answer(503, "{}")),
            Mode::StaleReadsOnly if !query.contains_key("allow_stale") => return Ok(answer(503, "{}")),
            Mode::Silent => std::future::pending::<()>().await,
            Mode::Resetting => return Err("cut".into()),
            Mode::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Mode::Up | Mode::LosingAnswers | Mode::StaleReadsOnly => {}
        }
        if path == "/api/kv-watch" {
            return self.watch(&query, &access).await;
        }
        let (status, reply) = self.lock().call(&method, &path, &query, &body);
        self.changed.notify_waiters();
        if mode == Mode::LosingAnswers && method != Method::GET {
            return Err("answer lost".into());
        }
        Ok(answer(status, reply.to_string()))
    }

    async fn watch(&self, query: &BTreeMap<String, String>, access: &NodeAccess) -> Answer {
        let after = web::number(query, "after").unwrap_or(0);
        let prefix = query.get("path_prefix").cloned().unwrap_or_default();
        let wait = Duration::from_millis(web::number(query, "wait_ms").unwrap_or(0));
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                let unavailable =
                    |mode: Mode| matches!(mode, Mode::Refusing | Mode::Silent | Mode::Resetting | Mode::StaleReadsOnly);
                if unavailable(state.mode) || unavailable(access.get()) {
                    // Calls that wait are cut when the store becomes unavailable.
                    return Err("cut".into());
                }
                if after < state.discarded_revision || after > state.revision {
                    return Ok(answer(410, "{}"));
                }
                let events = state.events(&prefix, after);
                if !events.is_empty() || tokio::time::Instant::now() >= until {
                    let reply = format!(r#"{{"events":[{}],"at_revision":{}}}"#, events.join(","), state.revision);
                    return Ok(answer(200, reply));
                }
            }
            // Either a change or the time limit ends the wait; the loop checks the state for both.
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }
}

impl State {
    fn call(&mut self, method: &Method, path: &str, query: &BTreeMap<String, String>, body: &Value) -> (u16, Value) {
        match (method, path) {
            (&Method::GET, "/api/kv-range") => (200, self.range(query)),
            (&Method::POST, "/api/kv-txn") => self.transact(body),
            (&Method::POST, "/api/kv-lease") => (200, self.grant(body)),
            (&Method::POST, path) if path.starts_with("/api/kv-keep/") => self.keep(last_segment_number(path)),
            (&Method::DELETE, path) if path.starts_with("/api/kv-lease-end/") => {
                self.end_lease(last_segment_number(path));
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created_revision = self.items.get(key).map_or(revision, |item| item.created_revision);
        self.items.insert(key.to_owned(), Item { value, revision, created_revision, lease });
        let event = self.item(key);
        self.record(key, event);
        self.keep_copy();
        revision
    }

    fn keep_copy(&mut self) {
        if self.copies.len() == COPIES_MAX {
            self.copies.pop_front();
        }
        let leases = self.leases.iter().map(|(id, (_, ttl))| (*id, *ttl)).collect();
        let (revision, next_lease) = (self.revision, self.next_lease);
        self.copies.push_back(Copy { revision, items: self.items.clone(), leases, next_lease });
    }

    fn restore(&mut self, copy: Copy) {
        let now = Instant::now();
        self.era += 1;
        self.revision = copy.revision;
        self.items = copy.items;
        self.leases = copy.leases.into_iter().map(|(id, ttl)| (id, (now + ttl, ttl))).collect();
        self.next_lease = copy.next_lease;
        self.history.retain(|event| event.revision <= copy.revision);
        self.discarded_revision = self.discarded_revision.min(copy.revision);
        self.earlier = None;
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({ "key": key, "revision": self.revision, "deleted": true });
            self.record(key, Some(event));
            self.keep_copy();
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = |(_, item): &(&String, &Item)| item.lease == lease;
        let keys: Vec<String> = self.items.iter().filter(held).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn item(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        Some(json!({
            "key": key, "value": item.value, "revision": item.revision,
            "created_revision": item.created_revision, "lease": item.lease,
        }))
    }

    /// Adds the latest change, which is of this key, to the history.
    fn record(&mut self, key: &str, event: Option<Value>) {
        let json = event.map_or_else(String::new, |event| event.to_string());
        self.history.push(Event { revision: self.revision, key: key.to_owned(), json });
    }

    /// Returns the serialized changes after a revision, each item as it was written then.
    fn events(&self, prefix: &str, after: u64) -> Vec<&str> {
        let fits = |event: &&Event| event.revision > after && event.key.starts_with(prefix);
        self.history.iter().filter(fits).map(|event| event.json.as_str()).collect()
    }

    fn range(&mut self, query: &BTreeMap<String, String>) -> Value {
        let prefix = query.get("path_prefix").map_or("", String::as_str);
        let after = query.get("after").map_or("", String::as_str);
        let state = match query.contains_key("allow_stale") {
            true => self.earlier(),
            false => &self.present(),
        };
        let fits = |(key, _): &(&String, &Value)| key.starts_with(prefix) && key.as_str() > after;
        let mut items: Vec<&Value> = state.items.iter().filter(fits).map(|(_, item)| item).collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        json!({ "items": items, "has_more": has_more, "at_revision": state.revision })
    }

    fn present(&self) -> Snapshot {
        let items = self.items.keys().filter_map(|key| Some((key.clone(), self.item(key)?))).collect();
        Snapshot { taken: Instant::now(), items, revision: self.revision }
    }

    /// Returns a snapshot that is no older than [`STALE_MS`], or the one of [`Mode::StaleReadsOnly`].
    fn earlier(&mut self) -> &Snapshot {
        let previous = self.earlier.take();
        let is_fixed = self.mode == Mode::StaleReadsOnly;
        let kept = previous.filter(|earlier| is_fixed || earlier.taken.elapsed() < Duration::from_millis(STALE_MS));
        let state = kept.unwrap_or_else(|| self.present());
        self.earlier.insert(state)
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let none = Vec::new();
        let rows = |name: &str| body[name].as_array().unwrap_or(&none).clone();
        let key_of = |row: &Value| row["key"].as_str().unwrap_or("").to_owned();
        let expected = rows("expected");
        if expected.len() + rows("put").len() + rows("remove").len() > ENTRIES_MAX {
            return (400, json!({}));
        }
        let holds = |row: &Value| {
            let revision = self.items.get(&key_of(row)).map_or(0, |item| item.revision);
            row["revision"].as_u64() == Some(revision)
        };
        if !expected.iter().all(holds) {
            let items: Vec<Value> = expected.iter().filter_map(|row| self.item(&key_of(row))).collect();
            return (412, json!({ "items": items }));
        }
        let puts = rows("put");
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        if puts.iter().any(|row| lease_of(row) > 0 && !self.leases.contains_key(&lease_of(row))) {
            return (404, json!({}));
        }
        for row in &puts {
            self.put(&key_of(row), row["value"].as_str().unwrap_or("").to_owned(), lease_of(row));
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or(""));
        }
        (200, json!({ "revision": self.revision }))
    }

    fn grant(&mut self, body: &Value) -> Value {
        self.next_lease += 1;
        let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(self.next_lease, (Instant::now() + ttl, ttl));
        json!({ "lease": self.next_lease, "ttl_ms": ttl_ms })
    }

    fn keep(&mut self, lease: u64) -> (u16, Value) {
        let Some((until, ttl)) = self.leases.get_mut(&lease) else {
            return (404, json!({}));
        };
        *until = Instant::now() + *ttl;
        (200, json!({ "ttl_ms": ttl.as_millis() as u64 }))
    }
}

fn last_segment_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}
