//! What a node knows of the upstream beside it.

use std::sync::Arc;

/// Ids of earlier starts that are remembered: a delayed announcement may come after several starts,
/// and with one every some seconds these last for a minute or more.
const FORMER_MAX: usize = 32;
/// An id that was taken for an earlier start is believed again when the present one has been silent
/// for this long, in microseconds: more than one pause between heartbeats, which a living upstream
/// sends every second or two.
const SILENT_US: u64 = 2_500_000;

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

/// An earlier start of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
struct FormerStart {
    id: Arc<str>,
    /// Whether it said that it leaves, so that it is gone for good.
    left: bool,
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
    /// When the present id was last heard, in microseconds.
    heard_us: u64,
    /// Earlier starts, the oldest first; what still comes of them is late.
    former: Vec<FormerStart>,
}

impl UpstreamState {
    /// Makes the state of an upstream that announces nothing and always takes work.
    pub fn unannounced() -> Self {
        Self { phase: UpstreamPhase::Ready, ..Self::unknown() }
    }

    /// Makes the state of an upstream of which nothing was heard yet.
    pub fn unknown() -> Self {
        Self {
            id: None,
            phase: UpstreamPhase::Unknown,
            slots: None,
            cold_until_us: 0,
            sequence: 0,
            heard_us: 0,
            former: Vec::new(),
        }
    }

    /// Takes an announcement that came at `now_us`; returns whether the state changed.
    ///
    /// An upstream never comes back under an id that has left: the phase of one id only goes
    /// forward, and announcements that were overtaken by later ones change nothing.
    pub fn take(&mut self, news: &Announcement, now_us: u64) -> bool {
        let is_other = self.id.as_ref() != Some(&news.id);
        if is_other && self.is_late(news, now_us) {
            return false;
        }
        let before = self.clone();
        if is_other {
            let former = self.with_present_start(news);
            *self = Self { id: Some(news.id.clone()), former, ..Self::unknown() };
        }
        self.heard_us = now_us;
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
        (&self.id, self.phase, self.slots, self.cold_until_us)
            != (&before.id, before.phase, before.slots, before.cold_until_us)
    }

    /// Returns whether news of an id that is not the present one come from an earlier start.
    ///
    /// An id that was first heard late, after a start that came later had announced itself to another
    /// life of the node, looks like the newest; it then stays silent, and the living one is heard.
    fn is_late(&self, news: &Announcement, now_us: u64) -> bool {
        let silent = now_us.saturating_sub(self.heard_us) > SILENT_US;
        match self.former.iter().find(|former| former.id == news.id) {
            Some(former) => former.left || !news.ready || !silent,
            // No start begins by leaving.
            None => !news.ready && self.phase == UpstreamPhase::Ready && !silent,
        }
    }

    /// Returns the earlier starts with the present one as the latest, without the one that is heard.
    fn with_present_start(&mut self, news: &Announcement) -> Vec<FormerStart> {
        let mut former = std::mem::take(&mut self.former);
        former.retain(|start| start.id != news.id);
        let left = self.phase == UpstreamPhase::Leaving;
        former.extend(self.id.take().map(|id| FormerStart { id, left }));
        let over = former.len().saturating_sub(FORMER_MAX);
        former.drain(..over);
        former
    }
}
