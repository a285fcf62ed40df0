//! A datagram relay before a node's links, which can be cut in one or both directions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::net::UdpSocket;
use tokio::sync::Mutex;

/// Maximum size of a datagram.
const DATAGRAM_MAX_BYTES: usize = 65_536;

/// The directions of a relay that are cut.
#[derive(Debug, Default)]
pub struct Cuts {
    /// Whether datagrams to the node are dropped.
    pub inbound: AtomicBool,
    /// Whether datagrams from the node are dropped.
    pub outbound: AtomicBool,
}

impl Cuts {
    /// Cuts or restores each direction.
    pub fn set(&self, inbound: bool, outbound: bool) {
        self.inbound.store(inbound, Ordering::Relaxed);
        self.outbound.store(outbound, Ordering::Relaxed);
    }
}

/// Starts a relay to `node` and returns the address of the relay.
///
/// # Errors
///
/// Returns an error if the socket can't be bound.
pub async fn start(node: SocketAddr, cuts: Arc<Cuts>) -> std::io::Result<SocketAddr> {
    let caller_side = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
    let addr = caller_side.local_addr()?;
    tokio::spawn(forward(caller_side, node, cuts));
    Ok(addr)
}

async fn forward(caller_side: Arc<UdpSocket>, node: SocketAddr, cuts: Arc<Cuts>) {
    let node_sockets: Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>> = Arc::default();
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, from)) = caller_side.recv_from(&mut buffer).await else {
            continue;
        };
        if cuts.inbound.load(Ordering::Relaxed) {
            continue;
        }
        let mut sockets = node_sockets.lock().await;
        let back = match sockets.get(&from) {
            Some(back) => back.clone(),
            None => {
                let Ok(back) = UdpSocket::bind("127.0.0.1:0").await else {
                    continue;
                };
                let back = Arc::new(back);
                sockets.insert(from, back.clone());
                tokio::spawn(backward(back.clone(), caller_side.clone(), from, cuts.clone()));
                back
            }
        };
        let _ = back.send_to(&buffer[..length], node).await;
    }
}

async fn backward(back: Arc<UdpSocket>, caller_side: Arc<UdpSocket>, to: SocketAddr, cuts: Arc<Cuts>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, _)) = back.recv_from(&mut buffer).await else {
            continue;
        };
        if !cuts.outbound.load(Ordering::Relaxed) {
            let _ = caller_side.send_to(&buffer[..length], to).await;
        }
    }
}
