//! Interface to the platform: the services that a node uses from the environment in which it runs.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures::future::LocalBoxFuture;
use tokio::net::TcpListener;

use crate::bundle::{BundleFormat, TomlFormat};
use crate::caller::{CallerProtocol, NativeCaller};
use crate::gate::{Announcement, DepartureAcknowledger, NativeUpstream, UpstreamProtocol};
use crate::member::list::{HttpList, VmList};
use crate::metric::Metrics;
use crate::rollout::RolloutFormat;
use crate::settings::{NATIVE, NodeSettings, SettingFault};
use crate::store::{HttpStore, LeaseStore, Store};

/// How nodes discover each other and receive their bundle.
pub enum Membership {
    /// By a VM list of the platform and by gossip between nodes.
    Listed {
        /// The VM list.
        list: Arc<dyn VmList>,
        /// The store, for bundles and crashes.
        store: Arc<dyn Store>,
        /// The same store over a separate connection. Claims depend on how long this connection is uninterrupted.
        claim_store: Arc<dyn Store>,
    },
    /// By leased entries in the platform's store.
    Leased {
        /// The store.
        store: Arc<dyn LeaseStore>,
        /// Key under which operators store the bundle.
        bundle_key: Arc<str>,
        /// Prefix of keys under which operators store the names of evacuated failure domains.
        evacuation_prefix: Arc<str>,
        /// Format of the operators' roll-out orders.
        rollouts: Arc<dyn RolloutFormat>,
    },
}

/// Receives the announcements of this node's upstream.
pub trait Announcements: Send {
    /// Listens until dropped and sends every announcement to `to`; must run on a local task set. A departure is
    /// acknowledged once `acknowledger` allows it. Unreadable announcements are counted in `metrics` and otherwise ignored.
    fn listen(
        self: Box<Self>,
        listener: TcpListener,
        to: Sender<Announcement>,
        acknowledger: DepartureAcknowledger,
        metrics: Arc<Metrics>,
    ) -> LocalBoxFuture<'static, ()>;
}

/// Implementations of the interface for one kind of platform.
pub struct Platform {
    /// Protocol between the node and its callers.
    pub caller: Arc<dyn CallerProtocol>,
    /// Protocol between the node and its upstream.
    pub upstream: Arc<dyn UpstreamProtocol>,
    /// Format of bundles.
    pub format: Arc<dyn BundleFormat>,
    /// How nodes discover each other.
    pub membership: Membership,
    /// Announcements of the upstream; `None` if upstreams send none.
    pub announcements: Option<Box<dyn Announcements>>,
    /// Path of the platform's readiness check.
    pub ready_path: &'static str,
}

/// Creates the interface to one kind of platform.
pub trait PlatformFactory {
    /// Returns the name that selects this kind of platform in the `platform` setting.
    fn name(&self) -> &'static str;

    /// Returns the environment variables that the platform sets for every process and that have the prefix of settings
    /// but aren't settings.
    fn own_variables(&self) -> &'static [&'static str] {
        &[]
    }

    /// Creates the interface.
    ///
    /// # Errors
    ///
    /// Returns the faults of all settings that are invalid for this kind of platform.
    fn open(&self, settings: &NodeSettings) -> Result<Platform, Vec<SettingFault>>;
}

/// Valetrack's own platform: a store behind the etcd gateway, a VM list, and valetrack's own headers.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativePlatform;

impl PlatformFactory for NativePlatform {
    fn name(&self) -> &'static str {
        NATIVE
    }

    fn open(&self, settings: &NodeSettings) -> Result<Platform, Vec<SettingFault>> {
        let list_addr = settings.list_addr.ok_or_else(|| vec![SettingFault::missing("list")])?;
        let limit = Duration::from_millis(settings.store_timeout_ms);
        Ok(Platform {
            caller: Arc::new(NativeCaller),
            upstream: Arc::new(NativeUpstream),
            format: Arc::new(TomlFormat),
            membership: Membership::Listed {
                list: Arc::new(HttpList::new(list_addr)),
                store: Arc::new(HttpStore::new(settings.store_addr, limit)),
                claim_store: Arc::new(HttpStore::new(settings.store_addr, limit)),
            },
            announcements: None,
            ready_path: "/ready",
        })
    }
}
