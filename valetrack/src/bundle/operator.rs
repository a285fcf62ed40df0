//! What operators do: write, approve, roll; each safe against a race and a lost answer.

use std::sync::Arc;

use snafu::Snafu;

use super::check::check;
use super::message::{
    ApprovedDoc, CURRENT_KEY, CurrentDoc, Fault, HISTORY_MAX, RolledDoc, WrittenDoc, approval_key, text_key, version_of,
};
use crate::clock::wall_us;
use crate::code::Code;
use crate::member::Evacuation;
use crate::store::{Found, Position, Store, StoreError, Written};

/// Rolls that a copy may lack at the most: those of some 47 days at 21,000 a day.
const LOST_ROLLS_MAX: u64 = 1_000_000;
/// Author of a text that a node has written again, in place of an operator's name.
const RESTORED_AUTHOR: &str = "(restored by a node)";
/// How often a write whose answer was lost is read back and tried again.
const TRIES: usize = 5;

/// How an operator's command may fail.
#[derive(Debug, Snafu)]
pub enum OperatorError {
    /// The text has faults, so nothing was written.
    #[snafu(display("the bundle has {} faults and was not written", faults.len()))]
    Faulty {
        /// All of them.
        faults: Vec<Fault>,
    },
    /// No bundle of this version was written.
    #[snafu(display("no bundle {version} was written"))]
    NotFound {
        /// The version.
        version: String,
    },
    /// The stored text is not what its version says.
    #[snafu(display("the stored text of {version} does not match it"))]
    Damaged {
        /// The version.
        version: String,
    },
    /// Nobody has approved the bundle.
    #[snafu(display("bundle {version} was approved by nobody yet"))]
    NotApproved {
        /// The version.
        version: String,
    },
    /// The author wanted to approve it.
    #[snafu(display("bundle {version} was written by {operator}, who cannot approve it"))]
    SelfApproval {
        /// The version.
        version: String,
        /// Who tried.
        operator: String,
    },
    /// Somebody else rolled in between.
    #[snafu(display("{winner} rolled bundle {version} as number {number} first"))]
    RaceLost {
        /// Who was faster.
        winner: String,
        /// What was rolled.
        version: String,
        /// Its number.
        number: u64,
    },
    /// No bundle was rolled yet.
    #[snafu(display("no bundle was rolled yet"))]
    NotRolled,
    /// Others changed the document in force at each try.
    #[snafu(display("others changed the document in force at each try"))]
    Busy,
    /// The store failed.
    #[snafu(display("{source}"))]
    Store {
        /// How.
        source: StoreError,
    },
}

impl OperatorError {
    /// Returns the numbered code.
    pub const fn code(&self) -> Code {
        match self {
            Self::Faulty { .. } => Code::BundleValueInvalid,
            Self::NotFound { .. } | Self::NotRolled => Code::BundleNotFound,
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
/// Writing the same text again changes nothing, whoever does it.
///
/// # Errors
///
/// Returns [`OperatorError::Faulty`] with every fault, or how the store failed.
pub async fn write(store: &dyn Store, operator: &str, text: &str) -> Result<String, OperatorError> {
    check(text).map_err(|faults| OperatorError::Faulty { faults })?;
    let version = version_of(text);
    let doc = WrittenDoc { author: operator.into(), written_ms: wall_us() / 1000, text: text.into() };
    create(store, &text_key(&version), &doc).await?;
    Ok(version)
}

/// Approves a written bundle as somebody else than its author.
///
/// # Errors
///
/// Returns why the bundle cannot be approved, or how the store failed.
pub async fn approve(store: &dyn Store, operator: &str, version: &str) -> Result<(), OperatorError> {
    let written = read_text(store, version).await?;
    if written.author == operator {
        return Err(OperatorError::SelfApproval { version: version.into(), operator: operator.into() });
    }
    let doc = ApprovedDoc { approver: operator.into(), approved_ms: wall_us() / 1000 };
    create(store, &approval_key(version), &doc).await?;
    Ok(())
}

/// What a roll found, and what it wrote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rolled {
    /// Number of the roll.
    pub number: u64,
    /// Number that the store held before; zero where it held none.
    pub held: u64,
    /// Whether the store calls its history by another name than at the roll before.
    pub is_restored: bool,
}

/// Rolls an approved bundle; returns its number.
///
/// # Errors
///
/// Returns [`OperatorError::RaceLost`] with the winner when somebody else rolled in between, why
/// the bundle cannot be rolled, or how the store failed.
pub async fn roll(store: &dyn Store, operator: &str, version: &str) -> Result<u64, OperatorError> {
    Ok(roll_over(store, operator, version, 0).await?.number)
}

/// Rolls an approved bundle under a number that is higher than what the store holds and than `served`, the highest that
/// nodes are known to serve.
///
/// # Errors
///
/// As [`roll`].
pub async fn roll_over(store: &dyn Store, operator: &str, version: &str, served: u64) -> Result<Rolled, OperatorError> {
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
    let number = roll_at(store, before.position(), next).await?;
    Ok(Rolled { number, held: held.map_or(0, |doc| doc.number), is_restored })
}

/// Evacuates a failure domain, or returns it to service; returns the number of the evacuation in force.
///
/// # Errors
///
/// Returns [`OperatorError::NotRolled`] before the first roll, [`OperatorError::Busy`] where others
/// changed the document each time, or how the store failed.
pub async fn set_evacuated(store: &dyn Store, domain: &str, evacuated: bool) -> Result<u64, OperatorError> {
    for _ in 0..TRIES {
        let found = store.read(CURRENT_KEY).await?;
        let Some(mut doc) = current_doc(&found) else {
            return Err(OperatorError::NotRolled);
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
            Ok(Written::At(_)) => return Ok(doc.evacuation.number),
            // Whether it took effect, and what others wrote, stands in the store alone.
            Ok(Written::Refused) | Err(StoreError::Lost { .. }) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Err(OperatorError::Busy)
}

/// Reads the bundle in force, if one was rolled.
///
/// # Errors
///
/// Returns how the store failed.
pub async fn current(store: &dyn Store) -> Result<Option<CurrentDoc>, OperatorError> {
    Ok(current_doc(&store.read(CURRENT_KEY).await?))
}

/// Reads a written bundle and holds it against its version.
///
/// # Errors
///
/// Returns that it does not exist or is damaged, or how the store failed.
pub async fn read_text(store: &dyn Store, version: &str) -> Result<WrittenDoc, OperatorError> {
    let Some(kv) = store.read(&text_key(version)).await?.value else {
        return Err(OperatorError::NotFound { version: version.into() });
    };
    let doc = serde_json::from_slice::<WrittenDoc>(&kv.value).ok();
    doc.filter(|doc| version_of(&doc.text) == version).ok_or_else(|| OperatorError::Damaged { version: version.into() })
}

/// Reads the document in force, if there is one that can be read.
fn current_doc(found: &Found) -> Option<CurrentDoc> {
    found.value.as_ref().and_then(|kv| serde_json::from_slice(&kv.value).ok())
}

/// Returns whether the store was restored from a copy since a document was written, as far as its name shows.
fn is_restored(doc: &CurrentDoc, found: &Found) -> bool {
    doc.history.is_some() && found.history.is_some() && doc.history != found.history
}

fn next_current(before: &Found, operator: &str, version: &str) -> CurrentDoc {
    let doc = current_doc(before);
    // A number that the copy lacks may be in force at nodes, and they take nothing else under it.
    let lost_max = doc.as_ref().filter(|doc| is_restored(doc, before)).map_or(0, |_| LOST_ROLLS_MAX);
    let mut history = Vec::new();
    let mut number = 1;
    let mut evacuation = Evacuation::default();
    if let Some(doc) = doc {
        number = doc.number + lost_max + 1;
        evacuation = doc.evacuation.clone();
        history.push(doc.rolled());
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

async fn roll_at(store: &dyn Store, mut expected: Position, mut next: CurrentDoc) -> Result<u64, OperatorError> {
    for _ in 0..TRIES {
        let value = serde_json::to_vec(&next).unwrap_or_default();
        match store.swap(CURRENT_KEY, Some(expected), value).await {
            Ok(Written::At(_)) => return Ok(next.number),
            Ok(Written::Refused) | Err(StoreError::Lost { .. }) => {}
            Err(error) => return Err(error.into()),
        }
        // Whether it took effect stands in the store alone.
        let Ok(found) = store.read(CURRENT_KEY).await else {
            continue;
        };
        let position = found.position();
        match current_doc(&found) {
            Some(doc) if is_current(&doc, &next) => return Ok(next.number),
            Some(doc) if doc.before.iter().any(|old| is_roll(old, &next)) => return Ok(next.number),
            Some(doc) if doc.number < next.number => {
                // Only an evacuation has changed meanwhile.
                next.evacuation = doc.evacuation;
                expected = position;
            }
            Some(doc) if doc.restored => {
                // No operator was faster: a node has written what the store had lost, and this roll comes after it.
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
    let reason = "no answer to the roll, and it could not be read back".to_owned();
    Err(StoreError::Lost { reason }.into())
}

fn is_current(doc: &CurrentDoc, next: &CurrentDoc) -> bool {
    (doc.number, doc.rolled_ms, &doc.operator) == (next.number, next.rolled_ms, &next.operator)
}

fn is_roll(old: &RolledDoc, next: &CurrentDoc) -> bool {
    old.number == next.number && old.rolled_ms == next.rolled_ms && old.operator == next.operator
}

/// Writes the text of a bundle again that the store has lost, as nodes have it.
///
/// Two operators have agreed on it before it was in force, so whoever approves it again does so as a second one.
///
/// # Errors
///
/// Returns how the store failed.
pub async fn restore_text(store: &dyn Store, text: &str) -> Result<(), OperatorError> {
    let doc = WrittenDoc { author: RESTORED_AUTHOR.into(), written_ms: wall_us() / 1000, text: text.into() };
    create(store, &text_key(&version_of(text)), &doc).await
}

/// Creates a document that never changes; one that is there already is as good.
async fn create<T: serde::Serialize>(store: &dyn Store, key: &str, doc: &T) -> Result<(), OperatorError> {
    let value = serde_json::to_vec(doc).unwrap_or_default();
    let mut last = StoreError::Lost { reason: "not tried".into() };
    for _ in 0..TRIES {
        match store.swap(key, None, value.clone()).await {
            Ok(Written::At(_) | Written::Refused) => return Ok(()),
            Err(error @ StoreError::Lost { .. }) => last = error,
            Err(error) => return Err(error.into()),
        }
        if matches!(store.read(key).await, Ok(Found { value: Some(_), .. })) {
            return Ok(());
        }
    }
    Err(last.into())
}
