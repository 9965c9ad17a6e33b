//! Recent demand for a server.

use {crate::time::Time, std::time::Duration};

/// Time constant of the demand: a burst lasts seconds.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Recent requests per second that can meet their objective, granted or not.
#[derive(Debug, Default)]
pub struct RecentDemand {
    count: f64,
    updated: Time,
}

impl RecentDemand {
    /// Counts a request.
    pub fn record(&mut self, now: Time) {
        self.count = self.count_at(now) + 1.0;
        self.updated = now;
    }

    /// Recent requests per second.
    pub fn rate(&self, now: Time) -> f64 {
        self.count_at(now) / TIME_CONSTANT.as_secs_f64()
    }

    fn count_at(&self, now: Time) -> f64 {
        let age = (now - self.updated).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.count * (-age).exp()
    }
}
