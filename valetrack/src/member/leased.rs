//! The member thread on a platform whose store has leases: keeps this node's entry, the view of the other nodes, and
//! the operators' bundle.

pub(super) mod departure;
mod follow;
mod keep;
mod older;
mod read;
mod relayed;
mod resume;
mod role;
mod rollout;
mod takeover;
mod wake;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use tokio::sync::{Notify, watch};

use self::departure::present_departure;
use super::directory::{Directory, ENTRY_PREFIX};
use super::evacuation::{Evacuation, EvacuationKeys};
use super::lease::EntryKeeper;
use super::message::{GossipReply, Member, MemberJob, Phase};
use super::registrar::Registrar;
use super::relay::ChangeLog;
use super::role::AvoidReason;
use super::state::Members;
use super::takeover::Takeover;
use crate::bundle::{Adopter, BundleFormat};
use crate::claim::ClaimReport;
use crate::clock::now_us;
use crate::crash::CrashJob;
use crate::gate::{Departure, DepartureRecord, UpstreamPhase, UpstreamState};
use crate::jobs::BackgroundTasks;
use crate::link::message::{Ask, PeerRequest, Reply};
use crate::link::peer::{self, LinkJob, LinkResult, Target};
use crate::metric::Metrics;
use crate::region::Regions;
use crate::rollout::{RolloutFormat, RolloutRegistry};
use crate::store::{LeaseStore, Position};

/// Longest wait of one watch call: the platform allows 30 seconds.
const WATCH_MS: u64 = 25_000;
/// Age above which the log is stale, as a percentage of the time within which an operator's change must be in force.
const AGE_SHARE_PERCENT: u64 = 60;
/// Time without the text of a published bundle after which it is read from the store by a relay and by another node, as a
/// percentage of the time within which an operator's change must be in force.
const TEXT_OVERDUE_PERCENT: [u64; 2] = [50, 80];
/// Largest addition to that time, so that not all nodes read the store at once.
const TEXT_OVERDUE_JITTER_PERCENT: u64 = 20;
/// Time limit of one request to another node.
const REQUEST_MS: u64 = 400;

/// Configuration and channels of the member thread.
pub struct LeasedParts {
    /// This VM at its start.
    pub me: Member,
    /// Region of each failure domain.
    pub regions: Arc<Regions>,
    /// The store.
    pub store: Arc<dyn LeaseStore>,
    /// Parses the bundle in the store.
    pub format: Arc<dyn BundleFormat>,
    /// Key of the operators' bundle.
    pub bundle_key: Arc<str>,
    /// Prefix of the operators' keys, each of which names a failure domain to evacuate.
    pub evacuation_prefix: Arc<str>,
    /// Parses the operators' roll-out orders.
    pub rollouts: Arc<dyn RolloutFormat>,
    /// How long this node's entry outlives the last renewal of its lease.
    pub lease_ms: u64,
    /// Time within which an operator's change must be in force.
    pub news_within_ms: u64,
    /// Jobs from other threads.
    pub jobs: Receiver<MemberJob>,
    /// Channel to the link thread.
    pub to_link: Sender<LinkJob>,
    /// Channel to the crash thread.
    pub to_crash: Sender<CrashJob>,
    /// Publishes the view of VMs.
    pub members: watch::Sender<Arc<Members>>,
    /// State of the upstream beside this node.
    pub upstream: watch::Receiver<UpstreamState>,
    /// Latest departure of this VM's upstream, and who has recorded it.
    pub departure_record: watch::Sender<DepartureRecord>,
    /// Becomes true when this node accepts calls.
    pub serving: watch::Receiver<bool>,
    /// Becomes true when this node starts to leave.
    pub leaving: watch::Receiver<bool>,
    /// How long after the start of leaving the upstream still gets new calls.
    pub drain_after: Duration,
    /// Becomes true when this node is about to exit.
    pub exiting: watch::Receiver<bool>,
    /// Set to true when this node's entry has been withdrawn.
    pub departed: watch::Sender<bool>,
    /// Becomes true when the thread must end.
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
    /// The operators' keys that `evacuation` is derived from.
    evacuation_keys: RefCell<EvacuationKeys>,
    /// Departure of the upstream that an earlier process of this node has acknowledged, as other nodes have reported it.
    earlier_departure: RefCell<Option<Departure>>,
    /// Departure that this node's entry in the store names, as last read.
    stored_departure: RefCell<Option<Departure>>,
    /// Whether a request for evacuations to another node is pending.
    fetching_evacuation: Cell<bool>,
    rng: RefCell<fastrand::Rng>,
    /// The roll-outs in the store.
    rollouts: RefCell<RolloutRegistry>,
    /// Wakes the task that advances roll-outs.
    rollout_changed: Notify,
    /// The entries of the nodes that follow this one.
    registrar: RefCell<Registrar>,
    /// The nodes that follow this one, and when each last sent a request, in microseconds.
    followers: RefCell<HashMap<Arc<str>, u64>>,
    /// Wakes the task that keeps entries.
    entry_due: Notify,
    /// Wakes the task that keeps entries when this node has become a relay.
    role_changed: Notify,
    /// Wakes the task that follows a relay, to send a changed entry to the relay at once.
    entry_update: Notify,
    /// Wakes the task that follows the store, since its call may hang after an outage of the store.
    reread: Notify,
    store_reachable: Cell<bool>,
    /// When this thread started.
    started_us: u64,
    /// What was read from the store, for the nodes that follow this one.
    log: RefCell<ChangeLog>,
    /// Latest updates sent to followers, by the positions that each starts from and ends at.
    packed: RefCell<Vec<((Position, Position), Bytes)>>,
    /// Wakes the pending requests of followers when the log has changed.
    log_changed: Notify,
    /// Whether this node has chosen to follow relays and no longer looks for one.
    follows_relays: Cell<bool>,
    /// Whether all items of the store were ever read, by this node or by a relay that it followed.
    has_read_all: Cell<bool>,
    /// When the last update from a relay was received.
    relay_update_us: Cell<Option<u64>>,
    /// When the store was last read since relays had not replied.
    unresponsive_read_us: Cell<Option<u64>>,
    /// Since when calls to the store have failed.
    failing_since_us: Cell<Option<u64>>,
    /// Attempts of this node to replace relays that are behind the store.
    takeover: RefCell<Takeover>,
    /// Wakes the task that replaces relays when one is behind the store.
    relay_behind: Notify,
    /// Relays that have announced their role to this node, and until when the announcement holds, in microseconds.
    announced: RefCell<HashMap<Arc<str>, u64>>,
    /// The relay that this node follows.
    following: RefCell<Option<Arc<str>>>,
    /// Number of updates in a row from the relay that this node follows.
    updates_in_row: Cell<u32>,
    /// Since when this node has been a surplus relay.
    surplus_since_us: Cell<Option<u64>>,
    /// Until when this node does not become a relay again.
    resigned_until_us: Cell<u64>,
    /// Makes this node follow the store directly at once, since another node follows it.
    follow_now: Notify,
    /// Nodes that are avoided as relays, with the reason and until when, in microseconds.
    avoided: RefCell<HashMap<Arc<str>, (AvoidReason, u64)>>,
    /// Position that had been read when the store was rolled back; none once the store has been read completely since.
    rollback_from: Cell<Option<Position>>,
    /// Whether bundles are being compared with other nodes after a store rollback.
    comparing_bundles: Cell<bool>,
    /// Whether this node, which has no bundle, is asking others for theirs before it requests the announced one.
    querying_peers: Cell<bool>,
}

/// Runs membership until the thread must end; must run on a local task set.
pub async fn run(parts: LeasedParts, adopter: Adopter) {
    let shell = Rc::new(Shell {
        adopter,
        directory: RefCell::new(Directory::default()),
        keeper: RefCell::new(EntryKeeper::default()),
        me: RefCell::new(parts.me.clone()),
        evacuation: RefCell::default(),
        evacuation_keys: RefCell::default(),
        earlier_departure: RefCell::default(),
        stored_departure: RefCell::default(),
        fetching_evacuation: Cell::new(false),
        rng: RefCell::new(fastrand::Rng::with_seed(parts.seed)),
        rollouts: RefCell::default(),
        rollout_changed: Notify::new(),
        registrar: RefCell::new(Registrar::new(parts.lease_ms)),
        followers: RefCell::default(),
        entry_due: Notify::new(),
        role_changed: Notify::new(),
        entry_update: Notify::new(),
        reread: Notify::new(),
        store_reachable: Cell::new(false),
        started_us: now_us(),
        log: RefCell::new(ChangeLog::with_age_max(parts.news_within_ms * AGE_SHARE_PERCENT * 10)),
        packed: RefCell::default(),
        log_changed: Notify::new(),
        follows_relays: Cell::new(false),
        has_read_all: Cell::new(false),
        relay_update_us: Cell::new(None),
        unresponsive_read_us: Cell::new(None),
        failing_since_us: Cell::new(None),
        takeover: RefCell::default(),
        relay_behind: Notify::new(),
        announced: RefCell::default(),
        following: RefCell::default(),
        updates_in_row: Cell::new(0),
        surplus_since_us: Cell::new(None),
        resigned_until_us: Cell::new(0),
        follow_now: Notify::new(),
        avoided: RefCell::default(),
        rollback_from: Cell::new(None),
        comparing_bundles: Cell::new(false),
        querying_peers: Cell::new(false),
        parts,
    });
    shell.publish();
    let mut tasks = BackgroundTasks::default();
    tasks.spawn(shell.clone().follow_store());
    tasks.spawn(shell.clone().keep_entry());
    tasks.spawn(shell.clone().follow_phase());
    tasks.spawn(shell.clone().withdraw());
    tasks.spawn(shell.clone().probe_domain_peers());
    tasks.spawn(shell.clone().advance_rollouts());
    tasks.spawn(shell.clone().watch_suspensions());
    tasks.spawn(shell.clone().replace_relays());
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
            MemberJob::Heard { members, evacuation, bundle, reply, .. } => {
                // Evacuations decide where calls are sent, so they are applied before the bundle that admits calls.
                self.on_evacuation_received(&evacuation);
                self.learn_departure(&members);
                self.learn_members(&members);
                if let Some(sender) = members.first() {
                    self.learn_relay(sender);
                }
                if let Some(first) = members.first() {
                    let from = Target { vm: first.vm.clone(), addr: first.link_addr };
                    self.on_bundle_announced(bundle, from);
                }
                if let Some(reply) = reply {
                    // The receiver may have been dropped.
                    let _ = reply.send(GossipReply { members: self.known_relays(), claims: ClaimReport::default() });
                }
            }
            MemberJob::Bundle { number, from } => self.on_bundle_announced(number, from),
            MemberJob::Evacuation { from } => {
                tokio::task::spawn_local(self.fetch_evacuation(from));
            }
            MemberJob::Follow { after, wait_ms, me, reply } => {
                tokio::task::spawn_local(self.serve_follower(after, wait_ms, *me, reply));
            }
            MemberJob::Behind { peer } => {
                tokio::task::spawn_local(self.send_state(peer));
            }
        }
    }

    /// Adds nodes reported by another node that have no entry here, while the store is unreachable.
    fn learn_members(&self, members: &[Member]) {
        if self.store_reachable.get() {
            return;
        }
        let now = now_us();
        let mut changed = false;
        for member in members.iter().filter(|member| member.vm != self.parts.me.vm) {
            changed |= self.directory.borrow_mut().learn_from_peer(member, now);
        }
        if changed {
            log::info!("event=member.learned_from_peer count={}", members.len());
            self.publish();
        }
    }

    /// Merges a state of evacuations received from another node.
    fn on_evacuation_received(&self, received: &Evacuation) {
        if self.evacuation.borrow_mut().merge(received) {
            self.evacuation_changed("peer");
        }
    }

    /// Logs and publishes the evacuated failure domains after a change.
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

    /// Requests the evacuated failure domains from another node, unless such a request is pending.
    async fn fetch_evacuation(self: Rc<Self>, from: Target) {
        if self.fetching_evacuation.replace(true) {
            return;
        }
        let request = PeerRequest { ask: Ask::Evacuation, body: Bytes::new() };
        if let LinkResult::Reply(answered) = self.request(from, request).await
            && let Reply::Evacuation(received) = answered.head.reply
        {
            self.on_evacuation_received(&received);
        }
        self.fetching_evacuation.set(false);
    }

    /// Sends this node's state to a node that lacks the bundle in force.
    async fn send_state(self: Rc<Self>, peer: Target) {
        // A lost request is harmless: the peer's next reply shows again that it lacks the bundle.
        let _ = self.request(peer.clone(), self.gossip(self.digest(), self.adopter.number())).await;
        // The peer cannot read crash reports from the store either. A full channel is harmless for the same reason.
        let _ = self.parts.to_crash.try_send(CrashJob::SendReports { target: peer });
    }

    /// Returns a gossip request with these states and the evacuations recorded here; a `bundle` of zero announces none.
    fn gossip(&self, members: Vec<Member>, bundle: u64) -> PeerRequest {
        let evacuation = self.evacuation.borrow().clone();
        let ask = Ask::Gossip { members, evacuation, bundle, claims: ClaimReport::default() };
        PeerRequest { ask, body: Bytes::new() }
    }

    /// Returns the states of all recorded VMs, this VM first.
    fn digest(&self) -> Vec<Member> {
        let me = self.me.borrow().clone();
        let directory = self.directory.borrow();
        let others = directory.members().filter(|member| member.vm != me.vm).cloned();
        std::iter::once(me.clone()).chain(others).collect()
    }

    /// Returns the relays by their entries, this VM first. A node that looks for a relay needs no others, and the states of
    /// all nodes would fill the link of a relay in a large fleet.
    fn known_relays(&self) -> Vec<Member> {
        let me = self.me.borrow();
        let directory = self.directory.borrow();
        let relays = directory.members().filter(|member| member.is_relay && member.vm != me.vm);
        std::iter::once(&*me).chain(relays).cloned().collect()
    }

    /// Requests the text of a bundle that another node has announced, unless it is here.
    fn on_bundle_announced(&self, number: u64, from: Target) {
        let is_near = self.is_near(&from.vm);
        self.adopter.announce(number, from, is_near);
    }

    /// Returns whether a VM is known to be in this node's region.
    fn is_near(&self, vm: &str) -> bool {
        let members = self.parts.members.borrow();
        members.get(vm).is_some_and(|member| self.parts.regions.is_same_region(&member.domain, &self.parts.me.domain))
    }

    /// Requests the texts of announced bundles from other nodes; runs as long as the node.
    async fn fetch_texts(self: Rc<Self>) {
        let me = Target { vm: self.parts.me.vm.clone(), addr: self.parts.me.link_addr };
        let read_store = async || self.read_bundle().await;
        self.adopter.fetch_texts(&me, &self.parts.to_link, || self.text_overdue(), read_store).await;
    }

    /// Returns the time after which the text of a bundle is read from the store if no other node has sent it: relays read
    /// it first, and each of them can serve the others.
    fn text_overdue(&self) -> Duration {
        let percent = if self.is_relay() { TEXT_OVERDUE_PERCENT[0] } else { TEXT_OVERDUE_PERCENT[1] };
        let jitter_percent = self.rng.borrow_mut().u64(0..=TEXT_OVERDUE_JITTER_PERCENT);
        Duration::from_millis(self.parts.news_within_ms * (percent + jitter_percent) / 100)
    }

    async fn request(&self, target: Target, request: PeerRequest) -> LinkResult {
        peer::ask(&self.parts.to_link, target, request, Duration::from_millis(REQUEST_MS)).await
    }

    /// Publishes the view: the entries in the store, and this VM's own state.
    fn publish(&self) {
        let mut members = Members::default();
        for member in self.directory.borrow().members() {
            members.merge(member);
        }
        self.add_announced_relays(&mut members);
        let stored = members.get(&self.parts.me.vm).and_then(|stored| stored.departure.clone());
        self.on_entry_read(stored.as_ref());
        members.set_earlier_departure(stored.or_else(|| self.earlier_departure.borrow().clone()));
        members.set(self.me.borrow().clone());
        members.merge_evacuation(&self.evacuation.borrow());
        members.set_rollouts(self.rollouts.borrow().view());
        members.set_complete(self.has_read_all.get());
        self.parts.members.send_replace(Arc::new(members));
    }

    /// Derives this node's phase from its upstream and its own startup and shutdown, and publishes each change.
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
            let departure = present_departure(&state, &self.parts.me.vm, self.parts.members.borrow().departures());
            let phase = match state.phase {
                _ if drained.get() || departure.is_some() => Phase::Leaving,
                UpstreamPhase::Ready if *serving.borrow_and_update() => Phase::Serving,
                UpstreamPhase::Ready | UpstreamPhase::Unknown => Phase::Joining,
                UpstreamPhase::Leaving => Phase::Leaving,
            };
            if state.start != start {
                // A restarted upstream is a new incarnation: its earlier load and health no longer apply.
                self.me.borrow_mut().incarnation = self.rng.borrow_mut().u64(1..);
                start = state.start;
            }
            self.set_phase(phase, state.version.clone(), departure);
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

    fn set_phase(self: &Rc<Self>, phase: Phase, version: Option<Arc<str>>, departure: Option<Departure>) {
        let changed = {
            let mut me = self.me.borrow_mut();
            let changed = (me.phase, &me.version, &me.departure) != (phase, &version, &departure);
            (me.phase, me.version, me.departure) = (phase, version, departure);
            changed
        };
        if !changed {
            return;
        }
        log::info!("event=member.{} peer={} prefix={ENTRY_PREFIX}", phase.as_str(), self.parts.me.vm);
        self.publish();
        self.entry_changed();
        self.report_departure();
    }

    /// Schedules a write of this node's entry with its current state.
    fn entry_changed(&self) {
        // A node that has never served has no entry, unless it has a departure to record.
        let is_wanted = {
            let me = self.me.borrow();
            me.phase == Phase::Serving || me.departure.is_some() || self.keeper.borrow().wanted() > 0
        };
        if is_wanted {
            self.keeper.borrow_mut().change();
            self.entry_due.notify_one();
            self.entry_update.notify_one();
        }
    }
}
