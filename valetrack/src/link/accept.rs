//! Accepted links: their request streams, and the number of streams that a peer may have open on one.

use std::cell::RefCell;
use std::rc::Rc;

use prometheus::IntGauge;
use quinn::{Connection, RecvStream, SendStream, VarInt};

/// Streams that a peer may have open on a new link. The QUIC library keeps entries in two hash tables for each of them
/// from the start.
pub const STREAMS_INITIAL: u32 = 14;
/// Largest number of streams that a peer may have open on a link.
pub const STREAMS_MAX: u32 = 2_048;
/// The limit is raised until it is this many times the number of open streams. The peer counts a stream as open for up
/// to twice as long as this node does, since it learns one round trip later that the stream has ended.
const HEADROOM: u32 = 4;

/// Number of streams that a peer may have open on a link, which rises with their use.
#[derive(Debug)]
pub struct StreamLimit {
    limit: u32,
    open: u32,
}

impl StreamLimit {
    /// Returns the limit of a new link.
    pub const fn new() -> Self {
        Self { limit: STREAMS_INITIAL, open: 0 }
    }

    /// Records that the peer has opened a stream. Returns the new limit if it rises.
    pub fn open(&mut self) -> Option<u32> {
        self.open += 1;
        let before = self.limit;
        while self.limit < STREAMS_MAX && self.open * HEADROOM > self.limit {
            // The QUIC library announces a new limit only if it rises by more than an eighth, so the last step is not short.
            self.limit = if self.limit > STREAMS_MAX / 4 { STREAMS_MAX } else { 2 * self.limit };
        }
        (self.limit > before).then_some(self.limit)
    }

    /// Records that a stream has ended. The limit stays, because the tables don't shrink.
    pub const fn close(&mut self) {
        self.open = self.open.saturating_sub(1);
    }
}

impl Default for StreamLimit {
    fn default() -> Self {
        Self::new()
    }
}

/// A link that another node has opened.
pub struct AcceptedLink {
    connection: Connection,
    limit: Rc<RefCell<StreamLimit>>,
    /// Number of open links that other nodes have opened.
    open_links: IntGauge,
}

impl AcceptedLink {
    /// Returns the link of an accepted connection, which `open_links` counts until it is dropped.
    pub fn new(connection: Connection, open_links: IntGauge) -> Self {
        open_links.inc();
        Self { connection, limit: Rc::default(), open_links }
    }

    /// Returns the next request stream, or `None` once the link is closed.
    pub async fn accept(&self) -> Option<RequestStream> {
        let (send, receive) = self.connection.accept_bi().await.ok()?;
        let raised = self.limit.borrow_mut().open();
        if let Some(limit) = raised {
            self.connection.set_max_concurrent_bi_streams(VarInt::from_u32(limit));
        }
        let open = OpenStream { limit: self.limit.clone() };
        Some(RequestStream { connection: self.connection.clone(), send, receive, open })
    }
}

impl Drop for AcceptedLink {
    fn drop(&mut self) {
        self.open_links.dec();
    }
}

/// A stream with one request, and for its reply.
pub struct RequestStream {
    /// The link of the stream.
    pub connection: Connection,
    /// Sends the reply.
    pub send: SendStream,
    /// Receives the request.
    pub receive: RecvStream,
    /// Counts the stream as open until it is dropped. The QUIC library does so until the peer has acknowledged all of
    /// the reply, which [`SendStream::stopped`] reports.
    pub open: OpenStream,
}

/// Counts a stream as open until it is dropped.
pub struct OpenStream {
    limit: Rc<RefCell<StreamLimit>>,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.limit.borrow_mut().close();
    }
}
