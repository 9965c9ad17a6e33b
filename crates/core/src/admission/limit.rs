//! One instance's part of a backend server's slots, corrected by what it sees.

use {super::SlotShare, crate::time::Time, std::time::Duration};

/// Weight of a new sample of the time that requests hold a slot.
const HOLD_EWMA_WEIGHT: f64 = 0.1;
/// Where the estimate of that time begins.
const HOLD_INITIAL_S: f64 = 0.02;
/// The shortest estimate that is used.
const HOLD_MIN_S: f64 = 0.0005;
/// The smallest limit that a rate is worked out from.
const LIMIT_MIN: f64 = 0.001;
/// The longest wait that is told, in seconds.
const WAIT_MAX_S: f64 = 3_600.0;
/// Added to a computed time, so that rounding does not make it too early.
const ROUNDING_MARGIN: Duration = Duration::from_micros(1);

/// How the factor on the share follows the server's refusals.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitConfig {
    /// The smallest factor.
    pub factor_min: f64,
    /// The largest: how far shares may be overbooked.
    pub factor_max: f64,
    /// Added for an answer that came while requests waited.
    pub increase: f64,
    /// Multiplied on a refusal.
    pub decrease_factor: f64,
}

impl LimitConfig {
    /// For shares that are exchanged.
    pub const STANDARD: Self = Self {
        factor_min: 0.5,
        factor_max: 2.0,
        increase: 0.05,
        decrease_factor: 0.95,
    };

    /// The share as it is.
    pub const FIXED: Self = Self {
        factor_min: 1.0,
        factor_max: 1.0,
        increase: 0.0,
        decrease_factor: 1.0,
    };
}

/// How a request that held a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The server answered.
    Answered,
    /// The server refused it for lack of slots.
    Refused,
    /// No answer came in time; the server may still be at it.
    TimedOut,
    /// Anything else: no sign of the server's load.
    Other,
}

/// Paces the requests that an instance sends to one server.
///
/// A share of 0.4 slots cannot be a limit of requests at a time. Requests are
/// begun at the rate `limit / hold`, `hold` being the time that one holds a slot,
/// which keeps `limit` of them running on average (Little's law). As `hold`
/// includes the wait within the server, a server that slows down is sent less.
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
    /// A limit that lets the first request through.
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

    /// Takes leave to begin a request; `false` if it has to wait.
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

    /// Gives the slot back; `has_waited` says whether any request
    /// had to wait here since the last answer.
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

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// How long a request holds a slot.
    pub fn hold_time(&self) -> Duration {
        Duration::from_secs_f64(self.hold_s)
    }

    /// The wait of a request with `ahead` others before it.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        let free = (self.limit() - f64::from(self.running)).max(0.0);
        let missing = (ahead as f64 + 1.0 - free).max(0.0);
        let rate = self.limit().max(LIMIT_MIN) / self.hold_s;
        capped_duration(missing / rate)
    }

    /// When the next request may begin; `None` if only the end of one allows it.
    pub fn ready_at(&self, now: Time) -> Option<Time> {
        if self.has_whole_slot() {
            return Some(now);
        }
        let wait = capped_duration((1.0 - self.tokens).max(0.0) / self.partial_slot_rate());
        self.has_partial_slot()
            .then(|| now + wait + ROUNDING_MARGIN)
    }

    /// Room among the whole slots: a new request begins when one has ended, so
    /// that the number running stays even.
    fn has_whole_slot(&self) -> bool {
        f64::from(self.running) < self.limit().floor()
    }

    /// Room in the slot of which only a part is this instance's.
    fn has_partial_slot(&self) -> bool {
        f64::from(self.running) < self.limit().ceil().max(1.0)
    }

    /// Begins a second that keep the part of a slot in use.
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
