//! Messages of claims: the page in the store, presses, and what a home does.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::code::Code;
use crate::link::message::{CallHead, Reply};
use crate::store::{Era, Position};

/// Digest of a service and an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest(pub [u8; 16]);

/// Names a caller's press while it waits at a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PressId(pub u64);

/// One life of a VM that may hold pages.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Home {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Which life of it.
    pub incarnation: u64,
}

/// An answer small enough to be kept for callers that press again.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that travel from end to end.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body; none when it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// Largest body that is kept for callers that press again, in bytes.
pub const KEPT_BODY_MAX_BYTES: usize = 2_048;

impl KeptAnswer {
    /// Returns the answer without a body that is too large to keep.
    pub fn trimmed(&self) -> Self {
        let body = self.body.as_ref().filter(|body| body.len() <= KEPT_BODY_MAX_BYTES).cloned();
        Self { status: self.status, headers: self.headers.clone(), body }
    }
}

/// What a page says of a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// It was claimed, and may have run or run later.
    Claimed,
    /// It ran, with this answer.
    Finished(KeptAnswer),
    /// It was claimed by a home that is over, and will never run again.
    Lost,
}

/// One key of a page.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PageEntry {
    /// The key.
    pub key: KeyDigest,
    /// Digest of the call that first used the key.
    pub call: u64,
    /// When it was claimed, in seconds since 1970.
    pub claimed_s: u64,
    /// What is known of it.
    pub record: Record,
}

/// The claims of one page of a service, as one value of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Page {
    /// Who decides on the page's keys; none after a hand-over.
    pub home: Option<Home>,
    /// How often the page changed its home.
    pub term: u64,
    /// Whether its home may run on claims that the store has not seen.
    pub held: bool,
    /// Until when a key that the page lacks may have run all the same, in seconds since 1970.
    pub blind_until_s: u64,
    /// The keys.
    pub entries: Vec<PageEntry>,
}

/// How a run of a claimed key ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// It ran.
    Ran(KeptAnswer),
    /// No attempt of it started, and none will.
    NeverStarted {
        /// Why.
        code: Code,
    },
    /// It may have run.
    Unknown {
        /// Why.
        code: Code,
    },
}

/// What a home tells a caller that pressed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PressReply {
    /// It ran; this is the answer.
    Ran(KeptAnswer),
    /// It did not run, under this press or any earlier one, and will not unless pressed again.
    NotRun {
        /// Why.
        code: Code,
    },
    /// It may have run.
    Unknown {
        /// Why.
        code: Code,
    },
    /// Another node is the home.
    Moved {
        /// That node.
        home: Home,
    },
    /// This node is not the home and does not know who is; nothing started here.
    NotHome {
        /// [`Code::Leaving`] when the page is about to be handed over, else why it is not known.
        code: Code,
    },
    /// The key was used for a different call.
    Reused,
}

/// Something that happened to a page at a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimEvent {
    /// A caller pressed.
    Press {
        /// Names this press.
        press: PressId,
        /// The key.
        key: KeyDigest,
        /// Digest of the call.
        call: u64,
    },
    /// The deadline of a press passed.
    Expire {
        /// The press.
        press: PressId,
    },
    /// A run ended.
    RunEnded {
        /// The key.
        key: KeyDigest,
        /// How.
        end: RunEnd,
    },
    /// The page was read.
    Read {
        /// Position of its last change; the start of the era when it does not exist.
        position: Position,
        /// The page; none when it does not exist.
        page: Option<Page>,
        /// Whether it is known that the store has not come back from a copy since the page was written.
        complete: bool,
        /// What the reader knows of the page's home.
        holder: Holder,
    },
    /// The page could not be read.
    ReadFailed,
    /// The write took effect.
    Wrote {
        /// Its position.
        position: Position,
    },
    /// Whatever the page may have lost in an era has been written to it by those who know it, or never was.
    Complete {
        /// The era.
        era: Era,
    },
    /// Others who may know what the page has lost have been waited for long enough.
    Waited,
    /// The write did not take effect, since the page had changed.
    Refused,
    /// The write may or may not have taken effect.
    WriteLost,
    /// The store may be well again.
    Retry,
    /// What no caller waits for has waited long enough.
    Flush,
    /// The node should be the home, so that the page is held before it is needed.
    Acquire,
    /// The node was paused or cut off for so long that it may have been taken for dead.
    Doubt,
    /// The node leaves and hands its page over.
    Release,
}

/// What a node knows of the home that a page names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Holder {
    /// It may well be alive.
    Alive,
    /// It has been silent for longer than a heartbeat allows; it may be paused.
    Silent,
    /// Its life is over, by the VM list or by a later life of the VM.
    Over,
}

/// What the shell of claims must do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimAction {
    /// Read the page from the store.
    Read,
    /// Write the page if it still stands at this position.
    Write {
        /// The position; the start of an era when the page must not exist there.
        expected: Position,
        /// The page.
        page: Page,
    },
    /// Run the call that this press brought.
    Run {
        /// The key.
        key: KeyDigest,
        /// The press that brought it.
        press: PressId,
    },
    /// Tell a caller.
    Reply {
        /// The press.
        press: PressId,
        /// What to say.
        reply: PressReply,
    },
    /// Send [`ClaimEvent::Retry`] after a pause.
    RetryLater,
    /// Send [`ClaimEvent::Flush`] after a pause.
    FlushLater,
}

/// A call with a key, on its way through the ring to the claim thread.
#[derive(Debug)]
pub struct ClaimJob {
    /// The call.
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
    /// Where the reply goes.
    pub reply: oneshot::Sender<(Reply, Bytes)>,
}
