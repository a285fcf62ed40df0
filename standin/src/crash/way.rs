//! How news of a crash reach other nodes, when, and for how many bytes.

/// Way between two nodes, in milliseconds: one way between failure domains with a wake-up at its end.
const WAY_MS: u64 = 2;
/// What a handshake adds where no link is open, in milliseconds.
const HANDSHAKE_MS: u64 = 15;
/// One of this many links to another owner is not open when it is needed.
const CLOSED_SHARE: u64 = 3;
/// Bytes that a handshake costs.
const HANDSHAKE_BYTES: u64 = 5_000;
/// Bytes of a message beside the reports: frame, packet, acknowledgement.
const MESSAGE_BYTES: u64 = 120;
/// Time that a store takes for a read and a write, in milliseconds.
const STORE_MS: u64 = 9;
/// Longest pause of a relay between two reads, in milliseconds.
const RELAY_GATHER_MS: u64 = 200;
/// Nodes that one relay serves.
const RELAY_NODES: u64 = 64;
/// Nodes that each node passes news on to, and the pause before it does, in milliseconds, where news go from
/// neighbour to neighbour.
const NEIGHBOURS: u64 = 3;
const NEIGHBOUR_PAUSE_MS: u64 = 100;

/// A way of spreading news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// Nobody is told.
    Nobody,
    /// The store holds them, and relays pass them on.
    Store,
    /// The owner tells the other owners of the service.
    Owners,
    /// Both of the former.
    OwnersAndStore,
    /// The owner tells every node.
    Everybody,
    /// Each node that hears them passes them on to some others.
    Neighbours,
}

/// News on their way to one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delivery {
    /// The node.
    pub node: usize,
    /// How long they take, in milliseconds.
    pub after_ms: u64,
}

impl Way {
    /// All ways.
    pub const ALL: [Self; 6] =
        [Self::Nobody, Self::Store, Self::Owners, Self::OwnersAndStore, Self::Everybody, Self::Neighbours];

    /// Returns its name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Nobody => "nobody",
            Self::Store => "store",
            Self::Owners => "owners",
            Self::OwnersAndStore => "owners+store",
            Self::Everybody => "everybody",
            Self::Neighbours => "neighbours",
        }
    }

    /// Returns whether nodes hear that own no upstream of the service.
    pub const fn reaches_all(self) -> bool {
        !matches!(self, Self::Nobody | Self::Owners)
    }

    /// Returns when each of `nodes` hears of a report of `report_bytes`, of which the first `owners` own upstreams
    /// of the service, and the bytes that it costs; `stored_bytes` is the size of what the store then holds.
    pub fn spread(
        self,
        (nodes, owners): (usize, usize),
        (report_bytes, stored_bytes): (u64, u64),
        rng: &mut fastrand::Rng,
    ) -> (Vec<Delivery>, u64) {
        match self {
            Self::Nobody => (Vec::new(), 0),
            Self::Store => by_store(nodes, stored_bytes, rng),
            Self::Owners => directly(owners, report_bytes, rng),
            Self::OwnersAndStore => {
                let (mut deliveries, bytes) = directly(owners, report_bytes, rng);
                let (later, stored) = by_store(nodes, stored_bytes, rng);
                deliveries.extend(later);
                (deliveries, bytes + stored)
            }
            Self::Everybody => directly(nodes, report_bytes, rng),
            Self::Neighbours => by_neighbours(nodes, report_bytes, rng),
        }
    }
}

fn directly(nodes: usize, report_bytes: u64, rng: &mut fastrand::Rng) -> (Vec<Delivery>, u64) {
    let mut bytes = 0;
    let mut deliver = |node: usize| {
        let closed = rng.u64(..CLOSED_SHARE) == 0;
        bytes += report_bytes + MESSAGE_BYTES + if closed { HANDSHAKE_BYTES } else { 0 };
        Delivery { node, after_ms: WAY_MS + if closed { HANDSHAKE_MS } else { 0 } }
    };
    let deliveries = (0..nodes).map(&mut deliver).collect();
    (deliveries, bytes)
}

fn by_store(nodes: usize, stored_bytes: u64, rng: &mut fastrand::Rng) -> (Vec<Delivery>, u64) {
    let relays = (nodes as u64).div_ceil(RELAY_NODES).max(3);
    let gathers: Vec<u64> = (0..relays).map(|_| rng.u64(..RELAY_GATHER_MS)).collect();
    let deliver = |node: usize| {
        let after_ms = STORE_MS + WAY_MS + gathers[node % gathers.len()] + WAY_MS;
        Delivery { node, after_ms }
    };
    // Read and write by the owner, then to each relay and each node behind it.
    let bytes = (2 + relays + nodes as u64) * (stored_bytes + MESSAGE_BYTES);
    ((0..nodes).map(deliver).collect(), bytes)
}

fn by_neighbours(nodes: usize, report_bytes: u64, rng: &mut fastrand::Rng) -> (Vec<Delivery>, u64) {
    let mut heard = vec![None; nodes];
    heard[0] = Some(0);
    let mut open = std::collections::VecDeque::from([0]);
    let mut bytes = 0;
    while let Some(node) = open.pop_front() {
        let at_ms = heard[node].unwrap_or(0) + rng.u64(..NEIGHBOUR_PAUSE_MS);
        for _ in 0..NEIGHBOURS {
            let other = rng.usize(..nodes);
            bytes += report_bytes + MESSAGE_BYTES + HANDSHAKE_BYTES / CLOSED_SHARE;
            if heard[other].is_none() {
                heard[other] = Some(at_ms + WAY_MS);
                open.push_back(other);
            }
        }
    }
    let deliveries = heard.iter().enumerate().filter_map(|(node, at)| at.map(|after_ms| Delivery { node, after_ms }));
    (deliveries.collect(), bytes)
}
