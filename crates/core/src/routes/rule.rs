//! One route.

use {
    crate::id::{ServiceName, Weight},
    std::time::Duration,
};

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// Any number of times, with the same effect as once.
    Idempotent,
    /// At most once.
    Once,
}

/// Services that share a route's requests by weight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Split {
    parts: Vec<(ServiceName, Weight)>,
}

impl Split {
    /// All requests to one service.
    pub fn single(service: ServiceName) -> Self {
        Self {
            parts: vec![(service, Weight(1))],
        }
    }

    /// Requests by weight; `None` if the weights sum up to 0.
    pub fn weighted(parts: Vec<(ServiceName, Weight)>) -> Option<Self> {
        let split = Self { parts };
        (split.total() > 0).then_some(split)
    }

    /// The service for a number that is drawn evenly from 0 to 1, without 1.
    ///
    /// ```
    /// use citron_core::{id::Weight, routes::Split};
    /// let service = |name: &str| name.parse().unwrap();
    /// let parts = vec![(service("old"), Weight(90)), (service("new"), Weight(10))];
    /// let split = Split::weighted(parts).unwrap();
    /// assert_eq!(split.pick(0.5).as_str(), "old");
    /// assert_eq!(split.pick(0.95).as_str(), "new");
    /// ```
    pub fn pick(&self, drawn: f64) -> &ServiceName {
        let mut left = drawn * self.total() as f64;
        for (service, weight) in &self.parts {
            left -= f64::from(weight.0);
            if left < 0.0 {
                return service;
            }
        }
        &self.parts[self.parts.len() - 1].0
    }

    /// The services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.parts.iter().map(|(service, _)| service)
    }

    fn total(&self) -> u64 {
        self.parts
            .iter()
            .map(|(_, weight)| u64::from(weight.0))
            .sum()
    }
}

/// What an operator set for the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// Its name, for logs.
    pub name: String,
    /// Begin of the paths; begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run.
    pub repeat: Repeat,
    /// Where requests go.
    pub split: Split,
    /// How long a caller is kept waiting at most.
    pub timeout: Duration,
    /// The time within which an answer has its full worth.
    pub objective: Duration,
    /// Servers that one request may be sent to at most.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
}
