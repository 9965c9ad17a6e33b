//! Timing of rebalancing.

use {crate::time::Time, std::time::Duration};

/// Interval between two rebalancing plans. Observed demand is some seconds old, and the
/// effect of a move must show in it before the next plan.
const BALANCE_INTERVAL: Duration = Duration::from_millis(400);

/// Timer that tells when the next rebalancing plan is due.
///
/// ```
/// use {citron_core::{ranges::BalanceTimer, time::Time}, std::time::Duration};
/// let now = Time::ZERO + Duration::from_secs(1);
/// let mut timer = BalanceTimer::new(now);
/// assert!(!timer.is_due(false, true, now));
/// assert!(timer.is_due(true, true, now));
/// assert!(timer.is_due(false, true, now + Duration::from_millis(401)));
/// assert!(!timer.is_due(true, false, now + Duration::from_millis(900)));
/// ```
#[derive(Debug)]
pub struct BalanceTimer {
    /// When the last plan was due.
    last_due: Time,
}

impl BalanceTimer {
    /// Starts the interval at `now`.
    pub fn new(now: Time) -> Self {
        Self { last_due: now }
    }

    /// Whether a plan is due, and if so restarts the interval. A plan is due at once if
    /// demand `has_changed` suddenly, and never unless it `is_allowed`.
    ///
    /// Callers disallow it while the store does not answer: keys released for a move
    /// would have no owner until the store accepts the commit, and requests for them
    /// would be rejected for the whole outage.
    pub fn is_due(&mut self, has_changed: bool, is_allowed: bool, now: Time) -> bool {
        let is_due = is_allowed && (has_changed || now - self.last_due > BALANCE_INTERVAL);
        if is_due {
            self.last_due = now;
        }
        is_due
    }
}
