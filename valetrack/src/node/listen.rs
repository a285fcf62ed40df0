//! Addresses of a node, bound before its threads start.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use super::NodeError;

/// Finds out whether the address of links is free; the endpoint itself is bound in its thread.
pub(super) fn try_links(addr: SocketAddr) -> Result<(), NodeError> {
    UdpSocket::bind(addr).map(drop).map_err(|source| NodeError::Listen { addr, source })
}

/// Binds an address that is listened on.
pub(super) fn listen(addr: SocketAddr) -> Result<TcpListener, NodeError> {
    let listener = TcpListener::bind(addr).map_err(|source| NodeError::Listen { addr, source })?;
    listener.set_nonblocking(true).map_err(|source| NodeError::Listen { addr, source })?;
    Ok(listener)
}
