//! Rate limit that a server names in its answers, and the check that it gets no more.

use std::time::{Duration, Instant};

/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed beyond the share of the limit in one window.
const SLACK: f64 = 5.0;
/// Share of the limit that is allowed.
const ALLOWED_SHARE: f64 = 1.5;
/// Time after which requests count against a limit that was first named in an answer.
const GRACE: Duration = Duration::from_millis(500);

/// A limit and when it was set.
#[derive(Debug, Clone)]
struct Named {
    since: Instant,
    /// When an answer first named it.
    answered: Option<Instant>,
    /// Text of the header; `None` while the server names no limit.
    text: Option<String>,
}

/// Limits that a server has named, oldest first.
#[derive(Debug, Default)]
pub struct NamedLimits {
    named: Vec<Named>,
}

/// A window with more requests than allowed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitBreach {
    /// Requests that arrived in the window.
    pub arrived: usize,
    /// Requests that were allowed.
    pub allowed: f64,
    /// Named limit in requests per second.
    pub rate_per_s: f64,
}

impl NamedLimits {
    /// Names a limit by the text of its header from `now` on, or none.
    pub fn set(&mut self, text: Option<&str>, now: Instant) {
        self.named.push(Named { since: now, answered: None, text: text.map(str::to_owned) });
    }

    /// Returns the header of an answer that is sent at `now`.
    pub fn answer(&mut self, now: Instant) -> Option<String> {
        let named = self.named.last_mut()?;
        named.answered.get_or_insert(now);
        named.text.clone()
    }

    /// Returns the worst window that lies within the time in which one limit held.
    pub fn breach(&self, arrivals: &[Instant]) -> Option<LimitBreach> {
        let mut worst: Option<LimitBreach> = None;
        for (at, named) in self.named.iter().enumerate() {
            let rate_per_s = named.text.as_ref().and_then(|text| text.parse::<f64>().ok());
            let (Some(rate_per_s), Some(answered)) = (rate_per_s, named.answered) else {
                continue;
            };
            let until = self.named.get(at + 1).map(|next| next.since);
            let since = answered + GRACE;
            let counted = arrivals.iter().filter(|at| **at >= since && until.is_none_or(|until| **at < until));
            let counted: Vec<Instant> = counted.copied().collect();
            let allowed = ALLOWED_SHARE * rate_per_s * WINDOW.as_secs_f64() + SLACK;
            let arrived = counted
                .iter()
                .map(|first| counted.iter().filter(|at| *at >= first && **at < *first + WINDOW).count())
                .max()
                .unwrap_or(0);
            let exceeds = arrived as f64 - allowed;
            if exceeds > 0.0 && worst.is_none_or(|worst| exceeds > worst.arrived as f64 - worst.allowed) {
                worst = Some(LimitBreach { arrived, allowed, rate_per_s });
            }
        }
        worst
    }
}
