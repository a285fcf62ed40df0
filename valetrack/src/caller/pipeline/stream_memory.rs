//! Memory for the streams of an HTTP/2 connection.
//!
//! The HTTP library opens all streams that it has the bytes of before any of their tasks runs. It therefore gets only as
//! many bytes as there is memory for the streams that they may open.

use std::cell::Cell;
use std::sync::Arc;

use bytes::Bytes;
use hyper::http::request::Parts;

use crate::memory::{Charge, HeldKind, MemoryAccount};

/// Memory for a stream: its task, the state in the HTTP library, and the head of its answer.
const STREAM_BYTES: u64 = 4 * 1024;
/// Memory for a header field beside its name and value: an entry of a table that doubles its capacity.
const FIELD_BYTES: u64 = 208;
/// Streams that the memory of a connection includes.
const INCLUDED_STREAMS: usize = 16;
/// Shortest frame that opens a stream: its header, and a byte for each pseudo-header field.
const OPENING_MIN_BYTES: usize = 9 + 4;

/// The streams of one connection, and the bytes that may open further ones.
#[derive(Debug, Default)]
pub(super) struct Streams {
    /// Held by each open stream without a charge of its own.
    included: Arc<()>,
    /// Bytes that the HTTP library got since it last delivered all requests.
    undelivered_bytes: Cell<usize>,
}

impl Streams {
    /// Returns how many bytes the HTTP library may get while the account has room for `room_bytes`.
    pub fn readable_bytes(&self, room_bytes: u64) -> usize {
        let charged = usize::try_from(room_bytes / STREAM_BYTES).unwrap_or(usize::MAX);
        let included = INCLUDED_STREAMS.saturating_sub(self.included());
        let bytes = charged.saturating_add(included).saturating_mul(OPENING_MIN_BYTES);
        bytes.saturating_sub(self.undelivered_bytes.get())
    }

    /// Records that the HTTP library got bytes.
    pub fn on_passed(&self, bytes: usize) {
        self.undelivered_bytes.set(self.undelivered_bytes.get() + bytes);
    }

    /// Records that the HTTP library has delivered all requests that it has the bytes of.
    pub fn on_all_delivered(&self) {
        self.undelivered_bytes.set(0);
    }

    /// Returns whether the HTTP library has bytes whose requests are not delivered.
    pub fn has_undelivered(&self) -> bool {
        self.undelivered_bytes.get() > 0
    }

    /// Closes stalled and idle connections unless there is room for another stream.
    pub fn evict(account: &MemoryAccount) {
        account.empty_charge(HeldKind::Connection).try_grow_or_evict(STREAM_BYTES);
    }

    /// Charges the memory for a stream and the head of its request. If there is no room, stalled and idle connections
    /// close, and the memory of the connection includes the stream; none if that includes as many as it may.
    pub fn open(&self, parts: &Parts, account: &MemoryAccount) -> Option<StreamMemory> {
        let mut charge = account.empty_charge(HeldKind::Connection);
        if charge.try_grow_or_evict(STREAM_BYTES + head_bytes(parts, 1, FIELD_BYTES)) {
            return Some(StreamMemory::Charged(charge));
        }
        (self.included() < INCLUDED_STREAMS).then(|| StreamMemory::Included(self.included.clone()))
    }

    /// Returns the number of open streams without a charge of their own.
    fn included(&self) -> usize {
        Arc::strong_count(&self.included) - 1
    }
}

/// Memory for a stream, until this is dropped.
#[derive(Debug)]
#[expect(dead_code, reason = "held until it is dropped")]
pub(super) enum StreamMemory {
    /// It has a charge of its own.
    Charged(Charge),
    /// That of its connection includes it.
    Included(Arc<()>),
}

impl StreamMemory {
    /// Holds the memory until the last copy of the body of an answer is dropped: the HTTP library takes the body before
    /// the window of its stream allows it to send it.
    pub fn hold_until_sent(self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        Bytes::from_owner(StreamAnswer { body, _memory: self })
    }
}

/// The body of an answer on a stream.
struct StreamAnswer {
    body: Bytes,
    _memory: StreamMemory,
}

impl AsRef<[u8]> for StreamAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Returns the memory for copies of the head of a request: of its text, and `field_bytes` for each header field.
pub fn head_bytes(parts: &Parts, copies: u64, field_bytes: u64) -> u64 {
    let texts = parts.headers.iter().map(|(name, value)| name.as_str().len() + value.len());
    let path = parts.uri.path_and_query().map_or(0, |path| path.as_str().len());
    (texts.sum::<usize>() + path) as u64 * copies + parts.headers.len() as u64 * field_bytes
}
