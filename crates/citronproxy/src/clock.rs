//! Monotonic clock of the process.

use {
    citron_core::time::Time,
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Time at which the clock starts. A relayed lease may be based on a platform read from
/// before this instance started, which needs a time as well. If that time were clamped to
/// the origin, the read would look more recent than it was, and the lease would last too
/// long.
const START_OFFSET: Duration = Duration::from_secs(24 * 60 * 60);

/// Monotonic clock. Copies return the same time.
///
/// It includes the time during which the machine was suspended. By the usual monotonic
/// clock, a lease or grant would seem to last for as long as the machine was suspended.
///
/// ```
/// let clock = citronproxy::clock::Clock::start();
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Duration,
}

impl Clock {
    /// Starts a clock, one day after its origin.
    pub fn start() -> Self {
        let origin = since_boot();
        Self { origin }
    }

    /// Current time.
    pub fn now(&self) -> Time {
        Time::ZERO + START_OFFSET + since_boot().saturating_sub(self.origin)
    }
}

/// Time since the machine booted, including suspension.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or(0))
}
