//! Decides from which node the text of a published bundle is requested, without I/O.
//!
//! One request is pending at a time, however many nodes announce the bundle, and the parts that have arrived are kept
//! when the next part is requested from another node.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};

use super::text::PackedText;
use crate::link::message::TEXT_MAX_BYTES;
use crate::link::peer::Target;

/// How long a node that did not reply is not asked again.
const FAILED_US: u64 = 2_000_000;
/// How long a node that has referred this one to others is not asked again.
const REFERRED_US: u64 = 400_000;
/// How long a node that does not have the text yet is not asked again.
const LACKING_US: u64 = 50_000;
/// Time in which a node of the own region is expected to announce the text, before one of another region is asked.
const FAR_DELAY_US: u64 = 1_000_000;
/// Number of reads of the store after which the time between two of them no longer grows: a text that only nodes had which
/// are gone never arrives, and each read has a price.
const STORE_READS_MAX: u32 = 5;
/// Number of nodes that are remembered as sources.
const SOURCES_MAX: usize = 16;

/// A node that has the text, or is about to.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Source {
    node: Target,
    /// The node is not asked before this moment, in microseconds.
    from_us: u64,
}

/// The parts that have arrived.
#[derive(Debug, Clone)]
struct Partial {
    number: u64,
    version: Arc<str>,
    packed_bytes: u32,
    received: BytesMut,
}

/// A part that another node has sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedPart {
    /// Number of the bundle.
    pub number: u64,
    /// Hash of the text.
    pub version: Arc<str>,
    /// Compressed size of the whole text.
    pub packed_bytes: u32,
    /// Offset of the part.
    pub offset: u32,
    /// The part.
    pub body: Bytes,
}

/// Next action of a node that lacks the text of a published bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchStep {
    /// There is nothing to fetch.
    Idle,
    /// Wait until this moment, or until another node is announced.
    Wait {
        /// When `next` is due again; none if only an announcement helps.
        until_us: Option<u64>,
    },
    /// Request a part.
    Request {
        /// The node that is asked.
        from: Target,
        /// Version and offset of the part; none for the first part of any later text.
        part: Option<(Arc<str>, u32)>,
        /// Whether a node that this one was referred to did not serve it.
        insists: bool,
    },
    /// Read the text from the store, since no node has sent it for too long.
    ReadStore,
}

/// State of fetching the latest text.
#[derive(Debug, Default)]
pub struct TextFetch {
    /// Number of the latest bundle that is known to be published.
    wanted: u64,
    /// Number of the latest bundle whose text was here.
    held: u64,
    /// Since when a text is wanted, or when the last part arrived or the store was last read for it, in microseconds.
    since_us: u64,
    sources: Vec<Source>,
    /// Until when nodes are not asked, in microseconds.
    avoided: HashMap<Arc<str>, u64>,
    partial: Option<Partial>,
    insists: bool,
    /// Number of times that the store was read since the last part arrived; each doubles the time until the next.
    store_reads: u32,
}

impl TextFetch {
    /// Records that a node has, or is about to have, the text of the bundle of this number. A node in another region is
    /// asked only after a moment, unless it `is_near` by being the one that this node follows.
    pub fn announce(&mut self, number: u64, node: Target, is_near: bool, now_us: u64) {
        if number <= self.held {
            return;
        }
        if !self.is_wanted() {
            self.since_us = now_us;
        }
        self.wanted = self.wanted.max(number);
        let from_us = if is_near { now_us } else { now_us.max(self.since_us + FAR_DELAY_US) };
        self.add_source(node, from_us);
    }

    /// Returns whether a text is wanted that this node does not have.
    pub fn is_wanted(&self) -> bool {
        self.wanted > self.held
    }

    /// Returns the number above which texts are requested.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Records that the text of the bundle of this number is here.
    pub fn on_text(&mut self, number: u64) {
        self.held = self.held.max(number);
        self.partial = self.partial.take().filter(|partial| partial.number > number);
        if !self.is_wanted() {
            self.sources.clear();
            (self.insists, self.store_reads) = (false, 0);
        }
    }

    /// Returns the next action; the store is read when no node has sent the text for `overdue_us`.
    pub fn next(&mut self, overdue_us: u64, now_us: u64) -> FetchStep {
        if !self.is_wanted() {
            return FetchStep::Idle;
        }
        let read_us = self.since_us.saturating_add(overdue_us.saturating_mul(1 << self.store_reads));
        if now_us >= read_us {
            self.since_us = now_us;
            self.store_reads = (self.store_reads + 1).min(STORE_READS_MAX);
            return FetchStep::ReadStore;
        }
        self.avoided.retain(|_, until_us| now_us < *until_us);
        let due_us = |source: &Source| source.from_us.max(self.avoided.get(&source.node.vm).copied().unwrap_or(0));
        // The latest source is asked first: a node that this one was referred to comes after the one that did so.
        let first = self.sources.iter().rev().min_by_key(|source| due_us(source).max(now_us));
        if let Some(source) = first.filter(|source| due_us(source) <= now_us) {
            let partial = self.partial.as_ref();
            let part = partial.map(|partial| (partial.version.clone(), partial.received.len() as u32));
            return FetchStep::Request { from: source.node.clone(), part, insists: self.insists };
        }
        let next_us = first.map_or(read_us, |source| due_us(source).min(read_us));
        FetchStep::Wait { until_us: (next_us < u64::MAX).then_some(next_us) }
    }

    /// Applies a part; returns the text once all its parts have arrived.
    pub fn on_part(&mut self, part: ReceivedPart, now_us: u64) -> Option<PackedText> {
        if part.number <= self.held || part.packed_bytes as usize > TEXT_MAX_BYTES {
            return None;
        }
        let continues = self.partial.as_ref().is_some_and(|partial| partial.version == part.version);
        if !continues {
            let ReceivedPart { number, packed_bytes, ref version, .. } = part;
            self.partial = Some(Partial { number, version: version.clone(), packed_bytes, received: BytesMut::new() });
        }
        let partial = self.partial.as_mut()?;
        if part.offset as usize == partial.received.len() {
            partial.received.extend_from_slice(&part.body);
        }
        (self.insists, self.since_us, self.store_reads) = (false, now_us, 0);
        if partial.received.len() < partial.packed_bytes as usize {
            return None;
        }
        let Partial { number, version, received, .. } = self.partial.take()?;
        Some(PackedText::from_parts(number, version, received.freeze()))
    }

    /// Records that a node has referred this one to others.
    pub fn on_referred(&mut self, by: &Target, to: Vec<Target>, now_us: u64) {
        self.avoided.insert(by.vm.clone(), now_us + REFERRED_US);
        // The first reference is asked first.
        for node in to.into_iter().rev() {
            self.add_source(node, now_us);
        }
    }

    /// Records that a node does not have the text yet.
    pub fn on_lacking(&mut self, node: &Target, now_us: u64) {
        self.avoided.insert(node.vm.clone(), now_us + LACKING_US);
    }

    /// Records that a node did not reply, or sent a damaged text.
    pub fn on_failed(&mut self, node: &Target, now_us: u64) {
        self.avoided.insert(node.vm.clone(), now_us + FAILED_US);
        self.sources.retain(|source| source.node != *node);
        self.insists = true;
    }

    fn add_source(&mut self, node: Target, from_us: u64) {
        if let Some(known) = self.sources.iter().position(|source| source.node == node) {
            let known = self.sources.remove(known);
            self.sources.push(Source { from_us: from_us.min(known.from_us), ..known });
            return;
        }
        if self.sources.len() == SOURCES_MAX {
            self.sources.remove(0);
        }
        self.sources.push(Source { node, from_us });
    }
}
