//! Lifecycle stages of a node, which its threads publish to each other.

use tokio::sync::watch;

/// One flag for each stage; a flag becomes true once and stays true.
pub(super) struct Stages {
    /// A bundle is in force, and the node accepts work.
    pub(super) serving: watch::Sender<bool>,
    /// The node is leaving.
    pub(super) leaving: watch::Sender<bool>,
    /// The gate holds no calls any more.
    pub(super) drained: watch::Sender<bool>,
    /// All claim pages are handed over.
    pub(super) released: watch::Sender<bool>,
    /// No callers are connected any more.
    pub(super) emptied: watch::Sender<bool>,
    /// The node is about to exit.
    pub(super) exiting: watch::Sender<bool>,
    /// The exit of the node was reported to other nodes.
    pub(super) departed: watch::Sender<bool>,
    /// All threads must end.
    pub(super) closing: watch::Sender<bool>,
}

impl Stages {
    /// Returns the stages of a node that has just started.
    pub(super) fn new() -> Self {
        let stage = || watch::Sender::new(false);
        Self {
            serving: stage(),
            leaving: stage(),
            drained: stage(),
            released: stage(),
            emptied: stage(),
            exiting: stage(),
            departed: stage(),
            closing: stage(),
        }
    }
}
