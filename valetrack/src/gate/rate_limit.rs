//! Limits the calls that an upstream receives to the rate that it requests in its answers.
//!
//! All calls to an upstream pass through the gate beside it, so one token bucket there covers every entry.

use hyper::HeaderMap;

use crate::token_bucket::TokenBucket;

/// Calls that may start at once, as a share of one second's calls, in addition to a single one.
const BURST_S: f64 = 0.25;
/// Time without an answer after which a limit that admits no call has to be confirmed.
const CONFIRM_US: u64 = 2_000_000;
/// Time in which a check usually ends.
const CHECK_US: u64 = 250_000;
/// Longest time over which declined calls are spread, in seconds per call per second of the limit: at a low limit, few
/// calls arrive in time to use a token, and a long spread leaves it unused.
const SPREAD_S_PER_RATE: f64 = 0.5;
/// Longest time over which declined calls are spread at any limit.
const SPREAD_MAX_S: f64 = 2.0;
/// Longest wait that is distinguished from one that never ends.
const WAIT_MAX_US: u64 = 3_600_000_000;
/// Calls that run at once until the first answer shows whether the upstream limits its rate.
const UNCONFIRMED_CALLS_MAX: u16 = 2;
/// Microseconds in a second.
const SECOND_US: f64 = 1_000_000.0;

/// Rate limit in the head of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum RequestedRate {
    /// The answer states no limit.
    #[default]
    None,
    /// The upstream accepts this many calls per second.
    PerS(f64),
    /// The answer states a limit that is not a decimal number.
    Invalid,
}

impl RequestedRate {
    /// Reads the limit from a header, whose value must be one unsigned decimal number.
    pub fn read(headers: &HeaderMap, name: &str) -> Self {
        let mut values = headers.get_all(name).iter();
        let Some(value) = values.next() else {
            return Self::None;
        };
        let text = value.to_str().unwrap_or_default().trim();
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        match text.parse::<f64>() {
            Ok(rate_per_s) if is_decimal && rate_per_s.is_finite() && values.next().is_none() => Self::PerS(rate_per_s),
            Ok(_) | Err(_) => Self::Invalid,
        }
    }
}

/// Request that an answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The call that was sent.
    Call,
    /// An earlier call; its answer arrived in place of another one.
    Stray,
    /// A health check.
    HealthCheck,
}

/// Change of the limit in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitChange {
    /// Calls per second before the change; `None` if the rate was unlimited.
    pub from_per_s: Option<f64>,
    /// Calls per second from now on; `None` if the rate is unlimited.
    pub to_per_s: Option<f64>,
}

/// Rate limit of one upstream.
#[derive(Debug, Clone)]
pub struct RateLimit {
    /// Calls per second; `None` while the upstream requests no limit.
    rate_per_s: Option<f64>,
    bucket: TokenBucket,
    /// Whether no answer has shown yet if an upstream that started before the node limits its rate.
    is_unconfirmed: bool,
    /// Whether a health check that may show it is in progress.
    is_confirming: bool,
    /// Whether one call may start regardless of the bucket, to find out whether the limit still applies.
    trial: bool,
    /// When an answer last confirmed the limit.
    confirmed_us: u64,
    /// When the limit was last checked.
    checked_us: u64,
    /// Since when the present start of the upstream is known; answers to earlier calls come from an earlier start.
    since_us: u64,
    /// Declined calls that are expected to come back, as of `declined_at_us`.
    declined: f64,
    declined_at_us: u64,
}

impl Default for RateLimit {
    fn default() -> Self {
        Self {
            rate_per_s: None,
            bucket: TokenBucket::new(0.0, 0.0, 0.0, 0),
            is_unconfirmed: false,
            is_confirming: false,
            trial: false,
            confirmed_us: 0,
            checked_us: 0,
            since_us: 0,
            declined: 0.0,
            declined_at_us: 0,
        }
    }
}

impl RateLimit {
    /// Starts over for a new start of the upstream. `is_new` states that it has not served calls before.
    pub fn restart(&mut self, is_new: bool, now_us: u64) {
        *self = Self { is_unconfirmed: !is_new, since_us: now_us, ..Self::default() };
    }

    /// Returns the limit in calls per second; `None` if the rate is unlimited.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.rate_per_s
    }

    /// Returns how many calls may run at once because the limit is unknown; `None` if it is known.
    ///
    /// None may run during the health check. Its answer also shows whether the upstream leaves.
    pub fn unconfirmed_calls_max(&self) -> Option<u16> {
        self.is_unconfirmed.then_some(if self.is_confirming { 0 } else { UNCONFIRMED_CALLS_MAX })
    }

    /// Records the start of a health check that may show an unknown limit.
    pub fn begin_confirmation(&mut self) {
        self.is_confirming = true;
    }

    /// Records the end of that health check, answered or not.
    pub fn end_confirmation(&mut self) {
        self.is_confirming = false;
    }

    /// Applies the limit in an answer to a request that began at `begun_us`.
    ///
    /// A lower limit applies at once. A higher limit, or none, applies only if the request began after the last answer
    /// that confirmed the present one, since answers may arrive out of order. The answer to a health check never ends a
    /// limit that an answer has stated: it only allows one call to find out.
    pub fn on_answer(
        &mut self,
        requested: RequestedRate,
        kind: AnswerKind,
        begun_us: u64,
        now_us: u64,
    ) -> Option<RateLimitChange> {
        if begun_us < self.since_us {
            return None;
        }
        let is_later = kind != AnswerKind::Stray && begun_us >= self.confirmed_us;
        match (requested, self.rate_per_s) {
            (RequestedRate::Invalid, _) => None,
            (RequestedRate::None, current) => {
                self.on_no_limit(kind, is_later);
                (current != self.rate_per_s).then_some(RateLimitChange { from_per_s: current, to_per_s: None })
            }
            (RequestedRate::PerS(rate_per_s), Some(current)) if rate_per_s > current && !is_later => None,
            (RequestedRate::PerS(rate_per_s), current) => {
                self.set_rate(rate_per_s, now_us);
                let change = RateLimitChange { from_per_s: current, to_per_s: Some(rate_per_s) };
                (current != Some(rate_per_s)).then_some(change)
            }
        }
    }

    fn on_no_limit(&mut self, kind: AnswerKind, is_later: bool) {
        match kind {
            AnswerKind::Call if is_later => {
                self.is_unconfirmed = false;
                self.rate_per_s = None;
                self.trial = false;
            }
            AnswerKind::HealthCheck if is_later => {
                self.is_unconfirmed = false;
                self.trial = self.rate_per_s.is_some();
            }
            AnswerKind::Call | AnswerKind::HealthCheck | AnswerKind::Stray => {}
        }
    }

    fn set_rate(&mut self, rate_per_s: f64, now_us: u64) {
        let burst = if rate_per_s > 0.0 { 1.0 + rate_per_s * BURST_S } else { 0.0 };
        if self.rate_per_s.is_none() {
            // The calls that are already running use up the first burst.
            self.bucket = TokenBucket::new(rate_per_s, burst, 0.0, now_us);
            self.declined = 0.0;
        }
        self.bucket.configure(rate_per_s, burst, now_us);
        self.rate_per_s = Some(rate_per_s);
        self.is_unconfirmed = false;
        self.confirmed_us = now_us;
    }

    /// Returns how many calls may start at `now_us`; `None` if the rate is unlimited.
    pub fn remaining(&self, now_us: u64) -> Option<u32> {
        self.rate_per_s?;
        Some(self.bucket.level(now_us) as u32 + u32::from(self.trial))
    }

    /// Returns how long the call behind `ahead` others waits for its start.
    pub fn wait_us(&self, ahead: usize, now_us: u64) -> u64 {
        if self.rate_per_s.is_none() {
            return 0;
        }
        let calls = ahead as f64 + 1.0 - f64::from(u8::from(self.trial));
        self.bucket.wait_us(calls, now_us).min(WAIT_MAX_US)
    }

    /// Records a start; returns whether the limit admits it.
    pub fn record_start(&mut self, now_us: u64) -> bool {
        if self.rate_per_s.is_none() {
            return true;
        }
        self.bucket.take(1, now_us) > 0 || std::mem::take(&mut self.trial)
    }

    /// Records a call that was declined because of the limit.
    pub fn record_decline(&mut self, now_us: u64) {
        let rate_per_s = self.rate_per_s.unwrap_or(0.0);
        let spread_s = (rate_per_s * SPREAD_S_PER_RATE).min(SPREAD_MAX_S);
        self.declined = (self.declined(now_us) + 1.0).min(rate_per_s * spread_s);
        self.declined_at_us = now_us;
    }

    /// Returns the number of declined calls that are still expected to come back. They come back at the limit's rate,
    /// since each decline reports a later start than the one before.
    fn declined(&self, now_us: u64) -> f64 {
        let passed_us = now_us.saturating_sub(self.declined_at_us) as f64;
        (self.declined - passed_us * self.rate_per_s.unwrap_or(0.0) / SECOND_US).max(0.0)
    }

    /// Returns how long entries should wait before they send the next call, behind `queued` calls; zero if one may
    /// start now.
    pub fn start_delay_us(&self, queued: usize, now_us: u64) -> u64 {
        let (Some(rate_per_s), Some(remaining)) = (self.rate_per_s, self.remaining(now_us)) else {
            return 0;
        };
        if remaining as usize > queued {
            return 0;
        }
        let token_us = self.wait_us(queued, now_us);
        if token_us > CONFIRM_US {
            return self.check_delay_us(now_us);
        }
        token_us + (self.declined(now_us) / rate_per_s * SECOND_US) as u64
    }

    /// Returns the time until a check may show that the limit has ended.
    fn check_delay_us(&self, now_us: u64) -> u64 {
        let is_checking = now_us < self.checked_us + CHECK_US;
        let due_us = self.confirmed_us.max(self.checked_us) + CONFIRM_US;
        if is_checking { CHECK_US } else { due_us.saturating_sub(now_us).max(CHECK_US) }
    }

    /// Returns whether the limit has to be checked by a health check or a trial call, because it admits no call within
    /// [`CONFIRM_US`] whose answer would show its end.
    pub fn needs_check(&self, now_us: u64) -> bool {
        let is_due = now_us >= self.confirmed_us.max(self.checked_us) + CONFIRM_US;
        is_due && self.remaining(now_us) == Some(0) && self.wait_us(0, now_us) > CONFIRM_US
    }

    /// Records the start of a check.
    pub fn record_check(&mut self, now_us: u64) {
        self.checked_us = now_us;
    }

    /// Allows one call to find out whether the limit still applies.
    pub fn allow_trial(&mut self) {
        self.trial = self.rate_per_s.is_some();
    }
}
