//! Health of one server, as one instance measures it.

use {super::HealthConfig, crate::time::Time, std::time::Duration};

/// Weight of a new sample in the moving average of the latency.
const EWMA_WEIGHT: f64 = 0.05;
/// First interval between probes of an ejected server; it doubles up to the maximum.
const PROBE_INTERVAL_MIN: Duration = Duration::from_secs(1);
/// Longest interval between probes.
const PROBE_INTERVAL_MAX: Duration = Duration::from_secs(30);

/// Decision whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthDecision {
    /// The request may be sent.
    Pass,
    /// The server is ejected, and this request probes it.
    Probe,
    /// The server is ejected, and the request is rejected.
    Refuse {
        /// Time until the next probe is due.
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
    /// Records a response. Returns whether the server has just been restored.
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
        // Measurements from before the restoration no longer apply.
        *self = Self::default();
        true
    }

    /// Records a response that says nothing about the latency.
    pub fn record_alive(&mut self) {
        self.failures = 0;
    }

    /// Records a failure. Returns whether the limit of consecutive failures is reached.
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

    /// Ejects the server.
    pub fn eject(&mut self, now: Time) {
        self.ejection.get_or_insert(Ejection {
            probe_interval: PROBE_INTERVAL_MIN,
            next_probe: now + PROBE_INTERVAL_MIN,
            probes_passed: 0,
        });
    }

    /// Decides whether a request may be sent. Probes are sent one at a time; the next one
    /// is due after the probe interval.
    ///
    /// A probe of a frozen server ends as `unknown` if it is not idempotent. Such a
    /// request becomes a probe only if no idempotent one came for another interval, since
    /// a service without idempotent requests would otherwise never get its server back.
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

    /// Whether the server is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Moving average of the latency; `None` until there are enough samples.
    pub fn latency(&self, config: &HealthConfig) -> Option<Duration> {
        let enough = self.samples >= config.samples_min;
        enough.then(|| Duration::from_secs_f64(self.latency))
    }
}
