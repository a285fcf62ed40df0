//! Decides which bytes fit into the memory for clients, peers and the upstream, and which connections give way; does no
//! I/O.

use std::collections::HashMap;

/// Largest holding that may use the room reserved for short requests and answers.
pub const SMALL_MAX_BYTES: u64 = 64 * 1024;
/// Part of the memory that is reserved for holdings up to [`SMALL_MAX_BYTES`], as a divisor.
const RESERVE_DIVISOR: u64 = 8;
/// Time without progress after which a connection gives way if memory runs out.
pub const STALL_US: u64 = 500_000;
/// Time without a request after which a connection gives way if no stalled connection is left.
const IDLE_US: u64 = 1_000_000;
/// Bytes that a connection has to transfer to count as making progress.
const PROGRESS_BYTES: u64 = 64 * 1024;

/// What held bytes belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldKind {
    /// Connections of callers, with the heads that are not complete.
    Connection,
    /// Heads of calls.
    Head,
    /// Bodies of calls.
    Body,
    /// Answers of upstreams.
    Answer,
    /// Texts of bundles and changes of the store, which have limits of their own and are never refused.
    State,
}

impl HeldKind {
    /// All kinds, in the order of their index.
    pub const ALL: [Self; 5] = [Self::Connection, Self::Head, Self::Body, Self::Answer, Self::State];

    /// Returns the name in metrics and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Head => "head",
            Self::Body => "body",
            Self::Answer => "answer",
            Self::State => "state",
        }
    }
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// For further bytes of a request.
    Receiving,
    /// For the node.
    Running,
    /// For the next request.
    Idle,
}

/// Holding of one client's connection.
#[derive(Debug, Clone)]
struct Client {
    activity: Activity,
    /// Charged bytes of the connection and of its requests.
    held_bytes: u64,
    /// Bytes of answers that the client has not read.
    answer_bytes: u64,
    /// Time since which the connection has made no progress.
    since_us: u64,
    /// Bytes transferred since then.
    transferred_bytes: u64,
    /// Whether the connection was told to close.
    is_evicted: bool,
}

impl Client {
    const fn bytes(&self) -> u64 {
        self.held_bytes + self.answer_bytes
    }

    const fn is_stalled(&self, now_us: u64) -> bool {
        let waits_for_client = self.answer_bytes > 0 || matches!(self.activity, Activity::Receiving);
        waits_for_client && now_us.saturating_sub(self.since_us) >= STALL_US
    }

    const fn is_idle(&self, now_us: u64) -> bool {
        self.answer_bytes == 0
            && matches!(self.activity, Activity::Idle)
            && now_us.saturating_sub(self.since_us) >= IDLE_US
    }
}

/// A holding that is to grow.
#[derive(Debug, Clone, Copy)]
pub struct Growth {
    /// Client of the holding, if it has one.
    pub client: Option<ClientId>,
    /// What it belongs to.
    pub kind: HeldKind,
    /// Its bytes.
    pub bytes: u64,
    /// Its bytes afterwards.
    pub to_bytes: u64,
}

impl Growth {
    /// Returns whether the holding may use the reserved room. A connection may, since it has bounds of its own.
    const fn is_short(&self) -> bool {
        matches!(self.kind, HeldKind::Connection) || self.to_bytes <= SMALL_MAX_BYTES
    }
}

/// Identifies a client's connection.
pub type ClientId = u64;

/// Bytes held by the process, by kind and by client.
#[derive(Debug)]
pub struct Budget {
    limit_bytes: u64,
    held: [u64; HeldKind::ALL.len()],
    clients: HashMap<ClientId, Client>,
    next_id: ClientId,
}

impl Budget {
    /// Returns an empty budget of `limit_bytes`.
    pub fn new(limit_bytes: u64) -> Self {
        Self { limit_bytes, held: [0; HeldKind::ALL.len()], clients: HashMap::new(), next_id: 0 }
    }

    /// Returns the limit of all holdings together.
    pub const fn limit_bytes(&self) -> u64 {
        self.limit_bytes
    }

    /// Returns the largest single holding.
    pub const fn holding_max_bytes(&self) -> u64 {
        self.limit_bytes - self.limit_bytes / RESERVE_DIVISOR
    }

    /// Returns the bytes held of one kind.
    pub const fn held(&self, kind: HeldKind) -> u64 {
        self.held[kind as usize]
    }

    /// Returns whether more than half of the memory is in use.
    pub fn is_scarce(&self) -> bool {
        self.total() > self.limit_bytes / 2
    }

    /// Returns how many bytes holdings that may use the reserved room can grow by.
    pub fn room_bytes(&self) -> u64 {
        self.limit_bytes.saturating_sub(self.total())
    }

    fn total(&self) -> u64 {
        self.held.iter().sum()
    }

    /// Returns how many bytes have to be released before a holding may grow.
    fn excess(&self, growth: &Growth) -> u64 {
        let limit_bytes = if growth.is_short() { self.limit_bytes } else { self.holding_max_bytes() };
        (self.total() + growth.to_bytes.saturating_sub(growth.bytes)).saturating_sub(limit_bytes)
    }

    /// Charges the growth of a holding; returns whether there is room for it, as there always is for
    /// [`HeldKind::State`].
    pub fn charge(&mut self, growth: &Growth) -> bool {
        let fits = growth.kind == HeldKind::State || self.excess(growth) == 0;
        if fits {
            let bytes = growth.to_bytes.saturating_sub(growth.bytes);
            self.held[growth.kind as usize] += bytes;
            if let Some(client) = growth.client.and_then(|id| self.clients.get_mut(&id)) {
                client.held_bytes += bytes;
            }
        }
        fits
    }

    /// Returns charged bytes of a client, or of nobody.
    pub fn release(&mut self, client: Option<ClientId>, kind: HeldKind, bytes: u64) {
        let held = &mut self.held[kind as usize];
        *held = held.saturating_sub(bytes);
        if let Some(client) = client.and_then(|id| self.clients.get_mut(&id)) {
            client.held_bytes = client.held_bytes.saturating_sub(bytes);
        }
    }

    /// Returns whether a connection is stalled, so that it would give way.
    pub fn is_stalled(&self, id: ClientId, now_us: u64) -> bool {
        self.clients.get(&id).is_some_and(|client| client.is_stalled(now_us))
    }

    /// Adds the connection of a client, which holds charged bytes.
    pub fn add_client(&mut self, held_bytes: u64, now_us: u64) -> ClientId {
        self.next_id += 1;
        let client = Client {
            activity: Activity::Idle,
            held_bytes,
            answer_bytes: 0,
            since_us: now_us,
            transferred_bytes: 0,
            is_evicted: false,
        };
        self.clients.insert(self.next_id, client);
        self.next_id
    }

    /// Removes the connection of a client.
    pub fn remove_client(&mut self, id: ClientId) {
        self.clients.remove(&id);
    }

    /// Records what a connection waits for.
    pub fn set_activity(&mut self, id: ClientId, activity: Activity, now_us: u64) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        if client.activity != activity {
            client.activity = activity;
            client.since_us = now_us;
            client.transferred_bytes = 0;
        }
    }

    /// Records that a connection made progress at `at_us`, or later.
    pub fn progress(&mut self, id: ClientId, at_us: u64) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.since_us = client.since_us.max(at_us);
        }
    }

    /// Records that a client has sent or read bytes.
    pub fn transfer(&mut self, id: ClientId, bytes: u64, now_us: u64) {
        let Some(client) = self.clients.get_mut(&id) else {
            return;
        };
        client.transferred_bytes += bytes;
        if client.transferred_bytes >= PROGRESS_BYTES {
            client.transferred_bytes = 0;
            client.since_us = now_us;
        }
    }

    /// Records that an answer for a client is ready.
    pub fn add_answer(&mut self, id: ClientId, bytes: u64, now_us: u64) {
        if let Some(client) = self.clients.get_mut(&id) {
            if client.answer_bytes == 0 {
                client.since_us = now_us;
                client.transferred_bytes = 0;
            }
            client.answer_bytes += bytes;
        }
    }

    /// Records that an answer is released.
    pub fn remove_answer(&mut self, id: ClientId, bytes: u64, now_us: u64) {
        if let Some(client) = self.clients.get_mut(&id) {
            client.answer_bytes = client.answer_bytes.saturating_sub(bytes);
            client.since_us = now_us;
        }
    }

    /// Chooses the connections to close, so that a holding may grow: stalled ones in the order of their bytes times their
    /// stalled time, then for a short holding idle ones, the longest idle first. The client of the holding is not among
    /// them. Returns none if those that are being closed release enough, or if all of them together would not.
    pub fn evict(&mut self, growth: &Growth, now_us: u64) -> Vec<ClientId> {
        let mut missing = self.excess(growth).saturating_sub(self.evicted_bytes());
        let mut candidates = self.candidates(growth.is_short(), now_us);
        candidates.retain(|id| Some(*id) != growth.client);
        let releasable: u64 = candidates.iter().filter_map(|id| self.clients.get(id)).map(Client::bytes).sum();
        let mut victims = Vec::new();
        if releasable < missing {
            return victims;
        }
        for id in candidates {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(self.mark_evicted(id));
            victims.push(id);
        }
        victims
    }

    /// Chooses one connection to close in the order of [`Self::evict`]; none if one is being closed or none may be.
    pub fn evict_one(&mut self, now_us: u64) -> Option<ClientId> {
        if self.is_evicting() {
            return None;
        }
        let id = self.candidates(true, now_us).into_iter().next()?;
        self.mark_evicted(id);
        Some(id)
    }

    /// Returns whether connections are being closed.
    pub fn is_evicting(&self) -> bool {
        self.clients.values().any(|client| client.is_evicted)
    }

    fn evicted_bytes(&self) -> u64 {
        self.clients.values().filter(|client| client.is_evicted).map(Client::bytes).sum()
    }

    fn mark_evicted(&mut self, id: ClientId) -> u64 {
        self.clients.get_mut(&id).map_or(0, |client| {
            client.is_evicted = true;
            client.bytes()
        })
    }

    fn candidates(&self, with_idle: bool, now_us: u64) -> Vec<ClientId> {
        let of = |is_candidate: fn(&Client, u64) -> bool| {
            let open = self.clients.iter().filter(|(_, client)| !client.is_evicted);
            open.filter(move |(_, client)| is_candidate(client, now_us)).collect::<Vec<_>>()
        };
        let mut stalled = of(Client::is_stalled);
        let weight = |client: &Client| client.bytes() as u128 * u128::from(now_us.saturating_sub(client.since_us));
        stalled.sort_by_key(|(id, client)| (std::cmp::Reverse(weight(client)), **id));
        let mut idle = of(Client::is_idle);
        idle.sort_by_key(|(id, client)| (client.since_us, **id));
        stalled.into_iter().chain(idle.into_iter().filter(|_| with_idle)).map(|(id, _)| *id).collect()
    }
}
