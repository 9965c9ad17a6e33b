//! Run time of a server's requests.

use {
    crate::{dispatch::ReportedLoad, time::Time},
    std::time::Duration,
};

/// Weight of a new sample in the moving average; about the last ten samples count.
const EWMA_WEIGHT: f64 = 0.1;
/// Time for which a reported slowdown is used. Slow phases last about 0.4 s.
const SLOWDOWN_TTL: Duration = Duration::from_millis(400);
/// Range of reported slowdowns that are used; others are taken for errors of the server.
const SLOWDOWN_RANGE: [f64; 2] = [0.2, 5.0];

/// Largest sample, as a multiple of the average. A single request of 5 times the run time
/// would otherwise let all others appear late for a while; three times is what a whole
/// server slows down by.
const SAMPLE_MAX: f64 = 3.0;
/// Range of run times that count, in seconds; others are taken for errors.
const RUN_TIME_RANGE_S: [f64; 2] = [0.001, 60.0];

/// Moving average of a server's run times, scaled by the slowdown that it reports.
///
/// A slow phase is too short to show in an average over ten samples, and a report shows it
/// with the first response.
#[derive(Debug)]
pub struct RunTime {
    /// Run time without slowdown, in seconds.
    normal: f64,
    samples: u32,
    slowdown: f64,
    reported: Time,
}

impl RunTime {
    pub fn new(initial: Duration) -> Self {
        Self {
            normal: initial.as_secs_f64(),
            samples: 0,
            slowdown: 1.0,
            reported: Time::ZERO,
        }
    }

    /// Current slowdown as a factor; 1 if none was reported lately.
    pub fn slowdown(&self, now: Time) -> f64 {
        match now - self.reported < SLOWDOWN_TTL {
            true => self.slowdown,
            false => 1.0,
        }
    }

    /// Expected run time of a request that starts now, in seconds.
    pub fn estimate(&self, now: Time) -> f64 {
        self.normal * self.slowdown(now)
    }

    /// Adds a run time in seconds. `slowdown_at_start` is that of the time of the grant.
    pub fn record(&mut self, run_time: f64, slowdown_at_start: f64, now: Time) {
        let slowdown = (slowdown_at_start + self.slowdown(now)) / 2.0;
        let [min, max] = RUN_TIME_RANGE_S;
        let max = match self.samples {
            0 => max,
            _ => max.min(self.normal * SAMPLE_MAX),
        };
        let sample = (run_time / slowdown).clamp(min, max);
        self.samples = self.samples.saturating_add(1);
        let weight = EWMA_WEIGHT.max(1.0 / f64::from(self.samples));
        self.normal += (sample - self.normal) * weight;
    }

    /// Records the slowdown that the server reports.
    pub fn record_load(&mut self, load: &ReportedLoad, now: Time) {
        let [min, max] = SLOWDOWN_RANGE;
        self.slowdown = load.slowdown.clamp(min, max);
        self.reported = now;
    }
}
