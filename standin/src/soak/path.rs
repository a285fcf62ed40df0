//! A TCP relay on loopback that injects faults: it delays or drops bytes, or resets connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::schedule::PathFault;

/// Maximum size of one read.
const CHUNK_BYTES: usize = 16 * 1024;

/// A relayed path with an adjustable fault; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Path {
    fault: Arc<Mutex<Option<PathFault>>>,
    reset: Arc<Notify>,
}

impl Path {
    /// Relays connections from `listen` to `far_end` until the runtime ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(&self, listen: SocketAddr, far_end: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(listen).await?;
        let path = self.clone();
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((near, _)) => drop(tokio::spawn(path.clone().connect(near, far_end))),
                    Err(error) => eprintln!("a connection to {listen} was not accepted: {error}"),
                }
            }
        });
        Ok(())
    }

    /// Sets the fault of the path; `None` ends it.
    pub fn set(&self, fault: Option<PathFault>) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
        if fault == Some(PathFault::Reset) {
            self.reset.notify_waiters();
        }
    }

    fn fault(&self) -> Option<PathFault> {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(self, near: TcpStream, far_end: SocketAddr) {
        if self.fault() == Some(PathFault::Reset) {
            reset(&near);
            return;
        }
        let far = match TcpStream::connect(far_end).await {
            Ok(far) => far,
            Err(error) => {
                eprintln!("a connection to {far_end} failed: {error}");
                reset(&near);
                return;
            }
        };
        // Nagle's algorithm would delay small messages.
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let there = self.clone().copy(near_read, far_write, PathFault::Silent);
        let back = self.clone().copy(far_read, near_write, PathFault::OneWay);
        tokio::select! {
            _ = async { tokio::join!(there, back) } => {}
            // Both sockets are dropped with bytes unread or unsent, which resets or closes them.
            () = self.reset.notified() => {}
        }
    }

    /// Copies one direction; its bytes are dropped while the fault is `losing`.
    async fn copy(self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, losing: PathFault) {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let Ok(length) = from.read(&mut chunk).await else {
                return;
            };
            if length == 0 {
                // The other direction stays open; shutdown fails only if the far end has already closed.
                let _ = to.shutdown().await;
                return;
            }
            match self.fault() {
                Some(fault) if fault == losing => continue,
                Some(PathFault::Delay(delay_ms)) => tokio::time::sleep(Duration::from_millis(delay_ms)).await,
                Some(_) | None => {}
            }
            if to.write_all(&chunk[..length]).await.is_err() {
                return;
            }
        }
    }
}

/// Makes the connection close with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // If this fails, the connection closes in order, which is just as unexpected for the peer.
    let _ = stream.set_zero_linger();
}
