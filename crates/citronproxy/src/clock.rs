//! The monotonic clock of this process.

use {
    citron_core::time::Time,
    std::time::{Duration, Instant},
};

/// The time at the start. An instance may be told of platform reads that were
/// begun before it started, and needs a time for them: rounded up to the origin,
/// they would seem later than they were and confirm for too long.
const HEAD_START: Duration = Duration::from_secs(24 * 60 * 60);

/// Reads monotonic time since the clock was made. Copies agree.
///
/// ```
/// let clock = citronproxy::clock::Clock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now, a day after its origin.
    pub fn start() -> Self {
        let origin = Instant::now();
        Self { origin }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time::ZERO + HEAD_START + self.origin.elapsed()
    }
}
