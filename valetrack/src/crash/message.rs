//! Messages of crashes: what is told of one, and what is to be done with a call.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::fingerprint::{Fingerprint, FingerprintKey};
use crate::link::message::CallHead;
use crate::link::peer::Target;

/// Calls of one report that are told: an upstream runs some tens of calls at once, and whatever is left out
/// is told by the next crash.
pub const SUSPECTS_MAX: usize = 64;

/// A call while an upstream runs it.
#[derive(Debug)]
pub struct RunningCall {
    /// Its head.
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
}

/// Names one crash; unique over all nodes and restarts, later ones are greater.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// Hybrid clock of the node when it saw the crash.
    pub hlc: u64,
    /// Name of the VM whose upstream crashed.
    pub vm: Arc<str>,
}

/// A call that an upstream was running when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Its fingerprint under the key of its report.
    pub fingerprint: Fingerprint,
    /// Whether it is known not to have caused the crash.
    pub cleared: bool,
    /// How often it was put to an upstream for trial since it has been kept from them.
    pub trials: u8,
}

/// One crash of an upstream, with the calls that may have caused it.
///
/// What is known of one crash only grows: suspects are cleared and tried, and never the other way. So copies
/// of a report are joined in any order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Which crash.
    pub id: CrashId,
    /// Service of the upstream.
    pub service: Arc<str>,
    /// Key of the fingerprints.
    pub key: FingerprintKey,
    /// The calls; none once all of them are cleared.
    pub suspects: Vec<Suspect>,
}

impl CrashReport {
    /// Returns whether all its suspects are cleared.
    pub fn is_over(&self) -> bool {
        self.suspects.iter().all(|suspect| suspect.cleared)
    }

    /// Joins another copy of the same report; returns whether it said more.
    pub fn join(&mut self, other: &Self) -> bool {
        let before = self.clone();
        if other.is_over() {
            self.suspects.clear();
        }
        for suspect in &mut self.suspects {
            let told = other.suspects.iter().find(|told| told.fingerprint == suspect.fingerprint);
            if let Some(told) = told {
                suspect.cleared |= told.cleared;
                suspect.trials = suspect.trials.max(told.trials);
            }
        }
        if self.is_over() {
            self.suspects.clear();
        }
        *self != before
    }
}

/// One suspect in one report.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct SuspectRef {
    /// The crash.
    pub crash: CrashId,
    /// The suspect's fingerprint there.
    pub fingerprint: Fingerprint,
}

/// What is to be done with a call before it is put to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Nothing speaks against it.
    Clear,
    /// It may have crashed an upstream: no second such call runs beside it, so that a crash tells which of
    /// them it was.
    Alone,
    /// It is kept from upstreams, and this time it is tried whether it still crashes them; it runs as one of the
    /// former.
    Trial,
    /// It has crashed upstreams too often and is kept from them.
    Refused,
}

/// Something for the thread of crashes.
#[derive(Debug)]
pub enum CrashJob {
    /// The upstream beside this node has crashed while it ran these calls.
    Crashed {
        /// Key of their fingerprints.
        key: FingerprintKey,
        /// The calls.
        calls: Vec<CrashedCall>,
        /// Told when the nodes that may run the calls next have heard of it, or could not be reached.
        told: oneshot::Sender<()>,
    },
    /// A call that was a suspect got a whole answer.
    Answered {
        /// Where it stood.
        refs: Vec<SuspectRef>,
    },
    /// Another node tells of crashes.
    Heard {
        /// Its VM.
        from: Arc<str>,
        /// What it knows.
        reports: Vec<CrashReport>,
    },
    /// The store holds these reports of one service.
    Stored {
        /// The service.
        service: Arc<str>,
        /// The value.
        value: Vec<u8>,
    },
    /// The store has come back older: what it held is not to be relied on until it has been read again.
    StoreOlder,
    /// A call that is kept from upstreams is to be put to one for trial.
    Trial {
        /// Where it stands.
        suspect_ref: SuspectRef,
        /// Told whether the trial was granted.
        granted: oneshot::Sender<bool>,
    },
    /// Another node has just started and knows nothing.
    Tell {
        /// Which.
        target: Target,
    },
}

/// A call under which an upstream has crashed, as it is reported.
#[derive(Debug, Clone)]
pub struct CrashedCall {
    /// Its fingerprint under the key of the report.
    pub fingerprint: Fingerprint,
    /// Where it stood before.
    pub refs: Vec<SuspectRef>,
    /// Its route, whose services may get it next; empty where routes have none.
    pub route: Arc<str>,
}
