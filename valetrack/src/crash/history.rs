//! Pure state: the crash reports that a node has a record of, and the status of a call that follows from them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::fingerprint::FingerprintKey;
use super::message::{CrashId, CrashReport, CrashedCall, Suspect, SuspectRef};
use crate::link::message::CallHead;

/// Crashes under a call after which it is kept from upstreams. After one crash, all calls that ran beside the cause are
/// suspects as well. After two, few suspects are left, and the third crash identifies the cause, since no two suspects
/// run on one upstream. The users' platform allows three.
pub const CRASHES_MAX: usize = 3;
/// Trials of a call that is kept from upstreams, in total. The users' platform allows three sends of such a call in
/// total; one is left for a call that was in flight when the third crash was reported.
pub const TRIALS_MAX: u8 = 2;
/// Pause before the first trial and before the second one. A crash makes an upstream unavailable for seconds and costs
/// the calls that it runs; servers are repaired within minutes or by the next release.
pub const TRIAL_PAUSES_US: [u64; TRIALS_MAX as usize] = [600_000_000, 3_600_000_000];
/// Maximum number of recorded crashes: with some 100 bytes each, they take well below a megabyte, and they cover
/// hundreds of requests that crash upstreams at the same time.
pub const HISTORY_MAX: usize = 1_024;
/// Maximum number of crashes that are stored for one service: some 40 KB of the megabyte that a value may have.
pub const ARCHIVE_MAX: usize = 192;

/// A report with the local data of this node.
#[derive(Debug, Clone)]
struct Record {
    report: CrashReport,
    /// Time at which this node first received it.
    since_us: u64,
    /// Time at which its trials last changed.
    tried_us: u64,
    /// Source of the report: the VM that sent it, this node or the store.
    from: Arc<str>,
}

/// Status of one call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallStatus {
    /// Crashes of which it is a suspect, the earliest first.
    pub refs: Vec<SuspectRef>,
    /// Number of trials.
    pub trials: u8,
    /// Time at which this node received the first of its crashes.
    pub since_us: u64,
    /// Time at which this node last received a crash or a trial of it.
    pub latest_us: u64,
    /// Source of the latest one.
    pub from: Option<Arc<str>>,
}

impl CallStatus {
    /// Returns how many upstreams have crashed under the call since it was last answered.
    pub fn crashes(&self) -> usize {
        self.refs.len()
    }

    /// Returns whether the call is kept from upstreams.
    pub fn is_refused(&self) -> bool {
        self.crashes() >= CRASHES_MAX
    }

    /// Returns the time of the next trial; `None` if all trials were used.
    pub fn trial_due_us(&self) -> Option<u64> {
        let pause_us = TRIAL_PAUSES_US.get(usize::from(self.trials))?;
        Some(self.latest_us + pause_us)
    }
}

/// Crash reports that a node has a record of.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    records: BTreeMap<CrashId, Record>,
    /// Suspects that are not cleared, by key and fingerprint of the head.
    index: HashMap<FingerprintKey, HashMap<u64, Vec<SuspectRef>>>,
}

impl CrashHistory {
    /// Merges reports into the history; returns whether they added anything.
    pub fn join(&mut self, reports: &[CrashReport], from: &Arc<str>, now_us: u64) -> bool {
        let mut changed = false;
        for report in reports {
            changed |= self.join_one(report, from, now_us);
        }
        if changed {
            self.evict();
            self.rebuild_index();
        }
        changed
    }

    fn join_one(&mut self, report: &CrashReport, from: &Arc<str>, now_us: u64) -> bool {
        let Some(record) = self.records.get_mut(&report.id) else {
            let mut report = report.clone();
            if report.is_over() {
                report.suspects.clear();
            }
            let id = report.id.clone();
            self.records.insert(id, Record { report, since_us: now_us, tried_us: now_us, from: from.clone() });
            return true;
        };
        let trials = |report: &CrashReport| report.suspects.iter().map(|suspect| suspect.trials).max();
        let before = trials(&record.report);
        let changed = record.report.join(report);
        if trials(&record.report) > before {
            record.tried_us = now_us;
        }
        changed
    }

    /// Removes crashes above [`HISTORY_MAX`]: first those without suspects, then the oldest.
    fn evict(&mut self) {
        while self.records.len() > HISTORY_MAX {
            let over = self.records.iter().find(|(_, record)| record.report.is_over()).map(|(id, _)| id.clone());
            let Some(id) = over.or_else(|| self.records.keys().next().cloned()) else {
                return;
            };
            self.records.remove(&id);
        }
    }

    fn rebuild_index(&mut self) {
        self.index.clear();
        for (id, record) in &self.records {
            for suspect in record.report.suspects.iter().filter(|suspect| !suspect.cleared) {
                let by_head = self.index.entry(record.report.key).or_default();
                let suspect_ref = SuspectRef { crash: id.clone(), fingerprint: suspect.fingerprint };
                by_head.entry(suspect.fingerprint.head).or_default().push(suspect_ref);
            }
        }
    }

    /// Returns the number of recorded crashes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns whether any call is a suspect.
    pub fn has_suspects(&self) -> bool {
        !self.index.is_empty()
    }

    /// Returns the number of suspects that are not cleared, summed over all crashes.
    pub fn suspects(&self) -> usize {
        self.index.values().flat_map(HashMap::values).map(Vec::len).sum()
    }

    /// Returns the key for the fingerprints of the next report: the key of the earliest crash that has suspects, so
    /// that a request has the same fingerprint in the whole fleet, or `own` if there is no such crash.
    pub fn key_for_report(&self, own: FingerprintKey) -> FingerprintKey {
        self.records.values().find(|record| !record.report.is_over()).map_or(own, |record| record.report.key)
    }

    /// Returns the status of a call.
    ///
    /// It reads the body only if a suspect has the same head, so that large bodies stay fast: see the benchmark of
    /// fingerprints.
    pub fn status(&self, head: &CallHead, body: &[u8]) -> CallStatus {
        let mut refs = Vec::new();
        for (key, by_head) in &self.index {
            let Some(suspects) = by_head.get(&key.head_fingerprint(head)) else {
                continue;
            };
            let body_fingerprint = key.body_fingerprint(body);
            refs.extend(
                suspects.iter().filter(|suspect_ref| suspect_ref.fingerprint.body == body_fingerprint).cloned(),
            );
        }
        refs.sort();
        self.status_of(refs)
    }

    fn status_of(&self, refs: Vec<SuspectRef>) -> CallStatus {
        let mut status = CallStatus { since_us: u64::MAX, ..CallStatus::default() };
        for suspect_ref in &refs {
            let Some(record) = self.records.get(&suspect_ref.crash) else {
                continue;
            };
            let suspect = record.report.suspects.iter().find(|suspect| suspect.fingerprint == suspect_ref.fingerprint);
            status.trials += suspect.map_or(0, |suspect| suspect.trials);
            status.since_us = status.since_us.min(record.since_us);
            if record.since_us.max(record.tried_us) >= status.latest_us {
                status.latest_us = record.since_us.max(record.tried_us);
                status.from = Some(record.from.clone());
            }
        }
        CallStatus { refs, ..status }
    }

    /// Clears suspects; returns the reports that it changed.
    pub fn clear(&mut self, refs: &[SuspectRef]) -> Vec<CrashReport> {
        self.change(refs, |suspect| suspect.cleared = true)
    }

    /// Counts a trial of a suspect; returns the report that it changed.
    pub fn count_trial(&mut self, suspect_ref: &SuspectRef, now_us: u64) -> Vec<CrashReport> {
        if let Some(record) = self.records.get_mut(&suspect_ref.crash) {
            record.tried_us = now_us;
        }
        self.change(std::slice::from_ref(suspect_ref), |suspect| suspect.trials += 1)
    }

    fn change(&mut self, refs: &[SuspectRef], change: impl Fn(&mut Suspect)) -> Vec<CrashReport> {
        let mut changed = BTreeMap::new();
        for suspect_ref in refs {
            let Some(record) = self.records.get_mut(&suspect_ref.crash) else {
                continue;
            };
            let found =
                record.report.suspects.iter_mut().filter(|suspect| suspect.fingerprint == suspect_ref.fingerprint);
            found.for_each(&change);
            if record.report.is_over() {
                record.report.suspects.clear();
            }
            changed.insert(suspect_ref.crash.clone(), record.report.clone());
        }
        self.rebuild_index();
        changed.into_values().collect()
    }

    /// Returns the suspects to clear after `crash`. A call that reaches [`CRASHES_MAX`] crashes with it is the cause of
    /// each of them, so the calls that ran beside it in any of them are not.
    pub fn beside_cause(&self, crash: &CrashId, calls: &[CrashedCall]) -> Vec<SuspectRef> {
        let mut causes: Vec<SuspectRef> = Vec::new();
        for call in calls.iter().filter(|call| call.refs.len() + 1 >= CRASHES_MAX) {
            causes.extend(call.refs.iter().cloned());
            causes.push(SuspectRef { crash: crash.clone(), fingerprint: call.fingerprint });
        }
        let mut beside = Vec::new();
        for record in causes.iter().filter_map(|cause| self.records.get(&cause.crash)) {
            let id = &record.report.id;
            let suspects = record.report.suspects.iter().filter(|suspect| !suspect.cleared);
            let refs = suspects.map(|suspect| SuspectRef { crash: id.clone(), fingerprint: suspect.fingerprint });
            beside.extend(refs.filter(|suspect_ref| !causes.contains(suspect_ref)));
        }
        beside
    }

    /// Returns all reports, the earliest crash first.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.records.values().map(|record| &record.report)
    }

    /// Returns the report of a crash.
    pub fn report(&self, id: &CrashId) -> Option<&CrashReport> {
        self.records.get(id).map(|record| &record.report)
    }

    /// Returns the reports to store for one service: those with suspects before those without, and the latest first
    /// among each. At most [`ARCHIVE_MAX`] are returned.
    pub fn archive(&self, service: &str) -> Vec<CrashReport> {
        let of_service = self.reports().filter(|report| &*report.service == service);
        let mut reports: Vec<CrashReport> = of_service.cloned().collect();
        reports.sort_by(|a, b| (a.is_over(), &b.id).cmp(&(b.is_over(), &a.id)));
        reports.truncate(ARCHIVE_MAX);
        reports
    }
}
