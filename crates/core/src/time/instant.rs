//! Time on a process's monotonic clock.

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// Microseconds on the monotonic clock of one process, from an arbitrary origin.
///
/// Times of two processes are never compared; only durations cross the wire.
///
/// ```
/// use {citron_core::time::Time, std::time::Duration};
/// let start = Time::from_micros(5);
/// let later = start + Duration::from_micros(10);
/// assert_eq!(later - start, Duration::from_micros(10));
/// assert_eq!(start - later, Duration::ZERO);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock, before every event.
    pub const ZERO: Self = Self(0);

    /// The time `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

/// The time `span` earlier; the origin if that is before it.
impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

/// The duration since `earlier`; zero if `earlier` is later.
impl Sub for Time {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
