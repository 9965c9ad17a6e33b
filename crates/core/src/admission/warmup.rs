//! Slow start of a server that has just started.

use {crate::time::Time, std::time::Duration};

/// Time until a cold server gets its full share.
const WARMUP_TIME: Duration = Duration::from_secs(10);
/// Fraction of the share at the start.
const INITIAL_SHARE: f64 = 0.25;

/// Linear growth of a cold server's share to the full one.
///
/// A server with empty caches responds slowly. With its full share at once, slow requests
/// would fill its slots and time out. A fraction of the share fills the caches while the
/// remaining requests are rejected early.
///
/// ```
/// use {citron_core::{admission::Warmup, time::Time}, std::time::Duration};
/// let warmup = Warmup::new(Time::ZERO);
/// assert_eq!(warmup.share_fraction(Time::ZERO), 0.25);
/// assert_eq!(warmup.share_fraction(Time::ZERO + Duration::from_secs(10)), 1.0);
/// ```
#[derive(Debug)]
pub struct Warmup {
    started: Time,
}

impl Warmup {
    /// Starts the warm-up at `now`.
    pub fn new(now: Time) -> Self {
        Self { started: now }
    }

    /// Fraction of its share that the server may get.
    pub fn share_fraction(&self, now: Time) -> f64 {
        let done = (now - self.started).as_secs_f64() / WARMUP_TIME.as_secs_f64();
        (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * done).min(1.0)
    }
}
