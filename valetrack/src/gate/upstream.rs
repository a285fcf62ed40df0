//! What a node knows of the upstream beside it.

use std::sync::Arc;

/// Whether the upstream takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// Nothing was heard of it in this life of the node.
    Unknown,
    /// It takes work.
    Ready,
    /// It takes no new work.
    Leaving,
}

/// One announcement of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Id of this start of the upstream.
    pub id: Arc<str>,
    /// Rises with each announcement of one id; none for one that closes the row.
    pub sequence: Option<u64>,
    /// Whether it takes work.
    pub ready: bool,
    /// Calls that it runs at once, if it says so.
    pub slots: Option<u16>,
    /// How much longer it is slow from its start, in milliseconds.
    pub cold_ms: u64,
}

/// State of the upstream as its announcements tell it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamState {
    /// Id of its present start; none before the first announcement, and where upstreams have none.
    pub id: Option<Arc<str>>,
    /// Whether it takes work.
    pub phase: UpstreamPhase,
    /// Calls that it runs at once, where it says so itself.
    pub slots: Option<u16>,
    /// When it stops being slow from its start, on the monotonic clock, in microseconds.
    pub cold_until_us: u64,
    /// Highest sequence number heard of this id.
    sequence: u64,
    /// The id that was here before; what still comes of it is late.
    previous: Option<Arc<str>>,
}

impl UpstreamState {
    /// Makes the state of an upstream that announces nothing and always takes work.
    pub fn unannounced() -> Self {
        Self { phase: UpstreamPhase::Ready, ..Self::unknown() }
    }

    /// Makes the state of an upstream of which nothing was heard yet.
    pub fn unknown() -> Self {
        Self { id: None, phase: UpstreamPhase::Unknown, slots: None, cold_until_us: 0, sequence: 0, previous: None }
    }

    /// Takes an announcement that came at `now_us`; returns whether the state changed.
    ///
    /// An upstream never comes back under an id that has left: the phase of one id only goes
    /// forward, and announcements that were overtaken by later ones change nothing.
    pub fn take(&mut self, news: &Announcement, now_us: u64) -> bool {
        if self.previous.as_ref() == Some(&news.id) {
            return false;
        }
        let before = self.clone();
        if self.id.as_ref() != Some(&news.id) {
            let previous = self.id.take();
            *self = Self { id: Some(news.id.clone()), previous, ..Self::unknown() };
        }
        match news.sequence {
            Some(sequence) if sequence <= self.sequence && self.phase != UpstreamPhase::Unknown => return false,
            Some(sequence) => self.sequence = sequence,
            None => {}
        }
        if news.ready && self.phase != UpstreamPhase::Leaving {
            self.phase = UpstreamPhase::Ready;
        } else if !news.ready {
            self.phase = UpstreamPhase::Leaving;
        }
        self.slots = news.slots.or(self.slots);
        // The end of the cold time is kept as first told; later words differ by the way they took.
        if news.cold_ms > 0 && self.cold_until_us == 0 {
            self.cold_until_us = now_us + news.cold_ms * 1000;
        }
        Self { sequence: before.sequence, ..self.clone() } != before
    }
}
