//! Time unit of the tally series.

use std::time::Duration;

/// Minutes since the Unix epoch. They align the series of several instances and of
/// several process starts, which monotonic clocks cannot do. No decision on the ownership
/// of keys depends on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Minute(pub u64);

impl Minute {
    /// Minutes per hour.
    pub const MINUTES_PER_HOUR: u64 = 60;

    /// The minute of a wall clock time, given since the Unix epoch.
    ///
    /// ```
    /// use {citron_core::slo::Minute, std::time::Duration};
    /// assert_eq!(Minute::from_unix_time(Duration::from_secs(119)), Minute(1));
    /// assert_eq!(Minute(125).hour(), 2);
    /// ```
    pub fn from_unix_time(since_epoch: Duration) -> Self {
        Self(since_epoch.as_secs() / 60)
    }

    /// Full hours since the Unix epoch.
    pub fn hour(self) -> u64 {
        self.0 / Self::MINUTES_PER_HOUR
    }
}
