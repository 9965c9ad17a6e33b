//! Metrics of the request path.

use {
    crate::metrics::register,
    citron_core::{id::ServiceName, routing::Outcome},
    http::StatusCode,
    prometheus::{
        HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
        TextEncoder,
        local::{LocalHistogramVec, LocalIntCounter, LocalIntCounterVec},
    },
    std::{fmt, time::Duration},
};

/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 14] = [
    0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.019, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0,
];

/// The metrics of all threads; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    tries: IntCounterVec,
    denied: IntCounterVec,
    seconds: HistogramVec,
    flights: IntGauge,
    lost_lines: IntGauge,
    bad_loads: IntCounter,
}

impl Metrics {
    /// All at zero.
    ///
    /// # Errors
    /// If a name is not valid, which the tests would show.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let requests = Opts::new("citron_requests_total", "Requests by service and outcome.");
        let requests = IntCounterVec::new(requests, &["service", "outcome"])?;
        let tries = Opts::new("citron_tries_total", "Tries, retries and hedges included.");
        let tries = IntCounterVec::new(tries, &["service"])?;
        let denied = Opts::new(
            "citron_denied_total",
            "Requests denied for good, by status.",
        );
        let denied = IntCounterVec::new(denied, &["status"])?;
        let seconds = HistogramOpts::new(
            "citron_answer_seconds",
            "Time to the head of the answer, in seconds.",
        );
        let seconds = HistogramVec::new(seconds.buckets(BUCKETS.to_vec()), &["service"])?;
        let flights = IntGauge::new("citron_requests_in_flight", "Requests under way.")?;
        let lost_lines = IntGauge::new(
            "citron_log_lines_lost",
            "Log lines for which there was no room since the start.",
        )?;
        let bad_loads = IntCounter::new(
            "citron_bad_loads_total",
            "Answers in which a server's load could not be read.",
        )?;
        Ok(Self {
            bad_loads: register(&registry, bad_loads)?,
            requests: register(&registry, requests)?,
            tries: register(&registry, tries)?,
            denied: register(&registry, denied)?,
            seconds: register(&registry, seconds)?,
            flights: register(&registry, flights)?,
            lost_lines: register(&registry, lost_lines)?,
            registry,
        })
    }

    /// The part of one thread.
    pub fn local(&self) -> LocalMetrics {
        LocalMetrics {
            requests: self.requests.local(),
            tries: self.tries.local(),
            denied: self.denied.local(),
            bad_loads: self.bad_loads.local(),
            seconds: self.seconds.local(),
        }
    }

    /// Sets the number of requests under way.
    pub fn set_flights(&self, flights: usize) {
        self.flights.set(i64::try_from(flights).unwrap_or(i64::MAX));
    }

    /// Sets the number of log lines lost since the start.
    pub fn set_lost_lines(&self, lines: u64) {
        self.lost_lines
            .set(i64::try_from(lines).unwrap_or(i64::MAX));
    }

    /// Where the other parts of the instance add metrics of their own.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        let text = TextEncoder::new().encode_to_string(&families);
        text.unwrap_or_default()
    }
}

/// Counts of one thread, added to the shared ones only when they are read.
pub struct LocalMetrics {
    requests: LocalIntCounterVec,
    tries: LocalIntCounterVec,
    denied: LocalIntCounterVec,
    bad_loads: LocalIntCounter,
    seconds: LocalHistogramVec,
}

impl fmt::Debug for LocalMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The library's local counters have no `Debug`.
        f.debug_struct("LocalMetrics").finish_non_exhaustive()
    }
}

impl LocalMetrics {
    /// Counts a request whose answer's head was passed on.
    pub fn count(&mut self, service: &ServiceName, outcome: Outcome, tries: u32, time: Duration) {
        let service = service.as_str();
        let outcome = match outcome {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        };
        self.requests.with_label_values(&[service, outcome]).inc();
        self.tries
            .with_label_values(&[service])
            .inc_by(u64::from(tries));
        self.seconds
            .with_label_values(&[service])
            .observe(time.as_secs_f64());
    }

    /// Counts a request that got a final answer of the instance.
    pub fn count_denied(&mut self, status: StatusCode) {
        self.denied.with_label_values(&[status.as_str()]).inc();
    }

    /// Counts an answer in which a server's load could not be read.
    pub fn count_bad_load(&mut self) {
        self.bad_loads.inc();
    }

    /// Adds the counts to the shared ones.
    pub fn flush(&mut self) {
        self.requests.flush();
        self.tries.flush();
        self.denied.flush();
        self.bad_loads.flush();
        self.seconds.flush();
    }
}
