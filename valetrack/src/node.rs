//! A node: makes the rings, starts a thread for each duty, and joins them all at the end.

use std::future::Future;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use crate::admin::run::AdminParts;
use crate::bundle::InForce;
use crate::bundle::run::Bundler;
use crate::caller::keyed::KeyedRouter;
use crate::caller::run::DoorParts;
use crate::claim::Home;
use crate::claim::run::ClaimParts;
use crate::clock::wall_us;
use crate::code::Code;
use crate::link::run::LinkParts;
use crate::link::tls::{self, KeyError};
use crate::member::list::HttpList;
use crate::member::run::MemberParts;
use crate::member::{Member, Members, Phase};
use crate::metric::Metrics;
use crate::placement::run::{Placer, PlacerParts};
use crate::settings::NodeSettings;
use crate::store::HttpStore;

/// Places in each ring between two threads.
const RING: usize = 1_024;
/// Time that the farewell to other nodes may take, in milliseconds.
const FAREWELL_MS: u64 = 500;

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

/// Runs a node until it is told to stop, and takes it out of service in order.
///
/// # Errors
///
/// Returns why the node could not start.
pub fn run(settings: NodeSettings) -> Result<(), NodeError> {
    let tls = tls::load(&settings.keys_dir, &settings.vm)?;
    let seed = if settings.seed == 0 { fastrand::u64(1..) } else { settings.seed };
    let incarnation = wall_us();
    let me = Member {
        vm: settings.vm.clone(),
        incarnation,
        phase: Phase::Joining,
        domain: settings.domain.clone(),
        service: settings.service.clone(),
        link_addr: settings.advertise_addr,
    };
    let words = Words::new();
    let metrics = Arc::new(Metrics::new());
    let bundle = watch::Sender::new(None::<Arc<InForce>>);
    let members = watch::Sender::new(Arc::new(Members::default()));
    let (to_link, link_jobs) = async_channel::bounded(RING);
    let (to_claim, claim_jobs) = async_channel::bounded(RING);
    let (to_place, place_jobs) = async_channel::bounded(RING);
    let (to_member, member_jobs) = async_channel::bounded(RING);
    let server_leaving = Arc::new(Notify::new());
    let listed_leaving = Arc::new(Notify::new());

    // Sockets are bound before any thread starts, so that a busy address is told at once.
    let caller_listener = listen(settings.caller_addr)?;
    let admin_listener = listen(settings.admin_addr)?;
    let link_socket = std::net::UdpSocket::bind(settings.link_addr)
        .map_err(|source| NodeError::Listen { addr: settings.link_addr, source })?;
    drop(link_socket);

    let mut threads = Vec::new();
    let link_parts = LinkParts {
        vm: settings.vm.clone(),
        service: settings.service.clone(),
        server_addr: settings.server_addr,
        jobs: link_jobs,
        to_claim,
        to_member: to_member.clone(),
        bundle: bundle.subscribe(),
        leaving: words.leaving.subscribe(),
        server_leaving: server_leaving.clone(),
        drained: words.drained.clone(),
        closing: words.closing.subscribe(),
        metrics: metrics.clone(),
    };
    let claim_parts = ClaimParts {
        me: Home { vm: settings.vm.clone(), incarnation },
        service: settings.service.clone(),
        jobs: claim_jobs,
        to_place,
        store: store(&settings),
        writes_per_s: settings.store_writes_per_s,
        reads_per_s: settings.store_reads_per_s,
        store_timeout_ms: settings.store_timeout_ms,
        silent_us: settings.silent_ms * 1000,
        bundle: bundle.subscribe(),
        members: members.subscribe(),
        leaving: words.leaving.subscribe(),
        released: words.released.clone(),
        closing: words.closing.subscribe(),
        metrics: metrics.clone(),
    };
    threads.push(spawn("claim", move || crate::claim::run::run(claim_parts))?);

    let member_store = store(&settings);
    let bundler_parts = (settings.vm.clone(), settings.domain.clone(), members.subscribe(), bundle.clone());
    let member_metrics = metrics.clone();
    let (list_addr, list_poll_ms, gossip_ms) = (settings.list_addr, settings.list_poll_ms, settings.gossip_ms);
    let member_words = (
        words.serving.subscribe(),
        words.leaving.subscribe(),
        words.gone.subscribe(),
        words.farewell.clone(),
        words.closing.subscribe(),
    );
    let (member_link, member_view, member_leaving) = (to_link.clone(), members.clone(), listed_leaving.clone());
    threads.push(spawn("member", move || async move {
        let (vm, domain, view, in_force) = bundler_parts;
        let bundler = Bundler::new(vm, domain, member_store, view, in_force, member_metrics);
        let (serving, leaving, gone, farewell, closing) = member_words;
        let parts = MemberParts {
            me,
            list_poll: Duration::from_millis(list_poll_ms),
            gossip: Duration::from_millis(gossip_ms),
            list: Arc::new(HttpList::new(list_addr)),
            jobs: member_jobs,
            to_link: member_link,
            members: member_view,
            bundler,
            serving,
            leaving,
            gone,
            farewell,
            closing,
            listed_leaving: member_leaving,
            seed,
        };
        crate::member::run::run(parts).await;
    })?);

    let placer_parts = PlacerParts {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        domain_cost_us: settings.domain_cost_us,
        policy: settings.policy,
        seed,
        entry: incarnation ^ seed.rotate_left(32),
        to_link,
        to_member,
        bundle: bundle.subscribe(),
        members: members.subscribe(),
        metrics: metrics.clone(),
    };
    let door_members = members.subscribe();
    let door_words = (words.leaving.subscribe(), words.closing.subscribe(), words.emptied.clone());
    let body_limit = Duration::from_millis(settings.call_body_ms);
    let link_addr = settings.link_addr;
    // The door and the links share a thread: a call's way through both then costs no wake-up
    // between them, which on a small VM is most of what a call would cost.
    threads.push(spawn("path", move || async move {
        let endpoint = match crate::link::run::bind(link_addr, tls) {
            Ok(endpoint) => endpoint,
            Err(error) => {
                log::error!("event=link.bind_failed code={} reason=\"{error}\"", Code::AddressBusy);
                return;
            }
        };
        let Ok(listener) = TcpListener::from_std(caller_listener) else {
            return;
        };
        let placer = Placer::new(placer_parts);
        let keyed = KeyedRouter::new(placer.clone(), door_members);
        let (leaving, closing, emptied) = door_words;
        let parts = DoorParts { placer, keyed, jobs: place_jobs, body_limit, leaving, closing, emptied };
        let links = crate::link::run::run(endpoint, link_parts);
        let door = crate::caller::run::run(listener, parts);
        futures::join!(links, door);
    })?);

    let admin_parts = AdminParts {
        vm: settings.vm.clone(),
        metrics,
        bundle: bundle.subscribe(),
        members: members.subscribe(),
        serving: words.serving.subscribe(),
        leaving: words.leaving.subscribe(),
        closing: words.closing.subscribe(),
    };
    threads.push(spawn("admin", move || async move {
        if let Ok(listener) = TcpListener::from_std(admin_listener) {
            crate::admin::run::run(listener, admin_parts).await;
        }
    })?);

    log::info!("event=node.start incarnation={incarnation} release={}", env!("CARGO_PKG_VERSION"));
    let runtime = runtime()?;
    runtime.block_on(stay(&settings, &words, bundle.subscribe(), &server_leaving, &listed_leaving));
    join(threads);
    log::info!("event=node.stop");
    Ok(())
}

/// Waits for the word to leave, then takes the node out of service step by step.
async fn stay(
    settings: &NodeSettings,
    words: &Words,
    mut bundle: watch::Receiver<Option<Arc<InForce>>>,
    server_leaving: &Notify,
    listed_leaving: &Notify,
) {
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
    if timeout(Duration::from_millis(settings.drain_ms), done).await.is_err() {
        log::warn!("event=node.drain_cut after_ms={}", settings.drain_ms);
    }
    words.gone.send_replace(true);
    let _ = timeout(Duration::from_millis(FAREWELL_MS), words.farewell.subscribe().wait_for(|word| *word)).await;
    words.closing.send_replace(true);
    // Answers that were just written still have to leave this process.
    sleep(Duration::from_millis(20)).await;
}

async fn stop_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn store(settings: &NodeSettings) -> Arc<HttpStore> {
    Arc::new(HttpStore::new(settings.store_addr, Duration::from_millis(settings.store_timeout_ms)))
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
