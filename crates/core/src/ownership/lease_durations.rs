//! The fixed spans of ownership.

use std::time::Duration;

/// Spans that every instance must agree on: an instance with a longer
/// [`LeaseDurations::routing`] than a mover's would route after its leave is over for
/// the mover. They change with a version of the program, not by setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseDurations {
    /// How long a read of the platform confirms a revision, from its begin.
    pub routing: Duration,
    /// The longest lease of a backend server that checks epochs.
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
