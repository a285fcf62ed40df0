//! A node: makes the rings, starts a thread for each duty, and joins them all at the end.

use std::future::Future;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use crate::admin::run::AdminParts;
use crate::bundle::run::Bundler;
use crate::bundle::{Adopter, BundleFormat, InForce};
use crate::caller::CallerProtocol;
use crate::caller::keyed::KeyedRouter;
use crate::caller::run::DoorParts;
use crate::claim::run::ClaimParts;
use crate::claim::{ClaimJob, Home};
use crate::clock::{now_us, wall_us};
use crate::code::Code;
use crate::gate::{Announcement, UpstreamProtocol, UpstreamState};
use crate::link::peer::LinkJob;
use crate::link::run::LinkParts;
use crate::link::tls::{self, KeyError, LinkTls};
use crate::member::leased::LeasedParts;
use crate::member::list::VmList;
use crate::member::run::MemberParts;
use crate::member::{Member, MemberJob, Members, Phase};
use crate::metric::Metrics;
use crate::placement::PlaceJob;
use crate::placement::run::{Placer, PlacerParts};
use crate::platform::{Announcements, Membership, Platform};
use crate::settings::NodeSettings;
use crate::store::{LeaseStore, Store};

/// Places in each ring between two threads.
const RING: usize = 1_024;
/// Time that the farewell to other nodes may take, in milliseconds.
const FAREWELL_MS: u64 = 500;

/// What is left of the time before a kill for the last words and the exit, in milliseconds.
const STOP_MARGIN_MS: u64 = 800;

/// Why a node could not start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// Keys could not be used.
    #[snafu(display("{source}"), context(false))]
    Keys {
        /// Why.
        source: KeyError,
    },
    /// An address could not be listened on.
    #[snafu(display("{addr}: {source}"))]
    Listen {
        /// Which.
        addr: std::net::SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A thread could not be started.
    #[snafu(display("{source}"), context(false))]
    Thread {
        /// Why.
        source: std::io::Error,
    },
}

impl NodeError {
    /// Returns the numbered code.
    pub const fn code(&self) -> Code {
        match self {
            Self::Keys { source } => source.code(),
            Self::Listen { .. } | Self::Thread { .. } => Code::AddressBusy,
        }
    }
}

/// Words that all threads listen for; each turns true once and stays so.
struct Words {
    serving: watch::Sender<bool>,
    leaving: watch::Sender<bool>,
    drained: watch::Sender<bool>,
    released: watch::Sender<bool>,
    emptied: watch::Sender<bool>,
    gone: watch::Sender<bool>,
    farewell: watch::Sender<bool>,
    closing: watch::Sender<bool>,
}

impl Words {
    fn new() -> Self {
        let word = || watch::Sender::new(false);
        Self {
            serving: word(),
            leaving: word(),
            drained: word(),
            released: word(),
            emptied: word(),
            gone: word(),
            farewell: word(),
            closing: word(),
        }
    }
}

/// Both ends of a ring between two threads.
struct Ring<T> {
    to: Sender<T>,
    from: Receiver<T>,
}

impl<T> Ring<T> {
    fn new() -> Self {
        let (to, from) = async_channel::bounded(RING);
        Self { to, from }
    }
}

/// All that a node's threads are joined by.
struct Joints {
    settings: NodeSettings,
    seed: u64,
    incarnation: u64,
    words: Words,
    metrics: Arc<Metrics>,
    bundle: watch::Sender<Option<Arc<InForce>>>,
    members: watch::Sender<Arc<Members>>,
    link: Ring<LinkJob>,
    claim: Ring<ClaimJob>,
    place: Ring<PlaceJob>,
    member: Ring<MemberJob>,
    announcement: Ring<Announcement>,
    upstream: watch::Sender<UpstreamState>,
    caller_protocol: Arc<dyn CallerProtocol>,
    upstream_protocol: Arc<dyn UpstreamProtocol>,
    format: Arc<dyn BundleFormat>,
    membership: Membership,
    announces: bool,
    ready_path: &'static str,
    server_leaving: Arc<Notify>,
    listed_leaving: Arc<Notify>,
}

/// Runs a node until it is told to stop, and takes it out of service in order.
///
/// # Errors
///
/// Returns why the node could not start.
pub fn run(settings: NodeSettings, platform: Platform) -> Result<(), NodeError> {
    let tls = match platform.membership {
        Membership::Listed { .. } => tls::load(&settings.keys_dir, &settings.vm)?,
        // No key can be handed to such a node before it starts, so it makes its own.
        Membership::Leased { .. } => tls::generate(&settings.vm)?,
    };
    // Sockets are bound before any thread starts, so that a busy address is told at once.
    let callers = listen(settings.caller_addr)?;
    let operators = listen(settings.admin_addr)?;
    try_links(settings.link_addr)?;
    let control = settings.control_addr.map(listen).transpose()?;
    let (announcements, joints) = Joints::new(settings, platform);
    let mut threads = joints.start_membership()?;
    threads.push(joints.start_path(callers, tls)?);
    threads.push(joints.start_admin(operators)?);
    if let (Some(announcements), Some(listener)) = (announcements, control) {
        threads.push(joints.start_announcements(announcements, listener)?);
    }
    log::info!("event=node.start incarnation={} release={}", joints.incarnation, env!("CARGO_PKG_VERSION"));
    runtime()?.block_on(stay(&joints));
    join(threads);
    log::info!("event=node.stop");
    Ok(())
}

impl Joints {
    fn new(settings: NodeSettings, platform: Platform) -> (Option<Box<dyn Announcements>>, Self) {
        let Platform { caller, upstream, format, membership, announcements, ready_path } = platform;
        let state = match announcements {
            Some(_) => UpstreamState::unknown(),
            None => UpstreamState::unannounced(),
        };
        let seed = if settings.seed == 0 { fastrand::u64(1..) } else { settings.seed };
        // Where nodes have a list, a later life of a VM must have the greater number; elsewhere the
        // time of day may jump, and the store tells which life is the later one.
        let incarnation = match membership {
            Membership::Listed { .. } => wall_us(),
            Membership::Leased { .. } => fastrand::u64(1..),
        };
        let joints = Self {
            settings,
            seed,
            incarnation,
            announcement: Ring::new(),
            upstream: watch::Sender::new(state),
            caller_protocol: caller,
            upstream_protocol: upstream,
            format,
            membership,
            announces: announcements.is_some(),
            ready_path,
            words: Words::new(),
            metrics: Arc::new(Metrics::new()),
            bundle: watch::Sender::new(None),
            members: watch::Sender::new(Arc::new(Members::default())),
            link: Ring::new(),
            claim: Ring::new(),
            place: Ring::new(),
            member: Ring::new(),
            server_leaving: Arc::new(Notify::new()),
            listed_leaving: Arc::new(Notify::new()),
        };
        (announcements, joints)
    }

    fn start_membership(&self) -> std::io::Result<Vec<JoinHandle<()>>> {
        match &self.membership {
            Membership::Listed { list, store } => {
                Ok(vec![self.start_claim(store.clone())?, self.start_listed(list.clone(), store.clone())?])
            }
            Membership::Leased { store, bundle_key } => {
                // Without a roster of homes there are no claims: calls with keys are unknown here.
                self.words.released.send_replace(true);
                Ok(vec![self.start_leased(store.clone(), bundle_key.clone())?])
            }
        }
    }

    fn me(&self) -> Member {
        let settings = &self.settings;
        Member {
            vm: settings.vm.clone(),
            incarnation: self.incarnation,
            phase: Phase::Joining,
            domain: settings.domain.clone(),
            service: settings.service.clone(),
            link_addr: settings.advertise_addr,
        }
    }

    fn adopter(&self) -> Adopter {
        Adopter::new(self.format.clone(), self.bundle.clone(), self.metrics.clone())
    }

    fn start_leased(&self, store: Arc<dyn LeaseStore>, bundle_key: Arc<str>) -> std::io::Result<JoinHandle<()>> {
        let parts = LeasedParts {
            me: self.me(),
            store,
            format: self.format.clone(),
            bundle_key,
            lease_ms: self.settings.lease_ms,
            jobs: self.member.from.clone(),
            to_link: self.link.to.clone(),
            members: self.members.clone(),
            upstream: self.upstream.subscribe(),
            serving: self.words.serving.subscribe(),
            leaving: self.words.leaving.subscribe(),
            gone: self.words.gone.subscribe(),
            farewell: self.words.farewell.clone(),
            closing: self.words.closing.subscribe(),
            metrics: self.metrics.clone(),
            seed: self.seed,
        };
        let (format, in_force, metrics) = (self.format.clone(), self.bundle.clone(), self.metrics.clone());
        spawn("member", move || crate::member::leased::run(parts, Adopter::new(format, in_force, metrics)))
    }

    /// Starts the thread that hears the upstream's announcements and keeps its state.
    fn start_announcements(
        &self,
        announcements: Box<dyn Announcements>,
        listener: std::net::TcpListener,
    ) -> std::io::Result<JoinHandle<()>> {
        let ring = self.announcement.from.clone();
        let to = self.announcement.to.clone();
        let upstream = self.upstream.clone();
        let mut closing = self.words.closing.subscribe();
        spawn("announcement", move || async move {
            let Ok(listener) = TcpListener::from_std(listener) else {
                return;
            };
            let keep = async {
                while let Ok(news) = ring.recv().await {
                    take_announcement(&upstream, &news);
                }
            };
            tokio::select! {
                () = announcements.listen(listener, to) => {}
                () = keep => {}
                _ = closing.wait_for(|closing| *closing) => {}
            }
        })
    }

    fn start_claim(&self, store: Arc<dyn Store>) -> std::io::Result<JoinHandle<()>> {
        let settings = &self.settings;
        let parts = ClaimParts {
            me: Home { vm: settings.vm.clone(), incarnation: self.incarnation },
            service: settings.service.clone(),
            jobs: self.claim.from.clone(),
            to_place: self.place.to.clone(),
            store,
            writes_per_s: settings.store_writes_per_s,
            reads_per_s: settings.store_reads_per_s,
            store_timeout_ms: settings.store_timeout_ms,
            silent_us: settings.silent_ms * 1000,
            bundle: self.bundle.subscribe(),
            members: self.members.subscribe(),
            leaving: self.words.leaving.subscribe(),
            released: self.words.released.clone(),
            closing: self.words.closing.subscribe(),
            metrics: self.metrics.clone(),
        };
        spawn("claim", move || crate::claim::run::run(parts))
    }

    fn start_listed(&self, list: Arc<dyn VmList>, store: Arc<dyn Store>) -> std::io::Result<JoinHandle<()>> {
        let settings = &self.settings;
        let me = self.me();
        let bundler = Bundler::new(
            settings.vm.clone(),
            settings.domain.clone(),
            store,
            self.members.subscribe(),
            self.adopter(),
            self.metrics.clone(),
        );
        let parts = MemberParts {
            me,
            list_poll: Duration::from_millis(settings.list_poll_ms),
            gossip: Duration::from_millis(settings.gossip_ms),
            list,
            jobs: self.member.from.clone(),
            to_link: self.link.to.clone(),
            members: self.members.clone(),
            serving: self.words.serving.subscribe(),
            leaving: self.words.leaving.subscribe(),
            gone: self.words.gone.subscribe(),
            farewell: self.words.farewell.clone(),
            closing: self.words.closing.subscribe(),
            listed_leaving: self.listed_leaving.clone(),
            seed: self.seed,
        };
        spawn("member", move || crate::member::run::run(parts, bundler))
    }

    /// Starts the thread of the door and the links: a call's way through both then costs no
    /// wake-up between them, which on a small VM is most of what a call would cost.
    fn start_path(&self, callers: std::net::TcpListener, tls: LinkTls) -> std::io::Result<JoinHandle<()>> {
        let link_addr = self.settings.link_addr;
        let links = self.link_parts();
        let placer = self.placer_parts();
        let members = self.members.subscribe();
        let jobs = self.place.from.clone();
        let body_limit = Duration::from_millis(self.settings.call_body_ms);
        let leaving = self.words.leaving.subscribe();
        let closing = self.words.closing.subscribe();
        let emptied = self.words.emptied.clone();
        let protocol = self.caller_protocol.clone();
        let service = self.settings.service.clone();
        let head_limit = Duration::from_millis(self.settings.caller_rest_ms);
        let linger = Duration::from_millis(self.settings.linger_ms);
        let seed = self.seed;
        let vm = self.settings.vm.clone();
        spawn("path", move || async move {
            let endpoint = match crate::link::run::bind(link_addr, &vm, tls) {
                Ok(endpoint) => endpoint,
                Err(error) => {
                    log::error!("event=link.bind_failed code={} reason=\"{error}\"", Code::AddressBusy);
                    return;
                }
            };
            let Ok(listener) = TcpListener::from_std(callers) else {
                return;
            };
            let placer = Placer::new(placer);
            let keyed = KeyedRouter::new(placer.clone(), members);
            let parts = DoorParts {
                placer,
                keyed,
                jobs,
                protocol,
                service,
                head_limit,
                linger,
                seed,
                body_limit,
                leaving,
                closing,
                emptied,
            };
            let links = crate::link::run::run(endpoint, links);
            futures::join!(links, crate::caller::run::run(listener, parts));
        })
    }

    fn link_parts(&self) -> LinkParts {
        LinkParts {
            vm: self.settings.vm.clone(),
            service: self.settings.service.clone(),
            server_addr: self.settings.server_addr,
            jobs: self.link.from.clone(),
            to_claim: self.claim.to.clone(),
            to_member: self.member.to.clone(),
            bundle: self.bundle.subscribe(),
            upstream_protocol: self.upstream_protocol.clone(),
            upstream: self.upstream.subscribe(),
            to_upstream: self.announces.then(|| self.announcement.to.clone()),
            leaving: self.words.leaving.subscribe(),
            server_leaving: self.server_leaving.clone(),
            drained: self.words.drained.clone(),
            closing: self.words.closing.subscribe(),
            metrics: self.metrics.clone(),
        }
    }

    fn placer_parts(&self) -> PlacerParts {
        PlacerParts {
            vm: self.settings.vm.clone(),
            domain: self.settings.domain.clone(),
            domain_cost_us: self.settings.domain_cost_us,
            policy: self.settings.policy,
            seed: self.seed,
            entry: self.incarnation ^ self.seed.rotate_left(32),
            to_link: self.link.to.clone(),
            to_member: self.member.to.clone(),
            bundle: self.bundle.subscribe(),
            members: self.members.subscribe(),
            metrics: self.metrics.clone(),
        }
    }

    fn start_admin(&self, operators: std::net::TcpListener) -> std::io::Result<JoinHandle<()>> {
        let parts = AdminParts {
            ready_path: self.ready_path,
            vm: self.settings.vm.clone(),
            metrics: self.metrics.clone(),
            bundle: self.bundle.subscribe(),
            members: self.members.subscribe(),
            serving: self.words.serving.subscribe(),
            leaving: self.words.leaving.subscribe(),
            closing: self.words.closing.subscribe(),
        };
        spawn("admin", move || async move {
            if let Ok(listener) = TcpListener::from_std(operators) {
                crate::admin::run::run(listener, parts).await;
            }
        })
    }
}

/// Waits for the word to leave, then takes the node out of service step by step.
async fn stay(joints: &Joints) {
    let Joints { settings, words, server_leaving, listed_leaving, .. } = joints;
    let mut bundle = joints.bundle.subscribe();
    let told = async {
        tokio::select! {
            () = stop_signal() => "signal",
            () = server_leaving.notified() => "server",
            () = listed_leaving.notified() => "list",
        }
    };
    let told = std::pin::pin!(told);
    let begin = async {
        if bundle.wait_for(Option::is_some).await.is_ok() {
            words.serving.send_replace(true);
            log::info!("event=node.serving");
        }
        std::future::pending::<()>().await
    };
    let by = tokio::select! {
        by = told => by,
        () = begin => "",
    };
    log::info!("event=node.leaving by={by}");
    words.leaving.send_replace(true);
    let done = async {
        for word in [&words.drained, &words.released, &words.emptied] {
            let _ = word.subscribe().wait_for(|word| *word).await;
        }
    };
    let drain_ms = match settings.stop_grace_ms {
        0 => settings.drain_ms,
        grace_ms => settings.drain_ms.min(grace_ms.saturating_sub(STOP_MARGIN_MS)),
    };
    if timeout(Duration::from_millis(drain_ms), done).await.is_err() {
        log::warn!("event=node.drain_cut after_ms={drain_ms}");
    }
    words.gone.send_replace(true);
    let _ = timeout(Duration::from_millis(FAREWELL_MS), words.farewell.subscribe().wait_for(|word| *word)).await;
    words.closing.send_replace(true);
    // Answers that were just written still have to leave this process.
    sleep(Duration::from_millis(20)).await;
}

fn take_announcement(upstream: &watch::Sender<UpstreamState>, news: &Announcement) {
    let changed = upstream.send_if_modified(|state| state.take(news, now_us()));
    if changed {
        let state = upstream.borrow();
        let slots = state.slots.unwrap_or(0);
        log::info!("event=upstream.state id={} phase={:?} slots={slots}", news.id, state.phase);
    }
}

async fn stop_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    let Ok(mut hang_up) = signal(SignalKind::hangup()) else {
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            // Settings stand in flags and environment, which a running process keeps.
            _ = hang_up.recv() => log::info!("event=node.reload settings=unchanged"),
        }
    }
}

/// Finds out whether the address of links is free; the endpoint itself is bound in its thread.
fn try_links(addr: std::net::SocketAddr) -> Result<(), NodeError> {
    std::net::UdpSocket::bind(addr).map(drop).map_err(|source| NodeError::Listen { addr, source })
}

fn listen(addr: std::net::SocketAddr) -> Result<std::net::TcpListener, NodeError> {
    let listener = std::net::TcpListener::bind(addr).map_err(|source| NodeError::Listen { addr, source })?;
    listener.set_nonblocking(true).map_err(|source| NodeError::Listen { addr, source })?;
    Ok(listener)
}

fn runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Starts a thread with a runtime of its own; `duty` makes the future inside it.
fn spawn<D, F>(name: &'static str, duty: D) -> std::io::Result<JoinHandle<()>>
where
    D: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()> + 'static,
{
    let runtime = runtime()?;
    std::thread::Builder::new().name(name.to_owned()).spawn(move || {
        let local = LocalSet::new();
        local.block_on(&runtime, async { duty().await });
    })
}

/// Joins every thread; the word to close has reached them all.
fn join(threads: Vec<JoinHandle<()>>) {
    for thread in threads.into_iter().rev() {
        if thread.join().is_err() {
            log::error!("event=node.thread_failed");
        }
    }
}
