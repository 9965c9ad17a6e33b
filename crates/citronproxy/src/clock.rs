//! The monotonic clock of this process.

use {citron_core::time::Time, std::time::Instant};

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
    /// A clock whose origin is now.
    pub fn start() -> Self {
        let origin = Instant::now();
        Self { origin }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }
}
