//! State of this node's upstream, derived from the upstream's announcements.

use std::sync::Arc;

use super::departure::Departure;

/// Number of earlier starts that are remembered. A delayed announcement may arrive after several later starts, and at
/// one start every few seconds this many cover a minute or more.
const EARLIER_STARTS_MAX: usize = 32;
/// An id that was classified as an earlier start is accepted again when the present start has been silent for this
/// long. That is longer than the pause between two heartbeats, which a live upstream sends every second or two.
const SILENCE_MIN_US: u64 = 2_500_000;
/// Two reported ends of a cold period within this distance belong to the same period: announcements take some
/// milliseconds, and a node that is short of processor time reads them late.
const COLD_JITTER_US: u64 = 200_000;
/// Longest delay of an announcement: several times the seconds by which heartbeats may be late.
const DELAY_MAX_US: u64 = 10_000_000;

/// Whether the upstream accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamPhase {
    /// No announcement was received since the node started.
    Unknown,
    /// The upstream accepts work.
    Ready,
    /// The upstream accepts no new work.
    Leaving,
}

/// One announcement of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Id of the upstream; a new start may reuse it.
    pub id: Arc<str>,
    /// Start time by the upstream's own clock, in milliseconds since 1970; `None` if not reported. The clock may have
    /// been set back since an earlier start.
    pub born_ms: Option<u64>,
    /// Sequence number, which increases with each announcement of one start; `None` for a deregistration.
    pub sequence: Option<u64>,
    /// Whether the upstream accepts work.
    pub ready: bool,
    /// Calls that the upstream runs at once, if reported.
    pub slots: Option<u16>,
    /// Version of the upstream's software, if reported.
    pub version: Option<Arc<str>>,
    /// Remaining time for which the upstream is cold.
    pub cold_ms: u64,
    /// Whether it answers a request of this node, and so cannot be older than the node.
    pub is_solicited: bool,
}

impl Announcement {
    /// Returns how the upstream was heard of, in the format of log lines.
    pub fn source(&self) -> &'static str {
        match (self.is_solicited, self.sequence) {
            (true, Some(_)) => "health-check",
            (true, None) => "answer",
            (false, Some(_)) => "heartbeat",
            (false, None) => "deregistration",
        }
    }

    /// Returns whether both may come from the same start.
    fn is_of_start(&self, other: &Self) -> bool {
        self.id == other.id && is_same_start(self.born_ms, other.born_ms)
    }
}

/// An earlier start of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EarlierStart {
    id: Arc<str>,
    born_ms: Option<u64>,
    /// Whether the start announced that it leaves, which is final.
    left: bool,
}

/// State of the upstream according to its announcements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamState {
    /// Id of the present start; `None` before the first announcement, and for upstreams without ids.
    pub id: Option<Arc<str>>,
    /// Number of starts that were observed.
    pub start: u64,
    /// Whether the upstream accepts work.
    pub phase: UpstreamPhase,
    /// Calls that the upstream runs at once, if reported.
    pub slots: Option<u16>,
    /// Version of the upstream's software, if reported.
    pub version: Option<Arc<str>>,
    /// End of the cold period on the monotonic clock.
    pub cold_until_us: u64,
    /// Start time of the present start by its own clock.
    born_ms: Option<u64>,
    /// Highest sequence number received from the present start.
    sequence: u64,
    /// Time at which the present start last announced itself.
    received_us: u64,
    /// Earlier starts, oldest first. Announcements from them are outdated.
    earlier: Vec<EarlierStart>,
    /// Time until which an announcement may have been sent before this node started. An earlier process of the node may
    /// have acknowledged since that the upstream leaves.
    may_be_late_until_us: u64,
    /// Latest announcement of readiness that may have been sent before this node started.
    unconfirmed: Option<Announcement>,
}

impl UpstreamState {
    /// Returns the state of an upstream that sends no announcements and always accepts work.
    pub fn unannounced() -> Self {
        Self { phase: UpstreamPhase::Ready, ..Self::unknown() }
    }

    /// Returns the state of the upstream of a node that has started at `now_us`.
    pub fn at_node_start(now_us: u64) -> Self {
        Self { may_be_late_until_us: now_us + DELAY_MAX_US, ..Self::unknown() }
    }

    /// Returns the state of an upstream from which no announcement was received yet.
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
            received_us: 0,
            earlier: Vec::new(),
            may_be_late_until_us: 0,
            unconfirmed: None,
        }
    }

    /// Returns the present incarnation; `None` if the upstream has no id or has not announced itself yet.
    pub fn incarnation(&self, vm: &Arc<str>) -> Option<Departure> {
        let id = self.id.clone()?;
        Some(Departure { vm: vm.clone(), id, born_ms: self.born_ms })
    }

    /// Returns whether an announcement that arrives at `now_us` was certainly sent after this node started.
    pub fn outlasts_delays(&self, now_us: u64) -> bool {
        now_us >= self.may_be_late_until_us
    }

    /// Returns whether no announcement awaits confirmation.
    pub fn is_confirmed(&self) -> bool {
        self.unconfirmed.is_none()
    }

    /// Returns whether a health check of the upstream would decide whether it accepts work.
    pub fn awaits_health_check(&self, now_us: u64) -> bool {
        let is_doubted = self.unconfirmed.is_some() && !self.outlasts_delays(now_us);
        self.phase == UpstreamPhase::Unknown || is_doubted
    }

    /// Applies an announcement that arrived at `now_us`; returns whether the state changed.
    ///
    /// A start that has left never returns to service: the phase of one start only moves forward, and announcements
    /// that later ones have overtaken change nothing. A start that this node does not know counts as ready only once an
    /// announcement of it is certainly no older than the node.
    pub fn take(&mut self, announcement: &Announcement, now_us: u64) -> bool {
        let is_other = !self.is_present(announcement);
        if is_other && self.is_outdated(announcement, now_us) {
            self.record_departure(announcement);
            return false;
        }
        if is_other && self.may_be_late(announcement, now_us) {
            return self.hold(announcement);
        }
        let unconfirmed = self.take_unconfirmed(announcement);
        if is_other && announcement.is_solicited && unconfirmed.is_none() && self.phase != UpstreamPhase::Unknown {
            // An id that no heartbeat has announced may be that of another service's upstream at this address.
            return false;
        }
        match unconfirmed {
            // Health answers state no start time.
            Some(Announcement { born_ms, .. }) if !announcement.ready => {
                let born_ms = announcement.born_ms.or(born_ms);
                self.apply(&Announcement { born_ms, ..announcement.clone() }, now_us)
            }
            Some(confirmed) => self.apply(announcement, now_us) | self.apply(&confirmed, now_us),
            None => self.apply(announcement, now_us),
        }
    }

    /// Returns whether an announcement of readiness may have been sent before this node started. That of a start later
    /// than one that this node knows was not.
    fn may_be_late(&self, announcement: &Announcement, now_us: u64) -> bool {
        let is_later_start = matches!((self.born_ms, announcement.born_ms), (Some(known), Some(born)) if born > known);
        announcement.ready && !announcement.is_solicited && !is_later_start && !self.outlasts_delays(now_us)
    }

    /// Keeps an announcement until the upstream's answer to a health check confirms it; returns whether it is the first
    /// one of its start.
    fn hold(&mut self, announcement: &Announcement) -> bool {
        let known = self.unconfirmed.as_ref().filter(|known| known.is_of_start(announcement));
        if known.is_some_and(|known| known.sequence >= announcement.sequence) {
            return false;
        }
        let is_first = known.is_none();
        self.unconfirmed = Some(announcement.clone());
        is_first
    }

    /// Removes the unconfirmed announcement if this one decides about it, and returns it if both are of one start.
    fn take_unconfirmed(&mut self, announcement: &Announcement) -> Option<Announcement> {
        let is_same = self.unconfirmed.as_ref().is_some_and(|held| held.is_of_start(announcement));
        if !is_same && !announcement.is_solicited {
            return None;
        }
        self.unconfirmed.take().filter(|_| is_same)
    }

    /// Applies an announcement that is neither outdated nor unconfirmed; returns whether the state changed.
    fn apply(&mut self, announcement: &Announcement, now_us: u64) -> bool {
        let before = self.clone();
        if !self.is_present(announcement) {
            let earlier = self.updated_earlier_starts(announcement);
            *self = Self {
                id: Some(announcement.id.clone()),
                start: self.start + 1,
                earlier,
                may_be_late_until_us: self.may_be_late_until_us,
                unconfirmed: self.unconfirmed.take(),
                ..Self::unknown()
            };
        }
        self.born_ms = announcement.born_ms.or(self.born_ms);
        self.received_us = now_us;
        match announcement.sequence {
            Some(sequence) if sequence <= self.sequence && self.phase != UpstreamPhase::Unknown => return false,
            Some(sequence) => self.sequence = sequence,
            None => {}
        }
        if announcement.ready && self.phase != UpstreamPhase::Leaving {
            self.phase = UpstreamPhase::Ready;
        } else if !announcement.ready {
            self.phase = UpstreamPhase::Leaving;
        }
        self.slots = announcement.slots.or(self.slots);
        self.version = announcement.version.clone().or_else(|| self.version.take());
        self.update_cold_until(announcement.cold_ms, now_us);
        (self.start, self.phase, self.slots, self.cold_until_us, &self.version)
            != (before.start, before.phase, before.slots, before.cold_until_us, &before.version)
    }

    /// Updates the end of the cold period.
    ///
    /// The first reported end of a period is kept, since later reports differ by their transfer time. An end that lies
    /// further off belongs to a new cold period.
    fn update_cold_until(&mut self, cold_ms: u64, now_us: u64) {
        let until_us = now_us + cold_ms * 1000;
        if cold_ms > 0 && until_us > self.cold_until_us + COLD_JITTER_US {
            self.cold_until_us = until_us;
        }
    }

    /// Returns whether an announcement comes from the present start.
    fn is_present(&self, announcement: &Announcement) -> bool {
        self.id.as_ref() == Some(&announcement.id) && is_same_start(self.born_ms, announcement.born_ms)
    }

    /// Returns whether an announcement from another start than the present one is outdated.
    ///
    /// The recorded start may itself be the older one, if the later one had announced itself to an earlier incarnation
    /// of the node, or if the clock was set back. The recorded start is then silent, and an announcement from the other
    /// one is accepted after that silence.
    fn is_outdated(&self, announcement: &Announcement, now_us: u64) -> bool {
        let silent = now_us.saturating_sub(self.received_us) > SILENCE_MIN_US;
        let same =
            |start: &&EarlierStart| start.id == announcement.id && is_same_start(start.born_ms, announcement.born_ms);
        if let Some(start) = self.earlier.iter().find(same) {
            return start.left || !announcement.ready || !silent;
        }
        match (self.born_ms, announcement.born_ms) {
            (Some(present_ms), Some(born_ms)) if born_ms > present_ms => false,
            (Some(present_ms), Some(born_ms)) if born_ms < present_ms => !silent,
            // No start begins by leaving.
            (Some(_) | None, Some(_) | None) => !announcement.ready && self.phase == UpstreamPhase::Ready && !silent,
        }
    }

    /// Records that an earlier start has announced that it leaves, which is final and acknowledged.
    fn record_departure(&mut self, announcement: &Announcement) {
        if announcement.ready {
            return;
        }
        let Announcement { id, born_ms, .. } = announcement;
        let same = |start: &&mut EarlierStart| start.id == *id && is_same_start(start.born_ms, *born_ms);
        match self.earlier.iter_mut().find(same) {
            Some(start) => start.left = true,
            None => {
                self.earlier.push(EarlierStart { id: id.clone(), born_ms: *born_ms, left: true });
                drop_oldest(&mut self.earlier);
            }
        }
    }

    /// Returns the earlier starts with the present one appended and the announcing one removed.
    fn updated_earlier_starts(&mut self, announcement: &Announcement) -> Vec<EarlierStart> {
        let mut earlier = std::mem::take(&mut self.earlier);
        earlier.retain(|start| start.id != announcement.id || !is_same_start(start.born_ms, announcement.born_ms));
        let left = self.phase == UpstreamPhase::Leaving;
        earlier.extend(self.id.take().map(|id| EarlierStart { id, born_ms: self.born_ms, left }));
        drop_oldest(&mut earlier);
        earlier
    }
}

fn drop_oldest(earlier: &mut Vec<EarlierStart>) {
    let excess = earlier.len().saturating_sub(EARLIER_STARTS_MAX);
    earlier.drain(..excess);
}

/// Returns whether two announcements with the same id may come from the same start.
fn is_same_start(recorded_ms: Option<u64>, reported_ms: Option<u64>) -> bool {
    match (recorded_ms, reported_ms) {
        (Some(recorded_ms), Some(reported_ms)) => recorded_ms == reported_ms,
        (Some(_) | None, Some(_) | None) => true,
    }
}
