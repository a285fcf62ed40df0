//! Durable storage of crash reports: one value per service in the platform's store, written by compare-and-swap.

use std::sync::Arc;

use futures::future::BoxFuture;

use super::message::CrashReport;
use crate::store::{CommitOutcome, Freshness, LeaseStore, LeasedWrite, Position, Store, StoreError, SwapOutcome};

/// Prefix of the keys, each of which ends with the name of a service.
pub const CRASH_PREFIX: &str = "valetrack/crash/";

/// Returns the key of the crashes of a service.
pub fn crash_key(service: &str) -> String {
    format!("{CRASH_PREFIX}{service}")
}

/// Returns the service whose crashes a key holds, if it is such a key.
pub fn service_of(key: &str) -> Option<&str> {
    key.strip_prefix(CRASH_PREFIX).filter(|service| !service.is_empty())
}

/// Serializes reports into a value.
pub fn pack(reports: &[CrashReport]) -> Result<Vec<u8>, String> {
    serde_json::to_vec(reports).map_err(|error| error.to_string())
}

/// Deserializes a value that [`pack`] returned.
///
/// # Errors
///
/// Returns an error if the value has another format.
pub fn unpack(value: &[u8]) -> Result<Vec<CrashReport>, String> {
    serde_json::from_slice(value).map_err(|error| error.to_string())
}

/// Value of a key in an archive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Archived {
    /// The value.
    pub value: Vec<u8>,
    /// Position of its last change.
    pub position: Position,
}

/// Store operations that crash reports need.
pub trait CrashArchive: Send + Sync {
    /// Returns the current value of a key and the position of its last change, if the key exists.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Archived>, StoreError>>;

    /// Writes a key if the position of its last change is still `expected`, where `None` means that the key does not
    /// exist; returns whether it was written.
    fn write<'a>(
        &'a self,
        key: &'a str,
        expected: Option<Position>,
        value: Vec<u8>,
    ) -> BoxFuture<'a, Result<bool, StoreError>>;
}

/// An archive in a store without leases.
pub struct StoreArchive(pub Arc<dyn Store>);

impl CrashArchive for StoreArchive {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Archived>, StoreError>> {
        Box::pin(async move {
            let value = self.0.read(key).await?.value;
            Ok(value.map(|versioned| Archived { value: versioned.value, position: versioned.position }))
        })
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        expected: Option<Position>,
        value: Vec<u8>,
    ) -> BoxFuture<'a, Result<bool, StoreError>> {
        Box::pin(async move { Ok(matches!(self.0.swap(key, expected, value).await?, SwapOutcome::At(_))) })
    }
}

/// An archive in a store with leases; its keys have no lease.
pub struct LeasedArchive(pub Arc<dyn LeaseStore>);

impl CrashArchive for LeasedArchive {
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Archived>, StoreError>> {
        Box::pin(async move {
            let page = self.0.list(key, None, Freshness::Current).await?;
            let item = page.items.into_iter().find(|item| item.key == key);
            Ok(item.map(|item| Archived { value: item.value, position: item.position }))
        })
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        expected: Option<Position>,
        value: Vec<u8>,
    ) -> BoxFuture<'a, Result<bool, StoreError>> {
        Box::pin(async move {
            let write = LeasedWrite { key: key.to_owned(), expected, value, lease: None };
            let CommitOutcome::At(at) = self.0.commit(&write).await? else {
                return Ok(false);
            };
            // After a store rollback in between, another value may have been stored at that revision. The caller reads
            // it again and merges it.
            Ok(expected.is_none_or(|expected| expected.era() == at.era()))
        })
    }
}
