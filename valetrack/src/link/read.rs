//! Reads frames from streams into charged memory.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use quinn::{ReadError, RecvStream};
use snafu::{ResultExt, Snafu};
use tokio::time::{error::Elapsed, timeout};

use super::codec::{self, FrameError, Head, LENGTH_BYTES};
use super::message::BODY_MAX_BYTES;
use crate::memory::{ChargedBuffer, HeldKind, MemoryAccount, Patience};

/// Largest part of a frame that is read at once.
const CHUNK_MAX_BYTES: usize = 64 * 1024;

/// Error of reading a frame.
#[derive(Debug, Snafu)]
pub enum FrameReadError {
    /// The stream or its link ended.
    #[snafu(display("the stream ended: {source}"))]
    Stream {
        /// Cause.
        source: ReadError,
    },
    /// No further bytes arrived in time.
    #[snafu(display("no bytes arrived in time"))]
    Late {
        /// Cause.
        source: Elapsed,
    },
    /// The frame is invalid.
    #[snafu(display("{source}"))]
    Frame {
        /// Cause.
        source: FrameError,
    },
    /// There is no memory for the body.
    #[snafu(display("there is no memory for the body"))]
    NoRoom,
}

/// Time until the first bytes of a frame arrive, and until further ones do.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Time until the first bytes.
    pub first: Duration,
    /// Time until the next bytes.
    pub idle: Duration,
}

/// Reads one frame from a stream.
pub struct FrameReader<'a> {
    receive: &'a mut RecvStream,
    pace: Option<Pace>,
    received_bytes: usize,
    on_received: &'a mut dyn FnMut(usize),
}

impl<'a> FrameReader<'a> {
    /// Returns a reader that calls `on_received` with the number of bytes that have arrived whenever further ones have.
    pub fn new(receive: &'a mut RecvStream, pace: Option<Pace>, on_received: &'a mut dyn FnMut(usize)) -> Self {
        Self { receive, pace, received_bytes: 0, on_received }
    }

    /// Reads the head, and returns it with the bytes behind it that have arrived.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends, the next bytes are late, or the head is invalid.
    pub async fn head<H: Head>(&mut self) -> Result<(H, Bytes), FrameReadError> {
        let mut received = BytesMut::new();
        loop {
            let wanted = codec::head_end(&received).context(FrameSnafu)?;
            if received.len() >= wanted {
                let head = codec::unpack_head(&received[LENGTH_BYTES..wanted]).context(FrameSnafu)?;
                return Ok((head, received.freeze().slice(wanted..)));
            }
            match self.next().await? {
                Some(chunk) => received.extend_from_slice(&chunk),
                None => return FrameError::WrongLength { got: received.len(), wanted }.fail(),
            }
        }
    }

    /// Reads the body behind a head up to the end of the stream; `begun` are its first bytes. The body is charged to
    /// `memory`.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends early, the next bytes are late, the body does not have the length that the
    /// head states, or there is no memory for it. No byte of a body of known length is kept in the last case.
    pub async fn body<H: Head>(
        &mut self,
        head: &H,
        begun: Bytes,
        memory: &MemoryAccount,
        (kind, patience): (HeldKind, Patience),
    ) -> Result<Bytes, FrameReadError> {
        let wanted = head.body_bytes();
        let max_bytes = wanted.unwrap_or(BODY_MAX_BYTES);
        if max_bytes > BODY_MAX_BYTES {
            return FrameError::BodyTooLarge { bytes: max_bytes }.fail();
        }
        let buffer = ChargedBuffer::new(memory, kind, wanted, patience).await;
        let mut buffer = buffer.ok_or(FrameReadError::NoRoom)?;
        let mut next = Some(begun);
        while let Some(chunk) = next {
            let got = buffer.len() + chunk.len();
            if got > max_bytes {
                return match wanted {
                    Some(wanted) => FrameError::WrongLength { got, wanted }.fail(),
                    None => FrameError::BodyTooLarge { bytes: got }.fail(),
                };
            }
            if !buffer.push(&chunk).await {
                return Err(FrameReadError::NoRoom);
            }
            next = self.next().await?;
        }
        match wanted {
            Some(wanted) if wanted != buffer.len() => FrameError::WrongLength { got: buffer.len(), wanted }.fail(),
            Some(_) | None => Ok(buffer.freeze()),
        }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, FrameReadError> {
        let next = self.receive.read_chunk(CHUNK_MAX_BYTES, true);
        let limit = self.pace.map(|pace| if self.received_bytes == 0 { pace.first } else { pace.idle });
        let next = match limit {
            Some(limit) => timeout(limit, next).await.context(LateSnafu)?,
            None => next.await,
        };
        let chunk = next.context(StreamSnafu)?.map(|chunk| chunk.bytes);
        if let Some(chunk) = &chunk {
            self.received_bytes += chunk.len();
            (self.on_received)(self.received_bytes);
        }
        Ok(chunk)
    }
}

impl FrameError {
    const fn fail<T>(self) -> Result<T, FrameReadError> {
        Err(FrameReadError::Frame { source: self })
    }
}
