//! Slow start of a server that has just come up.

use {crate::time::Time, std::time::Duration};

/// How long a cold server takes to get its full share.
const WARMUP_TIME: Duration = Duration::from_secs(10);
/// The part that it begins with.
const INITIAL_SHARE: f64 = 0.25;

/// Lets a cold server's share grow evenly to full.
///
/// A server with empty caches answers slowly. Its full share at once would fill
/// its slots with slow requests and time out the callers; a part of it warms the
/// caches while the rest is refused early.
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
    /// A server that came up now.
    pub fn new(now: Time) -> Self {
        Self { started: now }
    }

    /// The part of its share that the server may get.
    pub fn share_fraction(&self, now: Time) -> f64 {
        let done = (now - self.started).as_secs_f64() / WARMUP_TIME.as_secs_f64();
        (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * done).min(1.0)
    }
}
