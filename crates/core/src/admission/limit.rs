//! Concurrency limit of one instance at one backend server.

use {super::SlotShare, crate::time::Time, std::time::Duration};

/// Weight of a new sample in the moving average of the hold time.
const HOLD_EWMA_WEIGHT: f64 = 0.1;
/// Initial hold time, in seconds.
const HOLD_INITIAL_S: f64 = 0.02;
/// Lower bound of the hold time, in seconds.
const HOLD_MIN_S: f64 = 0.0005;
/// Lower bound of a limit from which a rate is computed.
const LIMIT_MIN: f64 = 0.001;
/// Upper bound of an expected wait, in seconds.
const WAIT_MAX_S: f64 = 3_600.0;
/// Added to a computed time, so that rounding does not make it too early.
const ROUNDING_MARGIN: Duration = Duration::from_micros(1);

/// Adaptation of the factor on the share to the server's refusals.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitConfig {
    /// Lower bound of the factor.
    pub factor_min: f64,
    /// Upper bound of the factor, up to which shares may be overbooked.
    pub factor_max: f64,
    /// Increase for a response while requests were waiting.
    pub increase: f64,
    /// Factor applied for a refusal.
    pub decrease_factor: f64,
}

impl LimitConfig {
    /// For shares that instances exchange reports about.
    pub const STANDARD: Self = Self {
        factor_min: 0.5,
        factor_max: 2.0,
        increase: 0.05,
        decrease_factor: 0.95,
    };

    /// Uses the share unchanged.
    pub const FIXED: Self = Self {
        factor_min: 1.0,
        factor_max: 1.0,
        increase: 0.0,
        decrease_factor: 1.0,
    };
}

/// How a request released its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The server responded.
    Answered,
    /// The server refused the request for lack of slots.
    Refused,
    /// The request timed out; the server may still be running it.
    TimedOut,
    /// Any other end, which says nothing about the server's load.
    Other,
}

/// Concurrency limit for the requests of one instance to one server.
///
/// A share of 0.4 slots cannot be applied as a number of concurrent requests. For the
/// fractional slot, requests start at the rate `limit / hold`, where `hold` is the time
/// for which a request holds a slot; this keeps `limit` of them running on average
/// (Little's law). The hold time includes the wait within the server, so that a server
/// that slows down gets fewer requests.
#[derive(Debug)]
pub struct ServerLimit {
    config: LimitConfig,
    share: SlotShare,
    factor: f64,
    hold_s: f64,
    tokens: f64,
    running: u32,
    refilled_at: Time,
}

impl ServerLimit {
    /// Creates a limit that admits the first request at once.
    pub fn new(share: SlotShare, config: LimitConfig, now: Time) -> Self {
        Self {
            config,
            share,
            factor: 1.0,
            hold_s: HOLD_INITIAL_S,
            tokens: 1.0,
            running: 0,
            refilled_at: now,
        }
    }

    /// Replaces the share.
    pub fn set_share(&mut self, share: SlotShare, now: Time) {
        self.refill(now);
        self.share = share;
    }

    /// Starts a request; `false` if it has to wait.
    pub fn try_begin(&mut self, now: Time) -> bool {
        self.refill(now);
        if !self.has_whole_slot() {
            if !self.has_partial_slot() || self.tokens < 1.0 {
                return false;
            }
            self.tokens -= 1.0;
        }
        self.running += 1;
        true
    }

    /// Releases a request's slot. `has_waited` tells whether any request had to wait
    /// since the last response.
    pub fn end(&mut self, release: ReleaseReason, held: Duration, has_waited: bool, now: Time) {
        self.refill(now);
        self.running = self.running.saturating_sub(1);
        match release {
            ReleaseReason::Answered => self.record_answer(held, has_waited),
            ReleaseReason::Refused => {
                self.factor =
                    (self.factor * self.config.decrease_factor).max(self.config.factor_min)
            }
            ReleaseReason::TimedOut => self.record_hold(held),
            ReleaseReason::Other => {}
        }
    }

    /// Requests that may run at a time, on average.
    pub fn limit(&self) -> f64 {
        self.share.slots() * self.factor
    }

    /// Requests that are running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Average time for which a request holds a slot.
    pub fn hold_time(&self) -> Duration {
        Duration::from_secs_f64(self.hold_s)
    }

    /// Expected wait of a request with `ahead` others before it.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        let free = (self.limit() - f64::from(self.running)).max(0.0);
        let missing = (ahead as f64 + 1.0 - free).max(0.0);
        let rate = self.limit().max(LIMIT_MIN) / self.hold_s;
        capped_duration(missing / rate)
    }

    /// Time at which the next request may start; `None` if a running one has to end
    /// first.
    pub fn ready_at(&self, now: Time) -> Option<Time> {
        if self.has_whole_slot() {
            return Some(now);
        }
        let wait = capped_duration((1.0 - self.tokens).max(0.0) / self.partial_slot_rate());
        self.has_partial_slot()
            .then(|| now + wait + ROUNDING_MARGIN)
    }

    /// Whether one of the whole slots is free. For these a request starts as soon as
    /// another ends, which keeps the number of running requests even.
    fn has_whole_slot(&self) -> bool {
        f64::from(self.running) < self.limit().floor()
    }

    /// Whether the slot of which only a fraction belongs to this instance is free.
    fn has_partial_slot(&self) -> bool {
        f64::from(self.running) < self.limit().ceil().max(1.0)
    }

    /// Requests per second that use the fractional slot in full.
    fn partial_slot_rate(&self) -> f64 {
        self.limit().fract().max(LIMIT_MIN) / self.hold_s
    }

    fn record_answer(&mut self, held: Duration, has_waited: bool) {
        self.record_hold(held);
        if has_waited {
            self.factor = (self.factor + self.config.increase).min(self.config.factor_max);
        }
    }

    fn record_hold(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        self.hold_s = (self.hold_s + HOLD_EWMA_WEIGHT * (held - self.hold_s)).max(HOLD_MIN_S);
    }

    fn refill(&mut self, now: Time) {
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.partial_slot_rate()).min(1.0);
        self.refilled_at = self.refilled_at.max(now);
    }
}

fn capped_duration(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.min(WAIT_MAX_S))
}
