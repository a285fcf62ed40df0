//! Heads and bodies on a stream: pure packing and unpacking with caps.

use bytes::{BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use super::message::{Ask, BODY_MAX_BYTES, HEAD_MAX_BYTES, Reply, ReplyHead};
use crate::code::Code;
use crate::member::StoreNews;

/// Bytes of the length before a head.
pub const LENGTH_BYTES: usize = 4;

/// Why a frame could not be read.
#[derive(Debug, Snafu, PartialEq, Eq)]
pub enum FrameError {
    /// The head is over its cap.
    #[snafu(display("head of {bytes} bytes is over {HEAD_MAX_BYTES}"))]
    HeadTooLarge {
        /// Its length, in bytes.
        bytes: usize,
    },
    /// The body is over its cap.
    #[snafu(display("body of {bytes} bytes is over {BODY_MAX_BYTES}"))]
    BodyTooLarge {
        /// Its length, in bytes.
        bytes: usize,
    },
    /// The stream ended before the frame did, or went on after it.
    #[snafu(display("frame of {got} bytes where {wanted} were announced"))]
    WrongLength {
        /// Bytes that came.
        got: usize,
        /// Bytes that were announced.
        wanted: usize,
    },
    /// The head does not decode.
    #[snafu(display("head does not decode"))]
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

/// A head that knows how long its body is.
pub trait Head: Serialize + DeserializeOwned {
    /// Returns the announced length of the body, in bytes; none where any length up to the cap
    /// is right.
    fn body_bytes(&self) -> Option<usize>;
}

impl Head for Ask {
    fn body_bytes(&self) -> Option<usize> {
        match self {
            Self::Run(call) | Self::RunKeyed(call) => Some(call.body_bytes as usize),
            Self::Cancel(_)
            | Self::Probe
            | Self::Gossip { .. }
            | Self::Bundle
            | Self::Evacuation
            | Self::Follow { .. }
            | Self::Runs
            | Self::Quota { .. }
            | Self::Crashes { .. } => Some(0),
        }
    }
}

impl Head for ReplyHead {
    fn body_bytes(&self) -> Option<usize> {
        match &self.reply {
            Reply::Answer(answer) => Some(answer.body_bytes as usize),
            Reply::News { body_bytes, .. } => Some(*body_bytes as usize),
            // The text is checked against its version, which is its hash.
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
            | Reply::NoNews => Some(0),
        }
    }
}

/// Packs news of the store into a body: with a bundle among them, they may be larger than a head. Entries of nodes are
/// much alike, so that the body is compressed: to many followers it is most of what a relay sends.
///
/// # Errors
///
/// Returns [`FrameError::Undecodable`] when the news cannot be written, which is a fault of their
/// type.
pub fn pack_news(news: &StoreNews) -> Result<Bytes, FrameError> {
    let packed = postcard::to_allocvec(news).map_err(|_| FrameError::Undecodable)?;
    Ok(Bytes::from(lz4_flex::compress_prepend_size(&packed)))
}

/// Reads what [`pack_news`] has packed.
///
/// # Errors
///
/// Returns [`FrameError::BodyTooLarge`] when the news say to be over [`BODY_MAX_BYTES`], and
/// [`FrameError::Undecodable`] when the body holds no news.
pub fn unpack_news(body: &Bytes) -> Result<StoreNews, FrameError> {
    let size: [u8; LENGTH_BYTES] =
        body.get(..LENGTH_BYTES).and_then(|size| size.try_into().ok()).ok_or(FrameError::Undecodable)?;
    let bytes = u32::from_le_bytes(size) as usize;
    if bytes > BODY_MAX_BYTES {
        return Err(FrameError::BodyTooLarge { bytes });
    }
    let packed = lz4_flex::decompress_size_prepended(body).map_err(|_| FrameError::Undecodable)?;
    postcard::from_bytes(&packed).map_err(|_| FrameError::Undecodable)
}

/// Packs the length and the head; the body is sent behind it as it is.
///
/// # Errors
///
/// Returns [`FrameError::HeadTooLarge`] when the head is over [`HEAD_MAX_BYTES`].
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

/// Unpacks a whole stream into its head and its body.
///
/// # Errors
///
/// Returns a [`FrameError`] for anything that is cut short, too long, over a cap or undecodable.
pub fn unpack<H: Head>(mut frame: Bytes) -> Result<(H, Bytes), FrameError> {
    let length: [u8; LENGTH_BYTES] = frame
        .get(..LENGTH_BYTES)
        .and_then(|bytes| bytes.try_into().ok())
        .ok_or(FrameError::WrongLength { got: frame.len(), wanted: LENGTH_BYTES })?;
    let head_bytes = u32::from_be_bytes(length) as usize;
    if head_bytes > HEAD_MAX_BYTES {
        return Err(FrameError::HeadTooLarge { bytes: head_bytes });
    }
    let wanted = LENGTH_BYTES + head_bytes;
    if frame.len() < wanted {
        return Err(FrameError::WrongLength { got: frame.len(), wanted });
    }
    let body = frame.split_off(wanted);
    let (head, rest): (H, &[u8]) =
        postcard::take_from_bytes(&frame[LENGTH_BYTES..]).map_err(|_| FrameError::Undecodable)?;
    if !rest.is_empty() {
        return Err(FrameError::Undecodable);
    }
    if body.len() > BODY_MAX_BYTES {
        return Err(FrameError::BodyTooLarge { bytes: body.len() });
    }
    match head.body_bytes() {
        Some(wanted) if wanted != body.len() => Err(FrameError::WrongLength { got: body.len(), wanted }),
        Some(_) | None => Ok((head, body)),
    }
}
