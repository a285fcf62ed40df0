//! Stand-in of the managed platform's store: items, leases that run out, calls that wait for
//! changes, history that goes, a return from an older copy, and faults by command.

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

/// Pause between two looks at which leases have run out, in milliseconds.
const EXPIRY_MS: u64 = 20;
/// Items of one page, few enough that small tests need several pages.
const PAGE_ITEMS: usize = 4;
/// Age up to which a read that allows it is answered from an earlier state, in milliseconds.
const STALE_MS: u64 = 500;
/// Price of a renewal and of a read that allows an earlier state, in tenths of a call.
const CHEAP_TENTHS: u64 = 1;
/// Price of any other call, in tenths.
const CALL_TENTHS: u64 = 10;
/// Most entries of one transaction, conditions and changes together.
const ENTRIES_MAX: usize = 32;
/// Copies that are kept, one a change: more than any test takes back.
const COPIES_MAX: usize = 512;
/// Header of all answers with how often the store has come back from an older copy.
const ERA: &str = "store-era";

/// How the store treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It turns every call away and does nothing.
    Refusing,
    /// It takes calls and says nothing; leases run on.
    Silent,
    /// Each call takes this long, in milliseconds.
    Slow(u64),
    /// Writes take effect and get no answer.
    LosingAnswers,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created_revision: u64,
    lease: u64,
}

/// The items as they stood at some moment.
struct Earlier {
    taken: Instant,
    items: BTreeMap<String, Value>,
    revision: u64,
}

/// The store as it stood after a change, to come back from.
#[derive(Clone)]
struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Times to live by lease.
    leases: BTreeMap<u64, Duration>,
    next_lease: u64,
}

struct State {
    mode: Mode,
    /// How often it has come back from an older copy, and one.
    era: u64,
    copies: VecDeque<Copy>,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Keys by the revision that changed them.
    history: Vec<(u64, String)>,
    /// Revision up to which the history is gone.
    forgotten: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    calls: u64,
    /// What all calls cost, in tenths of a call.
    price_tenths: u64,
    /// An earlier state, for reads that allow one.
    earlier: Option<Earlier>,
    /// Calls that waited for changes or asked for them.
    changes_asked: u64,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct ManagedStore {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

/// How the store treats the calls of one node, while it serves the others as usual.
#[derive(Clone)]
pub struct NodeAccess {
    mode: Arc<Mutex<Mode>>,
    changed: Arc<Notify>,
}

impl NodeAccess {
    /// Sets how calls are treated from now on; calls that wait are cut where the node is turned away.
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
            forgotten: 0,
            leases: BTreeMap::new(),
            next_lease: 100,
            calls: 0,
            price_tenths: 0,
            earlier: None,
            changes_asked: 0,
        };
        Self { state: Arc::new(Mutex::new(state)), changed: Arc::new(Notify::new()) }
    }
}

impl ManagedStore {
    /// Serves on a free port until the runtime ends; returns the address.
    ///
    /// # Errors
    ///
    /// Returns why no port could be had.
    pub async fn start(&self) -> std::io::Result<SocketAddr> {
        tokio::spawn(self.clone().expire());
        let (addr, _) = self.serve_node().await?;
        Ok(addr)
    }

    /// Serves one node on a port of its own until the runtime ends; returns its address, and how it is treated.
    ///
    /// # Errors
    ///
    /// Returns why no port could be had.
    pub async fn serve_node(&self) -> std::io::Result<(SocketAddr, NodeAccess)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let access = NodeAccess { mode: Arc::new(Mutex::new(Mode::Up)), changed: self.changed.clone() };
        let (store, treated) = (self.clone(), access.clone());
        let handle = move |request| store.clone().handle(request, treated.clone());
        tokio::spawn(web::serve_on(listener, Duration::ZERO, handle));
        Ok((addr, access))
    }

    /// Sets how calls are treated from now on; calls that wait are cut when the store goes away.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
        self.changed.notify_waiters();
    }

    /// Writes an item as the operator does.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let revision = self.lock().put(key, STANDARD.encode(value), 0);
        self.changed.notify_waiters();
        revision
    }

    /// Takes away every item below a prefix, leases or not.
    pub fn revoke(&self, prefix: &str) {
        let mut state = self.lock();
        let keys: Vec<String> = state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect();
        for key in keys {
            state.remove(&key);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Lets every lease run out at once.
    pub fn lapse(&self) {
        let mut state = self.lock();
        let leases: Vec<u64> = state.leases.keys().copied().collect();
        for lease in leases {
            state.end_lease(lease);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Forgets which changes led to the present.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.forgotten = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Comes back from the copy that is `changes` changes old, or the oldest one that is kept: what was written
    /// and granted since is gone, and revisions and lease ids are given out again.
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

    /// Returns the value of a key as text, if it exists.
    pub fn text(&self, key: &str) -> Option<String> {
        let value = self.lock().items.get(key).map(|item| item.value.clone())?;
        let bytes = STANDARD.decode(value).unwrap_or_default();
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    /// Returns the keys below a prefix.
    pub fn keys(&self, prefix: &str) -> BTreeSet<String> {
        self.lock().items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns how many calls came so far.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns what they cost, in calls.
    pub fn price(&self) -> f64 {
        self.lock().price_tenths as f64 / CALL_TENTHS as f64
    }

    /// Returns how many of them asked for changes.
    pub fn changes_asked(&self) -> u64 {
        self.lock().changes_asked
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    async fn expire(self) {
        loop {
            tokio::time::sleep(Duration::from_millis(EXPIRY_MS)).await;
            let mut state = self.lock();
            let now = Instant::now();
            let over: Vec<u64> =
                state.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
            if over.is_empty() {
                continue;
            }
            for lease in over {
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
            let cheap = path.starts_with("/api/kv-keep/") || query.contains_key("allow_stale");
            state.price_tenths += if cheap { CHEAP_TENTHS } else { CALL_TENTHS };
            state.changes_asked += u64::from(path == "/api/kv-watch");
            if access.get() == Mode::Up { state.mode } else { access.get() }
        };
        match mode {
            Mode::Refusing => return Ok(answer(503, "{}")),
            Mode::Silent => std::future::pending::<()>().await,
            Mode::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Mode::Up | Mode::LosingAnswers => {}
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
                let gone = |mode: Mode| matches!(mode, Mode::Refusing | Mode::Silent);
                if gone(state.mode) || gone(access.get()) {
                    // A call that waits is cut when the store goes away.
                    return Err("cut".into());
                }
                if after < state.forgotten || after > state.revision {
                    return Ok(answer(410, "{}"));
                }
                let events = state.events(&prefix, after);
                if !events.is_empty() || tokio::time::Instant::now() >= until {
                    let reply = json!({ "events": events, "at_revision": state.revision });
                    return Ok(answer(200, reply.to_string()));
                }
            }
            // Either something changed or the wait is over; the state tells which.
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
            (&Method::POST, path) if path.starts_with("/api/kv-keep/") => self.keep(number_behind(path)),
            (&Method::DELETE, path) if path.starts_with("/api/kv-lease-end/") => {
                self.end_lease(number_behind(path));
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
        self.history.push((revision, key.to_owned()));
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
        self.history.retain(|(revision, _)| *revision <= copy.revision);
        self.forgotten = self.forgotten.min(copy.revision);
        self.earlier = None;
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned()));
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

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let fits = |(revision, key): &&(u64, String)| *revision > after && key.starts_with(prefix);
        let event = |(revision, key): &(u64, String)| match self.items.get(key) {
            Some(item) if item.revision == *revision => self.item(key),
            // An earlier write of a key that was written again: the later event tells it.
            Some(_) => None,
            None => Some(json!({ "key": key, "revision": revision, "deleted": true })),
        };
        self.history.iter().filter(fits).filter_map(event).collect()
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

    fn present(&self) -> Earlier {
        let items = self.items.keys().filter_map(|key| Some((key.clone(), self.item(key)?))).collect();
        Earlier { taken: Instant::now(), items, revision: self.revision }
    }

    /// Returns a state that is no older than [`STALE_MS`].
    fn earlier(&mut self) -> &Earlier {
        let known = self.earlier.take();
        let kept = known.filter(|earlier| earlier.taken.elapsed() < Duration::from_millis(STALE_MS));
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

fn number_behind(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0)
}
