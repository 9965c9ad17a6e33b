//! Slow start of a server that has just come up.

use {crate::time::Time, std::time::Duration};

/// How long a cold server takes to get its full share.
const SPAN: Duration = Duration::from_secs(10);
/// The part that it begins with.
const FIRST: f64 = 0.25;

/// Lets a cold server's share grow evenly to full.
///
/// A server with empty caches answers slowly. Its full share at once would fill
/// its slots with slow requests and time out the callers; a part of it warms the
/// caches while the rest is refused early.
///
/// ```
/// use {citron_core::{admission::Warmup, time::Time}, std::time::Duration};
/// let warmup = Warmup::new(Time::ZERO);
/// assert_eq!(warmup.part(Time::ZERO), 0.25);
/// assert_eq!(warmup.part(Time::ZERO + Duration::from_secs(10)), 1.0);
/// ```
#[derive(Debug)]
pub struct Warmup {
    begun: Time,
}

impl Warmup {
    /// A server that came up now.
    pub fn new(now: Time) -> Self {
        Self { begun: now }
    }

    /// The part of its share that the server may get.
    pub fn part(&self, now: Time) -> f64 {
        let done = (now - self.begun).as_secs_f64() / SPAN.as_secs_f64();
        (FIRST + (1.0 - FIRST) * done).min(1.0)
    }
}
