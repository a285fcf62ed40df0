//! State of the link to another region, as measured by one entry.
//!
//! One node does not see the traffic of the others on the link. It has an even share of the configured capacity, and it
//! detects a full link by the growth of round trips, which works without a configured capacity too.

use std::sync::Arc;

use super::traffic::CallTraffic;
use crate::token_bucket::TokenBucket;

/// Round trip assumed before the first measurement. It is longer than most, so that calls with tight objectives do not
/// cross on an assumption.
const ASSUMED_ROUND_TRIP_US: f64 = 100_000.0;
/// Number of the latest samples whose lower quartile is the usual round trip: few, so that a link that has become full is
/// noticed after as many calls, and the quartile because nodes that are short of processor time acknowledge packets late
/// at any load of the link.
const SAMPLES: usize = 8;
/// Half of the time over which the shortest round trip is kept; routes may change.
const FLOOR_WINDOW_US: u64 = 30_000_000;
/// Smallest growth that counts as a full link: a tenth of the objective of a usual call. Nodes with a tenth of a core
/// acknowledge packets some tens of milliseconds late at any load of the link.
const GROWTH_MIN_US: f64 = 100_000.0;
/// Time after a sample in which the growth that it showed halves, so that a link that was full is tried again before
/// the callers that were refused in the meantime give up.
const GROWTH_HALF_LIFE_US: f64 = 2_000_000.0;
/// Time after which a link without a sample is probed.
const PROBE_INTERVAL_US: u64 = 10_000_000;
/// Interval of probes while the region is unreachable: calls that need it wait for about that long.
const UNREACHABLE_PROBE_INTERVAL_US: u64 = 1_000_000;
/// Time after which calls are sent to an unreachable region again even if no probe was answered, for entries without a
/// budget of probes: about as long as callers wait for one call.
const UNREACHABLE_MAX_US: u64 = 3_000_000;
/// Seconds of its share of the link that a node may use at once: as long as the objective of a usual upload.
const BURST_S: f64 = 2.0;
/// Bytes that a connection sends before the first acknowledgement; the number doubles with each round trip.
const FIRST_WINDOW_BYTES: f64 = 12_000.0;
/// Part of the link that each rank leaves to the ranks above it.
const RANK_RESERVE: f64 = 0.25;
/// Ranks beyond this one leave no more.
const RANK_MAX: u8 = 3;

/// State of the link to one region at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkView {
    /// Usual round trip.
    pub round_trip_us: u32,
    /// Used part of the link, from 0 to 1, by the growth of round trips.
    pub load: f64,
    /// Bytes that this node may send and request now.
    pub left_bytes: f64,
    /// Largest value of `left_bytes`.
    pub burst_bytes: f64,
    /// Rate at which this node may send and request bytes; infinite if the capacity is unknown.
    pub bytes_per_s: f64,
    /// Whether the region replies.
    pub is_reachable: bool,
}

impl LinkView {
    /// Returns whether the link has room for a call. The less important a call is, the more of the link it leaves to
    /// others.
    pub fn admits(&self, traffic: &CallTraffic) -> bool {
        let reserve = RANK_RESERVE * f64::from(traffic.rank.min(RANK_MAX));
        let reserve_bytes = if self.burst_bytes.is_finite() { self.burst_bytes * reserve } else { 0.0 };
        self.is_reachable && self.load < 1.0 - reserve && traffic.bytes() as f64 + reserve_bytes <= self.left_bytes
    }

    /// Returns the time that a call spends on the way in both directions; a link that is not open yet takes one more
    /// round trip.
    pub fn travel_us(&self, traffic: &CallTraffic, is_open: bool) -> f64 {
        let round_trip_us = f64::from(self.round_trip_us);
        let handshake_us = if is_open { 0.0 } else { round_trip_us };
        let rounds = further_rounds(traffic.request_bytes) + further_rounds(traffic.answer_bytes);
        let sending_us = traffic.bytes() as f64 / self.bytes_per_s * 1e6;
        round_trip_us * (1.0 + rounds) + handshake_us + sending_us
    }
}

/// Returns how many round trips a connection waits for acknowledgements while it sends this many bytes.
fn further_rounds(bytes: u32) -> f64 {
    ((f64::from(bytes) / FIRST_WINDOW_BYTES + 1.0).log2().ceil() - 1.0).max(0.0)
}

/// Change of a link that is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// The region no longer replies.
    Unreachable,
    /// The region replies again.
    Reachable,
}

/// Measurements of the link to one region.
#[derive(Debug, Clone)]
pub struct RegionLink {
    /// The latest round trips in a ring, and the number of all samples.
    samples_us: [f64; SAMPLES],
    sample_count: usize,
    /// Shortest round trip of the present and of the last window.
    floors_us: [f64; 2],
    floor_since_us: u64,
    sampled_us: Option<u64>,
    probed_us: Option<u64>,
    /// Share of the configured capacity; none if the capacity is unknown.
    bucket: Option<Share>,
    /// The node that failed last, without a reply of any node since.
    failed: Option<Arc<str>>,
    unreachable_since_us: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Share {
    bytes_per_s: f64,
    bucket: TokenBucket,
}

impl Default for RegionLink {
    fn default() -> Self {
        Self {
            samples_us: [ASSUMED_ROUND_TRIP_US; SAMPLES],
            sample_count: 0,
            floors_us: [f64::INFINITY; 2],
            floor_since_us: 0,
            sampled_us: None,
            probed_us: None,
            bucket: None,
            failed: None,
            unreachable_since_us: None,
        }
    }
}

impl RegionLink {
    /// Sets the capacity of the link, of which each of `nodes` nodes has an even share; zero if it is unknown.
    pub fn configure(&mut self, mbps: f64, nodes: usize, now_us: u64) {
        if mbps <= 0.0 {
            self.bucket = None;
            return;
        }
        let bytes_per_s = mbps * 1e6 / 8.0 / nodes.max(1) as f64;
        let burst = bytes_per_s * BURST_S;
        match &mut self.bucket {
            Some(share) => {
                share.bytes_per_s = bytes_per_s;
                share.bucket.configure(bytes_per_s, burst, now_us);
            }
            None => {
                let bucket = TokenBucket::new(bytes_per_s, burst, burst, now_us);
                self.bucket = Some(Share { bytes_per_s, bucket });
            }
        }
    }

    /// Records bytes that were sent or received.
    pub fn charge(&mut self, bytes: u32, now_us: u64) {
        if let Some(share) = &mut self.bucket {
            share.bucket.take(bytes, now_us);
        }
    }

    /// Records a round trip to a node of the region, as its connection measures it.
    pub fn record_round_trip(&mut self, round_trip_us: u64, now_us: u64) {
        let sample_us = round_trip_us as f64;
        if now_us >= self.floor_since_us + FLOOR_WINDOW_US {
            self.floors_us = [f64::INFINITY, self.floors_us[0]];
            self.floor_since_us = now_us;
        }
        self.floors_us[0] = self.floors_us[0].min(sample_us);
        self.samples_us[self.sample_count % SAMPLES] = sample_us;
        self.sample_count += 1;
        self.sampled_us = Some(now_us);
    }

    /// Records a reply of any node of the region.
    pub fn record_reply(&mut self) -> Option<LinkChange> {
        self.failed = None;
        self.unreachable_since_us.take().map(|_| LinkChange::Reachable)
    }

    /// Records that a node of the region was not reached. After two different nodes without a reply in between, the
    /// region is unreachable; a single node may have failed itself. A region that is tried again needs only one.
    pub fn record_failure(&mut self, vm: &Arc<str>, now_us: u64) -> Option<LinkChange> {
        let is_second = self.failed.replace(vm.clone()).is_some_and(|failed| failed != *vm);
        if !is_second && self.unreachable_since_us.is_none() {
            return None;
        }
        let was_reachable = self.is_reachable(now_us);
        self.unreachable_since_us = Some(now_us);
        was_reachable.then_some(LinkChange::Unreachable)
    }

    /// Returns whether the link is due for a probe.
    pub fn needs_probe(&self, now_us: u64) -> bool {
        let interval_us = match self.unreachable_since_us {
            Some(_) => UNREACHABLE_PROBE_INTERVAL_US,
            None => PROBE_INTERVAL_US,
        };
        let last_us = self.sampled_us.max(self.probed_us);
        last_us.is_none_or(|last_us| now_us >= last_us + interval_us)
    }

    /// Records that a node of the region is being probed.
    pub fn record_probe(&mut self, now_us: u64) {
        self.probed_us = Some(now_us);
    }

    /// Returns the state of the link.
    pub fn view(&self, now_us: u64) -> LinkView {
        let (left_bytes, burst_bytes, bytes_per_s) = match &self.bucket {
            Some(Share { bytes_per_s, bucket }) => (bucket.level(now_us), bytes_per_s * BURST_S, *bytes_per_s),
            None => (f64::INFINITY, f64::INFINITY, f64::INFINITY),
        };
        LinkView {
            round_trip_us: self.round_trip_us() as u32,
            load: self.load(now_us),
            left_bytes,
            burst_bytes,
            bytes_per_s,
            is_reachable: self.is_reachable(now_us),
        }
    }

    fn is_reachable(&self, now_us: u64) -> bool {
        self.unreachable_since_us.is_none_or(|since_us| now_us >= since_us + UNREACHABLE_MAX_US)
    }

    fn floor_us(&self) -> f64 {
        self.floors_us[0].min(self.floors_us[1])
    }

    /// Returns the lower quartile of the latest samples.
    fn round_trip_us(&self) -> f64 {
        let count = self.sample_count.clamp(1, SAMPLES);
        let mut sorted_us = self.samples_us;
        sorted_us[..count].sort_by(f64::total_cmp);
        sorted_us[(count - 1) / 4]
    }

    /// Returns the used part of the link. A queue that takes as long as the way itself, or a tenth of a second, counts as
    /// a full link, since its length changes faster than entries measure it.
    fn load(&self, now_us: u64) -> f64 {
        let Some(sampled_us) = self.sampled_us else {
            return 0.0;
        };
        let floor_us = self.floor_us();
        let growth_us = self.round_trip_us() - floor_us;
        let fading = 0.5_f64.powf(now_us.saturating_sub(sampled_us) as f64 / GROWTH_HALF_LIFE_US);
        (growth_us / floor_us.max(GROWTH_MIN_US) * fading).clamp(0.0, 1.0)
    }
}
