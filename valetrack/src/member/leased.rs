//! The member thread on a platform whose store has leases: the own entry, the view of the others,
//! and the operators' bundle.

mod follow;
mod keep;
mod older;
mod read;
mod relayed;
mod resume;
mod role;
mod rollout;
mod wake;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use tokio::sync::{Notify, watch};

use super::directory::{Directory, ENTRY_PREFIX};
use super::evacuation::{Evacuation, EvacuationKeys};
use super::lease::EntryKeeper;
use super::message::{Known, Member, MemberJob, Phase};
use super::registrar::Registrar;
use super::relay::ChangeLog;
use super::role::Avoided;
use super::state::Members;
use crate::bundle::{Adopter, BundleFormat};
use crate::claim::ClaimNews;
use crate::clock::now_us;
use crate::crash::CrashJob;
use crate::gate::{UpstreamPhase, UpstreamState};
use crate::jobs::Duties;
use crate::link::message::{Ask, Question, Reply};
use crate::link::peer::{self, LinkJob, LinkResult, Target};
use crate::metric::Metrics;
use crate::rollout::{RolloutBook, RolloutFormat};
use crate::store::{LeaseStore, Position};

/// Longest wait of one call for changes, in milliseconds: the platform allows 30 seconds.
const WATCH_MS: u64 = 25_000;
/// Part of the time within which a change is to be in force up to whose age news are relied on, in hundredths.
const AGE_SHARE_PERCENT: u64 = 60;
/// Time limit of one question to another node, in milliseconds.
const ASK_MS: u64 = 400;

/// What the member thread is joined to.
pub struct LeasedParts {
    /// This VM, as it starts.
    pub me: Member,
    /// The store.
    pub store: Arc<dyn LeaseStore>,
    /// How the bundle in the store is read.
    pub format: Arc<dyn BundleFormat>,
    /// Key of the operators' bundle.
    pub bundle_key: Arc<str>,
    /// Prefix of the operators' keys that each name a failure domain to be evacuated.
    pub evacuation_prefix: Arc<str>,
    /// How operators write orders of roll-outs.
    pub rollouts: Arc<dyn RolloutFormat>,
    /// How long the own entry outlives the last word of this node, in milliseconds.
    pub lease_ms: u64,
    /// Time within which an operator's change is to be in force, in milliseconds.
    pub news_within_ms: u64,
    /// News of other threads.
    pub jobs: Receiver<MemberJob>,
    /// Ring to the link thread.
    pub to_link: Sender<LinkJob>,
    /// Ring to the thread of crashes.
    pub to_crash: Sender<CrashJob>,
    /// Where the view of VMs is published.
    pub members: watch::Sender<Arc<Members>>,
    /// State of the upstream beside this node.
    pub upstream: watch::Receiver<UpstreamState>,
    /// Turns true when this node takes work.
    pub serving: watch::Receiver<bool>,
    /// Turns true when this node leaves.
    pub leaving: watch::Receiver<bool>,
    /// Time for which the upstream still gets new work after leaving has begun.
    pub drain_after: Duration,
    /// Turns true when this node is about to exit.
    pub exiting: watch::Receiver<bool>,
    /// Told when the entry is withdrawn.
    pub departed: watch::Sender<bool>,
    /// Turns true when the thread is to end.
    pub closing: watch::Receiver<bool>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Seed of random choices.
    pub seed: u64,
}

struct Shell {
    parts: LeasedParts,
    adopter: Adopter,
    directory: RefCell<Directory>,
    keeper: RefCell<EntryKeeper>,
    me: RefCell<Member>,
    evacuation: RefCell<Evacuation>,
    /// The operators' keys behind it.
    evacuation_keys: RefCell<EvacuationKeys>,
    /// Whether another node is being asked for evacuations.
    fetching_evacuation: Cell<bool>,
    rng: RefCell<fastrand::Rng>,
    /// The roll-outs that the store shows.
    rollouts: RefCell<RolloutBook>,
    /// Wakes the task that carries roll-outs on.
    rollout_news: Notify,
    /// The entries of the nodes that follow this one.
    registrar: RefCell<Registrar>,
    /// The nodes that follow this one, and when each last asked, in microseconds.
    followers: RefCell<HashMap<Arc<str>, u64>>,
    /// Wakes the task that keeps entries.
    entry_due: Notify,
    /// Wakes the task that keeps entries when this node has become a relay.
    role_changed: Notify,
    /// Has the relay told at once that the own entry is to say something else.
    entry_news: Notify,
    /// Wakes the task that follows the store, when its call hangs on a store that was away.
    reread: Notify,
    store_answers: Cell<bool>,
    /// When this thread began, in microseconds.
    started_us: u64,
    /// What was read of the store, for the nodes that follow this one.
    log: RefCell<ChangeLog>,
    /// What followers were told last, by the positions that it goes from and to.
    packed: RefCell<Vec<((Position, Position), Bytes)>>,
    /// Wakes the nodes that follow this one when the log has changed.
    logged: Notify,
    /// Whether this node follows relays from now on, rather than look for one.
    has_joined: Cell<bool>,
    /// When a relay last told of the store, in microseconds.
    news_us: Cell<Option<u64>>,
    /// Whether the own entry has ever stood in the store as far as was read.
    has_stood: Cell<bool>,
    /// Since when calls to the store have failed, in microseconds.
    failing_since_us: Cell<Option<u64>>,
    /// Since when this node has been a relay that is not needed, in microseconds.
    surplus_since_us: Cell<Option<u64>>,
    /// Until when this node becomes no relay, in microseconds.
    rests_until_us: Cell<u64>,
    /// Has this node follow the store closely at once, since another node wants to follow it.
    hasten: Notify,
    /// Nodes that are passed over as relays, and until when each is, in microseconds.
    avoided: RefCell<HashMap<Arc<str>, (Avoided, u64)>>,
    /// Position that was known when the store came back older, until it has been read whole since.
    lost_from: Cell<Option<Position>>,
    /// Whether other nodes are being asked what they know that a store which came back older may have lost.
    comparing: Cell<bool>,
}

/// Serves membership until told to close; must run on a local task set.
pub async fn run(parts: LeasedParts, adopter: Adopter) {
    let shell = Rc::new(Shell {
        adopter,
        directory: RefCell::new(Directory::default()),
        keeper: RefCell::new(EntryKeeper::default()),
        me: RefCell::new(parts.me.clone()),
        evacuation: RefCell::default(),
        evacuation_keys: RefCell::default(),
        fetching_evacuation: Cell::new(false),
        rng: RefCell::new(fastrand::Rng::with_seed(parts.seed)),
        rollouts: RefCell::default(),
        rollout_news: Notify::new(),
        registrar: RefCell::new(Registrar::new(parts.lease_ms)),
        followers: RefCell::default(),
        entry_due: Notify::new(),
        role_changed: Notify::new(),
        entry_news: Notify::new(),
        reread: Notify::new(),
        store_answers: Cell::new(false),
        started_us: now_us(),
        log: RefCell::new(ChangeLog::with_age_max(parts.news_within_ms * AGE_SHARE_PERCENT * 10)),
        packed: RefCell::default(),
        logged: Notify::new(),
        has_joined: Cell::new(false),
        has_stood: Cell::new(false),
        news_us: Cell::new(None),
        failing_since_us: Cell::new(None),
        surplus_since_us: Cell::new(None),
        rests_until_us: Cell::new(0),
        hasten: Notify::new(),
        avoided: RefCell::default(),
        lost_from: Cell::new(None),
        comparing: Cell::new(false),
        parts,
    });
    shell.publish();
    let mut duties = Duties::default();
    duties.spawn(shell.clone().follow_store());
    duties.spawn(shell.clone().keep_entry());
    duties.spawn(shell.clone().follow_phase());
    duties.spawn(shell.clone().withdraw());
    duties.spawn(shell.clone().wake_neighbours());
    duties.spawn(shell.clone().carry_rollouts());
    duties.spawn(shell.clone().follow_suspensions());
    let mut closing = shell.parts.closing.clone();
    while let Some(job) = duties.next_job(&shell.parts.jobs, &mut closing).await {
        shell.clone().take(job);
    }
    duties.shutdown().await;
}

impl Shell {
    fn take(self: Rc<Self>, job: MemberJob) {
        match job {
            MemberJob::Heard { members, evacuation, bundle, reply, .. } => {
                // What goes where depends on it, so it is known before the bundle that lets calls in.
                self.evacuation_heard(&evacuation);
                self.hear(&members);
                if let Some(first) = members.first() {
                    let from = Target { vm: first.vm.clone(), addr: first.link_addr };
                    self.clone().bundle_heard(bundle, from);
                }
                if let Some(reply) = reply {
                    // Whoever asked may have gone away meanwhile.
                    let _ = reply.send(Known { members: self.digest(), claims: ClaimNews::default() });
                }
            }
            MemberJob::Bundle { number, from } => self.bundle_heard(number, from),
            MemberJob::Evacuation { from } => {
                tokio::task::spawn_local(self.fetch_evacuation(from));
            }
            MemberJob::Follow { after, wait_ms, me, reply } => {
                tokio::task::spawn_local(self.serve_follower(after, wait_ms, *me, reply));
            }
            MemberJob::Behind { peer } => {
                tokio::task::spawn_local(self.tell(peer));
            }
        }
    }

    /// Takes what another node tells of nodes that the store has not shown.
    fn hear(&self, members: &[Member]) {
        if self.store_answers.get() {
            return;
        }
        let now = now_us();
        let mut changed = false;
        for member in members.iter().filter(|member| member.vm != self.parts.me.vm) {
            changed |= self.directory.borrow_mut().hint(member, now);
        }
        if changed {
            log::info!("event=member.hinted count={}", members.len());
            self.publish();
        }
    }

    /// Takes what another node knows of evacuations.
    fn evacuation_heard(&self, news: &Evacuation) {
        if self.evacuation.borrow_mut().merge(news) {
            self.evacuation_changed("peer");
        }
    }

    /// Says which failure domains are evacuated from now on.
    fn evacuation_changed(&self, by: &str) {
        {
            let evacuation = self.evacuation.borrow();
            log::info!(
                "event=member.evacuation number={} domains={} by={by}",
                evacuation.number,
                evacuation.domain_list()
            );
        }
        self.publish();
    }

    /// Asks another node which failure domains are evacuated, unless one is being asked.
    async fn fetch_evacuation(self: Rc<Self>, from: Target) {
        if self.fetching_evacuation.replace(true) {
            return;
        }
        let question = Question { ask: Ask::Evacuation, body: Bytes::new() };
        if let LinkResult::Reply(answered) = self.ask(from, question).await
            && let Reply::Evacuation(news) = answered.head.reply
        {
            self.evacuation_heard(&news);
        }
        self.fetching_evacuation.set(false);
    }

    /// Tells a node that lacks the bundle in force what this one knows.
    async fn tell(self: Rc<Self>, peer: Target) {
        let evacuation = self.evacuation.borrow().clone();
        let ask = Ask::Gossip {
            members: self.digest(),
            evacuation,
            bundle: self.adopter.number(),
            claims: ClaimNews::default(),
        };
        // No reply is no loss: the peer's next reply shows again that it lacks the bundle.
        let _ = self.ask(peer.clone(), Question { ask, body: Bytes::new() }).await;
        // It cannot read the store either. A full ring is no loss for the same reason.
        let _ = self.parts.to_crash.try_send(CrashJob::Tell { target: peer });
    }

    fn digest(&self) -> Vec<Member> {
        let me = self.me.borrow().clone();
        let directory = self.directory.borrow();
        let others = directory.members().filter(|member| member.vm != me.vm).cloned();
        std::iter::once(me.clone()).chain(others).collect()
    }

    fn bundle_heard(self: Rc<Self>, number: u64, from: Target) {
        if !self.adopter.wants(number) {
            return;
        }
        tokio::task::spawn_local(async move { self.fetch_bundle(from).await });
    }

    /// Takes the bundle of another node.
    async fn fetch_bundle(&self, from: Target) {
        let question = Question { ask: Ask::Bundle, body: Bytes::new() };
        if let LinkResult::Reply(answered) = self.ask(from, question).await
            && let Reply::Bundle { number, version } = answered.head.reply
        {
            self.adopter.take_from_peer(number, &version, &answered.body);
        }
    }

    async fn ask(&self, target: Target, question: Question) -> LinkResult {
        peer::ask(&self.parts.to_link, target, question, Duration::from_millis(ASK_MS)).await
    }

    /// Publishes the view: the store's entries, and this VM as it knows itself.
    fn publish(&self) {
        let mut members = Members::default();
        for member in self.directory.borrow().members() {
            members.merge(member);
        }
        members.set(self.me.borrow().clone());
        members.evacuate(&self.evacuation.borrow());
        members.set_rollouts(self.rollouts.borrow().view());
        self.parts.members.send_replace(Arc::new(members));
    }

    /// Follows the upstream and this node's own stages, and says what changes.
    async fn follow_phase(self: Rc<Self>) {
        let mut upstream = self.parts.upstream.clone();
        let mut serving = self.parts.serving.clone();
        let mut leaving = self.parts.leaving.clone();
        let drained = Cell::new(false);
        let drain_after = self.parts.drain_after;
        let drain = async {
            if leaving.wait_for(|leaving| *leaving).await.is_err() {
                return std::future::pending().await;
            }
            tokio::time::sleep(drain_after).await;
            drained.set(true);
        };
        let mut drain = std::pin::pin!(drain);
        let mut start = 0;
        loop {
            let state = upstream.borrow_and_update().clone();
            let phase = match state.phase {
                _ if drained.get() => Phase::Leaving,
                UpstreamPhase::Ready if *serving.borrow_and_update() => Phase::Serving,
                UpstreamPhase::Ready | UpstreamPhase::Unknown => Phase::Joining,
                UpstreamPhase::Leaving => Phase::Leaving,
            };
            if state.start != start {
                // Another start of the upstream is another life: its load and health are new.
                self.me.borrow_mut().incarnation = self.rng.borrow_mut().u64(1..);
                start = state.start;
            }
            self.move_on(phase, state.version.clone());
            let changed = tokio::select! {
                changed = upstream.changed() => changed,
                changed = serving.changed() => changed,
                () = &mut drain, if !drained.get() => Ok(()),
            };
            if changed.is_err() {
                return;
            }
        }
    }

    fn move_on(&self, phase: Phase, version: Option<Arc<str>>) {
        let changed = {
            let mut me = self.me.borrow_mut();
            let changed = (me.phase, &me.version) != (phase, &version);
            (me.phase, me.version) = (phase, version);
            changed
        };
        if !changed {
            return;
        }
        log::info!("event=member.{} peer={} prefix={ENTRY_PREFIX}", phase.as_str(), self.parts.me.vm);
        self.publish();
        self.entry_changed();
    }

    /// Has the own entry say what this node is by now.
    fn entry_changed(&self) {
        // A node that has never served has nobody to tell.
        if self.me.borrow().phase == Phase::Serving || self.keeper.borrow().wanted() > 0 {
            self.keeper.borrow_mut().change();
            self.entry_due.notify_one();
            self.entry_news.notify_one();
        }
    }
}
