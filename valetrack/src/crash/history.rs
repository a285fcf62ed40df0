//! Pure state: the crashes that a node knows of, and what they say of a call.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::fingerprint::FingerprintKey;
use super::message::{CrashId, CrashReport, CrashedCall, Suspect, SuspectRef};
use crate::link::message::CallHead;

/// Crashes under a call after which it is kept from upstreams. One is bad luck: whatever ran beside the
/// cause is a suspect as well. After two few are left, and one more decides, since no two suspects run on
/// one upstream. The users' platform allows three.
pub const CRASHES_MAX: usize = 3;
/// How often a call that is kept from upstreams is tried again, in all. The users' platform allows three
/// sends for good; one is left for a call that was on its way when the third crash was told.
pub const TRIALS_MAX: u8 = 2;
/// Pause before the first trial and before the second one, in microseconds: a crash takes an upstream away
/// for seconds and costs the calls that run, and servers are repaired within minutes or by the next release.
pub const TRIAL_PAUSES_US: [u64; TRIALS_MAX as usize] = [600_000_000, 3_600_000_000];
/// Most crashes that are remembered: at some 100 bytes each well below a megabyte, and hundreds of requests
/// that crash upstreams at the same time.
pub const HISTORY_MAX: usize = 1_024;
/// Most crashes of one service that last in the store: some 40 KB of the megabyte that a value may have.
pub const ARCHIVE_MAX: usize = 192;

/// A report with what only this node knows of it.
#[derive(Debug, Clone)]
struct Known {
    report: CrashReport,
    /// When this node first heard of it, in microseconds.
    since_us: u64,
    /// When its trials last changed, in microseconds.
    tried_us: u64,
    /// Who told it.
    from: Arc<str>,
}

/// What is known of one call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Standing {
    /// Where it is a suspect, the earliest crash first.
    pub refs: Vec<SuspectRef>,
    /// How often it was tried again.
    pub trials: u8,
    /// When this node first heard of one of its crashes, in microseconds.
    pub since_us: u64,
    /// When this node last heard of a crash or a trial of it, in microseconds.
    pub latest_us: u64,
    /// Who told the latest one.
    pub from: Option<Arc<str>>,
}

impl Standing {
    /// Returns how many upstreams have crashed under the call since it was last answered.
    pub fn crashes(&self) -> usize {
        self.refs.len()
    }

    /// Returns whether the call is kept from upstreams.
    pub fn is_refused(&self) -> bool {
        self.crashes() >= CRASHES_MAX
    }

    /// Returns when it is to be tried again, in microseconds; none when it was tried often enough.
    pub fn trial_due_us(&self) -> Option<u64> {
        let pause_us = TRIAL_PAUSES_US.get(usize::from(self.trials))?;
        Some(self.latest_us + pause_us)
    }
}

/// The crashes that a node knows of.
#[derive(Debug, Clone, Default)]
pub struct CrashHistory {
    known: BTreeMap<CrashId, Known>,
    /// Suspects that are not cleared, by key and fingerprint of the head.
    index: HashMap<FingerprintKey, HashMap<u64, Vec<SuspectRef>>>,
}

impl CrashHistory {
    /// Joins what is told of crashes; returns whether that says more than was known.
    pub fn join(&mut self, reports: &[CrashReport], from: &Arc<str>, now_us: u64) -> bool {
        let mut changed = false;
        for report in reports {
            changed |= self.join_one(report, from, now_us);
        }
        if changed {
            self.shed();
            self.make_index();
        }
        changed
    }

    fn join_one(&mut self, report: &CrashReport, from: &Arc<str>, now_us: u64) -> bool {
        let Some(known) = self.known.get_mut(&report.id) else {
            let mut report = report.clone();
            if report.is_over() {
                report.suspects.clear();
            }
            let id = report.id.clone();
            self.known.insert(id, Known { report, since_us: now_us, tried_us: now_us, from: from.clone() });
            return true;
        };
        let trials = |report: &CrashReport| report.suspects.iter().map(|suspect| suspect.trials).max();
        let before = trials(&known.report);
        let changed = known.report.join(report);
        if trials(&known.report) > before {
            known.tried_us = now_us;
        }
        changed
    }

    /// Forgets crashes over the bound: first those that no call is held against, then the oldest.
    fn shed(&mut self) {
        while self.known.len() > HISTORY_MAX {
            let over = self.known.iter().find(|(_, known)| known.report.is_over()).map(|(id, _)| id.clone());
            let Some(id) = over.or_else(|| self.known.keys().next().cloned()) else {
                return;
            };
            self.known.remove(&id);
        }
    }

    fn make_index(&mut self) {
        self.index.clear();
        for (id, known) in &self.known {
            for suspect in known.report.suspects.iter().filter(|suspect| !suspect.cleared) {
                let by_head = self.index.entry(known.report.key).or_default();
                let suspect_ref = SuspectRef { crash: id.clone(), fingerprint: suspect.fingerprint };
                by_head.entry(suspect.fingerprint.head).or_default().push(suspect_ref);
            }
        }
    }

    /// Returns how many crashes are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns whether anything is held against any call.
    pub fn has_suspects(&self) -> bool {
        !self.index.is_empty()
    }

    /// Returns how many suspects stand in the history.
    pub fn suspects(&self) -> usize {
        self.index.values().flat_map(HashMap::values).map(Vec::len).sum()
    }

    /// Returns the key that the next report is to be made with: that of the earliest crash, so that one
    /// request has one fingerprint throughout a fleet, or `own` where there is none.
    pub fn key_for_report(&self, own: FingerprintKey) -> FingerprintKey {
        self.known.values().find(|known| !known.report.is_over()).map_or(own, |known| known.report.key)
    }

    /// Returns what is known of a call.
    ///
    /// Its body is read only where a suspect has the same head. Guards the way of large bodies: see the
    /// benchmark of fingerprints.
    pub fn standing(&self, head: &CallHead, body: &[u8]) -> Standing {
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
        self.standing_of(refs)
    }

    fn standing_of(&self, refs: Vec<SuspectRef>) -> Standing {
        let mut standing = Standing { since_us: u64::MAX, ..Standing::default() };
        for suspect_ref in &refs {
            let Some(known) = self.known.get(&suspect_ref.crash) else {
                continue;
            };
            let suspect = known.report.suspects.iter().find(|suspect| suspect.fingerprint == suspect_ref.fingerprint);
            standing.trials += suspect.map_or(0, |suspect| suspect.trials);
            standing.since_us = standing.since_us.min(known.since_us);
            if known.since_us.max(known.tried_us) >= standing.latest_us {
                standing.latest_us = known.since_us.max(known.tried_us);
                standing.from = Some(known.from.clone());
            }
        }
        Standing { refs, ..standing }
    }

    /// Clears suspects; returns the reports that changed by it.
    pub fn clear(&mut self, refs: &[SuspectRef]) -> Vec<CrashReport> {
        self.change(refs, |suspect| suspect.cleared = true)
    }

    /// Counts a trial of a suspect; returns the report that changed by it.
    pub fn count_trial(&mut self, suspect_ref: &SuspectRef, now_us: u64) -> Vec<CrashReport> {
        if let Some(known) = self.known.get_mut(&suspect_ref.crash) {
            known.tried_us = now_us;
        }
        self.change(std::slice::from_ref(suspect_ref), |suspect| suspect.trials += 1)
    }

    fn change(&mut self, refs: &[SuspectRef], change: impl Fn(&mut Suspect)) -> Vec<CrashReport> {
        let mut changed = BTreeMap::new();
        for suspect_ref in refs {
            let Some(known) = self.known.get_mut(&suspect_ref.crash) else {
                continue;
            };
            let found =
                known.report.suspects.iter_mut().filter(|suspect| suspect.fingerprint == suspect_ref.fingerprint);
            found.for_each(&change);
            if known.report.is_over() {
                known.report.suspects.clear();
            }
            changed.insert(suspect_ref.crash.clone(), known.report.clone());
        }
        self.make_index();
        changed.into_values().collect()
    }

    /// Returns who ran beside the cause of a crash, now that it is known: a call that has now crashed too many
    /// upstreams has caused each of its crashes, and whatever ran beside it has not.
    pub fn beside_cause(&self, crash: &CrashId, calls: &[CrashedCall]) -> Vec<SuspectRef> {
        let mut causes: Vec<SuspectRef> = Vec::new();
        for call in calls.iter().filter(|call| call.refs.len() + 1 >= CRASHES_MAX) {
            causes.extend(call.refs.iter().cloned());
            causes.push(SuspectRef { crash: crash.clone(), fingerprint: call.fingerprint });
        }
        let mut beside = Vec::new();
        for known in causes.iter().filter_map(|cause| self.known.get(&cause.crash)) {
            let id = &known.report.id;
            let suspects = known.report.suspects.iter().filter(|suspect| !suspect.cleared);
            let refs = suspects.map(|suspect| SuspectRef { crash: id.clone(), fingerprint: suspect.fingerprint });
            beside.extend(refs.filter(|suspect_ref| !causes.contains(suspect_ref)));
        }
        beside
    }

    /// Returns all reports, the earliest first.
    pub fn reports(&self) -> impl Iterator<Item = &CrashReport> {
        self.known.values().map(|known| &known.report)
    }

    /// Returns the report of a crash.
    pub fn report(&self, id: &CrashId) -> Option<&CrashReport> {
        self.known.get(id).map(|known| &known.report)
    }

    /// Returns the reports of one service that are to last, the latest first: those against which a call
    /// is held go before those that are over.
    pub fn archive(&self, service: &str) -> Vec<CrashReport> {
        let of_service = self.reports().filter(|report| &*report.service == service);
        let mut reports: Vec<CrashReport> = of_service.cloned().collect();
        reports.sort_by(|a, b| (a.is_over(), &b.id).cmp(&(b.is_over(), &a.id)));
        reports.truncate(ARCHIVE_MAX);
        reports
    }
}
