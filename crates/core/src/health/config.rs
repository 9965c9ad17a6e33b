//! Settings of the outlier detection.

use std::time::Duration;

/// Criteria for outliers, and limits on ejections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthConfig {
    /// Consecutive failures that eject a server.
    pub consecutive_failures: u32,
    /// Largest fraction of a pool that may be ejected.
    pub ejected_share_max: f64,
    /// Multiple of the pool's median latency that ejects a server.
    pub slow_factor: f64,
    /// Latency up to which no server counts as slow.
    pub slow_min: Duration,
    /// Responses needed before a latency is used.
    pub samples_min: u32,
    /// Consecutive successful probes that restore a server.
    pub probes_required: u32,
}

impl HealthConfig {
    /// Default settings.
    pub const STANDARD: Self = Self {
        consecutive_failures: 5,
        ejected_share_max: 0.3,
        slow_factor: 5.0,
        slow_min: Duration::from_millis(100),
        samples_min: 50,
        probes_required: 3,
    };
}
