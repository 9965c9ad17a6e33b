//! Until when owners of keys that leave get requests.

use std::time::Duration;

/// Time from the store's acknowledgement until this instance knew, and from a decision
/// until the request has arrived.
const DRAIN_MARGIN: Duration = Duration::from_millis(800);
/// The same for an evacuation: the news may come by way of an instance that is slow, and
/// its bound is longer.
const EVACUATION_MARGIN: Duration = Duration::from_millis(2_900);

/// How long owners of keys may still get requests, while the keys move away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendBounds {
    /// After the news that a server leaves.
    pub drain: Duration,
    /// After the news that its failure domain is evacuated.
    pub evacuation: Duration,
}

impl SendBounds {
    /// What operators allow, less a margin for news and requests that are on their way.
    ///
    /// ```
    /// use {citron_core::registry::SendBounds, std::time::Duration};
    /// let bounds = SendBounds::from_limits(Duration::from_secs(2), Duration::from_secs(5));
    /// assert!(bounds.drain < bounds.evacuation);
    /// ```
    pub fn from_limits(drain: Duration, evacuation: Duration) -> Self {
        Self {
            drain: drain.saturating_sub(DRAIN_MARGIN),
            evacuation: evacuation.saturating_sub(EVACUATION_MARGIN),
        }
    }
}
