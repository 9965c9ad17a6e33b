//! One instance's part of a backend server's slots, corrected by what it sees.

use {super::SlotShare, crate::time::Time, std::time::Duration};

/// Weight of a new sample of the time that requests hold a slot.
const HOLD_GAIN: f64 = 0.1;
/// Where the estimate of that time begins.
const HOLD_FIRST: f64 = 0.02;
/// The shortest estimate that is used.
const HOLD_LEAST: f64 = 0.0005;

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
        most: 1.5,
        rise: 0.01,
        fall: 0.9,
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
        if !self.has_room() || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        self.running += 1;
        true
    }

    /// Gives the slot back; `waiting` says whether requests wait for one here.
    pub fn end(&mut self, release: Release, held: Duration, waiting: bool, now: Time) {
        self.refill(now);
        self.running = self.running.saturating_sub(1);
        match release {
            Release::Answered => self.answered(held, waiting),
            Release::Refused => {
                self.factor = (self.factor * self.config.fall).max(self.config.least)
            }
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
        let missing = (ahead as f64 + 1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64((missing / self.rate()).min(3_600.0))
    }

    /// When the next request may begin; `None` if only the end of one allows it.
    pub fn ready_at(&self, now: Time) -> Option<Time> {
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = Duration::from_secs_f64((missing / self.rate()).min(3_600.0));
        self.has_room()
            .then(|| now + wait + Duration::from_micros(1))
    }

    fn has_room(&self) -> bool {
        f64::from(self.running) < self.burst()
    }

    fn burst(&self) -> f64 {
        self.limit().ceil().max(1.0)
    }

    fn rate(&self) -> f64 {
        self.limit().max(0.001) / self.hold.max(HOLD_LEAST)
    }

    fn answered(&mut self, held: Duration, waiting: bool) {
        self.hold += HOLD_GAIN * (held.as_secs_f64() - self.hold);
        if waiting {
            self.factor = (self.factor + self.config.rise).min(self.config.most);
        }
    }

    fn refill(&mut self, now: Time) {
        let span = (now - self.filled).as_secs_f64();
        self.tokens = (self.tokens + span * self.rate()).min(self.burst());
        self.filled = self.filled.max(now);
    }
}
