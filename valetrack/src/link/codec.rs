//! Encodes and decodes frames (a head and a body on one stream) within size limits; does no I/O.

use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use super::message::{Ask, BODY_MAX_BYTES, HEAD_MAX_BYTES, Reply, ReplyHead, TEXT_MAX_BYTES};
use crate::code::Code;
use crate::member::StoreUpdate;

/// Size of the length prefix in front of a head.
pub const LENGTH_BYTES: usize = 4;

/// Error of encoding or decoding a frame.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum FrameError {
    /// The head exceeds [`HEAD_MAX_BYTES`].
    #[snafu(display("head of {bytes} bytes exceeds the limit of {HEAD_MAX_BYTES}"))]
    HeadTooLarge {
        /// Length of the head.
        bytes: usize,
    },
    /// The body exceeds [`BODY_MAX_BYTES`].
    #[snafu(display("body of {bytes} bytes exceeds the limit of {BODY_MAX_BYTES}"))]
    BodyTooLarge {
        /// Length of the body.
        bytes: usize,
    },
    /// The stream is shorter or longer than the lengths in the frame say.
    #[snafu(display("frame has {got} bytes, expected {wanted}"))]
    WrongLength {
        /// Bytes received.
        got: usize,
        /// Bytes expected from the length prefix or the head.
        wanted: usize,
    },
    /// The head or the body cannot be encoded or decoded.
    #[snafu(display("frame cannot be decoded"))]
    Undecodable,
}

impl FrameError {
    /// Returns the numbered code.
    pub const fn code(&self) -> Code {
        match self {
            Self::HeadTooLarge { .. } | Self::BodyTooLarge { .. } => Code::FrameTooLarge,
            Self::WrongLength { .. } | Self::Undecodable => Code::FrameInvalid,
        }
    }
}

/// Head of a frame, which states the length of the body.
pub trait Head: Serialize + DeserializeOwned {
    /// Returns the length of the body, or `None` if the head doesn't state one and every length within the limit
    /// is accepted.
    fn body_bytes(&self) -> Option<usize>;
}

impl Head for Ask {
    fn body_bytes(&self) -> Option<usize> {
        match self {
            Self::Run(call) | Self::RunKeyed(call) => Some(call.body_bytes as usize),
            Self::Cancel(_)
            | Self::Probe
            | Self::Gossip { .. }
            | Self::Bundle { .. }
            | Self::Evacuation
            | Self::Follow { .. }
            | Self::Runs
            | Self::Quota { .. }
            | Self::Crashes { .. }
            | Self::Departure(_) => Some(0),
        }
    }
}

impl Head for ReplyHead {
    fn body_bytes(&self) -> Option<usize> {
        match &self.reply {
            Reply::Answer(answer) => Some(answer.body_bytes as usize),
            Reply::News { body_bytes, .. } => Some(*body_bytes as usize),
            // The receiver verifies the text against the version, which is the hash of the text.
            Reply::Bundle { .. } => None,
            Reply::Bounce { .. }
            | Reply::Moved { .. }
            | Reply::NotHome { .. }
            | Reply::Cancelled { .. }
            | Reply::Load
            | Reply::Gossip { .. }
            | Reply::Evacuation(_)
            | Reply::Runs(_)
            | Reply::Quota { .. }
            | Reply::NoQuota
            | Reply::FollowersFull
            | Reply::NoNews
            | Reply::BundleFrom { .. }
            | Reply::NoBundle => Some(0),
        }
    }
}

/// Encodes a store update as a body. An update that includes a bundle may exceed the limit of a head. The body is
/// compressed because entries of nodes are very similar and updates are most of the bytes that a relay sends to its
/// followers.
///
/// # Errors
///
/// Returns [`FrameError::Undecodable`] if the update cannot be serialized, which is a bug in its type.
pub fn pack_store_update(news: &StoreUpdate) -> Result<Bytes, FrameError> {
    let packed = postcard::to_allocvec(news).map_err(|_| FrameError::Undecodable)?;
    Ok(Bytes::from(lz4_flex::compress_prepend_size(&packed)))
}

/// Decodes the body of a store update.
///
/// # Errors
///
/// Returns [`FrameError::BodyTooLarge`] if the size prefix exceeds [`TEXT_MAX_BYTES`], and
/// [`FrameError::Undecodable`] if the body is not a valid store update.
pub fn unpack_store_update(body: &Bytes) -> Result<StoreUpdate, FrameError> {
    let size: [u8; LENGTH_BYTES] =
        body.get(..LENGTH_BYTES).and_then(|size| size.try_into().ok()).ok_or(FrameError::Undecodable)?;
    let bytes = u32::from_le_bytes(size) as usize;
    if bytes > TEXT_MAX_BYTES {
        return Err(FrameError::BodyTooLarge { bytes });
    }
    let packed = lz4_flex::decompress_size_prepended(body).map_err(|_| FrameError::Undecodable)?;
    postcard::from_bytes(&packed).map_err(|_| FrameError::Undecodable)
}

/// Encodes the length prefix and the head; the caller sends the body after them unchanged.
///
/// # Errors
///
/// Returns [`FrameError::HeadTooLarge`] if the head exceeds [`HEAD_MAX_BYTES`].
pub fn pack(head: &impl Head) -> Result<Bytes, FrameError> {
    let mut frame = BytesMut::with_capacity(256);
    frame.put_u32(0);
    let frame = postcard::to_extend(head, frame).map_err(|_| FrameError::Undecodable)?;
    let bytes = frame.len() - LENGTH_BYTES;
    if bytes > HEAD_MAX_BYTES {
        return Err(FrameError::HeadTooLarge { bytes });
    }
    let mut frame = frame;
    frame[..LENGTH_BYTES].copy_from_slice(&(bytes as u32).to_be_bytes());
    Ok(frame.freeze())
}

/// Returns where the head at the start of a frame ends; the end of its length prefix while that is incomplete.
///
/// # Errors
///
/// Returns [`FrameError::HeadTooLarge`] if the length prefix exceeds [`HEAD_MAX_BYTES`].
pub fn head_end(frame: &[u8]) -> Result<usize, FrameError> {
    let Some(Ok(length)) = frame.get(..LENGTH_BYTES).map(<[u8; LENGTH_BYTES]>::try_from) else {
        return Ok(LENGTH_BYTES);
    };
    let bytes = u32::from_be_bytes(length) as usize;
    if bytes > HEAD_MAX_BYTES {
        return Err(FrameError::HeadTooLarge { bytes });
    }
    Ok(LENGTH_BYTES + bytes)
}

/// Decodes a head.
///
/// # Errors
///
/// Returns [`FrameError::Undecodable`] if the bytes are not exactly one valid head.
pub fn unpack_head<H: Head>(bytes: &[u8]) -> Result<H, FrameError> {
    let (head, rest): (H, &[u8]) = postcard::take_from_bytes(bytes).map_err(|_| FrameError::Undecodable)?;
    if rest.is_empty() { Ok(head) } else { Err(FrameError::Undecodable) }
}

/// Splits the contents of a stream into the decoded head and the body.
///
/// # Errors
///
/// Returns a [`FrameError`] if the frame is truncated, has trailing bytes, exceeds a limit or cannot be decoded.
pub fn unpack<H: Head>(mut frame: Bytes) -> Result<(H, Bytes), FrameError> {
    let wanted = head_end(&frame)?;
    if frame.len() < wanted {
        return Err(FrameError::WrongLength { got: frame.len(), wanted });
    }
    let body = frame.split_off(wanted);
    let head: H = unpack_head(&frame[LENGTH_BYTES..])?;
    if body.len() > BODY_MAX_BYTES {
        return Err(FrameError::BodyTooLarge { bytes: body.len() });
    }
    match head.body_bytes() {
        Some(wanted) if wanted != body.len() => Err(FrameError::WrongLength { got: body.len(), wanted }),
        Some(_) | None => Ok((head, body)),
    }
}
