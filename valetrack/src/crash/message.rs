//! Messages about crashes: reports, jobs for the crash thread, and decisions on calls.

use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::fingerprint::{Fingerprint, FingerprintKey};
use crate::link::message::CallHead;
use crate::link::peer::Target;

/// Maximum number of calls in one report: an upstream runs some tens of calls at once, and a cause that is left out is
/// reported at its next crash.
pub const SUSPECTS_MAX: usize = 64;

/// A call that an upstream is running.
#[derive(Debug)]
pub struct RunningCall {
    /// Its head.
    pub head: CallHead,
    /// Its body.
    pub body: Bytes,
}

/// Identifies one crash: it is unique over all nodes and restarts, and a later crash has a greater one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// Hybrid clock of the node at the time when it detected the crash.
    pub hlc: u64,
    /// Name of the VM whose upstream crashed.
    pub vm: Arc<str>,
}

/// A call that an upstream was running when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Its fingerprint under the key of its report.
    pub fingerprint: Fingerprint,
    /// Whether the call was shown not to have caused the crash.
    pub cleared: bool,
    /// Number of trials on an upstream since the call has been kept from upstreams.
    pub trials: u8,
}

/// One crash of an upstream, with the calls that may have caused it.
///
/// A report only grows: suspects become cleared and trials are added, and neither is undone. So copies of a report can
/// be merged in any order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Identifier of the crash.
    pub id: CrashId,
    /// Service of the upstream.
    pub service: Arc<str>,
    /// Key of the fingerprints.
    pub key: FingerprintKey,
    /// Suspected calls; empty once all of them are cleared.
    pub suspects: Vec<Suspect>,
}

impl CrashReport {
    /// Returns whether all its suspects are cleared.
    pub fn is_over(&self) -> bool {
        self.suspects.iter().all(|suspect| suspect.cleared)
    }

    /// Merges another copy of the same report; returns whether it added anything.
    pub fn join(&mut self, other: &Self) -> bool {
        let before = self.clone();
        if other.is_over() {
            self.suspects.clear();
        }
        for suspect in &mut self.suspects {
            let copy = other.suspects.iter().find(|copy| copy.fingerprint == suspect.fingerprint);
            if let Some(copy) = copy {
                suspect.cleared |= copy.cleared;
                suspect.trials = suspect.trials.max(copy.trials);
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
    /// Crash of the report.
    pub crash: CrashId,
    /// Fingerprint of the suspect in that report.
    pub fingerprint: Fingerprint,
}

/// Decision on a call before it is sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The call is not a suspect.
    Clear,
    /// The call may have crashed an upstream: no second suspect runs beside it, so that a crash identifies the cause.
    Alone,
    /// The call is kept from upstreams, but runs once as a trial of whether it still crashes them. It runs like
    /// [`Alone`](Self::Alone), beside no other suspect.
    Trial,
    /// The call has crashed upstreams too often and is kept from them.
    Refused,
}

/// Job for the crash thread.
#[derive(Debug)]
pub enum CrashJob {
    /// The upstream beside this node has crashed while it ran these calls.
    Crashed {
        /// Key of their fingerprints.
        key: FingerprintKey,
        /// The calls.
        calls: Vec<CrashedCall>,
        /// Completes when the report was sent to the nodes that may run the calls next, or failed to reach them.
        reported: oneshot::Sender<()>,
    },
    /// A call that was a suspect received a complete answer.
    Answered {
        /// Its entries in the reports.
        refs: Vec<SuspectRef>,
    },
    /// Another node has sent reports.
    Heard {
        /// VM of that node.
        from: Arc<str>,
        /// The reports.
        reports: Vec<CrashReport>,
    },
    /// The store holds a value with reports of one service.
    Stored {
        /// The service.
        service: Arc<str>,
        /// The value.
        value: Vec<u8>,
    },
    /// The store was rolled back: its recorded contents are not valid until it is read again.
    StoreRolledBack,
    /// Requests a trial of a call that is kept from upstreams.
    Trial {
        /// The call's entry in one report.
        suspect_ref: SuspectRef,
        /// Receives whether the trial was granted.
        granted: oneshot::Sender<bool>,
    },
    /// Requests that all reports are sent to a node that has just started.
    SendReports {
        /// That node.
        target: Target,
    },
}

/// A call under which an upstream has crashed, as it is reported.
#[derive(Debug, Clone)]
pub struct CrashedCall {
    /// Its fingerprint under the key of the report.
    pub fingerprint: Fingerprint,
    /// Its entries in earlier reports.
    pub refs: Vec<SuspectRef>,
    /// Its route, whose services may receive it next; empty if it has none.
    pub route: Arc<str>,
}
