//! Nodes of a fleet in virtual time, and the links between them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

use super::link::Links;
use super::store::{BUNDLE_KEY, FleetStore, NodeStore};
use super::{NEWS_WITHIN_MS, REGIONS, region};
use crate::bundle::{
    Adopter, Bundle, BundleFormat, Confirmation, Fault, InForce, PackedTexts, Receiver as TextReceiver, TextServer,
    check,
};
use crate::clock::now_us;
use crate::crash::CrashJob;
use crate::gate::{LoadReport, UpstreamState};
use crate::link::codec;
use crate::link::message::{Ask, PeerReply, PeerRequest, Piggyback, Reply, ReplyHead};
use crate::link::peer::{LinkJob, LinkResult, Target, TimeLimit};
use crate::member::leased::{self, LeasedParts};
use crate::member::{FollowerReply, GossipReply, Member, MemberJob, Members, Phase};
use crate::metric::Metrics;
use crate::region::Regions;
use crate::rollout::{RolloutFormat, RolloutOrder, RolloutState};

/// Time of a message within a region, and between regions.
const TRANSIT_MS: [u64; 2] = [1, 10];
/// Time after which the handshake with a machine without a node fails.
const HANDSHAKE_MS: u64 = 400;
/// Time from a node's start until it serves.
const STARTUP_MS: u64 = 300;
/// Bytes of a call and of its answer.
const CALL_BYTES: usize = 400;
/// Address on which every node accepts links, since a request names the machine that it is sent to.
const LINK_ADDR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1)), 7_000);
/// Largest error of an age, in microseconds: an age includes neither the transit of the update nor parts of a
/// millisecond, and updates pass a link between regions and another one.
pub const AGE_ERROR_US: u64 = 24_000;

/// A format whose texts begin with the number of the bundle in a line of its own.
struct NumberFormat;

impl BundleFormat for NumberFormat {
    fn parse(&self, _text: &str) -> Result<Bundle, Vec<Fault>> {
        check("[[service]]\nname = \"intake\"\n[[service.route]]\npath = \"/pickups\"\nrepeatable = true\n")
    }

    fn number(&self, text: &str) -> Option<u64> {
        text.lines().next()?.parse().ok()
    }
}

/// A platform without roll-outs.
struct NoRollouts;

impl RolloutFormat for NoRollouts {
    fn ordered_service<'k>(&self, _key: &'k str) -> Option<&'k str> {
        None
    }

    fn read_order(&self, _service: &str, _value: &[u8]) -> Result<RolloutOrder, String> {
        Err("there are no roll-outs".into())
    }

    fn status(&self, _order: &RolloutOrder, _state: RolloutState) -> (String, Vec<u8>) {
        Default::default()
    }
}

/// What the link thread of a node needs to answer others.
#[derive(Clone)]
struct Port {
    vm: Arc<str>,
    texts: Rc<TextServer>,
    jobs: Sender<MemberJob>,
    members: watch::Receiver<Arc<Members>>,
    bundle: watch::Receiver<Option<Arc<InForce>>>,
}

impl Port {
    async fn answer(&self, ask: Ask) -> (Reply, Bytes) {
        match ask {
            Ask::Follow { after, wait_ms, me } => {
                let (reply, update) = oneshot::channel();
                let _ = self.jobs.send(MemberJob::Follow { after, wait_ms, me: Box::new(me), reply }).await;
                match update.await {
                    Ok(FollowerReply::News { packed, age_ms }) => {
                        (Reply::News { body_bytes: packed.len() as u32, age_ms }, packed)
                    }
                    Ok(FollowerReply::Full) => (Reply::FollowersFull, Bytes::new()),
                    Ok(FollowerReply::Behind) | Err(_) => (Reply::NoNews, Bytes::new()),
                }
            }
            Ask::Gossip { members, evacuation, bundle, claims } => {
                let (reply, known) = oneshot::channel();
                let job = MemberJob::Heard { members, evacuation, bundle, claims, reply: Some(reply) };
                let _ = self.jobs.send(job).await;
                let GossipReply { members, claims } = known.await.unwrap_or_default();
                let evacuation = self.members.borrow().evacuation().clone();
                (Reply::Gossip { members, evacuation, claims }, Bytes::new())
            }
            Ask::Bundle { after, part, vm, addr, insists } => {
                let is_far = region(&vm) != region(&self.vm);
                let is_relay = self.members.borrow().get(&vm).is_some_and(|member| member.is_relay);
                let to = TextReceiver { node: Target { vm, addr }, is_far, is_relay, insists };
                self.texts.serve(after, part, to).await
            }
            Ask::Evacuation => (Reply::Evacuation(self.members.borrow().evacuation().clone()), Bytes::new()),
            _ => (Reply::Load, Bytes::new()),
        }
    }
}

/// The links between the nodes.
pub struct Wires {
    store: Arc<FleetStore>,
    pub links: Arc<Links>,
    ports: RefCell<HashMap<Arc<str>, Port>>,
    are_regions_parted: Cell<bool>,
    false_updates: RefCell<Vec<String>>,
}

impl Wires {
    pub fn new(store: Arc<FleetStore>, links: Arc<Links>) -> Self {
        Self {
            store,
            links,
            ports: RefCell::default(),
            are_regions_parted: Cell::new(false),
            false_updates: RefCell::default(),
        }
    }

    pub fn part_regions(&self, are_parted: bool) {
        self.are_regions_parted.set(are_parted);
    }

    pub fn remove(&self, vm: &str) {
        self.ports.borrow_mut().remove(vm);
    }

    /// Makes a call from one node to another, which shows the caller the number of the other's bundle.
    pub async fn call(&self, from: &Arc<str>, to: &Arc<str>) {
        let ports = || (self.ports.borrow().get(from).cloned(), self.ports.borrow().get(to).cloned());
        self.links.carry(from, to, CALL_BYTES).await;
        self.links.carry(to, from, CALL_BYTES).await;
        let (Some(caller), Some(owner)) = ports() else {
            return;
        };
        let number = |port: &Port| port.bundle.borrow().as_ref().map_or(0, |bundle| bundle.number);
        if number(&caller) < number(&owner) {
            let from = Target { vm: to.clone(), addr: LINK_ADDR };
            let _ = caller.jobs.send(MemberJob::Bundle { number: number(&owner), from }).await;
        }
    }

    /// Returns the updates whose age says that they include a change of the bundle that they lack.
    pub fn false_updates(&self) -> Vec<String> {
        self.false_updates.borrow().clone()
    }

    /// Returns the size of the head of a node's reply to a request.
    pub async fn reply_bytes(&self, to: &str, ask: Ask) -> usize {
        let port = self.ports.borrow().get(to).cloned().expect("a running node");
        let (reply, _) = port.answer(ask).await;
        let riding = Piggyback { load: LoadReport::default(), bundle: 0, hlc: 0 };
        head_bytes(&ReplyHead { reply, riding })
    }

    /// Returns whether the node that a request was sent to still runs.
    fn is_open(&self, vm: &str, port: &Port) -> bool {
        self.ports.borrow().get(vm).is_some_and(|open| open.jobs.same_channel(&port.jobs))
    }

    async fn carry(self: Rc<Self>, from: Arc<str>, job: LinkJob) {
        let is_far = region(&from) != region(&job.target.vm);
        let transit = Duration::from_millis(TRANSIT_MS[usize::from(is_far)]);
        let is_begun = Cell::new(false);
        let exchange = async {
            if is_far && self.are_regions_parted.get() {
                return std::future::pending().await;
            }
            sleep(transit).await;
            let Some(port) = self.ports.borrow().get(&job.target.vm).cloned() else {
                sleep(Duration::from_millis(HANDSHAKE_MS)).await;
                return LinkResult::Unsent;
            };
            let PeerRequest { ask, .. } = job.request;
            self.links.carry(&from, &job.target.vm, head_bytes(&ask)).await;
            let text_receiver = match &ask {
                Ask::Bundle { vm, addr, .. } => Some(Target { vm: vm.clone(), addr: *addr }),
                _ => None,
            };
            let (reply, body) = port.answer(ask).await;
            if !self.is_open(&job.target.vm, &port) {
                // The node was killed in the meantime, and its machine does not reply.
                return std::future::pending().await;
            }
            self.check_update(&job.target.vm, &reply, &body);
            is_begun.set(true);
            let riding = Piggyback { load: LoadReport::default(), bundle: 0, hlc: 0 };
            let head = ReplyHead { reply, riding };
            self.links.carry(&job.target.vm, &from, head_bytes(&head) + body.len()).await;
            sleep(transit).await;
            let ReplyHead { reply, .. } = head;
            if let Some(to) = text_receiver {
                port.texts.on_arrived(&reply, body.len(), &to);
            }
            if is_far && self.are_regions_parted.get() {
                return lost_halfway(job.limit).await;
            }
            let bundle = port.bundle.borrow().as_ref().map_or(0, |bundle| bundle.number);
            let riding = Piggyback { load: LoadReport::default(), bundle, hlc: 0 };
            LinkResult::Reply(Box::new(PeerReply { head: ReplyHead { reply, riding }, body }))
        };
        let result = match job.limit {
            TimeLimit::Whole(limit) => timeout(limit, exchange).await.unwrap_or(LinkResult::Broken),
            TimeLimit::Progress { first, .. } => self.within_progress(first, &is_begun, exchange).await,
        };
        let _ = job.reply.send(result);
    }

    /// Gives up a request unless its reply has begun after `first`; lanes never stall, so a reply that has begun arrives.
    async fn within_progress(
        &self,
        first: Duration,
        is_begun: &Cell<bool>,
        exchange: impl Future<Output = LinkResult>,
    ) -> LinkResult {
        let mut exchange = std::pin::pin!(exchange);
        match timeout(first, &mut exchange).await {
            Ok(result) => result,
            Err(_) if is_begun.get() => exchange.await,
            Err(_) => LinkResult::Broken,
        }
    }

    /// Checks that an update includes the changes that its age says it does.
    fn check_update(&self, from: &str, reply: &Reply, body: &Bytes) {
        let Reply::News { age_ms, .. } = reply else {
            return;
        };
        let Ok(update) = codec::unpack_store_update(body) else {
            return;
        };
        let now = now_us();
        let confirmed_us = now.saturating_sub(u64::from(*age_ms) * 1_000 + AGE_ERROR_US);
        let bundle = self.store.bundle_at(confirmed_us);
        let announced = update.bundle.map(|announced| announced.position);
        let lacks = bundle.supersedes(update.at)
            || update.whole && announced.is_none_or(|position| bundle.supersedes(position));
        if lacks {
            let text =
                format!("at_ms={} from={from} age_ms={age_ms} position={} bundle={bundle}", now / 1_000, update.at);
            self.false_updates.borrow_mut().push(text);
        }
    }
}

/// Returns the size of a message without its body.
fn head_bytes(head: &impl codec::Head) -> usize {
    codec::pack(head).expect("a head below its limit").len()
}

/// Returns when a request is given up whose reply has begun to arrive, and ends.
async fn lost_halfway(limit: TimeLimit) -> LinkResult {
    match limit {
        // The limit of the whole request ends it.
        TimeLimit::Whole(_) => std::future::pending().await,
        TimeLimit::Progress { idle, .. } => {
            sleep(idle).await;
            LinkResult::Broken
        }
    }
}

/// Channels that a node needs as long as it runs.
struct Kept {
    _leaving: watch::Sender<bool>,
    _exiting: watch::Sender<bool>,
    _closing: watch::Sender<bool>,
    _departed: watch::Receiver<bool>,
    _crash: Receiver<CrashJob>,
}

/// A node of the fleet; it is killed when dropped.
pub struct Node {
    pub vm: Arc<str>,
    pub started_us: u64,
    members: watch::Receiver<Arc<Members>>,
    bundle: watch::Receiver<Option<Arc<InForce>>>,
    confirmation: watch::Receiver<Confirmation>,
    adopted: Rc<RefCell<Vec<(u64, u64)>>>,
    upstream: watch::Sender<UpstreamState>,
    tasks: Vec<JoinHandle<()>>,
    _kept: Kept,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Node {
    pub fn start(vm: &Arc<str>, store: Arc<FleetStore>, wires: Rc<Wires>, seed: u64) -> Self {
        let domain = vm.rsplit_once('-').map_or(&**vm, |(domain, _)| domain);
        let me = Member {
            vm: vm.clone(),
            incarnation: 1 + now_us(),
            phase: Phase::Joining,
            domain: Arc::from(domain),
            service: Arc::from("intake"),
            link_addr: LINK_ADDR,
            version: None,
            is_relay: false,
            departure: None,
        };
        let (to_link, links) = async_channel::bounded::<LinkJob>(256);
        let (to_member, jobs) = async_channel::bounded(256);
        let (to_crash, crashes) = async_channel::bounded(16);
        let (members, members_seen) = watch::channel(Arc::new(Members::default()));
        let (in_force, mut bundle) = watch::channel(None);
        let (texts, texts_seen) = watch::channel(PackedTexts::default());
        let (confirmation, confirmation_seen) = watch::channel(Confirmation::default());
        let (upstream, upstream_seen) = watch::channel(UpstreamState::unannounced());
        let (serving, serving_seen) = watch::channel(false);
        let (leaving, leaving_seen) = watch::channel(false);
        let (exiting, exiting_seen) = watch::channel(false);
        let (closing, closing_seen) = watch::channel(false);
        let (departed, departed_seen) = watch::channel(false);
        let metrics = Arc::new(Metrics::new());
        let format: Arc<dyn BundleFormat> = Arc::new(NumberFormat);
        let adopter = Adopter::new(format.clone(), in_force, confirmation, texts, metrics.clone());
        let parts = LeasedParts {
            me,
            regions: Arc::new(REGIONS.parse::<Regions>().expect("regions")),
            store: Arc::new(NodeStore { store, vm: vm.clone(), links: wires.links.clone() }),
            format,
            bundle_key: Arc::from(BUNDLE_KEY),
            evacuation_prefix: Arc::from("op/evacuate/"),
            rollouts: Arc::new(NoRollouts),
            lease_ms: 8_000,
            news_within_ms: NEWS_WITHIN_MS,
            jobs,
            to_link,
            to_crash,
            members,
            upstream: upstream_seen,
            departure_record: watch::Sender::default(),
            serving: serving_seen,
            leaving: leaving_seen,
            drain_after: Duration::from_secs(1),
            exiting: exiting_seen,
            departed,
            closing: closing_seen,
            metrics,
            seed,
        };
        let texts = Rc::new(TextServer::new(texts_seen));
        let port =
            Port { vm: vm.clone(), texts, jobs: to_member, members: members_seen.clone(), bundle: bundle.clone() };
        wires.ports.borrow_mut().insert(vm.clone(), port);
        let in_force_seen = bundle.clone();
        let adopted: Rc<RefCell<Vec<(u64, u64)>>> = Rc::default();
        let record = {
            let adopted = adopted.clone();
            async move {
                while bundle.changed().await.is_ok() {
                    let number = bundle.borrow_and_update().as_ref().map_or(0, |bundle| bundle.number);
                    adopted.borrow_mut().push((number, now_us()));
                }
            }
        };
        let carry = {
            let vm = vm.clone();
            async move {
                while let Ok(job) = links.recv().await {
                    tokio::task::spawn_local(wires.clone().carry(vm.clone(), job));
                }
            }
        };
        let serve = async move {
            sleep(Duration::from_millis(STARTUP_MS)).await;
            serving.send_replace(true);
            std::future::pending().await
        };
        let tasks = vec![
            tokio::task::spawn_local(leased::run(parts, adopter)),
            tokio::task::spawn_local(record),
            tokio::task::spawn_local(carry),
            tokio::task::spawn_local(serve),
        ];
        let kept =
            Kept { _leaving: leaving, _exiting: exiting, _closing: closing, _departed: departed_seen, _crash: crashes };
        Self {
            vm: vm.clone(),
            started_us: now_us(),
            members: members_seen,
            bundle: in_force_seen,
            confirmation: confirmation_seen,
            adopted,
            upstream,
            tasks,
            _kept: kept,
        }
    }

    /// Returns the bundles that came into force at this node, with the time of each.
    pub fn adopted(&self) -> Vec<(u64, u64)> {
        self.adopted.borrow().clone()
    }

    /// Returns the number of the bundle in force, if there is one, and whether calls may be rejected for good because of
    /// what it lacks.
    pub fn in_force(&self) -> Option<(u64, bool)> {
        let number = self.bundle.borrow().as_ref()?.number;
        let age_max = Duration::from_millis(NEWS_WITHIN_MS);
        Some((number, self.confirmation.borrow().is_conclusive(number, Some(age_max), now_us())))
    }

    /// Sets the state of the node's upstream.
    pub fn set_upstream(&self, state: UpstreamState) {
        self.upstream.send_replace(state);
    }

    /// Returns whether the node is a relay.
    pub fn is_relay(&self) -> bool {
        self.members.borrow().get(&self.vm).is_some_and(|member| member.is_relay)
    }
}
