//! Buffer for a body, whose memory is charged before it is filled.

use bytes::Bytes;
use memmap2::MmapMut;

use super::account::{Charge, MemoryAccount, Patience};
use super::budget::HeldKind;

/// Buffers from this size on are mapped, so that their memory returns to the system as soon as they are dropped. The
/// allocator would keep it.
const MAPPED_MIN_BYTES: usize = 128 * 1024;
/// First capacity of a buffer for a body of unknown length.
const FIRST_BYTES: usize = 8 * 1024;
/// Step in which the bytes of a growing buffer are charged.
const STEP_BYTES: usize = 64 * 1024;

/// Memory of a buffer.
#[derive(Debug)]
enum Memory {
    Allocated(Vec<u8>),
    /// Pages without contents take no memory.
    Mapped(MmapMut),
}

impl Memory {
    fn new(capacity: usize) -> Option<Self> {
        if capacity < MAPPED_MIN_BYTES {
            return Some(Self::Allocated(vec![0; capacity]));
        }
        match MmapMut::map_anon(capacity) {
            Ok(mapped) => Some(Self::Mapped(mapped)),
            Err(error) => {
                log::warn!("event=memory.map_failed bytes={capacity} reason=\"{error}\"");
                None
            }
        }
    }

    fn as_mut(&mut self) -> &mut [u8] {
        match self {
            Self::Allocated(bytes) => bytes,
            Self::Mapped(bytes) => bytes,
        }
    }
}

impl AsRef<[u8]> for Memory {
    fn as_ref(&self) -> &[u8] {
        match self {
            Self::Allocated(bytes) => bytes,
            Self::Mapped(bytes) => bytes,
        }
    }
}

/// Buffer for a body.
#[derive(Debug)]
pub struct ChargedBuffer {
    memory: Memory,
    filled_bytes: usize,
    charge: Charge,
    patience: Patience,
}

impl ChargedBuffer {
    /// Returns a buffer for a body of `exact_bytes`, or of unknown length if there are none; none without room for it.
    pub async fn new(
        account: &MemoryAccount,
        kind: HeldKind,
        exact_bytes: Option<usize>,
        patience: Patience,
    ) -> Option<Self> {
        let capacity = exact_bytes.unwrap_or(FIRST_BYTES);
        let charge = account.charge(kind, capacity as u64, patience).await?;
        Some(Self { memory: Memory::new(capacity)?, filled_bytes: 0, charge, patience })
    }

    /// Returns the number of bytes in the buffer.
    pub const fn len(&self) -> usize {
        self.filled_bytes
    }

    /// Returns whether the buffer holds no bytes.
    pub const fn is_empty(&self) -> bool {
        self.filled_bytes == 0
    }

    /// Appends bytes; returns whether there was room for them.
    pub async fn push(&mut self, bytes: &[u8]) -> bool {
        let needed = self.filled_bytes + bytes.len();
        if needed > self.memory.as_ref().len() && !self.enlarge(needed).await {
            return false;
        }
        let charged = needed.next_multiple_of(STEP_BYTES).min(self.memory.as_ref().len());
        if !self.charge.grow(charged as u64, self.patience).await {
            return false;
        }
        self.memory.as_mut()[self.filled_bytes..needed].copy_from_slice(bytes);
        self.filled_bytes = needed;
        true
    }

    /// Moves the bytes to a larger buffer, and charges both meanwhile.
    async fn enlarge(&mut self, needed: usize) -> bool {
        let capacity = needed.max(2 * self.memory.as_ref().len());
        let copied = if capacity < MAPPED_MIN_BYTES { capacity } else { self.filled_bytes };
        let charged = self.charge.bytes();
        if !self.charge.grow(charged + copied as u64, self.patience).await {
            return false;
        }
        let Some(mut memory) = Memory::new(capacity) else {
            return false;
        };
        memory.as_mut()[..self.filled_bytes].copy_from_slice(&self.memory.as_ref()[..self.filled_bytes]);
        self.memory = memory;
        self.charge.shrink(charged.max(copied as u64));
        true
    }

    /// Returns the bytes, which stay charged until their last copy is dropped.
    pub fn freeze(self) -> Bytes {
        let Self { memory, filled_bytes, charge, .. } = self;
        if filled_bytes == 0 {
            return Bytes::new();
        }
        Bytes::from_owner(ChargedBytes { memory, _charge: charge }).slice(..filled_bytes)
    }
}

/// Charged bytes of a body.
struct ChargedBytes {
    memory: Memory,
    _charge: Charge,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        self.memory.as_ref()
    }
}
