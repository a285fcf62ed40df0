//! The member thread: the VM list, exchanges with other nodes, and the spread of bundles.

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
use super::message::{FollowerNews, Known, Member, MemberJob, Phase};
use super::state::Members;
use crate::bundle::run::Bundler;
use crate::claim::{ClaimNews, ClaimState, PeerNews};
use crate::clock::now_us;
use crate::jobs::Duties;
use crate::link::message::{Ask, Question, Reply};
use crate::link::peer::{self, LinkJob, LinkResult, Target};
use crate::timeline::log as events;

/// Nodes outside the own service that one exchange goes to.
const OTHERS: usize = 2;
/// Most VMs in one exchange; news of one's own service and of leaving VMs goes first.
const EXCHANGE_MAX: usize = 48;
/// An unchanged view is published again after this time, in microseconds.
const PUBLISH_US: u64 = 200_000;
/// Time limit of one exchange, in milliseconds.
const EXCHANGE_MS: u64 = 400;

/// What the member thread is joined to.
pub struct MemberParts {
    /// This VM, as it starts.
    pub me: Member,
    /// Pause between two looks at the list.
    pub list_poll: Duration,
    /// Pause between two exchanges.
    pub gossip: Duration,
    /// The platform's list.
    pub list: Arc<dyn VmList>,
    /// News of other threads.
    pub jobs: Receiver<MemberJob>,
    /// Ring to the link thread.
    pub to_link: Sender<LinkJob>,
    /// Where the view of VMs is published.
    pub members: watch::Sender<Arc<Members>>,
    /// What this node says of its pages of claims.
    pub claims: watch::Receiver<ClaimState>,
    /// Turns true when this node takes work.
    pub serving: watch::Receiver<bool>,
    /// Turns true when this node leaves.
    pub leaving: watch::Receiver<bool>,
    /// Turns true when this node is about to exit.
    pub exiting: watch::Receiver<bool>,
    /// Told when the last exchange is over.
    pub departed: watch::Sender<bool>,
    /// Turns true when the thread is to end.
    pub closing: watch::Receiver<bool>,
    /// Told when the platform's list says that this VM leaves.
    pub listed_leaving: Arc<Notify>,
    /// Seed of random choices.
    pub seed: u64,
}

struct Shell {
    parts: MemberParts,
    bundler: Rc<Bundler>,
    members: RefCell<Members>,
    me: RefCell<Member>,
    rng: RefCell<fastrand::Rng>,
    push: Notify,
    /// When the view was last published.
    published_us: Cell<u64>,
}

/// Serves membership until told to close; must run on a local task set.
pub async fn run(parts: MemberParts, bundler: Bundler) {
    let rng = fastrand::Rng::with_seed(parts.seed);
    let shell = Rc::new(Shell {
        members: RefCell::new(Members::default()),
        me: RefCell::new(parts.me.clone()),
        rng: RefCell::new(rng),
        push: Notify::new(),
        published_us: Cell::new(0),
        bundler: Rc::new(bundler),
        parts,
    });
    shell.merge(std::slice::from_ref(&shell.parts.me));
    let mut duties = Duties::default();
    duties.spawn(shell.clone().poll_list());
    duties.spawn(shell.clone().gossip());
    duties.spawn(shell.clone().follow_phase());
    duties.spawn(shell.clone().push_bundles());
    duties.spawn(shell.clone().follow_evacuations());
    duties.spawn(shell.clone().follow_claims());
    duties.spawn(shell.bundler.clone().follow_store());
    let mut closing = shell.parts.closing.clone();
    while let Some(job) = duties.next_job(&shell.parts.jobs, &mut closing).await {
        shell.clone().take(job);
    }
    duties.shutdown().await;
}

impl Shell {
    fn take(self: Rc<Self>, job: MemberJob) {
        match job {
            MemberJob::Heard { members, evacuation, bundle, claims, reply } => {
                self.evacuation_heard(&evacuation);
                self.members.borrow_mut().claims_mut().note_asking(claims, now_us());
                if let Some(first) = members.first().cloned() {
                    self.hear(&first, bundle);
                }
                self.merge(&members);
                if let Some(reply) = reply {
                    // Whoever asked may have gone away meanwhile.
                    let _ = reply.send(Known { members: self.digest(), claims: self.claim_news() });
                }
            }
            MemberJob::Bundle { number, from } => self.bundle_heard(number, from),
            MemberJob::Evacuation { from } => {
                tokio::task::spawn_local(self.exchange(from));
            }
            MemberJob::Follow { reply, .. } => {
                // The store is not read here; whoever asked may have gone away meanwhile.
                let _ = reply.send(FollowerNews::Behind);
            }
            MemberJob::Behind { peer } => {
                tokio::task::spawn_local(self.exchange(peer));
            }
        }
    }

    /// Takes what another node or the store tells of evacuations, and passes on what is new.
    fn evacuation_heard(&self, news: &Evacuation) {
        if !self.members.borrow_mut().evacuate(news) {
            return;
        }
        log::info!("event=member.evacuation number={} domains={}", news.number, news.domain_list());
        self.parts.members.send_replace(Arc::new(self.members.borrow().clone()));
        self.push.notify_one();
    }

    /// Follows the evacuations that stand in the store.
    async fn follow_evacuations(self: Rc<Self>) {
        let mut evacuation = self.bundler.evacuation();
        loop {
            let news = evacuation.borrow_and_update().clone();
            self.evacuation_heard(&news);
            if evacuation.changed().await.is_err() {
                return;
            }
        }
    }

    /// Notes that a node itself was heard, and what bundle it has.
    fn hear(self: &Rc<Self>, member: &Member, bundle: u64) {
        self.members.borrow_mut().heard(&member.vm, now_us());
        let from = Target { vm: member.vm.clone(), addr: member.link_addr };
        self.bundle_heard(bundle, from);
    }

    fn bundle_heard(self: &Rc<Self>, number: u64, from: Target) {
        if !self.bundler.adopter.wants(number) {
            return;
        }
        let shell = self.clone();
        tokio::task::spawn_local(async move {
            let question = Question { ask: Ask::Bundle, body: Bytes::new() };
            if let LinkResult::Reply(answered) = shell.ask(from, question).await
                && let Reply::Bundle { number, version } = answered.head.reply
            {
                shell.bundler.adopter.take_from_peer(number, &version, &answered.body);
            }
        });
    }

    async fn ask(&self, target: Target, question: Question) -> LinkResult {
        peer::ask(&self.parts.to_link, target, question, Duration::from_millis(EXCHANGE_MS)).await
    }

    fn merge(&self, news: &[Member]) {
        let mut members = self.members.borrow_mut();
        let mut changed = false;
        for member in news {
            // Nobody else speaks for this life of this VM.
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
        // Times of hearing are part of what claims read, so the view goes out now and then also
        // when nothing else has changed; a copy of a large view is dear.
        let now = now_us();
        changed |= self.parts.claims.borrow().is_asking;
        if changed || now >= self.published_us.get() + PUBLISH_US {
            self.published_us.set(now);
            self.parts.members.send_replace(Arc::new(members.clone()));
        }
    }

    fn claim_news(&self) -> ClaimNews {
        self.parts.claims.borrow().news(now_us())
    }

    /// Asks the others at once where the pages of claims of this node have changed hands, or may lack keys.
    async fn follow_claims(self: Rc<Self>) {
        let mut claims = self.parts.claims.clone();
        while claims.changed().await.is_ok() {
            self.push.notify_one();
        }
    }

    /// Returns what goes out in an exchange, this VM first.
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
                    // This node hears itself, whatever the list says.
                    self.members.borrow_mut().heard(&self.parts.me.vm, now_us());
                    let moved = self.members.borrow_mut().take_list(&rows, now_us());
                    for member in &moved {
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
            // A change goes out at once; the pause only bounds the time between two rounds.
            let _ = timeout(self.parts.gossip, self.push.notified()).await;
        }
    }

    /// Returns the nodes of the own service and some others.
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

    async fn exchange(self: Rc<Self>, target: Target) {
        let bundle = self.bundler.adopter.number();
        let evacuation = self.members.borrow().evacuation().clone();
        let ask = Ask::Gossip { members: self.digest(), evacuation, bundle, claims: self.claim_news() };
        let question = Question { ask, body: Bytes::new() };
        let asked_us = now_us();
        let LinkResult::Reply(answered) = self.ask(target, question).await else {
            return;
        };
        events::observe(answered.head.riding.hlc);
        let Reply::Gossip { members, evacuation, claims } = answered.head.reply else {
            return;
        };
        self.evacuation_heard(&evacuation);
        if let Some(first) = members.first().cloned() {
            self.hear(&first, answered.head.riding.bundle);
            let heard = PeerNews { incarnation: first.incarnation, asked_us, news: claims };
            self.members.borrow_mut().claims_mut().reply(&first.vm, heard, now_us());
        }
        self.merge(&members);
    }

    /// Passes a bundle on as soon as it is in force here.
    async fn push_bundles(self: Rc<Self>) {
        let mut in_force = self.bundler.adopter.subscribe();
        while in_force.changed().await.is_ok() {
            self.push.notify_one();
        }
    }

    async fn follow_phase(self: Rc<Self>) {
        let mut serving = self.parts.serving.clone();
        let mut leaving = self.parts.leaving.clone();
        let mut exiting = self.parts.exiting.clone();
        tokio::select! {
            Ok(_) = serving.wait_for(|serving| *serving) => self.move_on(Phase::Serving),
            Ok(_) = leaving.wait_for(|leaving| *leaving) => {}
        }
        if leaving.wait_for(|leaving| *leaving).await.is_err() {
            return;
        }
        self.move_on(Phase::Leaving);
        self.tell_everybody().await;
        if exiting.wait_for(|exiting| *exiting).await.is_err() {
            return;
        }
        self.move_on(Phase::Gone);
        self.tell_everybody().await;
        self.parts.departed.send_replace(true);
    }

    fn move_on(&self, phase: Phase) {
        self.me.borrow_mut().phase = phase;
        log::info!("event=member.{} peer={}", phase.as_str(), self.parts.me.vm);
        let me = self.me.borrow().clone();
        self.merge(&[me]);
        self.push.notify_one();
    }

    /// Tells every node that is known, at once.
    async fn tell_everybody(self: &Rc<Self>) {
        let mut told = tokio::task::JoinSet::new();
        for target in self.partners(EXCHANGE_MAX) {
            told.spawn_local(self.clone().exchange(target));
        }
        while told.join_next().await.is_some() {}
    }
}
