//! When keys move, and between whom.

use crate::{id::ServerName, ranges::KeyRange};

/// When keys move for the sake of balance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BalanceLimits {
    /// Load over the fair share above which a busy server gives keys away.
    /// Below it the difference is mostly chance: a server with 50 requests in
    /// the window varies by a seventh.
    pub busy_ratio: f64,
    /// The part of its slots in use from which a server counts as busy. Under
    /// it requests hardly wait for one another.
    pub busy_utilization: f64,
    /// Load over the fair share above which even a server that is not busy
    /// gives keys away, as a rise of traffic would hit it first.
    pub idle_ratio: f64,
    /// Moves of a service under way at a time. Each stops a few keys for as long
    /// as the requests on them last.
    pub max_moves: usize,
    /// The part of its slots that a server is asked for from which it is
    /// overloaded: what it cannot run stops more callers than moves do.
    pub overload_utilization: f64,
    /// Moves under way at a time while servers are overloaded, for each server
    /// that can take keys.
    pub surge_per_server: f64,
}

impl BalanceLimits {
    /// The defaults; see the fields.
    pub const STANDARD: Self = Self {
        busy_ratio: 1.2,
        busy_utilization: 0.5,
        idle_ratio: 1.6,
        max_moves: 24,
        overload_utilization: 1.0,
        surge_per_server: 0.75,
    };

    /// Moves at a time from overloaded servers, where `servers` can take keys.
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

/// What a server can do.
#[derive(Debug, Clone, PartialEq)]
pub struct Capacity {
    /// The server.
    pub server: ServerName,
    /// Requests a second that it can run.
    pub rate: f64,
    /// Whether it may be given more keys.
    pub accepts_keys: bool,
}

/// Keys that should go to another server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reassignment {
    /// The keys.
    pub range: KeyRange,
    /// Their owner so far, if any.
    pub from: Option<ServerName>,
    /// Their next owner.
    pub to: ServerName,
}
