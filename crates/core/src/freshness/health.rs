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
    /// Whether a read has failed since the last answer.
    has_failed_read: bool,
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
        self.has_failed_read = false;
    }

    /// Records a read that failed or timed out. One that began before the last answer shows
    /// nothing: the store has answered since.
    ///
    /// ```
    /// use {citron_core::{freshness::StoreHealth, time::Time}, std::time::Duration};
    /// let at = |millis| Time::ZERO + Duration::from_millis(millis);
    /// let mut health = StoreHealth::default();
    /// health.record_answer(at(1_000));
    /// health.record_failed_read(at(500), at(2_500));
    /// assert!(health.is_up());
    /// health.record_failed_read(at(1_500), at(2_500));
    /// assert!(!health.is_up());
    /// ```
    pub fn record_failed_read(&mut self, started: Time, now: Time) {
        if self.last_answer.is_none_or(|answer| answer <= started) {
            self.record_failure(now);
        }
    }

    /// Records a write that failed or timed out. It only confirms a failed read: a store may
    /// lose the responses to writes while it answers reads, and a read is due every half
    /// second.
    ///
    /// ```
    /// use {citron_core::{freshness::StoreHealth, time::Time}, std::time::Duration};
    /// let at = |millis| Time::ZERO + Duration::from_millis(millis);
    /// let mut health = StoreHealth::default();
    /// health.record_answer(at(100));
    /// health.record_failed_write(at(1_200));
    /// assert!(health.is_up());
    /// ```
    pub fn record_failed_write(&mut self, now: Time) {
        if self.has_failed_read {
            self.record_failure(now);
        }
    }

    /// Records a call that failed or timed out, begun after the last answer.
    pub fn record_failure(&mut self, now: Time) {
        self.has_failed_read = true;
        let is_recent = |answer| now - answer < ANSWER_TIMEOUT;
        self.is_up &= self.last_answer.is_some_and(is_recent);
    }
}
