//! The fixed spans of ownership.

use std::time::Duration;

/// Spans that every instance must agree on: an instance with a longer
/// [`Spans::confirm`] than a mover's would route after its leave is over for
/// the mover. They change with a version of the program, not by setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Spans {
    /// How long a read of the platform confirms a revision, from its begin.
    pub confirm: Duration,
    /// The longest lease of a backend server that checks epochs.
    pub lease: Duration,
}

impl Default for Spans {
    fn default() -> Self {
        Self {
            confirm: Duration::from_millis(1_500),
            lease: Duration::from_millis(1_000),
        }
    }
}
