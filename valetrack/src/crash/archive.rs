//! Where crashes last: one value a service in the platform's store, written by compare-and-swap.

use std::sync::Arc;

use futures::future::BoxFuture;

use super::message::CrashReport;
use crate::store::{Committed, Freshness, LeaseStore, LeasedWrite, Position, Store, StoreError, Written};

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

/// What an archive holds under a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Archived {
    /// The value.
    pub value: Vec<u8>,
    /// Position of its last change.
    pub position: Position,
}

/// A store, as far as crashes use it.
pub trait CrashArchive: Send + Sync {
    /// Reads a key as it stands; returns its value and the position of its last change, if it exists.
    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Archived>, StoreError>>;

    /// Writes a key if the position of its last change is still `expected`, none where it did not exist; returns whether
    /// it was.
    fn write<'a>(
        &'a self,
        key: &'a str,
        expected: Option<Position>,
        value: Vec<u8>,
    ) -> BoxFuture<'a, Result<bool, StoreError>>;
}

/// A store without leases as an archive.
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
        Box::pin(async move { Ok(matches!(self.0.swap(key, expected, value).await?, Written::At(_))) })
    }
}

/// A store with leases as an archive; what it holds goes with no lease.
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
            let Committed::At(at) = self.0.commit(&write).await? else {
                return Ok(false);
            };
            // A store that came back older in between may have held something else at that revision; it is read and
            // joined again.
            Ok(expected.is_none_or(|expected| expected.era() == at.era()))
        })
    }
}
