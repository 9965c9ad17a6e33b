//! Metrics of the request path.

use {
    crate::metrics::register,
    citron_core::{id::ServiceName, request::RefusalProof, routing::Outcome},
    http::StatusCode,
    prometheus::{
        HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
        TextEncoder,
        local::{LocalHistogramVec, LocalIntCounter, LocalIntCounterVec},
    },
    std::{fmt, time::Duration},
};

/// Upper bounds of the latency buckets in seconds.
const LATENCY_BUCKETS_SECONDS: [f64; 14] = [
    0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.019, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0,
];

/// Metrics of all threads; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    requests: IntCounterVec,
    attempts: IntCounterVec,
    denied: IntCounterVec,
    latency: HistogramVec,
    in_flight: IntGauge,
    lost_lines: IntGauge,
    invalid_loads: IntCounter,
    invalid_limits: IntCounter,
    invalid_rests: IntCounter,
    ignored_lengths: IntCounter,
    refusals: IntCounterVec,
}

impl Metrics {
    /// Creates all metrics with the value zero.
    ///
    /// # Errors
    /// If a name is invalid, which the tests would detect.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let requests = Opts::new("citron_requests_total", "Requests by service and outcome.");
        let requests = IntCounterVec::new(requests, &["service", "outcome"])?;
        let attempts = Opts::new("citron_tries_total", "Tries, retries and hedges included.");
        let attempts = IntCounterVec::new(attempts, &["service"])?;
        let denied = Opts::new(
            "citron_denied_total",
            "Requests denied for good, by status.",
        );
        let denied = IntCounterVec::new(denied, &["status"])?;
        let latency = HistogramOpts::new(
            "citron_answer_seconds",
            "Time to the head of the answer, in seconds.",
        );
        let latency = HistogramVec::new(
            latency.buckets(LATENCY_BUCKETS_SECONDS.to_vec()),
            &["service"],
        )?;
        let in_flight = IntGauge::new("citron_requests_in_flight", "Requests under way.")?;
        let lost_lines = IntGauge::new(
            "citron_log_lines_lost",
            "Log lines for which there was no room since the start.",
        )?;
        let invalid_loads = IntCounter::new(
            "citron_bad_loads_total",
            "Answers in which a server's load could not be read.",
        )?;
        let invalid_limits = IntCounter::new(
            "citron_bad_limits_total",
            "Answers in which a server's rate limit could not be read.",
        )?;
        let invalid_rests = IntCounter::new(
            "citron_bad_rests_total",
            "Rejections whose Retry-After could not be read.",
        )?;
        let ignored_lengths = IntCounter::new(
            "citron_ignored_lengths_total",
            "Answers with both Transfer-Encoding and Content-Length, which was ignored.",
        )?;
        let refusals = Opts::new(
            "citron_refusals_total",
            "Refusals of requests by servers, by the proof that they belong to the request.",
        );
        let refusals = IntCounterVec::new(refusals, &["proof"])?;
        Ok(Self {
            refusals: register(&registry, refusals)?,
            ignored_lengths: register(&registry, ignored_lengths)?,
            invalid_rests: register(&registry, invalid_rests)?,
            invalid_limits: register(&registry, invalid_limits)?,
            invalid_loads: register(&registry, invalid_loads)?,
            requests: register(&registry, requests)?,
            attempts: register(&registry, attempts)?,
            denied: register(&registry, denied)?,
            latency: register(&registry, latency)?,
            in_flight: register(&registry, in_flight)?,
            lost_lines: register(&registry, lost_lines)?,
            registry,
        })
    }

    /// Creates the counters of one thread.
    pub fn local(&self) -> LocalMetrics {
        LocalMetrics {
            requests: self.requests.local(),
            attempts: self.attempts.local(),
            denied: self.denied.local(),
            invalid_loads: self.invalid_loads.local(),
            invalid_limits: self.invalid_limits.local(),
            invalid_rests: self.invalid_rests.local(),
            ignored_lengths: self.ignored_lengths.local(),
            refusals: self.refusals.local(),
            latency: self.latency.local(),
        }
    }

    /// Sets the number of requests in progress.
    pub fn set_in_flight(&self, in_flight: usize) {
        self.in_flight
            .set(i64::try_from(in_flight).unwrap_or(i64::MAX));
    }

    /// Sets the number of log lines lost since the start.
    pub fn set_lost_lines(&self, lines: u64) {
        self.lost_lines
            .set(i64::try_from(lines).unwrap_or(i64::MAX));
    }

    /// Registry to which other modules of the instance add their metrics.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// All metrics in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let families = self.registry.gather();
        let text = TextEncoder::new().encode_to_string(&families);
        text.unwrap_or_default()
    }
}

/// Counters of one thread, added to the shared ones only when they are read.
pub struct LocalMetrics {
    requests: LocalIntCounterVec,
    attempts: LocalIntCounterVec,
    denied: LocalIntCounterVec,
    invalid_loads: LocalIntCounter,
    invalid_limits: LocalIntCounter,
    invalid_rests: LocalIntCounter,
    ignored_lengths: LocalIntCounter,
    refusals: LocalIntCounterVec,
    latency: LocalHistogramVec,
}

impl fmt::Debug for LocalMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The local counters of the library do not implement `Debug`.
        f.debug_struct("LocalMetrics").finish_non_exhaustive()
    }
}

impl LocalMetrics {
    /// Counts a request whose response head was forwarded.
    pub fn count_request(
        &mut self,
        service: &ServiceName,
        outcome: Outcome,
        attempts: u32,
        time: Duration,
    ) {
        let service = service.as_str();
        let outcome = match outcome {
            Outcome::Ran => "ran",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        };
        self.requests.with_label_values(&[service, outcome]).inc();
        self.attempts
            .with_label_values(&[service])
            .inc_by(u64::from(attempts));
        self.latency
            .with_label_values(&[service])
            .observe(time.as_secs_f64());
    }

    /// Counts a request that the instance denied with a final response.
    pub fn count_denied(&mut self, status: StatusCode) {
        self.denied.with_label_values(&[status.as_str()]).inc();
    }

    /// Counts a response whose load header could not be read.
    pub fn count_invalid_load(&mut self) {
        self.invalid_loads.inc();
    }

    /// Counts a response whose rate limit could not be read.
    pub fn count_invalid_limit(&mut self) {
        self.invalid_limits.inc();
    }

    /// Counts a rejection whose `Retry-After` could not be read.
    pub fn count_invalid_rest(&mut self) {
        self.invalid_rests.inc();
    }

    /// Counts a response whose `Content-Length` was ignored.
    pub fn count_ignored_length(&mut self) {
        self.ignored_lengths.inc();
    }

    /// Counts a refusal of a request by a server. Without a proof it may belong to another one.
    pub fn count_refusal(&mut self, proof: Option<RefusalProof>) {
        let proof = RefusalProof::name(proof);
        self.refusals.with_label_values(&[proof]).inc();
    }

    /// Adds the counts to the shared metrics.
    pub fn flush(&mut self) {
        self.requests.flush();
        self.attempts.flush();
        self.denied.flush();
        self.invalid_loads.flush();
        self.invalid_limits.flush();
        self.invalid_rests.flush();
        self.ignored_lengths.flush();
        self.refusals.flush();
        self.latency.flush();
    }
}
