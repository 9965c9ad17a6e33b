//! When a second copy of an idempotent request is worth its cost.

use std::time::Duration;

/// Share of answers that come before a hedge is due.
const PERCENTILE: f64 = 0.95;
/// Step of the estimate, relative to itself.
const STEP_GAIN: f64 = 0.02;
/// Answers seen before the estimate counts.
const SAMPLES_MIN: u32 = 50;
/// Where the estimate begins.
const ESTIMATE_INITIAL: Duration = Duration::from_millis(50);
/// Below this a hedge costs more than it saves.
const DELAY_MIN: Duration = Duration::from_millis(2);

/// Estimate of a high percentile of a server's latency.
///
/// It goes up by a large step for an answer above it and down by a small one for
/// an answer below; the two are in balance at the percentile.
///
/// ```
/// use {citron_core::routing::HedgeDelay, std::time::Duration};
/// let mut hedge = HedgeDelay::default();
/// assert_eq!(hedge.delay(), None);
/// (0..2_000).for_each(|_| hedge.observe(Duration::from_millis(20)));
/// assert!(hedge.delay().unwrap() < Duration::from_millis(30));
/// ```
#[derive(Debug, Clone)]
pub struct HedgeDelay {
    estimate: f64,
    samples: u32,
}

impl Default for HedgeDelay {
    fn default() -> Self {
        Self {
            estimate: ESTIMATE_INITIAL.as_secs_f64(),
            samples: 0,
        }
    }
}

impl HedgeDelay {
    /// Counts the latency of an answer.
    pub fn observe(&mut self, latency: Duration) {
        let is_above = latency.as_secs_f64() > self.estimate;
        let step = if is_above {
            PERCENTILE
        } else {
            PERCENTILE - 1.0
        };
        self.estimate *= 1.0 + STEP_GAIN * step;
        self.samples = self.samples.saturating_add(1);
    }

    /// How long after the write a hedge is due; `None` until enough was seen.
    pub fn delay(&self) -> Option<Duration> {
        let estimate = Duration::from_secs_f64(self.estimate);
        (self.samples >= SAMPLES_MIN).then(|| estimate.max(DELAY_MIN))
    }
}
