//! When moves for balance are planned.

use {crate::time::Time, std::time::Duration};

/// Time between two plans for balance: the demand seen is some seconds old, and
/// a move must show in it before the next one is planned.
const EVEN: Duration = Duration::from_millis(400);

/// Tells when the next plan for balance is due.
///
/// ```
/// use {citron_core::{ranges::EvenClock, time::Time}, std::time::Duration};
/// let now = Time::ZERO + Duration::from_secs(1);
/// let mut even = EvenClock::new(now);
/// assert!(!even.is_due(false, true, now));
/// assert!(even.is_due(true, true, now));
/// assert!(even.is_due(false, true, now + Duration::from_millis(401)));
/// assert!(!even.is_due(true, false, now + Duration::from_millis(900)));
/// ```
#[derive(Debug)]
pub struct EvenClock {
    last: Time,
}

impl EvenClock {
    /// Counts from now.
    pub fn new(now: Time) -> Self {
        Self { last: now }
    }

    /// Whether a plan is due now, if it `may` be made at all; at once if other keys are
    /// asked for all of a `sudden`.
    ///
    /// It may not while the store does not answer: keys that were released for a move
    /// would have no owner until it takes the commit, and their callers would be refused
    /// for as long as it is away.
    pub fn is_due(&mut self, sudden: bool, may: bool, now: Time) -> bool {
        let due = may && (sudden || now - self.last > EVEN);
        if due {
            self.last = now;
        }
        due
    }
}
