//! Stages of a node's life that its threads tell each other of.

use tokio::sync::watch;

/// One switch for each stage; each turns true once and stays so.
pub(super) struct Stages {
    /// A bundle is in force, so this node takes work.
    pub(super) serving: watch::Sender<bool>,
    /// This node leaves.
    pub(super) leaving: watch::Sender<bool>,
    /// The gate holds no call any more.
    pub(super) drained: watch::Sender<bool>,
    /// Every page is handed over.
    pub(super) released: watch::Sender<bool>,
    /// No caller is connected any more.
    pub(super) emptied: watch::Sender<bool>,
    /// This node is about to exit.
    pub(super) exiting: watch::Sender<bool>,
    /// Other nodes were told that this one exits.
    pub(super) departed: watch::Sender<bool>,
    /// All threads are to end.
    pub(super) closing: watch::Sender<bool>,
}

impl Stages {
    /// Makes the stages of a node that has just started.
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
