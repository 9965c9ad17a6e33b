//! Limits for cold servers.

use {crate::admission::Rate, std::time::Duration};

/// Warm-up of a service's servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStart {
    /// Time for which a server stays cold.
    pub duration: Duration,
    /// Requests per second that a cold server can take, over all instances.
    pub rate: Rate,
}

/// Allowance above [`SlowStart::rate`] for the load of a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor on the rate.
    pub factor: f64,
    /// Requests added to the product.
    pub extra: f64,
}

impl ColdBound {
    /// Largest number of requests that a cold server may get in any second.
    ///
    /// ```
    /// use citron_core::{admission::Rate, slowstart::{ColdBound, SlowStart}};
    /// let bound = ColdBound { factor: 1.5, extra: 8.0 };
    /// let slow = SlowStart { duration: std::time::Duration::from_secs(3), rate: Rate(4.0) };
    /// assert_eq!(bound.max_requests(&slow), 14);
    /// ```
    pub fn max_requests(&self, slow: &SlowStart) -> u32 {
        // A float too large for the type saturates.
        (slow.rate.0 * self.factor + self.extra).floor() as u32
    }
}
