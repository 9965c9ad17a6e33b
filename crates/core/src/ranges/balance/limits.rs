//! Thresholds, server capacities and planned moves of load balancing.

use crate::{id::ServerName, ranges::KeyRange};

/// Thresholds and limits for moving keys between servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalanceLimits {
    /// Load relative to the fair load above which a busy server gives up keys. Below it
    /// the difference is mostly random: with 50 requests in the window, the load varies
    /// by a seventh.
    pub busy_ratio: f64,
    /// Utilization above which a server counts as busy. Below it requests rarely wait for
    /// one another.
    pub busy_utilization: f64,
    /// Load relative to the fair load above which even a server that is not busy gives up
    /// keys, because a rise in traffic would overload it first.
    pub idle_ratio: f64,
    /// Maximum number of concurrent moves of a service. Each move blocks its keys until
    /// the requests in progress on them have ended.
    pub max_moves: usize,
    /// Utilization above which a server is overloaded. Requests beyond its capacity hold
    /// up more callers than moves do.
    pub overload_utilization: f64,
    /// Maximum number of concurrent moves per server while servers are overloaded.
    pub surge_per_server: f64,
}

impl BalanceLimits {
    /// Default thresholds; the fields give the reasons.
    pub const STANDARD: Self = Self {
        busy_ratio: 1.2,
        busy_utilization: 0.5,
        idle_ratio: 1.6,
        max_moves: 24,
        overload_utilization: 1.0,
        surge_per_server: 0.75,
    };

    /// Maximum number of concurrent moves away from overloaded servers, given the number
    /// of `servers`.
    ///
    /// ```
    /// use citron_core::ranges::BalanceLimits;
    /// assert_eq!(BalanceLimits::STANDARD.max_surge_moves(12), 24);
    /// assert_eq!(BalanceLimits::STANDARD.max_surge_moves(400), 300);
    /// ```
    pub fn max_surge_moves(&self, servers: usize) -> usize {
        self.max_moves
            .max((servers as f64 * self.surge_per_server) as usize)
    }
}

/// Capacity of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Capacity {
    /// The server.
    pub server: ServerName,
    /// Requests per second that it can run.
    pub rate: f64,
    /// Whether it may be assigned more keys.
    pub accepts_keys: bool,
}

/// Planned move of keys to another server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reassignment {
    /// The keys.
    pub range: KeyRange,
    /// The current owner, if any.
    pub from: Option<ServerName>,
    /// The new owner.
    pub to: ServerName,
}
