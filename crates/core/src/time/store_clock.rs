//! Bounds on the store's clock, derived from its responses.

use {
    super::Time,
    crate::id::ParseIdError,
    std::{collections::VecDeque, fmt, ops::Add, str::FromStr, time::Duration},
};

/// Milliseconds on the store's clock, which all instances share and which keeps running
/// when instances restart.
///
/// ```
/// use {citron_core::time::StoreTime, std::time::Duration};
/// let moment: StoreTime = "1500".parse().unwrap();
/// assert_eq!(moment + Duration::from_millis(20), StoreTime(1_520));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct StoreTime(pub u64);

impl Add<Duration> for StoreTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl fmt::Display for StoreTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for StoreTime {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let number = text.parse().map(Self);
        number.map_err(|_| ParseIdError::Number {
            found: text.to_string(),
            min: 0,
            max: u64::MAX,
        })
    }
}

/// Maximum number of readings that are kept: those of some seconds at the planner's poll
/// interval.
const MAX_READINGS: usize = 16;
/// Largest drift of this process's clock relative to the store's, as a fraction. The
/// bound is that for backend servers' clocks, since none is specified for the store's.
const MAX_CLOCK_DRIFT: f64 = 0.02;

/// Readings of the store's clock from its responses.
///
/// The offset between the two clocks is never used, because the clock of a suspended
/// process stops as well. A local time is known to precede the reading of a call that
/// began after it, and the store's clock is estimated as its last reading plus the local
/// time since.
///
/// ```
/// use {citron_core::time::{StoreClock, StoreTime, Time}, std::time::Duration};
/// let at = |millis: u64| Time::from_micros(millis * 1_000);
/// let mut clock = StoreClock::default();
/// clock.record(at(100), at(110), StoreTime(5_000));
/// assert_eq!(clock.at_or_after(at(90)), Some(StoreTime(5_000)));
/// assert_eq!(clock.at_or_after(at(101)), None);
/// assert!(clock.is_past(StoreTime(5_050), at(170)));
/// assert!(!clock.is_past(StoreTime(5_060), at(170)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct StoreClock {
    readings: VecDeque<Reading>,
}

#[derive(Debug, Clone, Copy)]
struct Reading {
    sent: Time,
    received: Time,
    store_time: StoreTime,
}

impl StoreClock {
    /// Records the store's time from the response to a call that began at `sent` and
    /// ended at `received`.
    pub fn record(&mut self, sent: Time, received: Time, store_time: StoreTime) {
        if self.readings.len() == MAX_READINGS {
            self.readings.pop_front();
        }
        self.readings.push_back(Reading {
            sent,
            received,
            store_time,
        });
    }

    /// A time on the store's clock that is certainly not before a local time; `None`
    /// until a call that began no earlier than `moment` has been answered.
    pub fn at_or_after(&self, moment: Time) -> Option<StoreTime> {
        let later = self
            .readings
            .iter()
            .filter(|reading| reading.sent >= moment);
        later.map(|reading| reading.store_time).min()
    }

    /// Whether a time on the store's clock has certainly passed.
    pub fn is_past(&self, time: StoreTime, now: Time) -> bool {
        self.time_until(time, now)
            .is_some_and(|remaining| remaining.is_zero())
    }

    /// The longest time until a time on the store's clock has passed; `None` without a
    /// reading.
    pub fn time_until(&self, time: StoreTime, now: Time) -> Option<Duration> {
        let remaining = |reading: &Reading| {
            let since = (now - reading.received).mul_f64(1.0 - MAX_CLOCK_DRIFT);
            let remaining = Duration::from_millis(time.0.saturating_sub(reading.store_time.0));
            remaining
                .saturating_sub(since)
                .mul_f64(1.0 + MAX_CLOCK_DRIFT)
        };
        self.readings.iter().map(remaining).min()
    }
}
