//! Staleness of a table copy, which decides whether the copy may justify a final negative
//! response.

use {
    super::{Age, FreshnessTimes},
    crate::{id::StoreVersion, time::Time},
    std::time::Duration,
    thiserror::Error,
};

/// How long operators may take to write again what the store lacks after it came back from a
/// copy.
pub const REWRITE_TIME: Duration = Duration::from_secs(5);

/// Lag of a table copy behind a version that is known to exist.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Lag {
    /// No higher version is known.
    #[default]
    None,
    /// Another instance advertised a higher version.
    Advertised,
    /// A row of a higher version could not be decoded.
    Unreadable,
    /// The store came back from a copy, which may lack what the operators have not written
    /// again yet.
    Restored,
}

/// Reason why a table that decides requests may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StaleReason {
    /// The table was never read.
    #[error("its age is unknown")]
    UnknownAge,
    /// The store has been unreachable for longer than [`FreshnessTimes::outage_age`].
    #[error("it is {}ms old", .0.as_millis())]
    Expired(Duration),
    /// A newer version is known.
    #[error("a newer one is known of")]
    Lagging,
    /// The store has a newer version that cannot be decoded.
    #[error("a newer one cannot be read")]
    Unreadable,
    /// The store came back from a copy within [`REWRITE_TIME`].
    #[error("the store came back from a copy")]
    Restored,
}

/// Staleness of a table copy. A final negative response requires a copy that is not
/// stale, because another instance may have the route that is missing here.
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
    /// Age of the copy.
    pub age: Age,
    /// Lag of the copy behind a version that is known to exist.
    pub lag: Lag,
}

impl Staleness {
    /// The reason why the copy may be out of date; `None` if it is current.
    pub fn stale_reason(&self, times: &FreshnessTimes) -> Option<StaleReason> {
        match (self.lag, self.age) {
            (Lag::Unreadable, _) => Some(StaleReason::Unreadable),
            (Lag::Advertised, _) => Some(StaleReason::Lagging),
            (Lag::Restored, _) => Some(StaleReason::Restored),
            (Lag::None, None) => Some(StaleReason::UnknownAge),
            (Lag::None, Some(age)) => (age > times.outage_age).then_some(StaleReason::Expired(age)),
        }
    }
}

/// The applied version and the highest advertised version of a table.
///
/// An advertised version expires [`FreshnessTimes::outage_age`] after it was last
/// advertised. The peer may have advertised the version at which it read the table rather
/// than that of a change, and may have ended since.
///
/// ```
/// use citron_core::{freshness::{FreshnessTimes, Lag, VersionTracker}, id::StoreVersion, time::Time};
/// let mut tracker = VersionTracker::new(FreshnessTimes::STANDARD);
/// let now = Time::from_micros(5_000);
/// tracker.record_applied(StoreVersion(7));
/// tracker.record_advertised(StoreVersion(9), now);
/// assert_eq!(tracker.lag(Some(now)), Lag::Advertised);
/// tracker.record_applied(StoreVersion(9));
/// assert_eq!(tracker.lag(Some(now)), Lag::None);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct VersionTracker {
    times: FreshnessTimes,
    applied: StoreVersion,
    advertised: StoreVersion,
    /// When a version above the applied one was last advertised.
    advertised_at: Time,
    unreadable: Option<StoreVersion>,
}

impl VersionTracker {
    /// A tracker without any known version.
    pub fn new(times: FreshnessTimes) -> Self {
        Self {
            times,
            applied: StoreVersion::NONE,
            advertised: StoreVersion::NONE,
            advertised_at: Time::ZERO,
            unreadable: None,
        }
    }

    /// Records that all changes up to a version are applied.
    pub fn record_applied(&mut self, version: StoreVersion) {
        self.applied = self.applied.max(version);
    }

    /// Records a version that another instance advertises.
    pub fn record_advertised(&mut self, version: StoreVersion, now: Time) {
        if version > self.applied {
            self.advertised = self.advertised.max(version);
            self.advertised_at = now;
        }
    }

    /// Records that a row of this version was decoded.
    pub fn record_readable(&mut self, version: StoreVersion) {
        self.unreadable = self.unreadable.filter(|unreadable| *unreadable >= version);
    }

    /// Records that a row of this version could not be decoded.
    pub fn record_unreadable(&mut self, version: StoreVersion) {
        self.unreadable = self.unreadable.max(Some(version));
    }

    /// The lag of the applied version, which was last known to be current at `as_of`.
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
