//! Binds the addresses of a node before its threads start.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use super::NodeError;

/// Returns an error if the address of links cannot be bound; the link thread binds the endpoint itself.
pub(super) fn check_link_addr(addr: SocketAddr) -> Result<(), NodeError> {
    UdpSocket::bind(addr).map(drop).map_err(|source| NodeError::Listen { addr, source })
}

/// Binds a TCP listener.
pub(super) fn listen(addr: SocketAddr) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(addr).map_err(|source| NodeError::Listen { addr, source })?;
    listener.set_nonblocking(true).map_err(|source| NodeError::Listen { addr, source })?;
    Ok(listener)
}
