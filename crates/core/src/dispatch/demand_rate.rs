//! Rate of requests over about the last second.

use {
    crate::{admission::Rate, time::Time},
    std::time::Duration,
};

/// Time constant of the average: short enough to follow a burst, and long enough for a
/// few requests at servers with low limits.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Lower bound of the time since the first request when the rate is computed.
const AGE_MIN: Duration = Duration::from_millis(200);

/// Exponentially decayed count of requests.
///
/// ```
/// use {citron_core::{dispatch::DemandRate, time::Time}, std::time::Duration};
/// let mut demand = DemandRate::default();
/// for number in 0..100 {
///     demand.count(Time::ZERO + Duration::from_millis(100) * number);
/// }
/// let rate = demand.rate(Time::ZERO + Duration::from_secs(10));
/// assert!((9.0..11.0).contains(&rate.0));
/// ```
#[derive(Debug, Default)]
pub struct DemandRate {
    started: Option<Time>,
    weight: f64,
    updated: Time,
}

impl DemandRate {
    /// Counts a request.
    pub fn count(&mut self, now: Time) {
        self.count_many(1, now);
    }

    /// Counts requests.
    pub fn count_many(&mut self, requests: u32, now: Time) {
        self.started.get_or_insert(now);
        self.weight = f64::from(requests) + self.weight * decay(now - self.updated);
        self.updated = self.updated.max(now);
    }

    /// Requests per second.
    pub fn rate(&self, now: Time) -> Rate {
        let age = self.started.map_or(AGE_MIN, |started| now - started);
        let window = TIME_CONSTANT.as_secs_f64() * (1.0 - decay(age.max(AGE_MIN)));
        Rate(self.weight * decay(now - self.updated) / window)
    }
}

/// Factor on a count after `elapsed`.
fn decay(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp()
}
