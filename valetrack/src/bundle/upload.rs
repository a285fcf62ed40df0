//! Decides to which nodes this one sends the text of a bundle itself, without I/O.
//!
//! A node sends the text to a few nodes at a time and refers the others to these, so that the copies spread over the
//! links of all nodes. Between two regions the text crosses once for each node that sends it.

use std::sync::Arc;

use crate::link::peer::Target;

/// Transfers at a time: fewer let the first copies arrive sooner, and one alone would wait for a slow receiver.
const UPLOADS_MAX: usize = 2;
/// Transfers at a time, including those to relays, on which many nodes wait, and to nodes that the ones they were referred
/// to did not serve.
const PREFERRED_MAX: usize = 2 * UPLOADS_MAX;
/// A transfer without a request for its next part for this long has ended.
const IDLE_US: u64 = 1_000_000;
/// Time for which other nodes are referred to one that has received the text.
const REFERENCE_US: u64 = 10_000_000;
/// Number of nodes that one reply refers to.
const REFERENCES_MAX: usize = 2;

/// A node that requests the text of a bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Receiver {
    /// The node.
    pub node: Target,
    /// Whether it is in another region than this node.
    pub is_far: bool,
    /// Whether it is a relay.
    pub is_relay: bool,
    /// Whether the nodes that it was referred to did not serve it.
    pub insists: bool,
}

/// A transfer, in progress or complete.
#[derive(Debug)]
struct Transfer {
    to: Receiver,
    /// When the receiver last requested a part, in microseconds.
    requested_us: u64,
    is_complete: bool,
    /// Number of nodes that were referred to the receiver.
    references: u32,
}

impl Transfer {
    fn is_active(&self, now_us: u64) -> bool {
        !self.is_complete && now_us < self.requested_us + IDLE_US
    }

    fn may_serve(&self, now_us: u64) -> bool {
        self.is_active(now_us) || (self.is_complete && now_us < self.requested_us + REFERENCE_US)
    }
}

/// Reply to a request for the text.
#[derive(Debug, PartialEq, Eq)]
pub enum UploadDecision {
    /// Send the requested part.
    Send,
    /// Refer the node to these ones.
    Refer(Vec<Target>),
}

/// The transfers of the latest text from this node.
#[derive(Debug, Default)]
pub struct Uploads {
    version: Arc<str>,
    transfers: Vec<Transfer>,
}

impl Uploads {
    /// Decides whether a node is sent a part of the text of this version; `begins` says whether it is the first part.
    pub fn decide(&mut self, version: &Arc<str>, to: &Receiver, begins: bool, now_us: u64) -> UploadDecision {
        if self.version != *version {
            *self = Self { version: version.clone(), transfers: Vec::new() };
        }
        if let Some(transfer) = self.transfers.iter_mut().find(|transfer| transfer.to.node == to.node) {
            if !begins || to.insists || transfer.is_active(now_us) {
                transfer.requested_us = now_us;
                return UploadDecision::Send;
            }
            // It has lost the text, or begins again.
            self.transfers.retain(|transfer| transfer.to.node != to.node);
        }
        let active = self.transfers.iter().filter(|transfer| transfer.is_active(now_us)).count();
        let is_crossed = to.is_far && self.transfers.iter().any(|transfer| transfer.to.is_far);
        let serves = match () {
            () if !begins => true,
            () if to.insists => active < PREFERRED_MAX,
            () if is_crossed => false,
            () => active < if to.is_relay { PREFERRED_MAX } else { UPLOADS_MAX },
        };
        if !serves {
            let references = self.refer(to, now_us);
            if !references.is_empty() {
                return UploadDecision::Refer(references);
            }
        }
        let transfer = Transfer { to: to.clone(), requested_us: now_us, is_complete: false, references: 0 };
        self.transfers.push(transfer);
        UploadDecision::Send
    }

    /// Records that the last part has arrived at a node.
    pub fn on_complete(&mut self, node: &Target) {
        if let Some(transfer) = self.transfers.iter_mut().find(|transfer| transfer.to.node == *node) {
            transfer.is_complete = true;
        }
    }

    /// Returns the nodes that have received the text or are about to, those in the receiver's region and those with the
    /// fewest references first.
    fn refer(&mut self, to: &Receiver, now_us: u64) -> Vec<Target> {
        let mut usable: Vec<&mut Transfer> =
            self.transfers.iter_mut().filter(|transfer| transfer.may_serve(now_us)).collect();
        usable.sort_by_key(|transfer| (transfer.to.is_far != to.is_far, transfer.references));
        usable.truncate(REFERENCES_MAX);
        if let Some(first) = usable.first_mut() {
            first.references += 1;
        }
        usable.iter().map(|transfer| transfer.to.node.clone()).collect()
    }
}
