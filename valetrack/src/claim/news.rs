//! What nodes tell each other of their pages and of the store's history.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::continuity::{Attestation, Continuity};

/// What a node says of its pages as it sends a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClaimNews {
    /// What it knows of the store's history; none before the store has answered it.
    pub history: Option<Attestation>,
    /// Whether the store has always been in touch with it since it started.
    pub is_first_contact: bool,
    /// Pages of its service of which it may know keys that the store lacks, a bit each.
    pub remembers: u8,
    /// Whether it has pages that may lack keys, and wants to hear of the others.
    pub is_asking: bool,
}

/// What a node last knew to say, before it is put into a message.
#[derive(Debug, Clone, Default)]
pub struct ClaimState {
    /// The store's history.
    pub continuity: Continuity,
    /// See [`ClaimNews::remembers`].
    pub remembers: u8,
    /// See [`ClaimNews::is_asking`].
    pub is_asking: bool,
}

impl ClaimState {
    /// Returns what goes into a message that is sent at `now_us`.
    pub fn news(&self, now_us: u64) -> ClaimNews {
        ClaimNews {
            history: self.continuity.attestation(now_us),
            is_first_contact: self.continuity.is_first(),
            remembers: self.remembers,
            is_asking: self.is_asking,
        }
    }
}

/// What another node has said of its pages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerNews {
    /// Its life.
    pub incarnation: u64,
    /// When the question was sent that it has answered, in microseconds: it spoke later than that.
    pub asked_us: u64,
    /// What it said.
    pub news: ClaimNews,
}

/// What all other nodes have said of their pages.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerClaims {
    heard: BTreeMap<Arc<str>, PeerNews>,
    /// When a node last said that it wants to hear of the others, in microseconds.
    wanted_us: u64,
}

impl PeerClaims {
    /// Takes what a node said in reply to a question.
    pub fn reply(&mut self, vm: &Arc<str>, heard: PeerNews, now_us: u64) {
        self.note_asking(heard.news, now_us);
        self.heard.insert(vm.clone(), heard);
    }

    /// Takes what a node said of its own accord: it may have said so long before it is heard.
    pub fn note_asking(&mut self, news: ClaimNews, now_us: u64) {
        if news.is_asking {
            self.wanted_us = now_us;
        }
    }

    /// Returns when a node last said that it wants to hear of the others, in microseconds.
    pub fn wanted_us(&self) -> u64 {
        self.wanted_us
    }

    /// Returns what a node has said in reply.
    pub fn of(&self, vm: &str) -> Option<&PeerNews> {
        self.heard.get(vm)
    }

    /// Returns all that was said in reply.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &PeerNews)> {
        self.heard.iter()
    }
}
