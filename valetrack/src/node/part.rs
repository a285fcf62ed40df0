//! State shared by the threads of a node: settings, rings and published views.

use std::sync::Arc;

use async_channel::{Receiver, Sender};
use tokio::sync::{Notify, watch};

use super::stage::Stages;
use crate::bundle::{BundleFormat, Confirmation, InForce, PackedTexts};
use crate::caller::CallerProtocol;
use crate::claim::{ClaimJob, ClaimState};
use crate::clock::{steady_us, wall_us};
use crate::crash::{CrashHistory, CrashJob};
use crate::gate::{Announcement, DepartureRecord, UpstreamProtocol, UpstreamState};
use crate::link::peer::LinkJob;
use crate::member::{MemberJob, Members};
use crate::memory::{MachineLimits, MemoryAccount};
use crate::metric::Metrics;
use crate::placement::PlaceJob;
use crate::platform::{Announcements, Membership, Platform};
use crate::settings::NodeSettings;

/// Capacity of each ring between two threads.
const RING_CAPACITY: usize = 1_024;

/// Both ends of a ring between two threads.
pub(super) struct Ring<T> {
    /// Sending end.
    pub(super) to: Sender<T>,
    /// Receiving end.
    pub(super) from: Receiver<T>,
}

impl<T> Ring<T> {
    fn new() -> Self {
        let (to, from) = async_channel::bounded(RING_CAPACITY);
        Self { to, from }
    }
}

/// Settings, rings and published state of a node's threads.
pub(super) struct NodeParts {
    pub(super) settings: NodeSettings,
    pub(super) seed: u64,
    pub(super) incarnation: u64,
    pub(super) stages: Stages,
    pub(super) metrics: Arc<Metrics>,
    pub(super) limits: MachineLimits,
    pub(super) memory: MemoryAccount,
    pub(super) bundle: watch::Sender<Option<Arc<InForce>>>,
    pub(super) confirmation: watch::Sender<Confirmation>,
    pub(super) texts: watch::Sender<PackedTexts>,
    pub(super) members: watch::Sender<Arc<Members>>,
    pub(super) link: Ring<LinkJob>,
    pub(super) claim: Ring<ClaimJob>,
    pub(super) claims: watch::Sender<ClaimState>,
    pub(super) place: Ring<PlaceJob>,
    pub(super) member: Ring<MemberJob>,
    pub(super) crash: Ring<CrashJob>,
    pub(super) crash_history: watch::Sender<Arc<CrashHistory>>,
    pub(super) announcement: Ring<Announcement>,
    pub(super) upstream: watch::Sender<UpstreamState>,
    pub(super) departure_record: watch::Sender<DepartureRecord>,
    pub(super) caller_protocol: Arc<dyn CallerProtocol>,
    pub(super) upstream_protocol: Arc<dyn UpstreamProtocol>,
    pub(super) format: Arc<dyn BundleFormat>,
    pub(super) membership: Membership,
    pub(super) announces: bool,
    pub(super) ready_path: &'static str,
    pub(super) server_leaving: Arc<Notify>,
    pub(super) listed_leaving: Arc<Notify>,
}

impl NodeParts {
    /// Creates the shared state of a node's threads, and returns it with the platform's source of announcements.
    pub(super) fn new(settings: NodeSettings, platform: Platform) -> (Option<Box<dyn Announcements>>, Self) {
        let Platform { caller, upstream, format, membership, announcements, ready_path } = platform;
        let state = match announcements {
            Some(_) => UpstreamState::at_node_start(steady_us()),
            None => UpstreamState::unannounced(),
        };
        let seed = if settings.seed == 0 { fastrand::u64(1..) } else { settings.seed };
        // With a VM list, a later incarnation of a VM must have the greater number. With leases, the store orders the
        // incarnations and the time of day isn't used, because it may jump.
        let incarnation = match membership {
            Membership::Listed { .. } => wall_us(),
            Membership::Leased { .. } => fastrand::u64(1..),
        };
        let limits = MachineLimits::new(settings.memory_mb, settings.file_descriptors);
        let metrics = Arc::new(Metrics::new());
        log::info!(
            "event=node.limits memory_bytes={} held_bytes={} descriptors={}",
            limits.memory_bytes,
            limits.held_bytes(),
            limits.descriptors
        );
        let parts = Self {
            memory: MemoryAccount::new(limits.held_bytes(), metrics.clone()),
            limits,
            settings,
            seed,
            incarnation,
            announcement: Ring::new(),
            upstream: watch::Sender::new(state),
            departure_record: watch::Sender::default(),
            caller_protocol: caller,
            upstream_protocol: upstream,
            format,
            membership,
            announces: announcements.is_some(),
            ready_path,
            stages: Stages::new(),
            metrics,
            bundle: watch::Sender::new(None),
            confirmation: watch::Sender::default(),
            texts: watch::Sender::default(),
            members: watch::Sender::new(Arc::new(Members::default())),
            link: Ring::new(),
            claim: Ring::new(),
            claims: watch::Sender::default(),
            place: Ring::new(),
            member: Ring::new(),
            crash: Ring::new(),
            crash_history: watch::Sender::new(Arc::new(CrashHistory::default())),
            server_leaving: Arc::new(Notify::new()),
            listed_leaving: Arc::new(Notify::new()),
        };
        (announcements, parts)
    }
}
