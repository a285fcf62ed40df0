//! Models of the methods that spread crash reports: delays to the other nodes, and bytes.

/// One-way delay between two nodes of different failure domains, with the wake-up of the receiver.
const DELAY_MS: u64 = 2;
/// Additional delay of a handshake where no link is open.
const HANDSHAKE_MS: u64 = 15;
/// One of this many links to other owners is not open when it is needed.
const CLOSED_SHARE: u64 = 3;
/// Bytes of a handshake.
const HANDSHAKE_BYTES: u64 = 5_000;
/// Bytes of a message without its reports: frame, packet, acknowledgement.
const MESSAGE_BYTES: u64 = 120;
/// Time of a read and a write of the store together.
const STORE_MS: u64 = 9;
/// Longest pause of a relay between two reads.
const RELAY_PAUSE_MS: u64 = 200;
/// Nodes served by one relay.
const RELAY_NODES: u64 = 64;
/// With gossip, the number of nodes that each node forwards a report to, and the longest pause before it does.
const GOSSIP_FANOUT: u64 = 3;
const GOSSIP_PAUSE_MS: u64 = 100;

/// A method that spreads crash reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpreadMethod {
    /// Reports are not sent.
    Unsent,
    /// Reports are written to the store, and relays forward them.
    Store,
    /// The owner sends reports to the other owners of the service.
    Owners,
    /// Both `Store` and `Owners`.
    OwnersAndStore,
    /// The owner sends reports to every node.
    AllNodes,
    /// Each node that receives a report for the first time forwards it to some others.
    Gossip,
}

/// A report in flight to one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Delivery {
    /// Receiving node.
    pub node: usize,
    /// Delay until it arrives.
    pub after_ms: u64,
}

impl SpreadMethod {
    /// All methods.
    pub const ALL: [Self; 6] =
        [Self::Unsent, Self::Store, Self::Owners, Self::OwnersAndStore, Self::AllNodes, Self::Gossip];

    /// Returns the name in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "nobody",
            Self::Store => "store",
            Self::Owners => "owners",
            Self::OwnersAndStore => "owners+store",
            Self::AllNodes => "everybody",
            Self::Gossip => "neighbours",
        }
    }

    /// Returns whether reports also reach nodes without an upstream of the service.
    pub const fn reaches_all(self) -> bool {
        !matches!(self, Self::Unsent | Self::Owners)
    }

    /// Returns the deliveries of a report of `report_bytes` to `nodes` nodes, of which the first `owners` own upstreams
    /// of the service, and the bytes that they cost; `stored_bytes` is the size of the value that the store then holds.
    pub fn spread(
        self,
        (nodes, owners): (usize, usize),
        (report_bytes, stored_bytes): (u64, u64),
        rng: &mut fastrand::Rng,
    ) -> (Vec<Delivery>, u64) {
        match self {
            Self::Unsent => (Vec::new(), 0),
            Self::Store => by_store(nodes, stored_bytes, rng),
            Self::Owners => directly(owners, report_bytes, rng),
            Self::OwnersAndStore => {
                let (mut deliveries, bytes) = directly(owners, report_bytes, rng);
                let (later, stored) = by_store(nodes, stored_bytes, rng);
                deliveries.extend(later);
                (deliveries, bytes + stored)
            }
            Self::AllNodes => directly(nodes, report_bytes, rng),
            Self::Gossip => by_gossip(nodes, report_bytes, rng),
        }
    }
}

fn directly(nodes: usize, report_bytes: u64, rng: &mut fastrand::Rng) -> (Vec<Delivery>, u64) {
    let mut bytes = 0;
    let mut deliver = |node: usize| {
        let closed = rng.u64(..CLOSED_SHARE) == 0;
        bytes += report_bytes + MESSAGE_BYTES + if closed { HANDSHAKE_BYTES } else { 0 };
        Delivery { node, after_ms: DELAY_MS + if closed { HANDSHAKE_MS } else { 0 } }
    };
    let deliveries = (0..nodes).map(&mut deliver).collect();
    (deliveries, bytes)
}

fn by_store(nodes: usize, stored_bytes: u64, rng: &mut fastrand::Rng) -> (Vec<Delivery>, u64) {
    let relays = (nodes as u64).div_ceil(RELAY_NODES).max(3);
    let pauses_ms: Vec<u64> = (0..relays).map(|_| rng.u64(..RELAY_PAUSE_MS)).collect();
    let deliver = |node: usize| {
        let after_ms = STORE_MS + DELAY_MS + pauses_ms[node % pauses_ms.len()] + DELAY_MS;
        Delivery { node, after_ms }
    };
    // The owner reads and writes the value, and each relay and each of its nodes receives it.
    let bytes = (2 + relays + nodes as u64) * (stored_bytes + MESSAGE_BYTES);
    ((0..nodes).map(deliver).collect(), bytes)
}

fn by_gossip(nodes: usize, report_bytes: u64, rng: &mut fastrand::Rng) -> (Vec<Delivery>, u64) {
    let mut received_ms = vec![None; nodes];
    received_ms[0] = Some(0);
    let mut open = std::collections::VecDeque::from([0]);
    let mut bytes = 0;
    while let Some(node) = open.pop_front() {
        let at_ms = received_ms[node].unwrap_or(0) + rng.u64(..GOSSIP_PAUSE_MS);
        for _ in 0..GOSSIP_FANOUT {
            let other = rng.usize(..nodes);
            bytes += report_bytes + MESSAGE_BYTES + HANDSHAKE_BYTES / CLOSED_SHARE;
            if received_ms[other].is_none() {
                received_ms[other] = Some(at_ms + DELAY_MS);
                open.push_back(other);
            }
        }
    }
    let deliveries =
        received_ms.iter().enumerate().filter_map(|(node, at)| at.map(|after_ms| Delivery { node, after_ms }));
    (deliveries.collect(), bytes)
}
