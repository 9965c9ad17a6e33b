//! Routes and the services that share their traffic.

use {
    crate::id::{ServiceName, Weight},
    std::time::Duration,
};

/// Idempotency of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// A request may run any number of times with the same effect as once.
    Idempotent,
    /// A request may run at most once.
    AtMostOnce,
}

/// Weighted split of a route's requests among services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficSplit {
    parts: Vec<(ServiceName, Weight)>,
}

impl TrafficSplit {
    /// A split that sends all requests to one service.
    pub fn single(service: ServiceName) -> Self {
        Self {
            parts: vec![(service, Weight(1))],
        }
    }

    /// A split by weight; `None` if the weights add up to 0.
    pub fn weighted(parts: Vec<(ServiceName, Weight)>) -> Option<Self> {
        let split = Self { parts };
        (split.total_weight() > 0).then_some(split)
    }

    /// The service for a sample from the uniform distribution over 0 to 1, excluding 1.
    ///
    /// ```
    /// use citron_core::{id::Weight, routes::TrafficSplit};
    /// let service = |name: &str| name.parse().unwrap();
    /// let parts = vec![(service("old"), Weight(90)), (service("new"), Weight(10))];
    /// let split = TrafficSplit::weighted(parts).unwrap();
    /// assert_eq!(split.pick(0.5).as_str(), "old");
    /// assert_eq!(split.pick(0.95).as_str(), "new");
    /// ```
    pub fn pick(&self, sample: f64) -> &ServiceName {
        let mut remaining = sample * self.total_weight() as f64;
        for (service, weight) in &self.parts {
            remaining -= f64::from(weight.0);
            if remaining < 0.0 {
                return service;
            }
        }
        &self.parts[self.parts.len() - 1].0
    }

    /// The services of the split.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.parts.iter().map(|(service, _)| service)
    }

    fn total_weight(&self) -> u64 {
        self.parts
            .iter()
            .map(|(_, weight)| u64::from(weight.0))
            .sum()
    }
}

/// A route, as an operator configures it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route, for logs.
    pub name: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Idempotency of the requests.
    pub idempotency: Idempotency,
    /// The services that get the requests.
    pub split: TrafficSplit,
    /// Time after which a caller gets an error response.
    pub timeout: Duration,
    /// Latency within which a response should arrive.
    pub latency_objective: Duration,
    /// Maximum number of backend servers to which one request is sent.
    pub max_attempts: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
}
