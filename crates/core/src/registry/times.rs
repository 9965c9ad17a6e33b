//! How long entries that vanished count.

use std::time::Duration;

/// For requests that are on their way when a server's time is over.
const REJOIN_MARGIN: Duration = Duration::from_millis(400);

/// How long an entry that vanished still counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegistryTimes {
    /// After the store's return: servers write themselves anew within about two
    /// seconds, and one that is missing after that is gone.
    pub rejoin: Duration,
    /// How long a server that left is remembered, so that its late answers and
    /// the keys it held can be told from those of a server never heard of.
    pub retention: Duration,
}

impl RegistryTimes {
    /// The defaults; see the fields.
    pub const STANDARD: Self = Self {
        rejoin: Duration::from_millis(2_200),
        retention: Duration::from_secs(60),
    };

    /// The defaults for servers that may get requests for `drain` after the news
    /// that they leave. The store may have been away for this instance only, and
    /// then a missing entry is a server that leaves: it must not get requests
    /// for longer because of the time that is given to servers to rejoin.
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
