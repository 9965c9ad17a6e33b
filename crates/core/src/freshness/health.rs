//! Whether the store counts as lost.

use {super::FreshnessTimes, crate::time::Time, std::time::Duration};

/// Tells a single lost answer from a store that answers nothing.
///
/// Must stay below the planner's poll interval plus the timeout of one call, so that the
/// first call that fails after a cut tells of it.
const ANSWER_TIMEOUT: Duration = FreshnessTimes::STANDARD.planner_interval.saturating_mul(2);

/// Whether the store answers this instance.
///
/// ```
/// use {citron_core::{freshness::StoreHealth, time::Time}, std::time::Duration};
/// let at = |millis| Time::ZERO + Duration::from_millis(millis);
/// let mut health = StoreHealth::default();
/// assert!(!health.is_up());
/// health.record_answer(at(100));
/// health.record_failure(at(900));
/// assert!(health.is_up());
/// health.record_failure(at(1_200));
/// assert!(!health.is_up());
/// ```
#[derive(Debug, Default)]
pub struct StoreHealth {
    last_answer: Option<Time>,
    is_up: bool,
}

impl StoreHealth {
    /// Whether the store counts as reachable.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// A call was answered.
    pub fn record_answer(&mut self, now: Time) {
        self.last_answer = self.last_answer.max(Some(now));
        self.is_up = true;
    }

    /// A call failed, or was not answered in time.
    pub fn record_failure(&mut self, now: Time) {
        let is_recent = |answer| now - answer < ANSWER_TIMEOUT;
        self.is_up &= self.last_answer.is_some_and(is_recent);
    }
}
