//! What operators allow for cold servers.

use {crate::admission::Rate, std::time::Duration};

/// How the servers of a service warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStart {
    /// How long a server stays cold.
    pub duration: Duration,
    /// Requests a second that it takes meanwhile, over all instances.
    pub rate: Rate,
}

/// How far above [`SlowStart::rate`] a cold server may be loaded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor of the rate.
    pub factor: f64,
    /// Requests added to that.
    pub extra: f64,
}

impl ColdBound {
    /// The most requests that a cold server may get in any second.
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
