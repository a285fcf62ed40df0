//! Reports that nodes exchange about their pages and the store's history.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::continuity::{Attestation, Continuity};

/// A node's report about its pages, as part of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClaimReport {
    /// The node's attestation of the store's history; `None` before the store has answered it.
    pub history: Option<Attestation>,
    /// Whether the node's first connection to the store since its start is still open.
    pub is_first_contact: bool,
    /// Bitmask of the pages of its service for which the node may have recorded keys that the store lacks.
    pub remembers: u8,
    /// Whether the node has pages that may lack keys and requests reports of the other nodes.
    pub is_asking: bool,
}

/// The state that a node's reports are made from.
#[derive(Debug, Clone, Default)]
pub struct ClaimState {
    /// The store's history.
    pub continuity: Continuity,
    /// See [`ClaimReport::remembers`].
    pub remembers: u8,
    /// See [`ClaimReport::is_asking`].
    pub is_asking: bool,
}

impl ClaimState {
    /// Returns the report for a message that is sent at `now_us`.
    pub fn news(&self, now_us: u64) -> ClaimReport {
        ClaimReport {
            history: self.continuity.attestation(now_us),
            is_first_contact: self.continuity.is_first(),
            remembers: self.remembers,
            is_asking: self.is_asking,
        }
    }
}

/// The last report of another node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerReport {
    /// Incarnation of the node.
    pub incarnation: u64,
    /// When the request was sent that the node answered. The report was made after that time.
    pub asked_us: u64,
    /// The report.
    pub news: ClaimReport,
}

/// The last reports of all other nodes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerClaims {
    replies: BTreeMap<Arc<str>, PeerReport>,
    /// When a node last requested reports.
    requested_us: u64,
}

impl PeerClaims {
    /// Records a node's reply to a request.
    pub fn reply(&mut self, vm: &Arc<str>, reply: PeerReport, now_us: u64) {
        self.note_asking(reply.news, now_us);
        self.replies.insert(vm.clone(), reply);
    }

    /// Records an unrequested report. It may be much older than its arrival, so only its request for reports counts.
    pub fn note_asking(&mut self, news: ClaimReport, now_us: u64) {
        if news.is_asking {
            self.requested_us = now_us;
        }
    }

    /// Returns when a node last requested reports.
    pub fn requested_us(&self) -> u64 {
        self.requested_us
    }

    /// Returns the last reply of a node.
    pub fn of(&self, vm: &str) -> Option<&PeerReport> {
        self.replies.get(vm)
    }

    /// Returns the last replies of all nodes.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &PeerReport)> {
        self.replies.iter()
    }
}
