//! Counts and durations that the objectives are measured by.

use {
    crate::id::{ServerName, Weight},
    std::{collections::BTreeMap, ops::AddAssign, time::Duration},
};

/// Counts and durations of one service over a period.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tally {
    /// Requests that got a response.
    pub requests: u64,
    /// Requests whose response did not come from a backend server or was a server error.
    pub failed: u64,
    /// Requests slower than the latency objective.
    pub slow: u64,
    /// Time for which shards were unreachable, as a mean over all shards.
    pub unreachable: Duration,
    /// Time over which `unreachable` was observed.
    pub observed: Duration,
    /// Number of shards whose owner changed.
    pub shards_moved: u64,
    /// Time for which requests occupied slots, by server.
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
    /// Merges the tally of another instance over the same period. Requests add up,
    /// whereas a move counts once, however many instances observed it.
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

    /// Load of the most loaded server relative to the mean load, both weighted; `None` if
    /// no requests ran. Idle servers count; servers with weight 0 do not.
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

    /// The share of time for which keys were unreachable, as a mean over keys, from 0 to
    /// 1.
    pub fn unreachable_share(&self) -> f64 {
        if self.observed.is_zero() {
            return 0.0;
        }
        self.unreachable.as_secs_f64() / self.observed.as_secs_f64()
    }
}
