//! When moves for balance are planned.

use {crate::time::Time, std::time::Duration};

/// Time between two plans for balance: the demand seen is some seconds old, and
/// a move must show in it before the next one is planned.
const BALANCE_INTERVAL: Duration = Duration::from_millis(400);

/// Tells when the next plan for balance is due.
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
    last_due: Time,
}

impl BalanceTimer {
    /// Counts from now.
    pub fn new(now: Time) -> Self {
        Self { last_due: now }
    }

    /// Whether a plan is due now, if it `is_allowed` be made at all; at once if other keys are
    /// asked for all of a `has_changed`.
    ///
    /// It may not while the store does not answer: keys that were released for a move
    /// would have no owner until it takes the commit, and their callers would be refused
    /// for as long as it is away.
    pub fn is_due(&mut self, has_changed: bool, is_allowed: bool, now: Time) -> bool {
        let is_due = is_allowed && (has_changed || now - self.last_due > BALANCE_INTERVAL);
        if is_due {
            self.last_due = now;
        }
        is_due
    }
}
