//! Failure detection for the store.

use {super::FreshnessTimes, crate::time::Time, std::time::Duration};

/// Time since the last answer after which a failed call marks the store as unreachable. A
/// shorter time would mistake a single lost answer for an outage.
///
/// It must stay below the planner's poll interval plus the timeout of one call, so that
/// the first call that fails after a network partition already reports the outage.
const ANSWER_TIMEOUT: Duration = FreshnessTimes::STANDARD.planner_interval.saturating_mul(2);

/// Health of the store, as this instance's calls show it.
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
    /// Whether the store is considered reachable.
    pub fn is_up(&self) -> bool {
        self.is_up
    }

    /// Records a call that was answered.
    pub fn record_answer(&mut self, now: Time) {
        self.last_answer = self.last_answer.max(Some(now));
        self.is_up = true;
    }

    /// Records a call that failed or timed out.
    pub fn record_failure(&mut self, now: Time) {
        let is_recent = |answer| now - answer < ANSWER_TIMEOUT;
        self.is_up &= self.last_answer.is_some_and(is_recent);
    }
}
