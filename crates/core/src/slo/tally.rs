//! What is counted.

use {
    crate::id::{ServerName, Weight},
    std::{collections::BTreeMap, ops::AddAssign, time::Duration},
};

/// Counts of one service over some time.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tally {
    /// Requests that were answered.
    pub requests: u64,
    /// Those whose answer was not the server's, or an error of the server.
    pub failed: u64,
    /// Those slower than the objective.
    pub slow: u64,
    /// Time that shards could not be reached, as a mean over all shards.
    pub unreachable: Duration,
    /// Time over which `closed` was watched.
    pub observed: Duration,
    /// Shards whose owner changed.
    pub shards_moved: u64,
    /// Time that requests held slots, by server.
    pub busy_time: BTreeMap<ServerName, Duration>,
}

impl AddAssign<&Tally> for Tally {
    fn add_assign(&mut self, other: &Tally) {
        self.requests += other.requests;
        self.failed += other.failed;
        self.slow += other.slow;
        self.unreachable += other.unreachable;
        self.observed += other.observed;
        self.shards_moved += other.shards_moved;
        for (server, time) in &other.busy_time {
            *self.busy_time.entry(server.clone()).or_default() += *time;
        }
    }
}

impl Tally {
    /// Adds what another instance counted over the same time. Requests add up;
    /// a move is one move, however many instances saw it.
    ///
    /// ```
    /// use citron_core::slo::Tally;
    /// let mut tally = Tally { requests: 5, shards_moved: 2, ..Tally::default() };
    /// tally.merge(&Tally { requests: 7, shards_moved: 2, ..Tally::default() });
    /// assert_eq!((tally.requests, tally.shards_moved), (12, 2));
    /// ```
    pub fn merge(&mut self, other: &Tally) {
        let moved = self.shards_moved.max(other.shards_moved);
        *self += other;
        self.shards_moved = moved;
    }

    /// Load of the fullest server over the mean, each by its weight; `None` if
    /// nothing ran. Servers that got nothing count, those without a weight do not.
    ///
    /// ```
    /// use {citron_core::{id::Weight, slo::Tally}, std::time::Duration};
    /// let busy = [("one", 30), ("two", 20)];
    /// let busy = busy.map(|(name, seconds)| (name.parse().unwrap(), Duration::from_secs(seconds)));
    /// let tally = Tally { busy_time: busy.into(), ..Tally::default() };
    /// let weights = [("one", 100), ("two", 100), ("idle", 50)];
    /// let weights = weights.map(|(name, weight)| (name.parse().unwrap(), Weight(weight)));
    /// assert_eq!(tally.imbalance(&weights.into()), Some(1.5));
    /// ```
    pub fn imbalance(&self, weights: &BTreeMap<ServerName, Weight>) -> Option<f64> {
        let loads = weights.iter().filter(|(_, weight)| weight.0 > 0);
        let loads = loads.map(|(server, weight)| {
            let busy = self.busy_time.get(server).copied().unwrap_or_default();
            (busy.as_secs_f64(), f64::from(weight.0))
        });
        let (mut busy, mut weight, mut max) = (0.0, 0.0, 0.0_f64);
        for (server_busy, server_weight) in loads {
            busy += server_busy;
            weight += server_weight;
            max = max.max(server_busy / server_weight);
        }
        (busy > 0.0).then(|| max * weight / busy)
    }

    /// The share of time and keys that could not be reached, 0 to 1.
    pub fn unreachable_share(&self) -> f64 {
        if self.observed.is_zero() {
            return 0.0;
        }
        self.unreachable.as_secs_f64() / self.observed.as_secs_f64()
    }
}
