//! Text of a bundle as nodes send it to each other: compressed once for each version, in parts.

use std::sync::Arc;

use bytes::Bytes;

use super::message::version_of;
use crate::link::message::TEXT_MAX_BYTES;

/// Size of a part. Parts are short compared with the links, so that a transfer that is given up loses little and other
/// messages are not held up.
pub const PART_BYTES: usize = 32 * 1024;

/// Number of texts that are kept for other nodes, so that a transfer that is in progress when the next bundle is published
/// can end.
const KEPT_MAX: usize = 3;

/// A published text, compressed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackedText {
    /// Number of the bundle.
    pub number: u64,
    /// Hash of the text.
    pub version: Arc<str>,
    packed: Bytes,
}

impl PackedText {
    /// Compresses a text.
    pub fn pack(number: u64, version: &str, text: &str) -> Self {
        let packed = Bytes::from(lz4_flex::compress_prepend_size(text.as_bytes()));
        Self { number, version: Arc::from(version), packed }
    }

    /// Creates a text from what another node has sent.
    pub fn from_parts(number: u64, version: Arc<str>, packed: Bytes) -> Self {
        Self { number, version, packed }
    }

    /// Returns the compressed size.
    pub fn packed_bytes(&self) -> u32 {
        self.packed.len() as u32
    }

    /// Returns the part that begins at an offset.
    pub fn part(&self, offset: u32) -> Bytes {
        let from = (offset as usize).min(self.packed.len());
        self.packed.slice(from..(from + PART_BYTES).min(self.packed.len()))
    }

    /// Returns the text; none if it is damaged or larger than a bundle may be.
    pub fn unpack(&self) -> Option<String> {
        let size = self.packed.get(..4)?.try_into().ok().map(u32::from_le_bytes)?;
        if size as usize > TEXT_MAX_BYTES {
            return None;
        }
        let text = String::from_utf8(lz4_flex::decompress_size_prepended(&self.packed).ok()?).ok()?;
        (version_of(&text) == *self.version).then_some(text)
    }
}

/// The latest published texts that a node has, the latest first.
#[derive(Debug, Clone, Default)]
pub struct PackedTexts(Vec<Arc<PackedText>>);

impl PackedTexts {
    /// Adds a later text.
    pub fn push(&mut self, text: PackedText) {
        self.0.insert(0, Arc::new(text));
        self.0.truncate(KEPT_MAX);
    }

    /// Returns the text of a version, or the latest one if that is not here, if its number is above `after`.
    pub fn find(&self, version: Option<&str>, after: u64) -> Option<&Arc<PackedText>> {
        let requested = version.and_then(|version| self.0.iter().find(|text| *text.version == *version));
        requested.or(self.0.first()).filter(|text| text.number > after)
    }
}
