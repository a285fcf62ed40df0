//! Decides for the entry and the gate of a node whether a call may be sent to an upstream, and reports the calls that
//! the node's upstream was running when it crashed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use super::answered::RecentAnswers;
use super::fingerprint::FingerprintKey;
use super::history::{CRASHES_MAX, CallStatus, CrashHistory};
use super::message::{Admission, CrashJob, CrashedCall, RunningCall, SuspectRef};
use crate::clock::now_us;
use crate::code::Code;
use crate::link::message::CallHead;
use crate::metric::Metrics;

/// Maximum time for which the callers of a crashed upstream wait until other nodes have received the report: a few
/// round trips between failure domains and a handshake. A retry that overtakes the report would run beside other
/// suspects.
const REPORT_WAIT_MS: u64 = 30;

/// Divisor of the time to a call's deadline that gives the longest wait until its trial is counted. The rest is left for
/// the run. A trial that is counted later is used up without a run, and the next one is minutes later.
const TRIAL_WAIT_DIVISOR: u32 = 2;

/// A node's checks against calls that crash upstreams, used by the thread that handles its calls.
pub struct Quarantine {
    history: watch::Receiver<Arc<CrashHistory>>,
    /// Key for fingerprints if the history has none; `None` if the system returned no random bytes.
    key: Option<FingerprintKey>,
    to_crash: Sender<CrashJob>,
    answers: RefCell<RecentAnswers>,
    /// Whether a trial is being counted.
    counting: Cell<bool>,
    metrics: Arc<Metrics>,
}

impl Quarantine {
    /// Creates a quarantine that reads the history of the crash thread.
    pub fn new(
        history: watch::Receiver<Arc<CrashHistory>>,
        to_crash: Sender<CrashJob>,
        metrics: Arc<Metrics>,
    ) -> Rc<Self> {
        let key = FingerprintKey::draw();
        if key.is_none() {
            log::error!("event=crash.key_unavailable reason=\"the system returned no random bytes\"");
        }
        Rc::new(Self { history, key, to_crash, answers: RefCell::default(), counting: Cell::new(false), metrics })
    }

    /// Returns the status of a call if it is a suspect.
    fn suspect_status(&self, head: &CallHead, body: &[u8]) -> Option<CallStatus> {
        let history = self.history.borrow();
        if !history.has_suspects() {
            return None;
        }
        Some(history.status(head, body)).filter(|status| status.crashes() > 0)
    }

    /// Returns whether the entry has to refuse a call at once, because no owner would run it.
    pub fn refuses(&self, head: &CallHead, body: &[u8]) -> bool {
        let Some(status) = self.suspect_status(head, body).filter(CallStatus::is_refused) else {
            return false;
        };
        if status.trial_due_us().is_some_and(|due_us| now_us() >= due_us) {
            // The owner decides on trials.
            return false;
        }
        self.record_refused(head, &status, "entry");
        true
    }

    /// Returns whether an owner may send a call to its upstream. If a trial is due, it waits until the trial is counted
    /// in the store, for at most half of the time to the call's deadline.
    pub async fn admit(&self, head: &CallHead, body: &[u8]) -> Admission {
        let Some(status) = self.suspect_status(head, body) else {
            return Admission::Clear;
        };
        if !status.is_refused() {
            return Admission::Alone;
        }
        let is_due = status.trial_due_us().is_some_and(|due_us| now_us() >= due_us);
        if let (true, Some(suspect_ref)) = (is_due, status.refs.first())
            && self.count_trial(suspect_ref, head.deadline_ms / TRIAL_WAIT_DIVISOR).await
        {
            log::warn!(
                "event=crash.trial call={} fingerprint={} trials={}",
                head.call_id,
                suspect_ref.fingerprint,
                status.trials + 1
            );
            return Admission::Trial;
        }
        self.record_refused(head, &status, "owner");
        Admission::Refused
    }

    /// Returns whether an admitted call must not run after all, because crashes were reported while it waited for a
    /// slot.
    pub fn forbids(&self, admission: Admission, call: &RunningCall) -> bool {
        let status = match admission {
            Admission::Trial => None,
            Admission::Clear | Admission::Alone | Admission::Refused => self.suspect_status(&call.head, &call.body),
        };
        let Some(status) = status.filter(CallStatus::is_refused) else {
            return false;
        };
        self.record_refused(&call.head, &status, "owner");
        true
    }

    /// Requests a trial of a call from the crash thread; returns whether it was counted within `wait_ms`, which is true
    /// on one node only.
    async fn count_trial(&self, suspect_ref: &SuspectRef, wait_ms: u32) -> bool {
        if self.counting.replace(true) {
            return false;
        }
        let (granted, answer) = oneshot::channel();
        let sent = self.to_crash.send(CrashJob::Trial { suspect_ref: suspect_ref.clone(), granted }).await;
        let answer = timeout(Duration::from_millis(wait_ms.into()), answer).await;
        self.counting.set(false);
        sent.is_ok() && matches!(answer, Ok(Ok(true)))
    }

    fn record_refused(&self, head: &CallHead, status: &CallStatus, by: &str) {
        self.metrics.quarantined_calls.with_label_values(&[&*head.service, by]).inc();
        let fingerprint = status.refs.first().map(|suspect_ref| suspect_ref.fingerprint);
        log::warn!(
            "event=crash.refused call={} code={} fingerprint={} crashes={} since_ms={} trials={} from={} by={by}",
            head.call_id,
            Code::Quarantined,
            fingerprint.map_or_else(String::new, |fingerprint| fingerprint.to_string()),
            status.crashes(),
            now_us().saturating_sub(status.since_us) / 1000,
            status.trials,
            status.from.as_deref().unwrap_or("-")
        );
    }

    /// Records a complete answer to a call, and clears the call if it is a suspect: it has not crashed this upstream.
    pub fn answered(&self, head: &CallHead, body: &[u8]) {
        if let Some(key) = self.key {
            self.answers.borrow_mut().answered(key, head, body, now_us());
        }
        if let Some(status) = self.suspect_status(head, body) {
            log::info!("event=crash.cleared call={} crashes={}", head.call_id, status.crashes());
            // If the queue is full, the next answer to the call clears it.
            let _ = self.to_crash.try_send(CrashJob::Answered { refs: status.refs });
        }
    }

    /// Reports that the upstream has crashed while it ran these calls, and waits until the report was sent to the nodes
    /// that may run them next, for at most [`REPORT_WAIT_MS`].
    pub async fn report(&self, running: &[Rc<RunningCall>]) {
        let Some(own) = self.key else {
            return;
        };
        let key = self.history.borrow().key_for_report(own);
        let mut calls: Vec<CrashedCall> = Vec::new();
        for call in running {
            let RunningCall { head, body } = &**call;
            if self.answers.borrow().holds(own, head, body, now_us()) {
                continue;
            }
            let fingerprint = key.fingerprint(head, body);
            if calls.iter().all(|other| other.fingerprint != fingerprint) {
                let refs = self.suspect_status(head, body).map_or_else(Vec::new, |status| status.refs);
                calls.push(CrashedCall { fingerprint, refs, route: head.route.clone() });
            }
        }
        self.metrics.crash_reports.inc();
        if calls.is_empty() {
            return;
        }
        for call in &calls {
            let crashes = call.refs.len() + 1;
            log::warn!("event=crash.suspect fingerprint={} crashes={crashes} limit={CRASHES_MAX}", call.fingerprint);
        }
        let (reported, all_reported) = oneshot::channel();
        if self.to_crash.send(CrashJob::Crashed { key, calls, reported }).await.is_ok() {
            // Nodes that were not reached by then read the report from the store.
            let _ = timeout(Duration::from_millis(REPORT_WAIT_MS), all_reported).await;
        }
    }
}
