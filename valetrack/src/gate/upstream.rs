//! What a node knows of the upstream beside it.

use std::sync::Arc;

/// Ids of earlier starts that are remembered: a delayed announcement may come after several starts,
/// and with one every some seconds these last for a minute or more.
const FORMER_MAX: usize = 32;
/// An id that was taken for an earlier start is believed again when the present one has been silent
/// for this long, in microseconds: more than one pause between heartbeats, which a living upstream
/// sends every second or two.
const SILENT_US: u64 = 2_500_000;
/// Ends of a cold time that are told this much later are those of the same one, in microseconds:
/// announcements take some milliseconds, and a node that is short of processor time reads them late.
const COLD_JITTER_US: u64 = 200_000;

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
    /// Id of the upstream; one that starts again may keep it.
    pub id: Arc<str>,
    /// When this start of it began by its own clock, in milliseconds since 1970; none where it does not
    /// say. The clock may have been set back since an earlier start.
    pub born_ms: Option<u64>,
    /// Rises with each announcement of one start; none for one that closes the row.
    pub sequence: Option<u64>,
    /// Whether it takes work.
    pub ready: bool,
    /// Calls that it runs at once, if it says so.
    pub slots: Option<u16>,
    /// Version of its software, if it says so.
    pub version: Option<Arc<str>>,
    /// How much longer it is cold, in milliseconds.
    pub cold_ms: u64,
}

/// An earlier start of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
struct FormerStart {
    id: Arc<str>,
    born_ms: Option<u64>,
    /// Whether it said that it leaves, so that it is gone for good.
    left: bool,
}

/// State of the upstream as its announcements tell it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamState {
    /// Id of its present start; none before the first announcement, and where upstreams have none.
    pub id: Option<Arc<str>>,
    /// Counts its starts as far as they were heard of.
    pub start: u64,
    /// Whether it takes work.
    pub phase: UpstreamPhase,
    /// Calls that it runs at once, where it says so itself.
    pub slots: Option<u16>,
    /// Version of its software, where it says so.
    pub version: Option<Arc<str>>,
    /// When it stops being cold, on the monotonic clock, in microseconds.
    pub cold_until_us: u64,
    /// When its present start began, by its own clock.
    born_ms: Option<u64>,
    /// Highest sequence number heard of this start.
    sequence: u64,
    /// When the present start was last heard, in microseconds.
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
            start: 0,
            phase: UpstreamPhase::Unknown,
            slots: None,
            version: None,
            cold_until_us: 0,
            born_ms: None,
            sequence: 0,
            heard_us: 0,
            former: Vec::new(),
        }
    }

    /// Takes an announcement that came at `now_us`; returns whether the state changed.
    ///
    /// A start that has left never comes back: the phase of one start only goes forward, and
    /// announcements that were overtaken by later ones change nothing.
    pub fn take(&mut self, news: &Announcement, now_us: u64) -> bool {
        let is_other = !self.is_present(news);
        if is_other && self.is_late(news, now_us) {
            return false;
        }
        let before = self.clone();
        if is_other {
            let former = self.with_present_start(news);
            *self = Self { id: Some(news.id.clone()), start: self.start + 1, former, ..Self::unknown() };
        }
        self.born_ms = news.born_ms.or(self.born_ms);
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
        self.version = news.version.clone().or_else(|| self.version.take());
        self.take_cold(news.cold_ms, now_us);
        (self.start, self.phase, self.slots, self.cold_until_us, &self.version)
            != (before.start, before.phase, before.slots, before.cold_until_us, &before.version)
    }

    /// Takes how much longer the upstream is cold.
    ///
    /// The end of one cold time is kept as first told, since later words differ by the way they took;
    /// one that lies further off is that of another cold time.
    fn take_cold(&mut self, cold_ms: u64, now_us: u64) {
        let until_us = now_us + cold_ms * 1000;
        if cold_ms > 0 && until_us > self.cold_until_us + COLD_JITTER_US {
            self.cold_until_us = until_us;
        }
    }

    /// Returns whether news come from the present start.
    fn is_present(&self, news: &Announcement) -> bool {
        self.id.as_ref() == Some(&news.id) && is_same_birth(self.born_ms, news.born_ms)
    }

    /// Returns whether news that are not of the present start come from an earlier one.
    ///
    /// A start that was first heard late, after a later one had announced itself to another life of the
    /// node, may look like the newest, as does one after which the clock was set back; the present one
    /// then stays silent, and the living one is heard.
    fn is_late(&self, news: &Announcement, now_us: u64) -> bool {
        let silent = now_us.saturating_sub(self.heard_us) > SILENT_US;
        let same = |former: &&FormerStart| former.id == news.id && is_same_birth(former.born_ms, news.born_ms);
        if let Some(former) = self.former.iter().find(same) {
            return former.left || !news.ready || !silent;
        }
        match (self.born_ms, news.born_ms) {
            (Some(present_ms), Some(born_ms)) if born_ms > present_ms => false,
            (Some(present_ms), Some(born_ms)) if born_ms < present_ms => !silent,
            // No start begins by leaving.
            (Some(_) | None, Some(_) | None) => !news.ready && self.phase == UpstreamPhase::Ready && !silent,
        }
    }

    /// Returns the earlier starts with the present one as the latest, without the one that is heard.
    fn with_present_start(&mut self, news: &Announcement) -> Vec<FormerStart> {
        let mut former = std::mem::take(&mut self.former);
        former.retain(|start| start.id != news.id || !is_same_birth(start.born_ms, news.born_ms));
        let left = self.phase == UpstreamPhase::Leaving;
        former.extend(self.id.take().map(|id| FormerStart { id, born_ms: self.born_ms, left }));
        let over = former.len().saturating_sub(FORMER_MAX);
        former.drain(..over);
        former
    }
}

/// Returns whether two announcements under one id may be of one start.
fn is_same_birth(known_ms: Option<u64>, told_ms: Option<u64>) -> bool {
    match (known_ms, told_ms) {
        (Some(known_ms), Some(told_ms)) => known_ms == told_ms,
        (Some(_) | None, Some(_) | None) => true,
    }
}
