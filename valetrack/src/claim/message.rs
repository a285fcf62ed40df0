//! Messages of claims: the page in the store, keyed calls, and the events and actions of a home.

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

/// Identifies a keyed call while it waits at a home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyedCallId(pub u64);

/// An incarnation of a VM that may hold pages.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Home {
    /// Name of the VM.
    pub vm: Arc<str>,
    /// Incarnation of the VM.
    pub incarnation: u64,
}

/// An answer that is kept for later calls with the same key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body; `None` if it was too large to keep.
    pub body: Option<Bytes>,
}

/// Largest body that is kept for later calls with the same key.
pub const KEPT_BODY_MAX_BYTES: usize = 2_048;

impl KeptAnswer {
    /// Returns the answer without its body if the body is too large to keep. A kept body is copied, so that it does not
    /// hold the memory that it was received in.
    pub fn trimmed(&self) -> Self {
        let body = self.body.as_ref().filter(|body| body.len() <= KEPT_BODY_MAX_BYTES);
        let body = body.map(|body| Bytes::copy_from_slice(body));
        Self { status: self.status, headers: self.headers.clone(), body }
    }
}

/// State of a key in a page.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// The key was claimed. Its call may have run or may still run.
    Claimed,
    /// The call ran and returned this answer.
    Finished(KeptAnswer),
    /// The key was claimed by a home that no longer exists. Its call may have run and will never run again.
    Lost,
}

/// One key of a page.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PageEntry {
    pub key: KeyDigest,
    /// Digest of the call that first used the key.
    pub call: u64,
    /// When the key was claimed, in seconds since 1970.
    pub claimed_s: u64,
    /// State of the key.
    pub record: Record,
}

/// The claims of one page of a service, stored as one value.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Page {
    /// The node that decides on the page's keys; `None` after a hand-over.
    pub home: Option<Home>,
    /// How often the page changed its home or was written by another node.
    pub term: u64,
    /// Whether the home may run calls on claims that are not in the store yet.
    pub held: bool,
    /// Until when a key that is missing in the page may have run all the same, in seconds since 1970.
    pub blind_until_s: u64,
    pub entries: Vec<PageEntry>,
}

/// Outcome of the run of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// The call ran.
    Ran(KeptAnswer),
    /// No attempt of the call started, and none will.
    NeverStarted {
        /// Reason of the outcome.
        code: Code,
    },
    /// The call may have run.
    Unknown {
        /// Reason of the outcome.
        code: Code,
    },
}

/// Reply of a home to a keyed call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum KeyedCallReply {
    /// The call ran and returned this answer.
    Ran(KeptAnswer),
    /// The call did not run, for this submission or an earlier one, and will not run unless it is submitted again.
    NotRun {
        /// Reason of the outcome.
        code: Code,
    },
    /// The call may have run.
    Unknown {
        /// Reason of the outcome.
        code: Code,
    },
    /// Another node is the home.
    Moved {
        /// The home of the page.
        home: Home,
    },
    /// This node is not the home, and the home is unknown. Nothing started here.
    NotHome {
        /// [`Code::Leaving`] if the page is about to be handed over, otherwise the reason why the home is unknown.
        code: Code,
    },
    /// The key was used for a different call.
    Reused,
}

/// Event of a page at a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimEvent {
    /// A keyed call was submitted.
    KeyedCall {
        /// Identifies the keyed call.
        id: KeyedCallId,
        key: KeyDigest,
        /// Digest of the call.
        call: u64,
    },
    /// The deadline of a keyed call passed.
    Expire {
        /// Identifies the keyed call.
        id: KeyedCallId,
    },
    /// A run ended.
    RunEnded {
        key: KeyDigest,
        /// Outcome of the run.
        end: RunEnd,
    },
    /// The page was read.
    Read {
        /// Position of the page's last change; the start of the era if the page doesn't exist.
        position: Position,
        /// The page; `None` if it doesn't exist.
        page: Option<Page>,
        /// Whether the store is known not to have been rolled back since the page was written.
        complete: bool,
        /// State of the page's home, as seen by the reader.
        holder: Holder,
    },
    /// The page could not be read.
    ReadFailed,
    /// The write took effect.
    Wrote {
        /// Position of the write.
        position: Position,
    },
    /// Every key that the page may have lost in an era has been written back by the nodes with a record of it, or there
    /// was none.
    Complete {
        /// The era.
        era: Era,
    },
    /// The wait for nodes with a record of lost keys has ended.
    WaitEnded,
    /// The write did not take effect, because the page had changed.
    Refused,
    /// The outcome of the write is unknown.
    WriteLost,
    /// The store may be available again.
    Retry,
    /// The delay for changes that no caller waits for has passed.
    Flush,
    /// The node should become the home before the page is needed.
    Acquire,
    /// The node was paused or cut off for so long that other nodes may have taken it for dead.
    SuspectHold,
    /// The node leaves and hands its page over.
    Release,
}

/// State of the home that a page names, as seen by another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Holder {
    /// The home is probably alive.
    Alive,
    /// The home has missed its heartbeats for too long. It may be paused.
    Unresponsive,
    /// The incarnation of the home has ended, by the VM list or by a later incarnation of the VM.
    Dead,
}

/// Action that a page requests from the I/O shell.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimAction {
    /// Read the page from the store.
    Read,
    /// Write the page if its last change is still at this position.
    Write {
        /// The position; the start of an era if the page must not exist in it.
        expected: Position,
        page: Page,
    },
    /// Run the submitted call.
    Run {
        key: KeyDigest,
        /// The keyed call that is run.
        id: KeyedCallId,
    },
    /// Reply to a caller.
    Reply {
        /// The keyed call that is answered.
        id: KeyedCallId,
        reply: KeyedCallReply,
    },
    /// Send [`ClaimEvent::Retry`] after a pause.
    RetryLater,
    /// Send [`ClaimEvent::Flush`] after a pause.
    FlushLater,
}

/// A keyed call in the queue of the claim thread.
#[derive(Debug)]
pub struct ClaimJob {
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
    /// Receives the reply.
    pub reply: oneshot::Sender<(Reply, Bytes)>,
}
