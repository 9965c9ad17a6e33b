//! Comparison of servers by measured and reported load.

use std::cmp::Ordering;

/// Step in slots to which measured loads are rounded down before they are compared.
const STEP: f64 = 0.5;

/// Load of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeasuredLoad {
    /// Slots in use divided by the server's weight, as measured by instances.
    pub measured: f64,
    /// Load that the server reports, if any.
    pub reported: Option<f64>,
}

impl MeasuredLoad {
    /// Compares by the measured load. Reported loads are delayed and unreliable, and
    /// decide only between servers with about the same measured load.
    ///
    /// ```
    /// use {citron_core::health::MeasuredLoad, std::cmp::Ordering};
    /// let busy = MeasuredLoad { measured: 3.0, reported: Some(0.0) };
    /// let free = MeasuredLoad { measured: 1.0, reported: Some(9.0) };
    /// assert_eq!(busy.cmp_load(&free), Ordering::Greater);
    /// let tied = MeasuredLoad { measured: 1.1, reported: Some(2.0) };
    /// assert_eq!(free.cmp_load(&tied), Ordering::Greater);
    /// ```
    pub fn cmp_load(&self, other: &Self) -> Ordering {
        let step = |load: &Self| (load.measured / STEP) as i64;
        let by_report = || match (self.reported, other.reported) {
            (Some(one), Some(two)) => one.total_cmp(&two),
            _ => Ordering::Equal,
        };
        step(self).cmp(&step(other)).then_with(by_report)
    }
}
