//! Load measured here, and load that servers report.

use std::cmp::Ordering;

/// Measured loads closer than this, in slots, count as equal.
const STEP: f64 = 0.5;

/// The load of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeasuredLoad {
    /// Slots in use over its weight, as measured by instances.
    pub measured: f64,
    /// What the server says, if it says anything.
    pub reported: Option<f64>,
}

impl MeasuredLoad {
    /// Orders by the measured load; reports lag and mislead, and decide only
    /// between servers that measure about the same.
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
