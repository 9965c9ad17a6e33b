//! How long vanished entries are kept.

use std::time::Duration;

/// Time for requests that are still on their way when the time of a leaving server ends.
const REJOIN_MARGIN: Duration = Duration::from_millis(400);

/// How long servers are kept whose entries have vanished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegistryTimes {
    /// Time to keep a missing entry after an outage of the store. Servers write their
    /// entries again within about two seconds; a server that is missing after that is
    /// gone.
    pub rejoin: Duration,
    /// Time to keep the record of a server that left, so that its late answers and the
    /// keys it owned can be told from those of an unknown server.
    pub retention: Duration,
}

impl RegistryTimes {
    /// The default times.
    pub const STANDARD: Self = Self {
        rejoin: Duration::from_millis(2_200),
        retention: Duration::from_secs(60),
    };

    /// Returns the default times for servers that may get requests for `drain` after this
    /// instance learned that they leave. If the store was unavailable to this instance
    /// only, a missing entry means that the server leaves. The time for rejoining must
    /// not extend the time in which such a server gets requests.
    ///
    /// ```
    /// use {citron_core::registry::RegistryTimes, std::time::Duration};
    /// let times = RegistryTimes::for_drain(Duration::from_secs(2));
    /// assert!(times.rejoin < Duration::from_secs(2));
    /// ```
    pub fn for_drain(drain: Duration) -> Self {
        let rejoin = Self::STANDARD
            .rejoin
            .min(drain.saturating_sub(REJOIN_MARGIN));
        Self {
            rejoin,
            ..Self::STANDARD
        }
    }
}
