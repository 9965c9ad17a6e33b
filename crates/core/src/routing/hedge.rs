//! When a second copy of an idempotent request is worth its cost.

use std::time::Duration;

/// Share of answers that come before a hedge is due.
const PERCENTILE: f64 = 0.95;
/// Step of the estimate, relative to itself.
const GAIN: f64 = 0.02;
/// Answers seen before the estimate counts.
const WARM: u32 = 50;
/// Where the estimate begins.
const FIRST: Duration = Duration::from_millis(50);
/// Below this a hedge costs more than it saves.
const LEAST: Duration = Duration::from_millis(2);

/// Estimate of a high percentile of a server's latency.
///
/// It goes up by a large step for an answer above it and down by a small one for
/// an answer below; the two are in balance at the percentile.
///
/// ```
/// use {citron_core::routing::HedgeDelay, std::time::Duration};
/// let mut delay = HedgeDelay::default();
/// assert_eq!(delay.due(), None);
/// (0..2_000).for_each(|_| delay.observe(Duration::from_millis(20)));
/// assert!(delay.due().unwrap() < Duration::from_millis(30));
/// ```
#[derive(Debug, Clone)]
pub struct HedgeDelay {
    estimate: f64,
    seen: u32,
}

impl Default for HedgeDelay {
    fn default() -> Self {
        Self {
            estimate: FIRST.as_secs_f64(),
            seen: 0,
        }
    }
}

impl HedgeDelay {
    /// Counts the latency of an answer.
    pub fn observe(&mut self, latency: Duration) {
        let above = latency.as_secs_f64() > self.estimate;
        let step = if above { PERCENTILE } else { PERCENTILE - 1.0 };
        self.estimate *= 1.0 + GAIN * step;
        self.seen = self.seen.saturating_add(1);
    }

    /// How long after the write a hedge is due; `None` until enough was seen.
    pub fn due(&self) -> Option<Duration> {
        let estimate = Duration::from_secs_f64(self.estimate);
        (self.seen >= WARM).then(|| estimate.max(LEAST))
    }
}
