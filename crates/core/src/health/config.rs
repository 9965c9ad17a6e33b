//! Sizes of the outlier detection.

use std::time::Duration;

/// When a server is an outlier, and how many may be taken out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthConfig {
    /// Failures in a row that eject a server.
    pub failures: u32,
    /// The largest part of a pool that is ejected.
    pub share: f64,
    /// Latency over the pool's middle one that ejects a server.
    pub slow_factor: f64,
    /// No server is slow below this latency.
    pub slow_least: Duration,
    /// Answers that a latency counts after.
    pub samples: u32,
    /// Probes answered in a row that take a server back.
    pub probes: u32,
}

impl HealthConfig {
    /// The defaults.
    pub const STANDARD: Self = Self {
        failures: 5,
        share: 0.3,
        slow_factor: 5.0,
        slow_least: Duration::from_millis(100),
        samples: 50,
        probes: 3,
    };
}
