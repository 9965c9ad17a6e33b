//! The monotonic clock of this process.

use {
    citron_core::time::Time,
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// The time at the start. An instance may be told of platform reads that were
/// begun before it started, and needs a time for them: rounded up to the origin,
/// they would seem later than they were and confirm for too long.
const START_OFFSET: Duration = Duration::from_secs(24 * 60 * 60);

/// Reads monotonic time since the clock was made. Copies agree.
///
/// Time in which the machine was suspended counts: by the usual monotonic clock
/// a lease or a leave to act would seem to last for as long as it slept.
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
    /// A clock that starts now, a day after its origin.
    pub fn start() -> Self {
        let origin = since_boot();
        Self { origin }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time::ZERO + START_OFFSET + since_boot().saturating_sub(self.origin)
    }
}

/// Time since the machine was started, sleep included.
fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(now.tv_nsec).unwrap_or(0))
}
