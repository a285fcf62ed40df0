//! The member thread of the native platform: polls the VM list, gossips with other nodes, and distributes bundles.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use super::evacuation::Evacuation;
use super::list::VmList;
use super::message::{FollowerReply, GossipReply, Member, MemberJob, Phase};
use super::state::Members;
use crate::bundle::run::BundleFollower;
use crate::claim::{ClaimReport, ClaimState, PeerReport};
use crate::clock::now_us;
use crate::jobs::BackgroundTasks;
use crate::link::message::{Ask, PeerRequest, Reply};
use crate::link::peer::{self, LinkJob, LinkResult, Target};
use crate::timeline::log as events;

/// Number of nodes of other services that one round of exchanges includes.
const OTHERS: usize = 2;
/// Maximum number of VMs in one exchange; VMs of the same service and leaving VMs come first.
const EXCHANGE_MAX: usize = 48;
/// Time after which an unchanged view is published again.
const PUBLISH_US: u64 = 200_000;
/// Time limit of one exchange.
const EXCHANGE_MS: u64 = 400;

/// Configuration and channels of the member thread.
pub struct MemberParts {
    /// This VM at its start.
    pub me: Member,
    /// Pause between two polls of the list.
    pub list_poll: Duration,
    /// Pause between two rounds of exchanges.
    pub gossip: Duration,
    /// The platform's list.
    pub list: Arc<dyn VmList>,
    /// Jobs from other threads.
    pub jobs: Receiver<MemberJob>,
    /// Channel to the link thread.
    pub to_link: Sender<LinkJob>,
    /// Publishes the view of VMs.
    pub members: watch::Sender<Arc<Members>>,
    /// This node's report on its pages of claims.
    pub claims: watch::Receiver<ClaimState>,
    /// Becomes true when this node accepts calls.
    pub serving: watch::Receiver<bool>,
    /// Becomes true when this node starts to leave.
    pub leaving: watch::Receiver<bool>,
    /// Becomes true when this node is about to exit.
    pub exiting: watch::Receiver<bool>,
    /// Set to true when the last exchange has ended.
    pub departed: watch::Sender<bool>,
    /// Becomes true when the thread must end.
    pub closing: watch::Receiver<bool>,
    /// Notified when the platform's list marks this VM as leaving.
    pub listed_leaving: Arc<Notify>,
    /// Seed of random choices.
    pub seed: u64,
}

struct Shell {
    parts: MemberParts,
    bundler: Rc<BundleFollower>,
    members: RefCell<Members>,
    me: RefCell<Member>,
    rng: RefCell<fastrand::Rng>,
    /// Starts the next round of exchanges at once.
    exchange_now: Notify,
    /// When the view was last published.
    published_us: Cell<u64>,
}

/// Runs membership until the thread must end; must run on a local task set.
pub async fn run(parts: MemberParts, bundler: BundleFollower) {
    let rng = fastrand::Rng::with_seed(parts.seed);
    let shell = Rc::new(Shell {
        members: RefCell::new(Members::default()),
        me: RefCell::new(parts.me.clone()),
        rng: RefCell::new(rng),
        exchange_now: Notify::new(),
        published_us: Cell::new(0),
        bundler: Rc::new(bundler),
        parts,
    });
    shell.merge(std::slice::from_ref(&shell.parts.me));
    let mut tasks = BackgroundTasks::default();
    tasks.spawn(shell.clone().poll_list());
    tasks.spawn(shell.clone().gossip());
    tasks.spawn(shell.clone().follow_phase());
    tasks.spawn(shell.clone().announce_bundles());
    tasks.spawn(shell.clone().follow_evacuations());
    tasks.spawn(shell.clone().follow_claims());
    tasks.spawn(shell.bundler.clone().follow_store());
    tasks.spawn(shell.clone().fetch_texts());
    let mut closing = shell.parts.closing.clone();
    while let Some(job) = tasks.next_job(&shell.parts.jobs, &mut closing).await {
        shell.clone().handle(job);
    }
    tasks.shutdown().await;
}

impl Shell {
    fn handle(self: Rc<Self>, job: MemberJob) {
        match job {
            MemberJob::Heard { members, evacuation, bundle, claims, reply } => {
                self.on_evacuation_received(&evacuation);
                self.members.borrow_mut().claims_mut().note_asking(claims, now_us());
                if let Some(first) = members.first().cloned() {
                    self.record_contact(&first, bundle);
                }
                self.merge(&members);
                if let Some(reply) = reply {
                    // The receiver may have been dropped.
                    let _ = reply.send(GossipReply { members: self.digest(), claims: self.claim_report() });
                }
            }
            MemberJob::Bundle { number, from } => self.on_bundle_announced(number, from),
            MemberJob::Evacuation { from } => {
                tokio::task::spawn_local(self.exchange(from));
            }
            MemberJob::Follow { reply, .. } => {
                // This platform's member thread does not read the store. The receiver may have been dropped.
                let _ = reply.send(FollowerReply::Behind);
            }
            MemberJob::Behind { peer } => {
                tokio::task::spawn_local(self.exchange(peer));
            }
        }
    }

    /// Merges a state of evacuations received from another node or the store, and forwards it if it is newer.
    fn on_evacuation_received(&self, received: &Evacuation) {
        if !self.members.borrow_mut().merge_evacuation(received) {
            return;
        }
        log::info!("event=member.evacuation number={} domains={}", received.number, received.domain_list());
        self.parts.members.send_replace(Arc::new(self.members.borrow().clone()));
        self.exchange_now.notify_one();
    }

    /// Merges each change of the evacuations in the store.
    async fn follow_evacuations(self: Rc<Self>) {
        let mut evacuation = self.bundler.evacuation();
        loop {
            let stored = evacuation.borrow_and_update().clone();
            self.on_evacuation_received(&stored);
            if evacuation.changed().await.is_err() {
                return;
            }
        }
    }

    /// Records a message from a node itself, and the number of the bundle in force there.
    fn record_contact(self: &Rc<Self>, member: &Member, bundle: u64) {
        self.members.borrow_mut().heard(&member.vm, now_us());
        let from = Target { vm: member.vm.clone(), addr: member.link_addr };
        self.on_bundle_announced(bundle, from);
    }

    /// Requests the text of a bundle that another node has announced, unless it is here.
    fn on_bundle_announced(&self, number: u64, from: Target) {
        self.bundler.adopter.announce(number, from, true);
    }

    /// Requests the texts of announced bundles from other nodes; runs as long as the node.
    async fn fetch_texts(self: Rc<Self>) {
        let me = Target { vm: self.parts.me.vm.clone(), addr: self.parts.me.link_addr };
        // The task that follows the store reads each text that the store announces.
        let read_store = async || {};
        self.bundler.adopter.fetch_texts(&me, &self.parts.to_link, || Duration::MAX, read_store).await;
    }

    async fn request(&self, target: Target, request: PeerRequest) -> LinkResult {
        peer::ask(&self.parts.to_link, target, request, Duration::from_millis(EXCHANGE_MS)).await
    }

    /// Merges received states of VMs, and publishes the view if it has changed or is due.
    fn merge(&self, received: &[Member]) {
        let mut members = self.members.borrow_mut();
        let mut changed = false;
        for member in received {
            // Only this node decides the phase of its own incarnation.
            if member.vm == self.parts.me.vm && member.incarnation <= self.parts.me.incarnation {
                changed |= members.merge(&self.me.borrow());
                continue;
            }
            if members.merge(member) {
                changed = true;
                let Member { vm, incarnation, phase, .. } = member;
                log::info!("event=member.{} peer={vm} incarnation={incarnation}", phase.as_str());
            }
        }
        // Claims read the times of last contact from the view, so it is also published without other changes, but only
        // at intervals, since copying a large view is expensive.
        let now = now_us();
        changed |= self.parts.claims.borrow().is_asking;
        if changed || now >= self.published_us.get() + PUBLISH_US {
            self.published_us.set(now);
            self.parts.members.send_replace(Arc::new(members.clone()));
        }
    }

    fn claim_report(&self) -> ClaimReport {
        self.parts.claims.borrow().news(now_us())
    }

    /// Starts a round of exchanges when the state of this node's pages of claims changes: when a page has moved here or
    /// may lack keys.
    async fn follow_claims(self: Rc<Self>) {
        let mut claims = self.parts.claims.clone();
        while claims.changed().await.is_ok() {
            self.exchange_now.notify_one();
        }
    }

    /// Returns the states of VMs that are sent in an exchange, this VM first.
    fn digest(&self) -> Vec<Member> {
        let members = self.members.borrow();
        let me = self.me.borrow().clone();
        let mut others: Vec<Member> = members.iter().filter(|member| member.vm != me.vm).cloned().collect();
        self.rng.borrow_mut().shuffle(&mut others);
        others.sort_by_key(|member| (member.service != me.service, member.phase != Phase::Leaving));
        others.truncate(EXCHANGE_MAX - 1);
        let mut digest = vec![me];
        digest.append(&mut others);
        digest
    }

    async fn poll_list(self: Rc<Self>) {
        loop {
            match self.parts.list.read().await {
                Ok(rows) => {
                    // This node is alive even if the list lacks it.
                    self.members.borrow_mut().heard(&self.parts.me.vm, now_us());
                    let advanced = self.members.borrow_mut().apply_list(&rows, now_us());
                    for member in &advanced {
                        log::info!("event=member.{} peer={} by=list", member.phase.as_str(), member.vm);
                    }
                    let me = &self.parts.me.vm;
                    if rows.iter().any(|row| row.vm == *me && row.leaving) {
                        self.parts.listed_leaving.notify_one();
                    }
                    let members = self.members.borrow().clone();
                    self.parts.members.send_replace(Arc::new(members));
                }
                Err(error) => log::warn!("event=list.failed code={} reason=\"{error}\"", error.code()),
            }
            sleep(self.parts.list_poll).await;
        }
    }

    async fn gossip(self: Rc<Self>) {
        loop {
            for target in self.partners(OTHERS) {
                tokio::task::spawn_local(self.clone().exchange(target));
            }
            // A change is sent at once; the pause only bounds the time between two rounds.
            let _ = timeout(self.parts.gossip, self.exchange_now.notified()).await;
        }
    }

    /// Returns the nodes of this node's service and some other nodes, drawn at random.
    fn partners(&self, others: usize) -> Vec<Target> {
        let members = self.members.borrow();
        let me = self.me.borrow();
        let listed = members.unheard().map(|row| (row.service.clone(), row.vm.clone(), row.link_addr));
        let known = members
            .iter()
            .filter(|member| member.phase < Phase::Gone)
            .map(|member| (member.service.clone(), member.vm.clone(), member.link_addr));
        let mut own = Vec::new();
        let mut rest = Vec::new();
        for (service, vm, addr) in known.chain(listed).filter(|(_, vm, _)| *vm != me.vm) {
            let target = Target { vm, addr };
            if service == me.service { own.push(target) } else { rest.push(target) }
        }
        self.rng.borrow_mut().shuffle(&mut rest);
        own.extend(rest.into_iter().take(others));
        own
    }

    /// Exchanges states with another node.
    async fn exchange(self: Rc<Self>, target: Target) {
        let bundle = self.bundler.adopter.number();
        let evacuation = self.members.borrow().evacuation().clone();
        let ask = Ask::Gossip { members: self.digest(), evacuation, bundle, claims: self.claim_report() };
        let request = PeerRequest { ask, body: Bytes::new() };
        let asked_us = now_us();
        let LinkResult::Reply(answered) = self.request(target, request).await else {
            return;
        };
        events::observe(answered.head.riding.hlc);
        let Reply::Gossip { members, evacuation, claims } = answered.head.reply else {
            return;
        };
        self.on_evacuation_received(&evacuation);
        if let Some(first) = members.first().cloned() {
            self.record_contact(&first, answered.head.riding.bundle);
            let report = PeerReport { incarnation: first.incarnation, asked_us, news: claims };
            self.members.borrow_mut().claims_mut().reply(&first.vm, report, now_us());
        }
        self.merge(&members);
    }

    /// Starts a round of exchanges whenever another bundle is in force here.
    async fn announce_bundles(self: Rc<Self>) {
        let mut in_force = self.bundler.adopter.subscribe();
        while in_force.changed().await.is_ok() {
            self.exchange_now.notify_one();
        }
    }

    /// Sets this node's phase as it starts to serve, leaves and exits, and notifies the other nodes.
    async fn follow_phase(self: Rc<Self>) {
        let mut serving = self.parts.serving.clone();
        let mut leaving = self.parts.leaving.clone();
        let mut exiting = self.parts.exiting.clone();
        tokio::select! {
            Ok(_) = serving.wait_for(|serving| *serving) => self.set_phase(Phase::Serving),
            Ok(_) = leaving.wait_for(|leaving| *leaving) => {}
        }
        if leaving.wait_for(|leaving| *leaving).await.is_err() {
            return;
        }
        self.set_phase(Phase::Leaving);
        self.notify_peers().await;
        if exiting.wait_for(|exiting| *exiting).await.is_err() {
            return;
        }
        self.set_phase(Phase::Gone);
        self.notify_peers().await;
        self.parts.departed.send_replace(true);
    }

    fn set_phase(&self, phase: Phase) {
        self.me.borrow_mut().phase = phase;
        log::info!("event=member.{} peer={}", phase.as_str(), self.parts.me.vm);
        let me = self.me.borrow().clone();
        self.merge(&[me]);
        self.exchange_now.notify_one();
    }

    /// Exchanges states with all nodes of this node's service and many others at once.
    async fn notify_peers(self: &Rc<Self>) {
        let mut exchanges = tokio::task::JoinSet::new();
        for target in self.partners(EXCHANGE_MAX) {
            exchanges.spawn_local(self.clone().exchange(target));
        }
        while exchanges.join_next().await.is_some() {}
    }
}
