//! Operators' commands: write, approve, publish. Each is safe against races and lost answers.

use std::sync::Arc;

use snafu::Snafu;

use super::check::check;
use super::message::{
    ApprovedDoc, CURRENT_KEY, CurrentDoc, Fault, HISTORY_MAX, PublishedDoc, WrittenDoc, approval_key, text_key,
    version_of,
};
use crate::clock::wall_us;
use crate::code::Code;
use crate::member::Evacuation;
use crate::store::{Position, ReadResult, Store, StoreError, SwapOutcome};

/// Most publications that a copy of the store may lack: those of some 47 days at 21,000 a day.
const LOST_PUBLICATIONS_MAX: u64 = 1_000_000;
/// Author of a text that a node has written again, in place of an operator's name.
const RESTORED_AUTHOR: &str = "(restored by a node)";
/// How often a write whose answer was lost is read back and retried.
const TRIES: usize = 5;

/// Failure of an operator's command.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The text has faults, so it was not written.
    #[snafu(display("the bundle has {} faults and was not written", faults.len()))]
    Faulty {
        /// All faults of the text.
        faults: Vec<Fault>,
    },
    /// No bundle of this version was written.
    #[snafu(display("no bundle of version {version} was written"))]
    NotFound {
        /// The version.
        version: String,
    },
    /// The stored text does not match its version.
    #[snafu(display("the stored text of bundle {version} does not match its version"))]
    Damaged {
        /// The version.
        version: String,
    },
    /// No second operator has approved the bundle.
    #[snafu(display("bundle {version} has not been approved by a second operator"))]
    NotApproved {
        /// The version.
        version: String,
    },
    /// The author tried to approve the bundle.
    #[snafu(display("bundle {version} was written by {operator} and needs the approval of another operator"))]
    SelfApproval {
        /// The version.
        version: String,
        /// Name of the author.
        operator: String,
    },
    /// Another operator published a bundle in between.
    #[snafu(display("{winner} published bundle {version} as number {number} first"))]
    RaceLost {
        /// Name of the other operator.
        winner: String,
        /// Version that the other operator published.
        version: String,
        /// Number of that publication.
        number: u64,
    },
    /// No bundle has been published.
    #[snafu(display("no bundle has been published yet"))]
    NotPublished,
    /// The document in force was changed concurrently at each try.
    #[snafu(display("the document in force was changed concurrently at each try"))]
    Busy,
    /// The store failed.
    #[snafu(display("{source}"))]
    Store {
        /// Error of the store.
        source: StoreError,
    },
}

impl OperatorError {
    /// Returns the numbered code.
    pub const fn code(&self) -> Code {
        match self {
            Self::Faulty { .. } => Code::BundleValueInvalid,
            Self::NotFound { .. } | Self::NotPublished => Code::BundleNotFound,
            Self::Damaged { .. } => Code::BundleDamaged,
            Self::NotApproved { .. } => Code::BundleNotApproved,
            Self::SelfApproval { .. } => Code::BundleSelfApproval,
            Self::RaceLost { .. } | Self::Busy => Code::BundleRaceLost,
            Self::Store { source } => source.code(),
        }
    }
}

impl From<StoreError> for OperatorError {
    fn from(source: StoreError) -> Self {
        Self::Store { source }
    }
}

/// Checks and writes a bundle; returns its version.
///
/// Writing the same text again changes nothing, also by another operator.
///
/// # Errors
///
/// Returns [`OperatorError::Faulty`] with every fault, or the error of the store.
pub async fn write(store: &dyn Store, operator: &str, text: &str) -> Result<String, OperatorError> {
    check(text).map_err(|faults| OperatorError::Faulty { faults })?;
    let version = version_of(text);
    let doc = WrittenDoc { author: operator.into(), written_ms: wall_us() / 1000, text: text.into() };
    create(store, &text_key(&version), &doc).await?;
    Ok(version)
}

/// Approves a written bundle; its author cannot approve it.
///
/// # Errors
///
/// Returns the reason for which the bundle cannot be approved, or the error of the store.
pub async fn approve(store: &dyn Store, operator: &str, version: &str) -> Result<(), OperatorError> {
    let written = read_text(store, version).await?;
    if written.author == operator {
        return Err(OperatorError::SelfApproval { version: version.into(), operator: operator.into() });
    }
    let doc = ApprovedDoc { approver: operator.into(), approved_ms: wall_us() / 1000 };
    create(store, &approval_key(version), &doc).await?;
    Ok(())
}

/// Result of publishing a bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Publication {
    /// Number of the publication.
    pub number: u64,
    /// Number in the store before; zero if there was none.
    pub held: u64,
    /// Whether the store's history has another name than at the publication before.
    pub is_restored: bool,
}

/// Publishes an approved bundle; returns its number.
///
/// # Errors
///
/// Returns [`OperatorError::RaceLost`] with the winner if another operator published in between, the reason for which
/// the bundle cannot be published, or the error of the store.
pub async fn publish(store: &dyn Store, operator: &str, version: &str) -> Result<u64, OperatorError> {
    Ok(publish_above(store, operator, version, 0).await?.number)
}

/// Publishes an approved bundle under a number that is higher than the one in the store and than `served`, the highest
/// that nodes are known to serve.
///
/// # Errors
///
/// Returns the same errors as [`publish`].
pub async fn publish_above(
    store: &dyn Store,
    operator: &str,
    version: &str,
    served: u64,
) -> Result<Publication, OperatorError> {
    let written = read_text(store, version).await?;
    let approval = store.read(&approval_key(version)).await?;
    let approved = approval.value.and_then(|kv| serde_json::from_slice::<ApprovedDoc>(&kv.value).ok());
    let Some(approved) = approved.filter(|doc| doc.approver != written.author) else {
        return Err(OperatorError::NotApproved { version: version.into() });
    };
    log::debug!("event=bundle.roll version={version} approver={}", approved.approver);
    let before = store.read(CURRENT_KEY).await?;
    let held = current_doc(&before);
    let is_restored = held.as_ref().is_some_and(|doc| is_restored(doc, &before));
    let mut next = next_current(&before, operator, version);
    next.number = next.number.max(served + 1);
    let number = publish_at(store, before.position(), next).await?;
    Ok(Publication { number, held: held.map_or(0, |doc| doc.number), is_restored })
}

/// Evacuates a failure domain, or returns it to service; returns the number of the evacuation in force.
///
/// # Errors
///
/// Returns [`OperatorError::NotPublished`] before the first publication, [`OperatorError::Busy`] if the document was
/// changed concurrently each time, or the error of the store.
pub async fn set_evacuated(store: &dyn Store, domain: &str, evacuated: bool) -> Result<u64, OperatorError> {
    for _ in 0..TRIES {
        let found = store.read(CURRENT_KEY).await?;
        let Some(mut doc) = current_doc(&found) else {
            return Err(OperatorError::NotPublished);
        };
        if doc.evacuation.covers(domain) == evacuated {
            return Ok(doc.evacuation.number);
        }
        match evacuated {
            true => doc.evacuation.domains.insert(Arc::from(domain)),
            false => doc.evacuation.domains.remove(domain),
        };
        doc.evacuation.number += 1;
        let value = serde_json::to_vec(&doc).unwrap_or_default();
        match store.swap(CURRENT_KEY, Some(found.position()), value).await {
            Ok(SwapOutcome::At(_)) => return Ok(doc.evacuation.number),
            // Only the store shows whether the write took effect and what others wrote.
            Ok(SwapOutcome::Refused) | Err(StoreError::Lost { .. }) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(OperatorError::Busy)
}

/// Reads the document in force, if a bundle was published.
///
/// # Errors
///
/// Returns the error of the store.
pub async fn current(store: &dyn Store) -> Result<Option<CurrentDoc>, OperatorError> {
    Ok(current_doc(&store.read(CURRENT_KEY).await?))
}

/// Reads a written bundle and checks it against its version.
///
/// # Errors
///
/// Returns an error if the bundle does not exist or is damaged, or the error of the store.
pub async fn read_text(store: &dyn Store, version: &str) -> Result<WrittenDoc, OperatorError> {
    let Some(kv) = store.read(&text_key(version)).await?.value else {
        return Err(OperatorError::NotFound { version: version.into() });
    };
    let doc = serde_json::from_slice::<WrittenDoc>(&kv.value).ok();
    doc.filter(|doc| version_of(&doc.text) == version).ok_or_else(|| OperatorError::Damaged { version: version.into() })
}

/// Parses the document in force, if there is a valid one.
fn current_doc(found: &ReadResult) -> Option<CurrentDoc> {
    found.value.as_ref().and_then(|kv| serde_json::from_slice(&kv.value).ok())
}

/// Returns whether the name of the store's history shows that the store was restored from a copy after a document was
/// written.
fn is_restored(doc: &CurrentDoc, found: &ReadResult) -> bool {
    doc.history.is_some() && found.history.is_some() && doc.history != found.history
}

fn next_current(before: &ReadResult, operator: &str, version: &str) -> CurrentDoc {
    let doc = current_doc(before);
    // A number that the copy lacks may be in force at nodes, which accept no other bundle under it.
    let lost_max = doc.as_ref().filter(|doc| is_restored(doc, before)).map_or(0, |_| LOST_PUBLICATIONS_MAX);
    let mut history = Vec::new();
    let mut number = 1;
    let mut evacuation = Evacuation::default();
    if let Some(doc) = doc {
        number = doc.number + lost_max + 1;
        evacuation = doc.evacuation.clone();
        history.push(doc.published());
        history.extend(doc.before);
        history.truncate(HISTORY_MAX);
    }
    CurrentDoc {
        number,
        version: version.into(),
        operator: operator.into(),
        rolled_ms: wall_us() / 1000,
        before: history,
        evacuation,
        history: before.history,
        restored: false,
    }
}

async fn publish_at(store: &dyn Store, mut expected: Position, mut next: CurrentDoc) -> Result<u64, OperatorError> {
    for _ in 0..TRIES {
        let value = serde_json::to_vec(&next).unwrap_or_default();
        match store.swap(CURRENT_KEY, Some(expected), value).await {
            Ok(SwapOutcome::At(_)) => return Ok(next.number),
            Ok(SwapOutcome::Refused) | Err(StoreError::Lost { .. }) => {}
            Err(error) => return Err(error.into()),
        }
        // Only the store shows whether the write took effect.
        let Ok(found) = store.read(CURRENT_KEY).await else {
            continue;
        };
        let position = found.position();
        match current_doc(&found) {
            Some(doc) if is_current(&doc, &next) => return Ok(next.number),
            Some(doc) if doc.before.iter().any(|old| is_same_publication(old, &next)) => return Ok(next.number),
            Some(doc) if doc.number < next.number => {
                // Only the evacuation has changed in between.
                next.evacuation = doc.evacuation;
                expected = position;
            }
            Some(doc) if doc.restored || is_predecessor_renumbered(&doc, &next) => {
                // No operator was faster: a node has rewritten a publication that the store had lost, or given the one
                // that this one follows a higher number.
                let onto = next_current(&found, &next.operator, &next.version);
                next = CurrentDoc { number: onto.number.max(next.number), rolled_ms: next.rolled_ms, ..onto };
                expected = position;
            }
            Some(doc) if position != expected => {
                return Err(OperatorError::RaceLost { winner: doc.operator, version: doc.version, number: doc.number });
            }
            Some(_) | None => {}
        }
    }
    let reason = "the publication was not answered and could not be read back".to_owned();
    Err(StoreError::Lost { reason }.into())
}

fn is_current(doc: &CurrentDoc, next: &CurrentDoc) -> bool {
    (doc.number, doc.rolled_ms, &doc.operator) == (next.number, next.rolled_ms, &next.operator)
}

/// Returns whether a document holds the publication that the next one follows, under a higher number.
fn is_predecessor_renumbered(doc: &CurrentDoc, next: &CurrentDoc) -> bool {
    next.before.first().is_some_and(|last| {
        doc.number > last.number && PublishedDoc { number: last.number, ..doc.published() } == *last
    })
}

fn is_same_publication(old: &PublishedDoc, next: &CurrentDoc) -> bool {
    old.number == next.number && old.rolled_ms == next.rolled_ms && old.operator == next.operator
}

/// Writes a text again that the store has lost and nodes still have.
///
/// Two operators agreed on it before it came into force, so the approval of any operator counts as that of a second
/// one.
///
/// # Errors
///
/// Returns the error of the store.
pub async fn restore_text(store: &dyn Store, text: &str) -> Result<(), OperatorError> {
    let doc = WrittenDoc { author: RESTORED_AUTHOR.into(), written_ms: wall_us() / 1000, text: text.into() };
    create(store, &text_key(&version_of(text)), &doc).await
}

/// Creates a document that never changes; succeeds also if it exists already.
async fn create<T: serde::Serialize>(store: &dyn Store, key: &str, doc: &T) -> Result<(), OperatorError> {
    let value = serde_json::to_vec(doc).unwrap_or_default();
    let mut last = StoreError::Lost { reason: "not tried".into() };
    for _ in 0..TRIES {
        match store.swap(key, None, value.clone()).await {
            Ok(SwapOutcome::At(_) | SwapOutcome::Refused) => return Ok(()),
            Err(error @ StoreError::Lost { .. }) => last = error,
            Err(error) => return Err(error.into()),
        }
        if matches!(store.read(key).await, Ok(ReadResult { value: Some(_), .. })) {
            return Ok(());
        }
    }
    Err(last.into())
}
