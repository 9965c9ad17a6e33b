//! What one instance has measured of one server.

use {super::HealthConfig, crate::time::Time, std::time::Duration};

/// Weight of a new sample of the latency.
const EWMA_WEIGHT: f64 = 0.05;
/// The first wait of an ejected server for a probe; it doubles up to the longest.
const PROBE_INTERVAL_MIN: Duration = Duration::from_secs(1);
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(30);

/// Whether a request may go to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthDecision {
    /// It may.
    Pass,
    /// The server is ejected, and this request tells whether it has come back.
    Probe,
    /// The server is ejected until then; the request is answered at once.
    Refuse {
        /// When the next probe is due.
        wait: Duration,
    },
}

#[derive(Debug)]
struct Ejection {
    probe_interval: Duration,
    next_probe: Time,
    probes_passed: u32,
}

/// Failures and latency of one server.
#[derive(Debug, Default)]
pub struct ServerHealth {
    failures: u32,
    latency: f64,
    samples: u32,
    ejection: Option<Ejection>,
}

impl ServerHealth {
    /// Counts an answer; whether the server has just been taken back.
    pub fn record_success(&mut self, latency: Duration, config: &HealthConfig) -> bool {
        self.failures = 0;
        let gain = if self.samples == 0 { 1.0 } else { EWMA_WEIGHT };
        self.latency += gain * (latency.as_secs_f64() - self.latency);
        self.samples = self.samples.saturating_add(1);
        let Some(ejection) = &mut self.ejection else {
            return false;
        };
        ejection.probes_passed += 1;
        if ejection.probes_passed < config.probes_required {
            return false;
        }
        // What was measured before belongs to the trouble that is over.
        *self = Self::default();
        true
    }

    /// Counts an answer that says nothing about the latency.
    pub fn record_alive(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure; whether there are too many in a row.
    pub fn record_failure(&mut self, config: &HealthConfig, now: Time) -> bool {
        self.failures = self.failures.saturating_add(1);
        if let Some(ejection) = &mut self.ejection {
            ejection.probes_passed = 0;
            ejection.probe_interval = (ejection.probe_interval * 2).min(PROBE_INTERVAL_MAX);
            ejection.next_probe = now + ejection.probe_interval;
            return false;
        }
        self.failures >= config.consecutive_failures
    }

    /// Takes the server out.
    pub fn eject(&mut self, now: Time) {
        self.ejection.get_or_insert(Ejection {
            probe_interval: PROBE_INTERVAL_MIN,
            next_probe: now + PROBE_INTERVAL_MIN,
            probes_passed: 0,
        });
    }

    /// Whether a request may go to it. One probe goes at a time: the next one is
    /// due after the wait.
    ///
    /// A probe of a frozen server ends as `unknown` if it is not idempotent. Such a
    /// request is taken only when no other came for another wait, since a service
    /// that has no others would never get its server back.
    pub fn check(&mut self, idempotent: bool, now: Time) -> HealthDecision {
        let Some(ejection) = &mut self.ejection else {
            return HealthDecision::Pass;
        };
        let grace = if idempotent {
            Duration::ZERO
        } else {
            ejection.probe_interval
        };
        let due = ejection.next_probe + grace;
        if now < due {
            return HealthDecision::Refuse { wait: due - now };
        }
        ejection.next_probe = now + ejection.probe_interval;
        HealthDecision::Probe
    }

    /// Whether it is taken out.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// The smoothed latency, once enough was seen.
    pub fn latency(&self, config: &HealthConfig) -> Option<Duration> {
        let enough = self.samples >= config.samples_min;
        enough.then(|| Duration::from_secs_f64(self.latency))
    }
}
