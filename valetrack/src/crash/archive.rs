//! Where crashes last: one value a service in the platform's store, written by compare-and-swap.

use std::sync::Arc;

use futures::future::BoxFuture;

use super::message::CrashReport;
use crate::store::{Committed, Freshness, LeaseStore, LeasedWrite, Store, StoreError, Written};

/// Prefix of the keys, each of which ends with the name of a service.
pub const CRASH_PREFIX: &str = "valetrack/crash/";
/// The lease of what outlives every node.
const NO_LEASE: u64 = 0;

/// Returns the key of the crashes of a service.
pub fn crash_key(service: &str) -> String {
    format!("{CRASH_PREFIX}{service}")
}

/// Returns the service whose crashes a key holds, if it is such a key.
pub fn service_of(key: &str) -> Option<&str> {
    key.strip_prefix(CRASH_PREFIX).filter(|service| !service.is_empty())
}

/// Packs reports into a value.
pub fn pack(reports: &[CrashReport]) -> Result<Vec<u8>, String> {
    serde_json::to_vec(reports).map_err(|error| error.to_string())
}

/// Reads what [`pack`] has packed.
///
/// # Errors
///
/// Returns why another writer must have written it.
pub fn unpack(value: &[u8]) -> Result<Vec<CrashReport>, String> {
    serde_json::from_slice(value).map_err(|error| error.to_string())
}

/// A store, as far as crashes use it.
pub trait CrashArchive: Send + Sync {
    /// Reads a key as it stands; returns its value and the revision of its last change, or nothing and zero.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<(Vec<u8>, u64), StoreError>>;

    /// Writes a key if the revision of its last change is still `expected`; returns whether it was.
    fn write<'a>(&'a self, key: &'a str, expected: u64, value: Vec<u8>) -> BoxFuture<'a, Result<bool, StoreError>>;
}

/// A store without leases as an archive.
pub struct StoreArchive(pub Arc<dyn Store>);

impl CrashArchive for StoreArchive {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<(Vec<u8>, u64), StoreError>> {
        Box::pin(async move {
            let versioned = self.0.read(key).await?;
            Ok(versioned.map_or((Vec::new(), 0), |versioned| (versioned.value, versioned.revision)))
        })
    }

    fn write<'a>(&'a self, key: &'a str, expected: u64, value: Vec<u8>) -> BoxFuture<'a, Result<bool, StoreError>> {
        Box::pin(async move { Ok(matches!(self.0.swap(key, expected, value).await?, Written::At(_))) })
    }
}

/// A store with leases as an archive; what it holds goes with no lease.
pub struct LeasedArchive(pub Arc<dyn LeaseStore>);

impl CrashArchive for LeasedArchive {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<(Vec<u8>, u64), StoreError>> {
        Box::pin(async move {
            let page = self.0.list(key, None, Freshness::Current).await?;
            let item = page.items.into_iter().find(|item| item.key == key);
            Ok(item.map_or((Vec::new(), 0), |item| (item.value, item.revision)))
        })
    }

    fn write<'a>(&'a self, key: &'a str, expected: u64, value: Vec<u8>) -> BoxFuture<'a, Result<bool, StoreError>> {
        Box::pin(async move {
            let write = LeasedWrite { key: key.to_owned(), expected, value, lease: NO_LEASE };
            Ok(matches!(self.0.commit(&write).await?, Committed::At(_)))
        })
    }
}
