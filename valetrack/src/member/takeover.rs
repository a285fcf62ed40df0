//! Decides when a node whose relays are all behind the store reads the store itself, to become a relay in their place,
//! and when a relay that the store refuses gives up its role.
//!
//! A relay that the store refuses looks healthy: its process runs and its links answer. Its followers detect the fault
//! by its replies, each for itself, and nothing is agreed between them. A draw whose chance doubles with each round
//! spreads their attempts: a few nodes try first, and the others stop as soon as one of them has been served.

/// Time without anything new after which relays count as unable to follow the store: an operator's change must be in
/// force within two seconds, and the rest of that time is needed to replace them.
const STALE_US: u64 = 1_000_000;
/// Time for which relays must have replied that they are behind: a relay that changes its source is current again
/// within some tens of milliseconds.
const BEHIND_MIN_US: u64 = 300_000;
/// Pause between two rounds, in which the news of a node that was served reaches the others.
const ROUND_US: std::ops::RangeInclusive<u64> = 100_000..=200_000;
/// Number of attempts of a failure domain that are expected in the first round: with a third of the nodes refused, one
/// of two attempts is very likely served, and two are served at most.
const FIRST_ATTEMPTS: usize = 2;
/// Most attempts of a failure domain that are expected in one round. While the store answers no watch at all, further
/// attempts only create relays that are behind as well. A fleet of 19 domains also stays far below the
/// 6,000 reads per second that the store allows.
const ATTEMPTS_MAX: usize = 4;
/// Pause after the first refused attempt; it doubles with each further one, since each attempt costs money.
const REFUSED_PAUSE_US: u64 = 1_000_000;
/// Longest pause after a refused attempt.
const REFUSED_PAUSE_MAX_US: u64 = 8_000_000;
/// Time between the first answer after refused attempts and a second attempt: after an outage of the whole store the
/// relays are current again within it, and no node needs to replace them.
const RECOVERY_US: u64 = 700_000;

/// Time for which the store has refused a relay before it gives up the role in favour of another one.
const RESIGN_AFTER_US: u64 = 1_000_000;
/// Updates in a row from the relay that takes its place, before it gives up the role: its followers have then received
/// the entry that names the other relay.
const RESIGN_UPDATES: u32 = 3;

/// Next action of a node whose relays may be behind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeoverStep {
    /// The relays deliver updates.
    Idle,
    /// Wait until this moment.
    Wait {
        /// When `next` is due again.
        until_us: u64,
    },
    /// Check whether the store serves this node.
    Attempt,
}

/// State of a follower's attempts to replace relays that are behind the store.
#[derive(Debug, Default)]
pub struct Takeover {
    /// When the store confirmed the latest update.
    fresh_us: u64,
    /// Since when relays have replied that they are behind; none if an update was received since.
    behind_since_us: Option<u64>,
    round: u32,
    /// When the next round begins.
    round_us: u64,
    /// Number of attempts in a row that the store has refused.
    refused: u32,
    /// No attempt is made before this moment, since the store has refused this node.
    retry_us: u64,
}

impl Takeover {
    /// Records an update that the store confirmed at `confirmed_us`.
    pub fn on_update(&mut self, confirmed_us: u64) {
        *self = Self { fresh_us: self.fresh_us.max(confirmed_us), ..Self::default() };
    }

    /// Records that a relay has replied that it is behind the store.
    pub fn on_behind(&mut self, now_us: u64) {
        self.behind_since_us.get_or_insert(now_us);
    }

    /// Returns the next action, where the failure domain has this many nodes that are no relays.
    pub fn next(&mut self, nodes: usize, now_us: u64, rng: &mut fastrand::Rng) -> TakeoverStep {
        let Some(behind_since_us) = self.behind_since_us else {
            return TakeoverStep::Idle;
        };
        let start_us = (self.fresh_us + STALE_US).max(behind_since_us + BEHIND_MIN_US);
        let due_us = start_us.max(self.retry_us).max(self.round_us);
        if now_us < due_us {
            return TakeoverStep::Wait { until_us: due_us };
        }
        self.round_us = now_us + rng.u64(ROUND_US);
        let attempts = FIRST_ATTEMPTS.checked_shl(self.round.min(8)).unwrap_or(ATTEMPTS_MAX).min(ATTEMPTS_MAX);
        self.round += 1;
        match rng.usize(..nodes.max(1)) < attempts {
            true => TakeoverStep::Attempt,
            false => TakeoverStep::Wait { until_us: self.round_us },
        }
    }

    /// Records that the store has refused an attempt, or has not answered it.
    pub fn on_refused(&mut self, now_us: u64, rng: &mut fastrand::Rng) {
        let longest_us = (REFUSED_PAUSE_US << self.refused.min(8)).min(REFUSED_PAUSE_MAX_US);
        self.refused += 1;
        self.retry_us = now_us + rng.u64(longest_us / 2..=longest_us);
    }

    /// Records that the store has served an attempt; returns whether this node takes over as a relay.
    pub fn on_served(&mut self, now_us: u64) -> bool {
        if self.behind_since_us.is_none() {
            // A relay has delivered an update meanwhile.
            return false;
        }
        if std::mem::take(&mut self.refused) > 0 {
            self.retry_us = now_us + RECOVERY_US;
            return false;
        }
        true
    }
}

/// Returns whether a relay gives up its role, where the store has refused it since `failing_since_us` and another relay,
/// whose role is stored, has sent it this many updates in a row.
///
/// It keeps the role while no other relay is current: in an outage of the whole store nobody could take its place, and
/// its followers would lose their entries to no end.
pub fn resigns(failing_since_us: Option<u64>, updates: u32, now_us: u64) -> bool {
    failing_since_us.is_some_and(|since_us| now_us >= since_us + RESIGN_AFTER_US) && updates >= RESIGN_UPDATES
}
