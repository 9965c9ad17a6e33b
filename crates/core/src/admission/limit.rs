//! One instance's part of a backend server's slots, corrected by what it sees.

use {super::SlotShare, crate::time::Time, std::time::Duration};

/// Weight of a new sample of the time that requests hold a slot.
const HOLD_GAIN: f64 = 0.1;
/// Where the estimate of that time begins.
const HOLD_FIRST: f64 = 0.02;
/// The shortest estimate that is used.
const HOLD_LEAST: f64 = 0.0005;
/// The smallest limit that a rate is worked out from.
const LIMIT_LEAST: f64 = 0.001;
/// The longest wait that is told, in seconds.
const WAIT_MOST: f64 = 3_600.0;
/// Added to a computed time, so that rounding does not make it too early.
const TICK: Duration = Duration::from_micros(1);

/// How the factor on the share follows the server's refusals.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitConfig {
    /// The smallest factor.
    pub least: f64,
    /// The largest: how far shares may be overbooked.
    pub most: f64,
    /// Added for an answer that came while requests waited.
    pub rise: f64,
    /// Multiplied on a refusal.
    pub fall: f64,
}

impl LimitConfig {
    /// For shares that are exchanged.
    pub const STANDARD: Self = Self {
        least: 0.5,
        most: 2.0,
        rise: 0.05,
        fall: 0.95,
    };

    /// The share as it is.
    pub const FIXED: Self = Self {
        least: 1.0,
        most: 1.0,
        rise: 0.0,
        fall: 1.0,
    };
}

/// How a request that held a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
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
    hold: f64,
    tokens: f64,
    running: u32,
    filled: Time,
}

impl ServerLimit {
    /// A limit that lets the first request through.
    pub fn new(share: SlotShare, config: LimitConfig, now: Time) -> Self {
        Self {
            config,
            share,
            factor: 1.0,
            hold: HOLD_FIRST,
            tokens: 1.0,
            running: 0,
            filled: now,
        }
    }

    /// Replaces the share.
    pub fn set_share(&mut self, share: SlotShare, now: Time) {
        self.refill(now);
        self.share = share;
    }

    /// Takes leave to begin a request; `false` if it has to wait.
    pub fn begin(&mut self, now: Time) -> bool {
        self.refill(now);
        if !self.has_whole() {
            if !self.has_part() || self.tokens < 1.0 {
                return false;
            }
            self.tokens -= 1.0;
        }
        self.running += 1;
        true
    }

    /// Gives the slot back; `waited` says whether any request
    /// had to wait here since the last answer.
    pub fn end(&mut self, release: Release, held: Duration, waited: bool, now: Time) {
        self.refill(now);
        self.running = self.running.saturating_sub(1);
        match release {
            Release::Answered => self.answered(held, waited),
            Release::Refused => {
                self.factor = (self.factor * self.config.fall).max(self.config.least)
            }
            Release::TimedOut => self.hold_for(held),
            Release::Other => {}
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
    pub fn hold(&self) -> Duration {
        Duration::from_secs_f64(self.hold)
    }

    /// The wait of a request with `ahead` others before it.
    pub fn expected_wait(&self, ahead: usize) -> Duration {
        let free = (self.limit() - f64::from(self.running)).max(0.0);
        let missing = (ahead as f64 + 1.0 - free).max(0.0);
        let rate = self.limit().max(LIMIT_LEAST) / self.hold;
        seconds(missing / rate)
    }

    /// When the next request may begin; `None` if only the end of one allows it.
    pub fn ready_at(&self, now: Time) -> Option<Time> {
        if self.has_whole() {
            return Some(now);
        }
        let wait = seconds((1.0 - self.tokens).max(0.0) / self.rate());
        self.has_part().then(|| now + wait + TICK)
    }

    /// Room among the whole slots: a new request begins when one has ended, so
    /// that the number running stays even.
    fn has_whole(&self) -> bool {
        f64::from(self.running) < self.limit().floor()
    }

    /// Room in the slot of which only a part is this instance's.
    fn has_part(&self) -> bool {
        f64::from(self.running) < self.limit().ceil().max(1.0)
    }

    /// Begins a second that keep the part of a slot in use.
    fn rate(&self) -> f64 {
        self.limit().fract().max(LIMIT_LEAST) / self.hold
    }

    fn answered(&mut self, held: Duration, waited: bool) {
        self.hold_for(held);
        if waited {
            self.factor = (self.factor + self.config.rise).min(self.config.most);
        }
    }

    fn hold_for(&mut self, held: Duration) {
        let held = held.as_secs_f64();
        self.hold = (self.hold + HOLD_GAIN * (held - self.hold)).max(HOLD_LEAST);
    }

    fn refill(&mut self, now: Time) {
        let span = (now - self.filled).as_secs_f64();
        self.tokens = (self.tokens + span * self.rate()).min(1.0);
        self.filled = self.filled.max(now);
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.min(WAIT_MOST))
}
