//! Reads bodies of HTTP messages into charged memory.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use super::account::{MemoryAccount, Patience};
use super::budget::HeldKind;
use super::buffer::ChargedBuffer;

/// Error of reading a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CollectError {
    /// The body exceeds its limit, or the largest holding of the account.
    TooLarge,
    /// There is no room for the body.
    NoRoom,
    /// The body is incomplete.
    Broken,
}

/// Reads a body of up to `cap_bytes`, and calls `on_read` with the number of bytes whenever some arrive.
///
/// # Errors
///
/// Returns the reason for which the body was not read completely. A body whose length shows that it can't be read is
/// rejected before any byte is.
pub async fn collect<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    cap_bytes: usize,
    account: &MemoryAccount,
    (kind, patience): (HeldKind, Patience),
    on_read: impl Fn(usize),
) -> Result<Bytes, CollectError> {
    let cap_bytes = cap_bytes.min(usize::try_from(account.holding_max_bytes()).unwrap_or(usize::MAX));
    if body.size_hint().lower() > cap_bytes as u64 {
        return Err(CollectError::TooLarge);
    }
    let exact_bytes = body.size_hint().exact().map(|bytes| bytes as usize);
    if exact_bytes == Some(0) {
        return Ok(Bytes::new());
    }
    let buffer = ChargedBuffer::new(account, kind, exact_bytes, patience).await;
    let mut buffer = buffer.ok_or(CollectError::NoRoom)?;
    while let Some(frame) = body.frame().await {
        // Trailers are not forwarded.
        let Ok(data) = frame.map_err(|_| CollectError::Broken)?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > cap_bytes {
            return Err(CollectError::TooLarge);
        }
        on_read(data.len());
        if !buffer.push(&data).await {
            return Err(CollectError::NoRoom);
        }
    }
    Ok(buffer.freeze())
}
