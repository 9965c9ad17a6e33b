//! Retry-After of denied requests.

use {super::SlotConfig, crate::time::Time, std::time::Duration};

/// Fraction of the golden ratio; successive multiples of it spread evenly over 0 to 1.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_895;

/// Successive times at which denied callers retry, spaced so that the server has completed
/// a request between two of them.
#[derive(Debug, Default)]
pub struct RetryTimes {
    next: Time,
    jitter: f64,
}

impl RetryTimes {
    /// Mixes a random number from 0 to 1 into the jitter. Denials between two requests
    /// continue from it.
    pub fn set_random(&mut self, random: f64) {
        self.jitter = random;
    }

    /// Retry-After of a caller with `deadline` left. The present queue ends at
    /// `queue_end`, and a request completes every `interval`.
    pub fn assign(
        &mut self,
        config: &SlotConfig,
        queue_end: Time,
        interval: Duration,
        deadline: Duration,
        now: Time,
    ) -> Duration {
        let max = deadline
            .mul_f64(config.deadline_share)
            .max(config.retry_after_min);
        let earliest = queue_end.max(now + config.retry_after_min);
        let time = self.next.max(earliest);
        // A time beyond the limit is not reserved, as nobody returns then.
        if time - now <= max {
            self.next = time + interval;
        }
        self.jitter = (self.jitter + GOLDEN_FRACTION).fract();
        let factor = 1.0 + config.retry_jitter * (2.0 * self.jitter - 1.0);
        let retry_after = (time - now).mul_f64(factor);
        retry_after.clamp(config.retry_after_min, max)
    }
}
