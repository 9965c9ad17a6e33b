//! Sizes of the outlier detection.

use std::time::Duration;

/// When a server is an outlier, and how many may be taken out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthConfig {
    /// Failures in a row that eject a server.
    pub consecutive_failures: u32,
    /// The largest part of a pool that is ejected.
    pub ejected_share_max: f64,
    /// Latency over the pool's middle one that ejects a server.
    pub slow_factor: f64,
    /// No server is slow below this latency.
    pub slow_min: Duration,
    /// Answers that a latency counts after.
    pub samples_min: u32,
    /// Probes answered in a row that take a server back.
    pub probes_required: u32,
}

impl HealthConfig {
    /// The defaults.
    pub const STANDARD: Self = Self {
        consecutive_failures: 5,
        ejected_share_max: 0.3,
        slow_factor: 5.0,
        slow_min: Duration::from_millis(100),
        samples_min: 50,
        probes_required: 3,
    };
}
