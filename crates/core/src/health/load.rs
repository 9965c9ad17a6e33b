//! Load measured here, and load that servers report.

use std::cmp::Ordering;

/// Measured loads closer than this, in slots, count as equal.
const STEP: f64 = 0.5;

/// The load of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Slots in use over its weight, as measured by instances.
    pub measured: f64,
    /// What the server says, if it says anything.
    pub reported: Option<f64>,
}

impl ServerLoad {
    /// Orders by the measured load; reports lag and mislead, and decide only
    /// between servers that measure about the same.
    ///
    /// ```
    /// use {citron_core::health::ServerLoad, std::cmp::Ordering};
    /// let busy = ServerLoad { measured: 3.0, reported: Some(0.0) };
    /// let free = ServerLoad { measured: 1.0, reported: Some(9.0) };
    /// assert_eq!(busy.order(&free), Ordering::Greater);
    /// let tied = ServerLoad { measured: 1.1, reported: Some(2.0) };
    /// assert_eq!(free.order(&tied), Ordering::Greater);
    /// ```
    pub fn order(&self, other: &Self) -> Ordering {
        let step = |load: &Self| (load.measured / STEP) as i64;
        let by_report = || match (self.reported, other.reported) {
            (Some(one), Some(two)) => one.total_cmp(&two),
            _ => Ordering::Equal,
        };
        step(self).cmp(&step(other)).then_with(by_report)
    }
}
