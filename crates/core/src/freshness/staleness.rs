//! Whether what is known of a table is good enough for a final negative answer.

use {
    super::{Age, FreshnessTimes},
    crate::time::Time,
    std::time::Duration,
    thiserror::Error,
};

/// Whether a table lags behind a version that is known to exist.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Lag {
    /// No higher version is known.
    #[default]
    None,
    /// Another instance advertised a higher version.
    Advertised,
    /// A row of a higher version could not be decoded.
    Unreadable,
}

/// Why a table that requests are decided by may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StaleReason {
    /// Nobody told how old it is.
    #[error("its age is unknown")]
    UnknownAge,
    /// It is so old that the store was not heard of meanwhile.
    #[error("it is {}ms old", .0.as_millis())]
    Expired(Duration),
    /// There is a newer one.
    #[error("a newer one is known of")]
    Lagging,
    /// There is a newer one that could not be read.
    #[error("a newer one cannot be read")]
    Unreadable,
}

/// How current a table is. A final negative response needs one in good standing: any other
/// instance may have the route that is missing here.
///
/// ```
/// use {
///     citron_core::freshness::{StaleReason, FreshnessTimes, Lag, Staleness},
///     std::time::Duration,
/// };
/// let times = FreshnessTimes::STANDARD;
/// let age = Some(Duration::from_millis(80));
/// let lag = Lag::None;
/// assert_eq!(Staleness { age, lag }.stale_reason(&times), None);
/// let lag = Lag::Advertised;
/// assert_eq!(Staleness { age, lag }.stale_reason(&times), Some(StaleReason::Lagging));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Staleness {
    /// How old what is known is.
    pub age: Age,
    /// Whether it lags behind a known version.
    pub lag: Lag,
}

impl Staleness {
    /// Why the table is not good enough; `None` if it is.
    pub fn stale_reason(&self, times: &FreshnessTimes) -> Option<StaleReason> {
        match (self.lag, self.age) {
            (Lag::Unreadable, _) => Some(StaleReason::Unreadable),
            (Lag::Advertised, _) => Some(StaleReason::Lagging),
            (Lag::None, None) => Some(StaleReason::UnknownAge),
            (Lag::None, Some(age)) => (age > times.outage_age).then_some(StaleReason::Expired(age)),
        }
    }
}

/// Tracks the applied and the highest advertised version of a table.
///
/// An advertised version expires one `outage` after it was last advertised: the peer may have
/// advertised the version of a read rather than of a change, and have ended since.
///
/// ```
/// use citron_core::{freshness::{FreshnessTimes, Lag, VersionTracker}, time::Time};
/// let mut tracker = VersionTracker::new(FreshnessTimes::STANDARD);
/// let now = Time::from_micros(5_000);
/// tracker.record_applied(7);
/// tracker.record_advertised(9, now);
/// assert_eq!(tracker.lag(Some(now)), Lag::Advertised);
/// tracker.record_applied(9);
/// assert_eq!(tracker.lag(Some(now)), Lag::None);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct VersionTracker {
    times: FreshnessTimes,
    applied: u64,
    advertised: u64,
    /// When a version above the applied one was last advertised.
    advertised_at: Time,
    unreadable: Option<u64>,
}

impl VersionTracker {
    /// Nothing is known.
    pub fn new(times: FreshnessTimes) -> Self {
        Self {
            times,
            applied: 0,
            advertised: 0,
            advertised_at: Time::ZERO,
            unreadable: None,
        }
    }

    /// All changes up to a version are applied.
    pub fn record_applied(&mut self, version: u64) {
        self.applied = self.applied.max(version);
    }

    /// Another instance advertises a version.
    pub fn record_advertised(&mut self, version: u64, now: Time) {
        if version > self.applied {
            self.advertised = self.advertised.max(version);
            self.advertised_at = now;
        }
    }

    /// A row of this version was decoded.
    pub fn record_readable(&mut self, version: u64) {
        self.unreadable = self.unreadable.filter(|unreadable| *unreadable >= version);
    }

    /// A row of this version could not be decoded.
    pub fn record_unreadable(&mut self, version: u64) {
        self.unreadable = self.unreadable.max(Some(version));
    }

    /// Whether the applied version, which is known as of a moment, lags behind.
    pub fn lag(&self, as_of: Option<Time>) -> Lag {
        if self.unreadable.is_some() {
            return Lag::Unreadable;
        }
        let expires = self.advertised_at + self.times.outage_age;
        let expired = as_of.is_some_and(|as_of| as_of > expires);
        if self.advertised > self.applied && !expired {
            Lag::Advertised
        } else {
            Lag::None
        }
    }
}
