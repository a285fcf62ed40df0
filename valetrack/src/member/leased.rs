//! The member thread on a platform whose store has leases: the own entry, the view of the others,
//! and the operators' bundle.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};

use super::directory::{Directory, ENTRY_PREFIX, entry_key};
use super::lease::{EntryKeeper, EntryStep};
use super::message::{Member, MemberJob, Phase};
use super::run::phase_label;
use super::state::Members;
use crate::bundle::{Adopter, BundleFormat, version_of};
use crate::clock::now_us;
use crate::code::Code;
use crate::gate::{UpstreamPhase, UpstreamState};
use crate::link::message::{Ask, Question, Reply};
use crate::link::peer::{self, LinkJob, LinkResult, Target};
use crate::metric::Metrics;
use crate::store::{Change, Committed, Item, LeaseStore, LeasedWrite, StoreError};

/// Longest wait of one call for changes, in milliseconds: the platform allows 30 seconds.
const WATCH_MS: u64 = 25_000;
/// Pause between two calls for changes, in milliseconds: changes that come together, as when a
/// fleet starts, are then read in one call, since each call of each node is paid for. An operator's
/// change may take two seconds to be in force.
const GATHER_MS: u64 = 800;
/// Pause before a store that failed is read again by a node that has no entry in it yet, in
/// milliseconds.
const REREAD_MS: u64 = 400;
/// The same for a node that has one, in milliseconds: its renewals, which cost less than reads, tell
/// sooner when the store answers again.
const REREAD_KEPT_MS: u64 = 3_000;
/// Time limit of one question to another node, in milliseconds.
const ASK_MS: u64 = 400;
/// Time that ending the lease may take when the node stops, in milliseconds.
const END_MS: u64 = 300;

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
    /// How long the own entry outlives the last word of this node, in milliseconds.
    pub lease_ms: u64,
    /// News of other threads.
    pub jobs: Receiver<MemberJob>,
    /// Ring to the link thread.
    pub to_link: Sender<LinkJob>,
    /// Where the view of VMs is published.
    pub members: watch::Sender<Arc<Members>>,
    /// State of the upstream beside this node.
    pub upstream: watch::Receiver<UpstreamState>,
    /// Turns true when this node takes work.
    pub serving: watch::Receiver<bool>,
    /// Turns true when this node leaves.
    pub leaving: watch::Receiver<bool>,
    /// Turns true when this node is about to exit.
    pub gone: watch::Receiver<bool>,
    /// Told when the entry is withdrawn.
    pub farewell: watch::Sender<bool>,
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
    rng: RefCell<fastrand::Rng>,
    /// Wakes the task that keeps the own entry.
    entry_due: Notify,
    /// Wakes the task that follows the store, when its call hangs on a store that was away.
    reread: Notify,
    store_answers: Cell<bool>,
}

/// Serves membership until told to close; must run on a local task set.
pub async fn run(parts: LeasedParts, adopter: Adopter) {
    let shell = Rc::new(Shell {
        adopter,
        directory: RefCell::new(Directory::default()),
        keeper: RefCell::new(EntryKeeper::default()),
        me: RefCell::new(parts.me.clone()),
        rng: RefCell::new(fastrand::Rng::with_seed(parts.seed)),
        entry_due: Notify::new(),
        reread: Notify::new(),
        store_answers: Cell::new(false),
        parts,
    });
    shell.publish();
    let mut duties = tokio::task::JoinSet::new();
    duties.spawn_local(shell.clone().follow_store());
    duties.spawn_local(shell.clone().keep_entry());
    duties.spawn_local(shell.clone().follow_phase());
    duties.spawn_local(shell.clone().withdraw());
    let mut closing = shell.parts.closing.clone();
    loop {
        let job = tokio::select! {
            job = shell.parts.jobs.recv() => job,
            _ = closing.wait_for(|closing| *closing) => break,
        };
        let Ok(job) = job else {
            break;
        };
        shell.clone().take(job);
    }
    duties.shutdown().await;
}

impl Shell {
    fn take(self: Rc<Self>, job: MemberJob) {
        match job {
            MemberJob::Heard { members, bundle, reply } => {
                self.hear(&members);
                if let Some(first) = members.first() {
                    let from = Target { vm: first.vm.clone(), addr: first.link_addr };
                    self.clone().bundle_heard(bundle, from);
                }
                if let Some(reply) = reply {
                    // Whoever asked may have gone away meanwhile.
                    let _ = reply.send(self.digest());
                }
            }
            MemberJob::Bundle { number, from } => self.bundle_heard(number, from),
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

    /// Tells a node that lacks the bundle in force what this one knows.
    async fn tell(self: Rc<Self>, peer: Target) {
        let ask = Ask::Gossip { members: self.digest(), bundle: self.adopter.number() };
        // No reply is no loss: the peer's next reply shows again that it lacks the bundle.
        let _ = self.ask(peer, Question { ask, body: Bytes::new() }).await;
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
        tokio::task::spawn_local(async move {
            let question = Question { ask: Ask::Bundle, body: Bytes::new() };
            if let LinkResult::Reply(answered) = self.ask(from, question).await
                && let Reply::Bundle { number, version } = answered.head.reply
            {
                self.adopter.take_from_peer(number, &version, &answered.body);
            }
        });
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
        self.parts.members.send_replace(Arc::new(members));
    }

    /// Reads the store whole, then follows its changes; runs as long as the node.
    async fn follow_store(self: Rc<Self>) {
        loop {
            match self.read_all().await {
                Ok(revision) => self.follow_changes(revision).await,
                Err(error) => {
                    self.store_failed("read", &error);
                    let longest_ms = if self.keeper.borrow().wanted() == 0 { REREAD_MS } else { REREAD_KEPT_MS };
                    let pause_ms = self.rng.borrow_mut().u64(longest_ms / 2..=longest_ms);
                    // Woken or not, the store is read again.
                    let _ = timeout(Duration::from_millis(pause_ms), self.reread.notified()).await;
                }
            }
        }
    }

    async fn read_all(&self) -> Result<u64, StoreError> {
        let mut items: Vec<Item> = Vec::new();
        let mut at_revision = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            self.count("list");
            let page = self.parts.store.list("", after.as_deref()).await?;
            // Pages are no snapshot: changes are followed from the first one on.
            at_revision.get_or_insert(page.at_revision);
            let last = page.items.is_empty() || !page.has_more;
            items.extend(page.items);
            if last {
                break;
            }
        }
        self.store_answered();
        self.take_items(&items);
        Ok(at_revision.unwrap_or(0))
    }

    fn take_items(&self, items: &[Item]) {
        let key = entry_key(&self.parts.me.vm);
        let own = items.iter().find(|item| item.key == key);
        self.own_entry_seen(own.map_or(0, |item| item.revision), own.is_some());
        for item in items.iter().filter(|item| item.key == *self.parts.bundle_key) {
            self.take_bundle(item);
        }
        self.directory.borrow_mut().replace(items, now_us());
        self.publish();
    }

    /// Follows changes after a revision until the store fails or has forgotten them.
    async fn follow_changes(&self, mut revision: u64) {
        loop {
            self.count("watch");
            let wait = Duration::from_millis(self.wait_ms());
            let changes = tokio::select! {
                changes = self.parts.store.changes("", revision, wait) => changes,
                // The store was away; a call from before may hang for good.
                () = self.reread.notified() => return,
            };
            match changes {
                Ok(changes) => {
                    self.store_answered();
                    revision = changes.at_revision.max(revision);
                    self.take_changes(&changes.changes);
                    if !changes.changes.is_empty() {
                        sleep(Duration::from_millis(GATHER_MS)).await;
                    }
                }
                Err(error) => {
                    self.store_failed("watch", &error);
                    return;
                }
            }
        }
    }

    /// Returns how long a call for changes waits: no longer than until an entry that is missing
    /// is to be forgotten.
    fn wait_ms(&self) -> u64 {
        let next_us = self.directory.borrow().next_expiry_us();
        let until_ms = next_us.map_or(WATCH_MS, |next_us| next_us.saturating_sub(now_us()) / 1000 + 10);
        until_ms.clamp(10, WATCH_MS)
    }

    fn take_changes(&self, changes: &[Change]) {
        let own = entry_key(&self.parts.me.vm);
        let mut changed = false;
        for change in changes {
            match change {
                Change::Put(item) if item.key == own => self.own_entry_seen(item.revision, true),
                Change::Gone { key, revision } if *key == own => self.own_entry_seen(*revision, false),
                Change::Put(item) if item.key == *self.parts.bundle_key => self.take_bundle(item),
                Change::Put(_) | Change::Gone { .. } => {
                    changed |= self.directory.borrow_mut().apply(change, now_us());
                }
            }
        }
        for vm in self.directory.borrow_mut().expire(now_us()) {
            log::info!("event=member.gone peer={vm} by=store");
            changed = true;
        }
        if changed {
            self.publish();
        }
    }

    fn own_entry_seen(&self, revision: u64, present: bool) {
        self.keeper.borrow_mut().seen(revision, present);
        if !present {
            self.entry_due.notify_one();
        }
    }

    fn take_bundle(&self, item: &Item) {
        let text = match std::str::from_utf8(&item.value) {
            Ok(text) => text,
            Err(error) => {
                log::error!("event=bundle.refused code={} reason=\"{error}\"", Code::BundleDamaged);
                return;
            }
        };
        match self.parts.format.number(text) {
            Some(number) => self.adopter.offer(number, &version_of(text), text, "store"),
            None => log::error!("event=bundle.refused code={} reason=\"no number\"", Code::BundleDamaged),
        }
    }

    fn store_answered(&self) {
        if self.store_answers.replace(true) {
            return;
        }
        log::info!("event=store.answers");
        self.directory.borrow_mut().store_is_back(now_us());
        self.keeper.borrow_mut().store_is_back();
        self.entry_due.notify_one();
    }

    fn store_failed(&self, call: &str, error: &StoreError) {
        self.parts.metrics.store_calls.with_label_values(&["failed"]).inc();
        if *error == StoreError::HistoryGone {
            log::info!("event=store.history_gone code={}", error.code());
        } else if self.store_answers.replace(false) {
            // Told once an outage: a store that is down would fill the log.
            log::warn!("event=store.lost call={call} code={} reason=\"{error}\"", error.code());
        }
    }

    fn count(&self, kind: &str) {
        self.parts.metrics.store_calls.with_label_values(&[kind]).inc();
    }

    /// Keeps the own entry in the store; runs as long as the node.
    async fn keep_entry(self: Rc<Self>) {
        loop {
            let step = self.keeper.borrow().next(now_us());
            let until_us = match step {
                // Nothing was to be said yet.
                _ if self.keeper.borrow().wanted() == 0 => u64::MAX,
                EntryStep::Wait { until_us } => until_us,
                EntryStep::Grant | EntryStep::Write { .. } | EntryStep::Renew { .. } => {
                    self.step(step).await;
                    continue;
                }
            };
            let pause = Duration::from_micros(until_us.saturating_sub(now_us()).min(WATCH_MS * 1000));
            // Woken or not, the keeper is asked again.
            let _ = timeout(pause, self.entry_due.notified()).await;
        }
    }

    async fn step(&self, step: EntryStep) {
        let sent_us = now_us();
        let store = &self.parts.store;
        let ended = match step {
            EntryStep::Grant => {
                self.count("grant");
                store.grant(self.parts.lease_ms).await.map(|lease| self.keeper.borrow_mut().granted(lease, sent_us))
            }
            EntryStep::Renew { lease } => {
                self.count("renew");
                store.renew(lease).await.map(|()| self.keeper.borrow_mut().renewed(sent_us))
            }
            EntryStep::Write { lease, expected } => self.write(lease, expected).await,
            EntryStep::Wait { .. } => Ok(()),
        };
        let was_away = !self.store_answers.get();
        match ended {
            Ok(()) => {
                self.store_answered();
                self.reread_after(was_away);
            }
            Err(StoreError::LeaseOver) => {
                log::info!("event=member.lease_over code={}", Code::LeaseOver);
                self.store_answered();
                self.reread_after(was_away);
                self.keeper.borrow_mut().lease_over();
            }
            Err(error) => {
                self.store_failed("entry", &error);
                self.keeper.borrow_mut().failed(now_us(), &mut self.rng.borrow_mut());
            }
        }
    }

    /// Has the store read again when a call for the own entry shows that it is back: a call for
    /// changes from before may hang for good.
    fn reread_after(&self, was_away: bool) {
        if was_away {
            self.reread.notify_one();
        }
    }

    async fn write(&self, lease: u64, expected: u64) -> Result<(), StoreError> {
        let version = self.keeper.borrow().wanted();
        let me = self.me.borrow().clone();
        let value = serde_json::to_vec(&me).map_err(|error| StoreError::Invalid { reason: error.to_string() })?;
        let write = LeasedWrite { key: entry_key(&me.vm), expected, value, lease };
        self.count("write");
        match self.parts.store.commit(&write).await? {
            Committed::At(revision) => {
                log::info!(
                    "event=member.entry_written phase={} revision={revision} lease={lease}",
                    phase_label(me.phase)
                );
                self.keeper.borrow_mut().wrote(version, revision);
            }
            Committed::Conflict(revision) => self.keeper.borrow_mut().conflicted(revision),
        }
        Ok(())
    }

    /// Follows the upstream and this node's own stages, and says what changes.
    async fn follow_phase(self: Rc<Self>) {
        let mut upstream = self.parts.upstream.clone();
        let mut serving = self.parts.serving.clone();
        let mut leaving = self.parts.leaving.clone();
        let mut id = None;
        loop {
            let state = upstream.borrow_and_update().clone();
            let phase = match state.phase {
                _ if *leaving.borrow_and_update() => Phase::Leaving,
                UpstreamPhase::Ready if *serving.borrow_and_update() => Phase::Serving,
                UpstreamPhase::Ready | UpstreamPhase::Unknown => Phase::Joining,
                UpstreamPhase::Leaving => Phase::Leaving,
            };
            if state.id != id {
                // Another start of the upstream is another life: its load and health are new.
                self.me.borrow_mut().incarnation = self.rng.borrow_mut().u64(1..);
                id = state.id;
            }
            self.move_on(phase);
            let changed = tokio::select! {
                changed = upstream.changed() => changed,
                changed = serving.changed() => changed,
                changed = leaving.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
        }
    }

    fn move_on(&self, phase: Phase) {
        let before = {
            let mut me = self.me.borrow_mut();
            std::mem::replace(&mut me.phase, phase)
        };
        if before == phase {
            return;
        }
        log::info!("event=member.{} peer={} prefix={ENTRY_PREFIX}", phase_label(phase), self.parts.me.vm);
        self.publish();
        // A node that has never served has nobody to tell.
        if phase == Phase::Serving || self.keeper.borrow().wanted() > 0 {
            self.keeper.borrow_mut().change();
            self.entry_due.notify_one();
        }
    }

    /// Takes the own entry back when the node is about to exit.
    async fn withdraw(self: Rc<Self>) {
        let mut gone = self.parts.gone.clone();
        if gone.wait_for(|gone| *gone).await.is_err() {
            return;
        }
        let lease = self.keeper.borrow().lease();
        if let Some(lease) = lease.filter(|_| self.store_answers.get()) {
            self.count("end");
            match timeout(Duration::from_millis(END_MS), self.parts.store.end(lease)).await {
                Ok(Ok(())) => {}
                // The lease runs out by itself.
                Ok(Err(error)) => log::warn!("event=member.lease_not_ended code={} reason=\"{error}\"", error.code()),
                Err(_) => log::warn!("event=member.lease_not_ended reason=\"time limit\""),
            }
        }
        self.parts.farewell.send_replace(true);
    }
}
