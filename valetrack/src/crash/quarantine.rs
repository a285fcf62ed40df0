//! What the entry and the gate of a node ask of the crashes that it knows: whether a call may go to an
//! upstream, and what they tell of calls under which theirs has crashed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use super::answered::RecentAnswers;
use super::fingerprint::FingerprintKey;
use super::history::{CRASHES_MAX, CrashHistory, Standing};
use super::message::{Admission, CrashJob, CrashedCall, RunningCall, SuspectRef};
use crate::clock::now_us;
use crate::code::Code;
use crate::link::message::CallHead;
use crate::metric::Metrics;

/// Longest time for which callers of a crashed upstream wait until others have heard of the crash, in
/// milliseconds: some ways between failure domains and back, and a handshake. A repeat that overtakes the
/// news would run beside other suspects.
const TELL_MS: u64 = 30;

/// Longest time for which a call waits until its trial is counted, in milliseconds: many times what a store
/// that serves takes. One that is counted later is a trial less.
const TRIAL_MS: u64 = 200;

/// One node's view of calls that crash upstreams, on the thread of its calls.
pub struct Quarantine {
    history: watch::Receiver<Arc<CrashHistory>>,
    /// Key of the fingerprints that this node makes where the history has none; none without randomness.
    key: Option<FingerprintKey>,
    to_crash: Sender<CrashJob>,
    answers: RefCell<RecentAnswers>,
    /// Whether a trial is being counted.
    counting: Cell<bool>,
    metrics: Arc<Metrics>,
}

impl Quarantine {
    /// Makes a quarantine on the history that the thread of crashes keeps.
    pub fn new(
        history: watch::Receiver<Arc<CrashHistory>>,
        to_crash: Sender<CrashJob>,
        metrics: Arc<Metrics>,
    ) -> Rc<Self> {
        let key = FingerprintKey::draw();
        if key.is_none() {
            log::error!("event=crash.no_key reason=\"no randomness\"");
        }
        Rc::new(Self { history, key, to_crash, answers: RefCell::default(), counting: Cell::new(false), metrics })
    }

    /// Returns what is known of a call, if anything is held against any call.
    fn standing(&self, head: &CallHead, body: &[u8]) -> Option<Standing> {
        let history = self.history.borrow();
        if !history.has_suspects() {
            return None;
        }
        Some(history.standing(head, body)).filter(|standing| standing.crashes() > 0)
    }

    /// Returns whether an entry is to refuse a call at once, since no owner would run it.
    pub fn refuses(&self, head: &CallHead, body: &[u8]) -> bool {
        let Some(standing) = self.standing(head, body).filter(Standing::is_refused) else {
            return false;
        };
        if standing.trial_due_us().is_some_and(|due_us| now_us() >= due_us) {
            // An owner decides on trials.
            return false;
        }
        self.note_refused(head, &standing, "entry");
        true
    }

    /// Returns whether an owner may put a call to its upstream. One that is due for a trial waits until that is
    /// counted in the store, for [`TRIAL_MS`] at most.
    pub async fn admit(&self, head: &CallHead, body: &[u8]) -> Admission {
        let Some(standing) = self.standing(head, body) else {
            return Admission::Clear;
        };
        if !standing.is_refused() {
            return Admission::Alone;
        }
        let is_due = standing.trial_due_us().is_some_and(|due_us| now_us() >= due_us);
        if let (true, Some(suspect_ref)) = (is_due, standing.refs.first())
            && self.count_trial(suspect_ref).await
        {
            log::warn!(
                "event=crash.trial call={} fingerprint={} trials={}",
                head.call_id,
                suspect_ref.fingerprint,
                standing.trials + 1
            );
            return Admission::Trial;
        }
        self.note_refused(head, &standing, "owner");
        Admission::Refused
    }

    /// Returns whether a call that was admitted is not to be run after all: it has waited for a slot, and crashes
    /// were told meanwhile.
    pub fn forbids(&self, admission: Admission, call: &RunningCall) -> bool {
        let standing = match admission {
            Admission::Trial => None,
            Admission::Clear | Admission::Alone | Admission::Refused => self.standing(&call.head, &call.body),
        };
        let Some(standing) = standing.filter(Standing::is_refused) else {
            return false;
        };
        self.note_refused(&call.head, &standing, "owner");
        true
    }

    /// Has a trial of a call counted; returns whether it was, which no other node is told.
    async fn count_trial(&self, suspect_ref: &SuspectRef) -> bool {
        if self.counting.replace(true) {
            return false;
        }
        let (granted, answer) = oneshot::channel();
        let sent = self.to_crash.send(CrashJob::Trial { suspect_ref: suspect_ref.clone(), granted }).await;
        let answer = timeout(Duration::from_millis(TRIAL_MS), answer).await;
        self.counting.set(false);
        sent.is_ok() && matches!(answer, Ok(Ok(true)))
    }

    fn note_refused(&self, head: &CallHead, standing: &Standing, by: &str) {
        self.metrics.quarantined_calls.with_label_values(&[&*head.service, by]).inc();
        let fingerprint = standing.refs.first().map(|suspect_ref| suspect_ref.fingerprint);
        log::warn!(
            "event=crash.refused call={} code={} fingerprint={} crashes={} since_ms={} trials={} from={} by={by}",
            head.call_id,
            Code::Quarantined,
            fingerprint.map_or_else(String::new, |fingerprint| fingerprint.to_string()),
            standing.crashes(),
            now_us().saturating_sub(standing.since_us) / 1000,
            standing.trials,
            standing.from.as_deref().unwrap_or("-")
        );
    }

    /// Takes a whole answer to a call: whatever it was suspected of, it has not crashed this upstream.
    pub fn answered(&self, head: &CallHead, body: &[u8]) {
        if let Some(key) = self.key {
            self.answers.borrow_mut().answered(key, head, body, now_us());
        }
        if let Some(standing) = self.standing(head, body) {
            log::info!("event=crash.cleared call={} crashes={}", head.call_id, standing.crashes());
            // A full ring is no loss: the call's next answer clears it.
            let _ = self.to_crash.try_send(CrashJob::Answered { refs: standing.refs });
        }
    }

    /// Reports that the upstream has crashed while it ran these calls, and waits until the nodes that may run
    /// them next have heard of it, for [`TELL_MS`] at most.
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
            if calls.iter().all(|known| known.fingerprint != fingerprint) {
                let refs = self.standing(head, body).map_or_else(Vec::new, |standing| standing.refs);
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
        let (told, heard) = oneshot::channel();
        if self.to_crash.send(CrashJob::Crashed { key, calls, told }).await.is_ok() {
            // Whoever has not heard in time is told by the store.
            let _ = timeout(Duration::from_millis(TELL_MS), heard).await;
        }
    }
}
