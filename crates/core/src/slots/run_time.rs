//! Run time of a server's requests.

use {
    crate::{dispatch::ReportedLoad, time::Time},
    std::time::Duration,
};

/// Weight of a new sample in the moving average; about the last ten samples count.
const EWMA_WEIGHT: f64 = 0.1;
/// Time constant with which a reported slow phase fades. Slow phases last about 0.4 s, of
/// which half is left on average when a response reports one.
const PHASE_TIME_CONSTANT: Duration = Duration::from_millis(200);
/// Age at which a reported slow phase no longer counts.
const PHASE_TTL: Duration = Duration::from_secs(1);
/// Range of reported slowdowns that are used; others are taken for errors of the server.
const SLOWDOWN_RANGE: [f64; 2] = [0.1, 20.0];
/// Weight of a report in the typical slowdown of a server, and the largest report that counts
/// towards it, as a multiple: a slow phase is no change of the server.
const TYPICAL_WEIGHT: f64 = 0.05;
const TYPICAL_STEP_MAX: f64 = 1.5;
/// Smallest ratio of a report to the typical slowdown that shows a slow phase.
const PHASE_MIN: f64 = 1.25;

/// Largest sample, as a multiple of the average. A single request of 5 times the run time
/// would otherwise let all others appear late for a while; three times is what a whole
/// server slows down by.
const SAMPLE_MAX: f64 = 3.0;
/// Range of run times that count, in seconds; others are taken for errors.
const RUN_TIME_RANGE_S: [f64; 2] = [0.001, 60.0];

/// Moving average of a server's run times, scaled by the slow phase that the server reports.
///
/// A slow phase is too short to show in an average over ten samples, and a report shows it
/// with the first response. Reports are relative to the normal run time of the service, so
/// that a server that is always slower than others reports this as well.
#[derive(Debug)]
pub struct RunTime {
    /// Run time outside of slow phases, in seconds.
    normal: f64,
    samples: u32,
    /// Slowdown that the server reports outside of slow phases; `None` before the first report.
    typical: Option<f64>,
    /// Slowdown of the last report, as a multiple of the typical one.
    phase: f64,
    reported: Time,
}

impl RunTime {
    pub fn new(initial: Duration) -> Self {
        Self {
            normal: initial.as_secs_f64(),
            samples: 0,
            typical: None,
            phase: 1.0,
            reported: Time::ZERO,
        }
    }

    /// Expected slowdown of a request that starts now, as a factor; 1 outside of slow phases.
    pub fn slowdown(&self, now: Time) -> f64 {
        let age = now - self.reported;
        if self.phase < PHASE_MIN || age >= PHASE_TTL {
            return 1.0;
        }
        let age = age.as_secs_f64() / PHASE_TIME_CONSTANT.as_secs_f64();
        1.0 + (self.phase - 1.0) * (-age).exp()
    }

    /// Expected run time of a request that starts now, in seconds.
    pub fn estimate(&self, now: Time) -> f64 {
        self.normal * self.slowdown(now)
    }

    /// Expected run time outside of slow phases, in seconds.
    pub fn normal(&self) -> f64 {
        self.normal
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
        let slowdown = load.slowdown.clamp(min, max);
        let typical = self.typical.unwrap_or(slowdown);
        self.phase = slowdown / typical;
        self.reported = now;
        let step = slowdown.min(typical * TYPICAL_STEP_MAX) - typical;
        self.typical = Some(typical + step * TYPICAL_WEIGHT);
    }
}
