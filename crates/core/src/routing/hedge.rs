//! Delay after which an idempotent request is hedged.

use std::time::Duration;

/// Fraction of responses that arrive before a hedge is due.
const PERCENTILE: f64 = 0.95;
/// Step of the estimate, relative to its value.
const STEP_GAIN: f64 = 0.02;
/// Responses needed before the estimate is used.
const SAMPLES_MIN: u32 = 50;
/// Initial estimate.
const ESTIMATE_INITIAL: Duration = Duration::from_millis(50);
/// Shortest delay; below it a hedge costs more than it saves.
const DELAY_MIN: Duration = Duration::from_millis(2);

/// Estimate of a high percentile of a server's latency.
///
/// The estimate rises by a large step for a response above it and falls by a small one
/// for a response below it; the two balance at the percentile.
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
    /// Adds the latency of a response.
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

    /// Delay between the write and the hedge; `None` until there are enough samples.
    pub fn delay(&self) -> Option<Duration> {
        let estimate = Duration::from_secs_f64(self.estimate);
        (self.samples >= SAMPLES_MIN).then(|| estimate.max(DELAY_MIN))
    }
}
