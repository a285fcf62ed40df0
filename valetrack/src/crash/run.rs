//! The crash thread: keeps the crash history, sends changes to other nodes and writes them to the store.

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
use crate::jobs::BackgroundTasks;
use crate::link::message::{Ask, PeerRequest};
use crate::link::peer::{self, LinkJob, LinkResult, Target};
use crate::member::{Members, Phase};
use crate::metric::Metrics;
use crate::timeline::log as events;

/// Time limit of one message to another node: long enough for a handshake and a round trip.
const SEND_TIMEOUT_MS: u64 = 500;
/// Pause before a message to an unreachable node is sent again.
const RESEND_PAUSE_MS: u64 = 1_000;
/// Send attempts for one message: they outlast a short network cut. After a longer one, the node reads the reports
/// from the store.
const SENDS_MAX: u32 = 3;
/// Reports in one message: some tens of kilobytes at most, which is below the limit for the head of a frame.
const REPORTS_PER_MESSAGE_MAX: usize = 32;
/// Source of the reports that this node has made itself.
const OWN: &str = "own";
/// Source of the reports that were read from the store.
const STORE: &str = "store";

/// Inputs, outputs and settings of the crash thread.
pub struct CrashParts {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Service of its upstream.
    pub service: Arc<str>,
    /// Jobs from other threads.
    pub jobs: Receiver<CrashJob>,
    /// Job queue of the link thread.
    pub to_link: async_channel::Sender<LinkJob>,
    /// Channel on which the history is published.
    pub history: watch::Sender<Arc<CrashHistory>>,
    /// Durable storage of the reports.
    pub archive: Arc<dyn CrashArchive>,
    /// Whether another thread follows the store and sends its contents here. Otherwise, this thread reads the store
    /// once at the start.
    pub store_is_followed: bool,
    /// Members of the fleet.
    pub members: watch::Receiver<Arc<Members>>,
    /// Bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    /// Becomes true when the thread has to stop.
    pub closing: watch::Receiver<bool>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Seed of random choices.
    pub seed: u64,
}

/// How soon a node writes the reports that the store lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// After the node that saw the crash had time to write the report: this node has only received it.
    StandIn,
    /// After a short delay, together with other changes of that time: calls were cleared.
    Soon,
    /// At once, for example after a crash of this node's upstream.
    Now,
}

struct Shell {
    parts: CrashParts,
    history: RefCell<CrashHistory>,
    own: Arc<str>,
    store: Arc<str>,
    /// Reports that the store held when it was last read or written, by service.
    stored: RefCell<HashMap<Arc<str>, Vec<CrashReport>>>,
    /// How soon this node writes the reports that are not stored yet.
    urgency: Cell<Urgency>,
    archive_due: Notify,
    rng: RefCell<fastrand::Rng>,
}

/// Runs the crash thread until `closing` becomes true; must run on a local task set.
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
    let mut tasks = BackgroundTasks::default();
    tasks.spawn(shell.clone().keep_archive());
    if !shell.parts.store_is_followed {
        tasks.spawn(shell.clone().read_at_start());
        tasks.spawn(shell.clone().send_to_new_incarnations());
    }
    let mut closing = shell.parts.closing.clone();
    while let Some(job) = tasks.next_job(&shell.parts.jobs, &mut closing).await {
        shell.clone().handle_job(job);
    }
    tasks.shutdown().await;
}

impl Shell {
    fn handle_job(self: Rc<Self>, job: CrashJob) {
        match job {
            CrashJob::Crashed { key, calls, reported } => self.on_upstream_crashed(key, &calls, reported),
            CrashJob::Answered { refs } => self.on_suspects_answered(&refs),
            CrashJob::Heard { from, reports } => self.on_reports_received(&reports, &from),
            CrashJob::Stored { service, value } => self.apply_stored(&service, &value),
            CrashJob::StoreRolledBack => self.forget_stored(),
            CrashJob::Trial { suspect_ref, granted } => {
                tokio::task::spawn_local(async move {
                    let counted = self.count_trial(&suspect_ref).await;
                    // The requester may have timed out; the trial stays counted.
                    let _ = granted.send(counted);
                });
            }
            CrashJob::SendReports { target } => self.send_all(target),
        }
    }

    /// Records a crash of this node's upstream and reports it to other nodes.
    fn on_upstream_crashed(self: Rc<Self>, key: FingerprintKey, calls: &[CrashedCall], reported: oneshot::Sender<()>) {
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
        let sends = self.publish_and_send(changed, &routes);
        tokio::task::spawn_local(async move {
            for first_send in sends {
                // The result is ready once the first send attempt has ended, whether it succeeded or failed.
                let _ = first_send.await;
            }
            // The receiver may have timed out.
            let _ = reported.send(());
        });
    }

    /// Clears a call that was answered. Other nodes learn that from the store. Until then, they don't run the
    /// call beside another suspect, which delays it little.
    fn on_suspects_answered(self: &Rc<Self>, refs: &[SuspectRef]) {
        let changed = self.history.borrow_mut().clear(refs);
        if changed.is_empty() {
            return;
        }
        if !self.parts.store_is_followed {
            // No task waits for the sends.
            drop(self.publish_and_send(changed, &[]));
            return;
        }
        self.publish();
        self.write_within(Urgency::Soon);
    }

    /// Raises the urgency of the next write to the store to at least `urgency`, and wakes the task that writes.
    fn write_within(&self, urgency: Urgency) {
        self.urgency.set(self.urgency.get().max(urgency));
        self.archive_due.notify_one();
    }

    fn on_reports_received(self: &Rc<Self>, reports: &[CrashReport], from: &Arc<str>) {
        if self.history.borrow_mut().join(reports, from, now_us()) {
            log::info!("event=crash.report_received from={from} reports={}", reports.len());
            self.publish();
            self.archive_due.notify_one();
        }
    }

    fn publish(&self) {
        let history = self.history.borrow().clone();
        self.parts.metrics.crash_suspects.set(history.suspects() as i64);
        self.parts.history.send_replace(Arc::new(history));
    }

    /// Publishes reports that this node has changed, and sends them to the owners of the reports' services and of the
    /// services that `routes` may lead to. Each receiver completes once the first send to one owner has ended, whether
    /// it succeeded or failed.
    fn publish_and_send(self: &Rc<Self>, changed: Vec<CrashReport>, routes: &[Arc<str>]) -> Vec<oneshot::Receiver<()>> {
        if changed.is_empty() {
            return Vec::new();
        }
        self.publish();
        self.write_within(Urgency::Now);
        let services = self.services_of(&changed, routes);
        let changed = Rc::new(changed);
        let spawn_send = |target| {
            let (first, sent) = oneshot::channel();
            tokio::task::spawn_local(self.clone().send_with_retries(target, changed.clone(), Some(first)));
            sent
        };
        self.owners_of(&services).into_iter().map(spawn_send).collect()
    }

    /// Returns the services of the reports and all services that the routes may lead to: a split may send the next
    /// call of a route to another service.
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

    fn send_all(self: Rc<Self>, target: Target) {
        let reports: Vec<CrashReport> = self.history.borrow().reports().cloned().collect();
        if !reports.is_empty() {
            tokio::task::spawn_local(self.send_with_retries(target, Rc::new(reports), None));
        }
    }

    /// Sends reports to another node, up to [`SENDS_MAX`] times until it replies; drops `first` after the first send.
    async fn send_with_retries(
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
            sleep(Duration::from_millis(RESEND_PAUSE_MS)).await;
        }
        log::info!("event=crash.report_undelivered peer={} reports={}", target.vm, reports.len());
    }

    /// Sends reports to another node; returns whether it has replied to all messages.
    async fn send(&self, target: &Target, reports: &[CrashReport]) -> bool {
        for chunk in reports.chunks(REPORTS_PER_MESSAGE_MAX) {
            let ask = Ask::Crashes { from: self.parts.vm.clone(), reports: chunk.to_vec() };
            let request = PeerRequest { ask, body: Bytes::new() };
            let limit = Duration::from_millis(SEND_TIMEOUT_MS);
            let result = peer::ask_within(&self.parts.to_link, target.clone(), request, limit).await;
            if !matches!(result, LinkResult::Reply(_)) {
                return false;
            }
        }
        true
    }

    /// Sends all reports to each new incarnation of a node; runs as long as the thread.
    ///
    /// It runs only where the store is not followed. Otherwise, new incarnations read the reports from the store.
    async fn send_to_new_incarnations(self: Rc<Self>) {
        let mut members = self.parts.members.clone();
        let mut incarnations: HashMap<Arc<str>, u64> = HashMap::new();
        while members.changed().await.is_ok() {
            let mut new = Vec::new();
            for member in members.borrow_and_update().iter().filter(|member| member.vm != self.parts.vm) {
                if incarnations.insert(member.vm.clone(), member.incarnation) != Some(member.incarnation) {
                    new.push(Target { vm: member.vm.clone(), addr: member.link_addr });
                }
            }
            for target in new {
                self.clone().send_all(target);
            }
        }
    }
}
