//! Limits for sending requests to servers that leave.

use std::time::Duration;

/// Time until this instance knows of a change that the store has acknowledged, plus the
/// time from a routing decision until the request arrives.
const DRAIN_MARGIN: Duration = Duration::from_millis(800);
/// The same for an evacuation. It is longer because a change may be relayed by a slow
/// instance, and the limit for an evacuation allows for it.
const EVACUATION_MARGIN: Duration = Duration::from_millis(2_900);

/// How long a server that leaves may still get requests for the keys it owns, while those
/// keys move to other servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendBounds {
    /// Counted from when this instance knows that the server leaves.
    pub drain: Duration,
    /// Counted from when this instance knows that the server's failure domain is
    /// evacuated.
    pub evacuation: Duration,
}

impl SendBounds {
    /// Returns the limits set by operators, reduced by a margin for delayed changes and
    /// for requests that are on their way.
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
