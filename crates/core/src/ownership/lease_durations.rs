//! Fixed lease durations of the ownership protocol.

use std::time::Duration;

/// Lease durations that every instance must agree on. An instance with a longer
/// [`LeaseDurations::routing`] than that of the instance running a move would still route
/// to the old owner after the move has stopped waiting for it. They are constants of the
/// program version, not settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseDurations {
    /// Duration of an instance's routing lease for servers in any failure domain, from
    /// the start of the platform read that it is based on.
    pub routing: Duration,
    /// Longest lease of a backend server that checks epochs.
    pub server: Duration,
}

impl Default for LeaseDurations {
    fn default() -> Self {
        Self {
            routing: Duration::from_millis(1_500),
            server: Duration::from_millis(1_000),
        }
    }
}
