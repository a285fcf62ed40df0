//! The border to the platform: everything that a node takes from where it runs.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Sender;
use futures::future::LocalBoxFuture;
use tokio::net::TcpListener;

use crate::bundle::{BundleFormat, TomlFormat};
use crate::caller::{CallerProtocol, NativeCaller};
use crate::gate::{Announcement, NativeUpstream, UpstreamProtocol};
use crate::member::list::{HttpList, VmList};
use crate::metric::Metrics;
use crate::rollout::RolloutFormat;
use crate::settings::{NATIVE, NodeSettings, SettingFault};
use crate::store::{HttpStore, LeaseStore, Store};

/// How nodes find each other and get their bundle.
pub enum Membership {
    /// By a list of VMs that the platform keeps, and by exchanges between nodes.
    Listed {
        /// The list.
        list: Arc<dyn VmList>,
        /// The store, for bundles and crashes.
        store: Arc<dyn Store>,
        /// The same store over a connection of its own: how long that lasts is what claims rest on.
        claim_store: Arc<dyn Store>,
    },
    /// By entries with leases in the platform's store.
    Leased {
        /// The store.
        store: Arc<dyn LeaseStore>,
        /// Key of the operators' bundle.
        bundle_key: Arc<str>,
        /// Prefix of the operators' keys that each name a failure domain to be evacuated.
        evacuation_prefix: Arc<str>,
        /// How operators write orders of roll-outs.
        rollouts: Arc<dyn RolloutFormat>,
    },
}

/// Hears the announcements of the upstream beside this node.
pub trait Announcements: Send {
    /// Listens until dropped and passes on every announcement; must run on a local task set.
    /// What cannot be read is counted in `metrics` and changes nothing.
    fn listen(
        self: Box<Self>,
        listener: TcpListener,
        to: Sender<Announcement>,
        metrics: Arc<Metrics>,
    ) -> LocalBoxFuture<'static, ()>;
}

/// What a node takes from its platform.
pub struct Platform {
    /// How it speaks with callers.
    pub caller: Arc<dyn CallerProtocol>,
    /// How it speaks with its upstream.
    pub upstream: Arc<dyn UpstreamProtocol>,
    /// The language of bundles.
    pub format: Arc<dyn BundleFormat>,
    /// How nodes find each other.
    pub membership: Membership,
    /// Announcements of the upstream; none where upstreams announce nothing.
    pub announcements: Option<Box<dyn Announcements>>,
    /// Path by which the platform asks whether the node is ready.
    pub ready_path: &'static str,
}

/// Makes the border to one kind of platform.
pub trait PlatformFactory {
    /// Returns the name by which a setting chooses it.
    fn name(&self) -> &'static str;

    /// Returns environment variables that the platform itself sets for every process, which look like
    /// settings and are none.
    fn own_variables(&self) -> &'static [&'static str] {
        &[]
    }

    /// Makes the border.
    ///
    /// # Errors
    ///
    /// Returns every setting that does not fit this kind of platform.
    fn open(&self, settings: &NodeSettings) -> Result<Platform, Vec<SettingFault>>;
}

/// Valetrack's own interface: a store behind the etcd gateway, a VM list, its own headers.
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
