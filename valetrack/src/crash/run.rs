//! The thread of crashes: keeps the history, spreads what is new, and has it last in the store.

mod keep;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::sleep;

use super::archive::CrashArchive;
use super::fingerprint::FingerprintKey;
use super::history::CrashHistory;
use super::message::{CrashId, CrashJob, CrashReport, CrashedCall, SUSPECTS_MAX, Suspect, SuspectRef};
use crate::bundle::InForce;
use crate::clock::now_us;
use crate::jobs::Duties;
use crate::link::message::{Ask, Question};
use crate::link::peer::{self, LinkJob, LinkResult, Target};
use crate::member::{Members, Phase};
use crate::metric::Metrics;
use crate::timeline::log as events;

/// Time limit of one message to another node, in milliseconds: a handshake and its way.
const SEND_MS: u64 = 500;
/// Pause before a node that could not be reached is told again, in milliseconds.
const RESEND_MS: u64 = 1_000;
/// How often a node is told: a cut shorter than that is bridged, and the store tells it otherwise.
const SENDS_MAX: u32 = 3;
/// Reports in one message: some tens of kilobytes at most, below the largest head.
const MESSAGE_MAX: usize = 32;
/// Who told what this node has seen itself.
const OWN: &str = "own";
/// Who told what was read from the store.
const STORE: &str = "store";

/// What the thread of crashes is joined to.
pub struct CrashParts {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// The service of its upstream.
    pub service: Arc<str>,
    /// What other threads tell.
    pub jobs: Receiver<CrashJob>,
    /// Ring to the link thread.
    pub to_link: async_channel::Sender<LinkJob>,
    /// Where the history is published.
    pub history: watch::Sender<Arc<CrashHistory>>,
    /// Where crashes last.
    pub archive: Arc<dyn CrashArchive>,
    /// Whether the store is followed elsewhere, which tells what it holds; it is read at the start otherwise.
    pub store_is_followed: bool,
    /// The VMs.
    pub members: watch::Receiver<Arc<Members>>,
    /// The bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    /// Turns true when the thread is to end.
    pub closing: watch::Receiver<bool>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Seed of random choices.
    pub seed: u64,
}

/// How soon a node writes what the store lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// Unless the node that has seen it does: it has heard of it only.
    StandIn,
    /// Together with what comes within a moment: calls that were cleared.
    Soon,
    /// At once: its upstream has crashed.
    Now,
}

struct Shell {
    parts: CrashParts,
    history: RefCell<CrashHistory>,
    own: Arc<str>,
    store: Arc<str>,
    /// What the store is known to hold, by service.
    stored: RefCell<HashMap<Arc<str>, Vec<CrashReport>>>,
    /// How soon this node is to write what is not stored yet.
    urgency: Cell<Urgency>,
    archive_due: Notify,
    rng: RefCell<fastrand::Rng>,
}

/// Serves until told to close; must run on a local task set.
pub async fn run(parts: CrashParts) {
    let shell = Rc::new(Shell {
        history: RefCell::default(),
        own: Arc::from(OWN),
        store: Arc::from(STORE),
        stored: RefCell::default(),
        urgency: Cell::new(Urgency::StandIn),
        archive_due: Notify::new(),
        rng: RefCell::new(fastrand::Rng::with_seed(parts.seed)),
        parts,
    });
    let mut duties = Duties::default();
    duties.spawn(shell.clone().keep_archive());
    if !shell.parts.store_is_followed {
        duties.spawn(shell.clone().read_at_start());
        duties.spawn(shell.clone().tell_new_lives());
    }
    let mut closing = shell.parts.closing.clone();
    while let Some(job) = duties.next_job(&shell.parts.jobs, &mut closing).await {
        shell.clone().take(job);
    }
    duties.shutdown().await;
}

impl Shell {
    fn take(self: Rc<Self>, job: CrashJob) {
        match job {
            CrashJob::Crashed { key, calls, told } => self.crashed(key, &calls, told),
            CrashJob::Answered { refs } => self.answered(&refs),
            CrashJob::Heard { from, reports } => self.heard(&reports, &from),
            CrashJob::Stored { service, value } => self.take_stored(&service, &value),
            CrashJob::StoreOlder => self.forget_stored(),
            CrashJob::Trial { suspect_ref, granted } => {
                tokio::task::spawn_local(async move {
                    let counted = self.count_trial(&suspect_ref).await;
                    // Whoever asked lives as long as this thread.
                    let _ = granted.send(counted);
                });
            }
            CrashJob::Tell { target } => self.tell_all(target),
        }
    }

    /// Takes a crash of the own upstream, and tells others.
    fn crashed(self: Rc<Self>, key: FingerprintKey, calls: &[CrashedCall], told: oneshot::Sender<()>) {
        let id = CrashId { hlc: events::stamp(), vm: self.parts.vm.clone() };
        let suspects = calls.iter().take(SUSPECTS_MAX);
        let suspects =
            suspects.map(|call| Suspect { fingerprint: call.fingerprint, cleared: false, trials: 0 }).collect();
        let report = CrashReport { id: id.clone(), service: self.parts.service.clone(), key, suspects };
        let changed = {
            let mut history = self.history.borrow_mut();
            history.join(std::slice::from_ref(&report), &self.own, now_us());
            let beside = history.beside_cause(&id, calls);
            let mut changed = history.clear(&beside);
            if changed.iter().all(|changed| changed.id != id) {
                changed.push(report);
            }
            changed
        };
        let routes: Vec<Arc<str>> = calls.iter().map(|call| call.route.clone()).collect();
        let sendings = self.spread_change(changed, &routes);
        tokio::task::spawn_local(async move {
            for sending in sendings {
                // It ends when the first message was sent, whatever came of that.
                let _ = sending.await;
            }
            // Whoever waits for it does so for a moment only.
            let _ = told.send(());
        });
    }

    /// Clears a call that was answered. Others hear of it from the store: until then it runs beside no other
    /// suspect there, which costs it little.
    fn answered(self: &Rc<Self>, refs: &[SuspectRef]) {
        let changed = self.history.borrow_mut().clear(refs);
        if changed.is_empty() {
            return;
        }
        if !self.parts.store_is_followed {
            // Nobody waits for it.
            drop(self.spread_change(changed, &[]));
            return;
        }
        self.publish();
        self.write_within(Urgency::Soon);
    }

    /// Has what is known written to the store, sooner than others of this service do.
    fn write_within(&self, urgency: Urgency) {
        self.urgency.set(self.urgency.get().max(urgency));
        self.archive_due.notify_one();
    }

    fn heard(self: &Rc<Self>, reports: &[CrashReport], from: &Arc<str>) {
        if self.history.borrow_mut().join(reports, from, now_us()) {
            log::info!("event=crash.heard from={from} reports={}", reports.len());
            self.publish();
            self.archive_due.notify_one();
        }
    }

    fn publish(&self) {
        let history = self.history.borrow().clone();
        self.parts.metrics.crash_suspects.set(history.suspects() as i64);
        self.parts.history.send_replace(Arc::new(history));
    }

    /// Publishes reports that this node has changed, and tells the owners that may run the calls of `routes`
    /// next, or of those reports' services. Each result ends when one of them was told, or not reached.
    fn spread_change(self: &Rc<Self>, changed: Vec<CrashReport>, routes: &[Arc<str>]) -> Vec<oneshot::Receiver<()>> {
        if changed.is_empty() {
            return Vec::new();
        }
        self.publish();
        self.write_within(Urgency::Now);
        let services = self.services_of(&changed, routes);
        let changed = Rc::new(changed);
        let tell = |target| {
            let (first, sent) = oneshot::channel();
            tokio::task::spawn_local(self.clone().tell(target, changed.clone(), Some(first)));
            sent
        };
        self.owners_of(&services).into_iter().map(tell).collect()
    }

    /// Returns the services that a route may lead to, since a split leads the next arrival elsewhere, with
    /// those of the reports.
    fn services_of(&self, changed: &[CrashReport], routes: &[Arc<str>]) -> Vec<Arc<str>> {
        let mut services: Vec<Arc<str>> = changed.iter().map(|report| report.service.clone()).collect();
        if let Some(in_force) = self.parts.bundle.borrow().as_ref() {
            services.extend(in_force.bundle.routes.services_of(routes).cloned());
        }
        services.sort();
        services.dedup();
        services
    }

    fn owners_of(&self, services: &[Arc<str>]) -> Vec<Target> {
        let members = self.parts.members.borrow();
        let owners = members
            .iter()
            .filter(|member| member.phase < Phase::Gone && member.vm != self.parts.vm)
            .filter(|member| services.contains(&member.service));
        owners.map(|member| Target { vm: member.vm.clone(), addr: member.link_addr }).collect()
    }

    fn tell_all(self: Rc<Self>, target: Target) {
        let reports: Vec<CrashReport> = self.history.borrow().reports().cloned().collect();
        if !reports.is_empty() {
            tokio::task::spawn_local(self.tell(target, Rc::new(reports), None));
        }
    }

    /// Tells another node, again where it could not be reached; `first` is dropped after the first time.
    async fn tell(
        self: Rc<Self>,
        target: Target,
        reports: Rc<Vec<CrashReport>>,
        mut first: Option<oneshot::Sender<()>>,
    ) {
        for _ in 0..SENDS_MAX {
            let sent = self.send(&target, &reports).await;
            first.take();
            if sent {
                return;
            }
            sleep(Duration::from_millis(RESEND_MS)).await;
        }
        log::info!("event=crash.untold peer={} reports={}", target.vm, reports.len());
    }

    /// Sends reports to another node; returns whether it has them.
    async fn send(&self, target: &Target, reports: &[CrashReport]) -> bool {
        for part in reports.chunks(MESSAGE_MAX) {
            let ask = Ask::Crashes { from: self.parts.vm.clone(), reports: part.to_vec() };
            let question = Question { ask, body: Bytes::new() };
            let limit = Duration::from_millis(SEND_MS);
            let result = peer::ask_within(&self.parts.to_link, target.clone(), question, limit).await;
            if !matches!(result, LinkResult::Reply(_)) {
                return false;
            }
        }
        true
    }

    /// Tells all that is known to each life of a node that has just come; runs as long as the thread.
    ///
    /// Only where the store is not followed, which tells them otherwise.
    async fn tell_new_lives(self: Rc<Self>) {
        let mut members = self.parts.members.clone();
        let mut lives: HashMap<Arc<str>, u64> = HashMap::new();
        while members.changed().await.is_ok() {
            let mut new = Vec::new();
            for member in members.borrow_and_update().iter().filter(|member| member.vm != self.parts.vm) {
                if lives.insert(member.vm.clone(), member.incarnation) != Some(member.incarnation) {
                    new.push(Target { vm: member.vm.clone(), addr: member.link_addr });
                }
            }
            for target in new {
                self.clone().tell_all(target);
            }
        }
    }
}
