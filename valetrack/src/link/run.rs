//! The link thread: the QUIC endpoint, requests to and from other nodes, and the gate of this VM.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use quinn::{Endpoint, EndpointConfig, Incoming, RecvStream};
use quinn_proto::HashedConnectionIdGenerator;
use ring::hmac;
use sha2::{Digest, Sha256};
use tokio::sync::{Notify, oneshot, watch};
use tokio::time::timeout;

use super::accept::{AcceptedLink, RequestStream};
use super::codec;
use super::message::{AnswerHead, Ask, CallHead, PeerReply, PeerRequest, Piggyback, Reply, ReplyHead};
use super::path::PathTimes;
use super::peer::{LinkJob, LinkResult, Peers, Target, TimeLimit};
use super::read::{FrameReadError, FrameReader, Pace};
use super::tls::LinkTls;
use crate::bundle::{InForce, PackedTexts, Receiver as TextReceiver, ServiceRule, TextServer};
use crate::claim::ClaimJob;
use crate::clock::{SuspensionWatch, now_us, steady_us, suspended_us};
use crate::code::Code;
use crate::crash::{CrashJob, Quarantine};
use crate::gate::pool::ServerPool;
use crate::gate::run::{GateReply, GateShell, GateShellParts};
use crate::gate::{
    Announcement, DeclineReason, DepartureSource, Departures, GateConfig, Health, RunLedger, UpstreamProtocol,
    UpstreamState,
};
use crate::jobs::next_job;
use crate::member::{Evacuation, FollowerReply, GossipReply, Member, MemberJob, Members};
use crate::memory::{HeldKind, MemoryAccount, Patience};
use crate::metric::Metrics;
use crate::placement::Outcome;
use crate::quota::run::Quotas;
use crate::region::Regions;
use crate::store::Position;
use crate::timeline::log as events;

/// Interval of health checks of an upstream that has sent no announcement yet.
const HEALTH_CHECK_INTERVAL_MS: u64 = 300;
/// Time within which a peer must send the next bytes of a request.
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// Priority of streams that carry the text of a bundle; that of other streams is zero.
const TEXT_PRIORITY: i32 = -1;

/// Settings, rings and published state that the link thread uses.
pub struct LinkParts {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Failure domain of this VM.
    pub domain: Arc<str>,
    /// VMs of the fleet.
    pub members: watch::Receiver<Arc<Members>>,
    /// Service of this VM's server.
    pub service: Arc<str>,
    /// Address of this VM's server.
    pub server_addr: SocketAddr,
    /// Requests of this node's other threads to other nodes.
    pub jobs: Receiver<LinkJob>,
    /// Ring to the claim thread.
    pub to_claim: Sender<ClaimJob>,
    /// Ring to the member thread.
    pub to_member: Sender<MemberJob>,
    /// Ring to the crash thread.
    pub to_crash: Sender<CrashJob>,
    /// Bundle in force.
    pub bundle: watch::Receiver<Option<Arc<InForce>>>,
    /// Texts of bundles that other nodes may request.
    pub texts: watch::Receiver<PackedTexts>,
    /// Region of each failure domain.
    pub regions: Arc<Regions>,
    /// Protocol between this node and its server.
    pub upstream_protocol: Arc<dyn UpstreamProtocol>,
    /// State of the server according to its announcements.
    pub upstream: watch::Receiver<UpstreamState>,
    /// Ring to the announcement thread, for results of health checks; `None` if the platform has no announcements.
    pub to_upstream: Option<Sender<Announcement>>,
    /// Becomes true when this node starts to leave.
    pub leaving: watch::Receiver<bool>,
    /// Time for which the server still receives new work after the node has started to leave.
    pub drain_after: Duration,
    /// Notified when the server announces that it is about to stop.
    pub server_leaving: Arc<Notify>,
    /// Set to true once the gate is idle after the node has started to leave.
    pub drained: watch::Sender<bool>,
    /// Becomes true when the thread must end.
    pub closing: watch::Receiver<bool>,
    /// Account of held bytes.
    pub memory: MemoryAccount,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

struct Shell {
    parts: LinkParts,
    gate: Rc<GateShell>,
    quotas: Rc<Quotas>,
    departures: Rc<Departures>,
    peers: Peers,
    texts: TextServer,
}

/// Binds the endpoint of links; must be called inside the runtime of the link thread.
///
/// The key of stateless resets and connection IDs is derived from the name of the VM, so all incarnations of a VM share
/// it. A restarted node can then reset the links of its previous incarnation as soon as a peer uses them.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind(addr: SocketAddr, vm: &str, tls: LinkTls) -> std::io::Result<Endpoint> {
    let key = Sha256::digest(vm.as_bytes());
    let mut id_key = [0; 8];
    id_key.copy_from_slice(&key[..8]);
    let id_key = u64::from_be_bytes(id_key);
    let mut config = EndpointConfig::new(Arc::new(hmac::Key::new(hmac::HMAC_SHA256, &key)));
    config.cid_generator(move || Box::new(HashedConnectionIdGenerator::from_key(id_key)));
    let socket = std::net::UdpSocket::bind(addr)?;
    let runtime = quinn::default_runtime().ok_or_else(|| std::io::Error::other("no runtime"))?;
    let mut endpoint = Endpoint::new(config, Some(tls.server), socket, runtime)?;
    endpoint.set_default_client_config(tls.client);
    Ok(endpoint)
}

/// Serves links until `closing` becomes true; must run on a local task set.
///
/// `ledger` is the entry of this node, `crashes` holds the quarantined calls, `quotas` grants credits of limited client
/// accounts, and `departures` holds the upstreams that are known to leave.
pub async fn run(
    endpoint: Endpoint,
    ledger: Rc<dyn RunLedger>,
    crashes: Rc<Quarantine>,
    quotas: Rc<Quotas>,
    departures: Rc<Departures>,
    paths: Rc<PathTimes>,
    parts: LinkParts,
) {
    let gate = GateShell::new(GateShellParts {
        pool: ServerPool::new(parts.server_addr, parts.upstream_protocol.clone(), parts.memory.clone()),
        upstream: parts.upstream.clone(),
        leaving: parts.server_leaving.clone(),
        vm: parts.vm.clone(),
        to_upstream: parts.to_upstream.clone(),
        departures: departures.clone(),
        ledger,
        crashes,
        metrics: parts.metrics.clone(),
    });
    let peers = Peers::new(endpoint.clone(), paths, parts.memory.clone(), parts.metrics.clone());
    let texts = TextServer::new(parts.texts.clone());
    let shell = Rc::new(Shell { gate, quotas, departures, peers, texts, parts });
    let mut tasks = tokio::task::JoinSet::new();
    tasks.spawn_local(shell.gate.clone().run_timer());
    tasks.spawn_local(shell.gate.clone().follow_upstream());
    let members = shell.gate.clone().follow_members(shell.parts.domain.clone(), shell.parts.members.clone());
    tasks.spawn_local(members);
    tasks.spawn_local(shell.clone().check_upstream());
    tasks.spawn_local(shell.clone().follow_bundle());
    tasks.spawn_local(shell.clone().follow_leaving());
    tasks.spawn_local(shell.clone().accept(endpoint.clone()));
    let mut closing = shell.parts.closing.clone();
    while let Some(job) = next_job(&shell.parts.jobs, &mut closing).await {
        tokio::task::spawn_local(shell.clone().ask(job));
    }
    tasks.shutdown().await;
    endpoint.close(0u32.into(), b"stopping");
    let _ = timeout(Duration::from_millis(200), endpoint.wait_idle()).await;
}

impl Shell {
    async fn ask(self: Rc<Self>, job: LinkJob) {
        let LinkJob { target, request, limit, mut reply } = job;
        let exchanged = async {
            if target.vm == self.parts.vm {
                // A request to this node itself needs no link.
                let (TimeLimit::Whole(limit) | TimeLimit::Progress { first: limit, .. }) = limit;
                let served = timeout(limit, self.serve(request)).await;
                return served.map_or(LinkResult::Broken, |answered| LinkResult::Reply(Box::new(answered)));
            }
            self.peers.ask(&target, request, limit).await
        };
        let result = tokio::select! {
            result = exchanged => result,
            // Dropping the request resets its stream, which makes the owner stop.
            () = reply.closed() => return,
        };
        // Sending fails if the requester has just dropped its receiver.
        let _ = reply.send(result);
    }

    /// Checks the health of the upstream whenever that decides whether it accepts work. A restarted node thus doesn't
    /// wait for the next announcement, and doesn't rely on one that is older than the node.
    async fn check_upstream(self: Rc<Self>) {
        let Some(to_upstream) = self.parts.to_upstream.clone() else {
            return;
        };
        let mut upstream = self.parts.upstream.clone();
        let mut bundle = self.parts.bundle.clone();
        loop {
            bundle.mark_unchanged();
            let is_due = upstream.borrow_and_update().awaits_health_check(steady_us());
            if is_due && let Some(found) = self.request_announcement().await {
                // Heartbeats that arrived during the check call for no other one.
                upstream.mark_unchanged();
                // The ring is read until the node stops.
                let _ = to_upstream.send(found).await;
            }
            let changed = tokio::select! {
                changed = upstream.changed() => changed,
                // The bundle names the path of the health check.
                changed = bundle.changed(), if is_due => changed,
                () = tokio::time::sleep(Duration::from_millis(HEALTH_CHECK_INTERVAL_MS)), if is_due => Ok(()),
            };
            if changed.is_err() {
                return;
            }
        }
    }

    /// Returns the announcement that the upstream's answer to a health check amounts to; none if it states neither that the
    /// upstream is ready nor that it leaves.
    async fn request_announcement(&self) -> Option<Announcement> {
        let path = self.service_rule()?.health_path?;
        let Health { id, ready, is_leaving, cold_ms } = self.gate.health(&path).await?;
        if is_leaving {
            log::info!("event=upstream.leaving id={id} by=health-check");
        } else if !ready {
            return None;
        }
        Some(Announcement {
            id,
            born_ms: None,
            sequence: ready.then_some(0),
            ready,
            slots: None,
            version: None,
            cold_ms: cold_ms.unwrap_or(0),
            is_solicited: true,
        })
    }

    fn service_rule(&self) -> Option<ServiceRule> {
        let bundle = self.parts.bundle.borrow();
        bundle.as_ref()?.bundle.service(&self.parts.service).cloned()
    }

    async fn accept(self: Rc<Self>, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            tokio::task::spawn_local(self.clone().serve_connection(incoming));
        }
    }

    async fn serve_connection(self: Rc<Self>, incoming: Incoming) {
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(error) => {
                self.parts.metrics.bad_frames.inc();
                log::info!("event=link.rejected code={} reason=\"{error}\"", Code::LinkRefused);
                return;
            }
        };
        let since = SuspensionWatch::from_now();
        let link = AcceptedLink::new(connection, self.parts.metrics.accepted_links.clone());
        while let Some(stream) = link.accept().await {
            tokio::task::spawn_local(self.clone().serve_stream(stream, since));
        }
    }

    /// Serves one request on a link that was opened at `since`.
    ///
    /// Requests from before a suspension of this VM are not served after it. The sender has abandoned the request, and
    /// this node may have replied to a cancellation that the attempt never starts, which it records for some seconds
    /// only. Because the link is closed, the sender repeats the cancellation on another link, and the reply
    /// there states that the attempt was not started.
    async fn serve_stream(self: Rc<Self>, stream: RequestStream, mut since: SuspensionWatch) {
        let RequestStream { connection, mut send, mut receive, open } = stream;
        let read = self.read_request(&mut receive).await;
        if let Some(suspended) = since.take(suspended_us()) {
            log::info!("event=link.closed_after_suspension suspended_ms={}", suspended.as_millis());
            connection.close(u32::from(Code::LinkLost.number()).into(), b"suspended");
            return;
        }
        let (ask, body) = match read {
            Ok(read) => read,
            Err(FrameReadError::Frame { source: error }) => {
                self.parts.metrics.bad_frames.inc();
                log::info!("event=link.frame_invalid code={} reason=\"{error}\"", error.code());
                let _ = send.reset(u32::from(error.code().number()).into());
                return;
            }
            Err(_) => {
                self.parts.metrics.bad_frames.inc();
                return;
            }
        };
        let text_receiver = match &ask {
            Ask::Bundle { vm, addr, .. } => Some(Target { vm: vm.clone(), addr: *addr }),
            _ => None,
        };
        let serving = async {
            match body {
                Some(body) => self.serve(PeerRequest { ask, body }).await,
                None => {
                    // The stream ends only with the error of a peer that has abandoned it.
                    let _ = receive.stop(u32::from(Code::MemoryFull.number()).into());
                    self.decline(&ask)
                }
            }
        };
        let answered = tokio::select! {
            answered = serving => answered,
            // The entry no longer waits for the reply, or the link broke: the work is cancelled where possible.
            _ = send.stopped() => return,
        };
        let Ok(head) = codec::pack(&answered.head) else {
            self.parts.metrics.bad_frames.inc();
            return;
        };
        if matches!(answered.head.reply, Reply::Bundle { .. }) {
            // Calls and store updates on the same link go first. Setting the priority fails only on a closed stream.
            let _ = send.set_priority(TEXT_PRIORITY);
        }
        let body_bytes = answered.body.len();
        let mut chunks = [head, answered.body];
        if send.write_all_chunks(&mut chunks).await.is_err() || send.finish().is_err() {
            return;
        }
        // A finished stream is stopped without a code once the peer has acknowledged all of it.
        let is_delivered = matches!(send.stopped().await, Ok(None));
        drop(open);
        if let Some(to) = text_receiver
            && is_delivered
        {
            self.texts.on_arrived(&answered.head.reply, body_bytes, &to);
        }
    }

    /// Reads a request with its body; the body is none if there is no memory for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is incomplete, late or invalid.
    async fn read_request(&self, receive: &mut RecvStream) -> Result<(Ask, Option<Bytes>), FrameReadError> {
        let wait = Duration::from_millis(REQUEST_TIMEOUT_MS);
        let mut on_received = |_| {};
        let mut reader = FrameReader::new(receive, Some(Pace { first: wait, idle: wait }), &mut on_received);
        let (ask, begun) = reader.head::<Ask>().await?;
        match reader.body(&ask, begun, &self.parts.memory, (HeldKind::Body, Patience::Eviction)).await {
            Ok(body) => Ok((ask, Some(body))),
            Err(FrameReadError::NoRoom) => Ok((ask, None)),
            Err(error) => Err(error),
        }
    }

    /// Returns the reply to a request for whose body there is no memory.
    fn decline(&self, ask: &Ask) -> PeerReply {
        let reply = match ask {
            Ask::Run(head) | Ask::RunKeyed(head) => {
                log::info!("event=link.declined call={} code={}", head.call_id, Code::MemoryFull);
                Reply::Bounce { attempt: head.attempt, reason: DeclineReason::Full }
            }
            // Not expected: no other request has a body.
            _ => Reply::Load,
        };
        PeerReply { head: ReplyHead { reply, riding: self.piggyback() }, body: Bytes::new() }
    }

    async fn serve(&self, request: PeerRequest) -> PeerReply {
        let PeerRequest { ask, body } = request;
        let (reply, body) = match ask {
            Ask::Run(head) => self.run_call(head, body).await,
            Ask::RunKeyed(head) => self.run_keyed(head, body).await,
            Ask::Cancel(attempt) => {
                let result = self.gate.cancel(attempt);
                let up_ms = (now_us() / 1000).min(u64::from(u32::MAX)) as u32;
                (Reply::Cancelled { attempt, result, up_ms }, Bytes::new())
            }
            Ask::Probe => {
                self.gate.refresh_speed(u64::MAX).await;
                (Reply::Load, Bytes::new())
            }
            Ask::Gossip { members, evacuation, bundle, claims } => {
                let (reply, known) = oneshot::channel();
                let job = MemberJob::Heard { members, evacuation, bundle, claims, reply: Some(reply) };
                let GossipReply { members, claims } = self.exchange(job, known).await;
                (Reply::Gossip { members, evacuation: self.evacuation(), claims }, Bytes::new())
            }
            Ask::Bundle { after, part, vm, addr, insists } => {
                let (is_far, is_relay) = self.distance_and_role(&vm);
                let to = TextReceiver { node: Target { vm, addr }, is_far, is_relay, insists };
                let (reply, body) = self.texts.serve(after, part, to).await;
                self.parts.metrics.bundle_text_bytes.inc_by(body.len() as u64);
                (reply, body)
            }
            Ask::Evacuation => (Reply::Evacuation(self.evacuation()), Bytes::new()),
            Ask::Follow { after, wait_ms, me } => self.store_update(after, wait_ms, me).await,
            Ask::Runs => (Reply::Runs(self.gate.runs()), Bytes::new()),
            Ask::Quota { account, calls, instead_of } => {
                let grant = self.quotas.grant(&account, calls, instead_of.as_ref()).await;
                let reply = grant.map_or(Reply::NoQuota, |grant| Reply::Quota {
                    calls: grant.calls,
                    retry_after_ms: grant.retry_after_ms,
                });
                (reply, Bytes::new())
            }
            Ask::Crashes { from, reports } => {
                // The ring is read until the node stops.
                let _ = self.parts.to_crash.send(CrashJob::Heard { from, reports }).await;
                (Reply::Load, Bytes::new())
            }
            Ask::Departure(departure) => {
                self.departures.record(&departure, DepartureSource::Peer);
                (Reply::Load, Bytes::new())
            }
        };
        PeerReply { head: ReplyHead { reply, riding: self.piggyback() }, body }
    }

    async fn run_call(&self, mut head: CallHead, body: Bytes) -> (Reply, Bytes) {
        events::observe(head.hlc);
        self.departures.take_from(&mut head.headers, DepartureSource::Call);
        let attempt = head.attempt;
        if head.service != self.parts.service {
            // Another service has this address now; the sender's view of the members is outdated.
            return (Reply::Bounce { attempt, reason: DeclineReason::Refused }, Bytes::new());
        }
        match self.gate.call(head, body).await {
            GateReply::Answer(answer, body) => (Reply::Answer(answer), body),
            GateReply::Bounce(reason) => (Reply::Bounce { attempt, reason }, Bytes::new()),
        }
    }

    async fn run_keyed(&self, mut head: CallHead, body: Bytes) -> (Reply, Bytes) {
        events::observe(head.hlc);
        self.departures.take_from(&mut head.headers, DepartureSource::Call);
        let attempt = head.attempt;
        let (reply, answered) = oneshot::channel();
        let job = ClaimJob { head, body, reply };
        if self.parts.to_claim.send(job).await.is_err() {
            return (Reply::Bounce { attempt, reason: DeclineReason::Leaving }, Bytes::new());
        }
        answered.await.unwrap_or_else(|_| {
            let answer = AnswerHead {
                attempt,
                outcome: Outcome::Unknown,
                code: Code::ClaimUnfinished.number(),
                status: 504,
                retry_after_ms: 0,
                headers: Vec::new(),
                body_bytes: 0,
                nested: None,
                work_us: 0,
            };
            (Reply::Answer(answer), Bytes::new())
        })
    }

    fn evacuation(&self) -> Evacuation {
        self.parts.members.borrow().evacuation().clone()
    }

    async fn exchange(&self, job: MemberJob, known: oneshot::Receiver<GossipReply>) -> GossipReply {
        if self.parts.to_member.send(job).await.is_err() {
            return GossipReply::default();
        }
        known.await.unwrap_or_default()
    }

    async fn store_update(&self, after: Position, wait_ms: u32, me: Member) -> (Reply, Bytes) {
        let (reply, news) = oneshot::channel();
        let job = MemberJob::Follow { after, wait_ms, me: Box::new(me), reply };
        if self.parts.to_member.send(job).await.is_err() {
            return (Reply::NoNews, Bytes::new());
        }
        // The member thread drops the sender if this node doesn't serve followers.
        match news.await {
            Ok(FollowerReply::News { packed, age_ms }) => {
                self.parts.metrics.relay_update_bytes.inc_by(packed.len() as u64);
                (Reply::News { body_bytes: packed.len() as u32, age_ms }, packed)
            }
            Ok(FollowerReply::Full) => (Reply::FollowersFull, Bytes::new()),
            Ok(FollowerReply::Behind) | Err(_) => (Reply::NoNews, Bytes::new()),
        }
    }

    /// Returns whether a VM is known to be in another region, and whether its node is known to be a relay.
    fn distance_and_role(&self, vm: &str) -> (bool, bool) {
        let members = self.parts.members.borrow();
        let Some(member) = members.get(vm) else {
            return (false, false);
        };
        (!self.parts.regions.is_same_region(&member.domain, &self.parts.domain), member.is_relay)
    }

    fn piggyback(&self) -> Piggyback {
        let bundle = self.parts.bundle.borrow().as_ref().map_or(0, |bundle| bundle.number);
        Piggyback { load: self.gate.load(), bundle, hlc: events::stamp() }
    }

    async fn follow_bundle(self: Rc<Self>) {
        let mut bundle = self.parts.bundle.clone();
        loop {
            bundle.mark_unchanged();
            if let Some(in_force) = &*self.parts.bundle.borrow() {
                self.gate.set_nested_rank(in_force.bundle.nested_rank);
                self.gate.set_configured(in_force.bundle.service(&self.parts.service).is_some());
            }
            if let Some(rule) = self.service_rule() {
                let config = GateConfig {
                    slots: rule.slots,
                    queue_max_us: u64::from(rule.queue_ms) * 1000,
                    ramp_us: u64::from(rule.ramp_ms) * 1000,
                    rescue: rule.stall_rescue,
                    learn_limit: rule.learn_limit,
                    cold: rule.cold,
                };
                let answer_cap_bytes = rule.answer_cap_bytes as usize;
                self.gate.configure(config, answer_cap_bytes, rule.health_path).await;
            }
            if let Some(in_force) = bundle.borrow().as_ref() {
                self.gate.configure_accounts(&in_force.bundle.accounts);
            }
            if bundle.changed().await.is_err() {
                return;
            }
        }
    }

    async fn follow_leaving(self: Rc<Self>) {
        let mut leaving = self.parts.leaving.clone();
        if leaving.wait_for(|leaving| *leaving).await.is_err() {
            return;
        }
        // Callers learn about the leave with a delay, and the server runs until the node stops.
        tokio::time::sleep(self.parts.drain_after).await;
        self.gate.drain();
        while !self.gate.idle() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        self.parts.drained.send_replace(true);
    }
}
