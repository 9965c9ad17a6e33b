//! One route.

use {
    crate::id::{ServiceName, Weight},
    std::time::Duration,
};

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times, with the same effect as once.
    Idempotent,
    /// At most once.
    AtMostOnce,
}

/// Services that share a route's requests by weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficSplit {
    parts: Vec<(ServiceName, Weight)>,
}

impl TrafficSplit {
    /// All requests to one service.
    pub fn single(service: ServiceName) -> Self {
        Self {
            parts: vec![(service, Weight(1))],
        }
    }

    /// Requests by weight; `None` if the weights sum up to 0.
    pub fn weighted(parts: Vec<(ServiceName, Weight)>) -> Option<Self> {
        let split = Self { parts };
        (split.total_weight() > 0).then_some(split)
    }

    /// The service for a number that is drawn evenly from 0 to 1, without 1.
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

    /// The services.
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

/// What an operator set for the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Its name, for logs.
    pub name: String,
    /// Begin of the paths; begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub idempotency: Idempotency,
    /// Where requests go.
    pub split: TrafficSplit,
    /// How long a caller is kept waiting at most.
    pub timeout: Duration,
    /// The time within which an answer has its full worth.
    pub latency_objective: Duration,
    /// Servers that one request may be sent to at most.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
}
