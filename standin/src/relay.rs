//! A relay of datagrams before a node's links, which can be cut in one direction or in both.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::net::UdpSocket;
use tokio::sync::Mutex;

/// Largest datagram, in bytes.
const DATAGRAM_MAX_BYTES: usize = 65_536;

/// What of a relay is cut.
#[derive(Debug, Default)]
pub struct Cuts {
    /// Datagrams towards the node are dropped.
    pub inbound: AtomicBool,
    /// Datagrams from the node are dropped.
    pub outbound: AtomicBool,
}

impl Cuts {
    /// Cuts or mends both directions.
    pub fn set(&self, inbound: bool, outbound: bool) {
        self.inbound.store(inbound, Ordering::Relaxed);
        self.outbound.store(outbound, Ordering::Relaxed);
    }
}

/// Starts a relay towards `node`; returns its address.
///
/// # Errors
///
/// Returns why no socket could be had.
pub async fn start(node: SocketAddr, cuts: Arc<Cuts>) -> std::io::Result<SocketAddr> {
    let front = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
    let addr = front.local_addr()?;
    tokio::spawn(forward(front, node, cuts));
    Ok(addr)
}

async fn forward(front: Arc<UdpSocket>, node: SocketAddr, cuts: Arc<Cuts>) {
    let backs: Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>> = Arc::default();
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, from)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        if cuts.inbound.load(Ordering::Relaxed) {
            continue;
        }
        let mut known = backs.lock().await;
        let back = match known.get(&from) {
            Some(back) => back.clone(),
            None => {
                let Ok(back) = UdpSocket::bind("127.0.0.1:0").await else {
                    continue;
                };
                let back = Arc::new(back);
                known.insert(from, back.clone());
                tokio::spawn(backward(back.clone(), front.clone(), from, cuts.clone()));
                back
            }
        };
        let _ = back.send_to(&buffer[..length], node).await;
    }
}

async fn backward(back: Arc<UdpSocket>, front: Arc<UdpSocket>, to: SocketAddr, cuts: Arc<Cuts>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((length, _)) = back.recv_from(&mut buffer).await else {
            continue;
        };
        if !cuts.outbound.load(Ordering::Relaxed) {
            let _ = front.send_to(&buffer[..length], to).await;
        }
    }
}
