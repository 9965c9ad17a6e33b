//! The unit of time of records.

use std::time::Duration;

/// A minute since the Unix epoch. Records of several instances, and of several
/// starts of one, are put together by it, which monotonic clocks cannot do; no
/// decision about keys rests on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Minute(pub u64);

impl Minute {
    /// Minutes of an hour.
    pub const MINUTES_PER_HOUR: u64 = 60;

    /// The minute of a wall clock reading.
    ///
    /// ```
    /// use {citron_core::slo::Minute, std::time::Duration};
    /// assert_eq!(Minute::from_unix_time(Duration::from_secs(119)), Minute(1));
    /// assert_eq!(Minute(125).hour(), 2);
    /// ```
    pub fn from_unix_time(since_epoch: Duration) -> Self {
        Self(since_epoch.as_secs() / 60)
    }

    /// The hour since the Unix epoch that it belongs to.
    pub fn hour(self) -> u64 {
        self.0 / Self::MINUTES_PER_HOUR
    }
}
