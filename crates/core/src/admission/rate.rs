//! Request rates and rate limits.

use {
    crate::{id::ParseIdError, time::Time},
    std::{fmt, str::FromStr, time::Duration},
};

/// Requests per second.
///
/// ```
/// use citron_core::admission::Rate;
/// assert_eq!("12.5".parse(), Ok(Rate(12.5)));
/// assert!("-1".parse::<Rate>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

/// Weight of a new sample in a moving average.
const EWMA_WEIGHT: f64 = 0.2;

impl Rate {
    /// Adds a sample to a moving average.
    pub(super) fn update_average(&mut self, sample: f64) {
        self.0 += EWMA_WEIGHT * (sample - self.0);
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Rate {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let parsed = text.parse::<f64>().ok();
        let valid = parsed.filter(|rate| rate.is_finite() && *rate >= 0.0);
        valid.map(Self).ok_or_else(|| ParseIdError::Number {
            found: text.to_string(),
            min: 0,
            max: u64::from(u32::MAX),
        })
    }
}

/// Token bucket for one instance's share of a rate limit. It holds at most the tokens of
/// one second, and at least one.
///
/// ```
/// use {citron_core::{admission::{Rate, RateLimiter}, time::Time}, std::time::Duration};
/// let mut limiter = RateLimiter::new(Rate(2.0), Time::ZERO);
/// assert!(limiter.try_take(Time::ZERO) && limiter.try_take(Time::ZERO) && !limiter.try_take(Time::ZERO));
/// assert_eq!(limiter.wait(Time::ZERO), Duration::from_millis(500));
/// assert!(limiter.try_take(Time::from_micros(500_000)));
/// ```
#[derive(Debug)]
pub struct RateLimiter {
    rate: Rate,
    tokens: f64,
    refilled_at: Time,
}

impl RateLimiter {
    /// Creates a full bucket.
    pub fn new(rate: Rate, now: Time) -> Self {
        Self {
            rate,
            tokens: rate.0.max(1.0),
            refilled_at: now,
        }
    }

    /// Replaces the rate.
    pub fn set_rate(&mut self, rate: Rate, now: Time) {
        self.refill(now);
        self.rate = rate;
    }

    /// Takes the token of one request; `false` if there is none.
    pub fn try_take(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Time until a token is available; one hour if the rate is 0.
    pub fn wait(&self, now: Time) -> Duration {
        let gained = (now - self.refilled_at).as_secs_f64() * self.rate.0;
        let missing = (1.0 - self.tokens - gained).max(0.0);
        let seconds = missing / self.rate.0.max(f64::MIN_POSITIVE);
        Duration::from_secs_f64(seconds.min(3_600.0))
    }

    fn refill(&mut self, now: Time) {
        let gained = (now - self.refilled_at).as_secs_f64() * self.rate.0;
        self.tokens = (self.tokens + gained).min(self.rate.0.max(1.0));
        self.refilled_at = self.refilled_at.max(now);
    }
}
