//! What is counted.

use {
    crate::id::ServerName,
    std::{collections::BTreeMap, ops::AddAssign, time::Duration},
};

/// Counts of one service over some time.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Tally {
    /// Requests that were answered.
    pub total: u64,
    /// Those whose answer was not the server's, or an error of the server.
    pub failed: u64,
    /// Those slower than the objective.
    pub slow: u64,
    /// Time that shards could not be reached, as a mean over all shards.
    pub closed: Duration,
    /// Time over which `closed` was watched.
    pub watched: Duration,
    /// Shards whose owner changed.
    pub moved: u64,
    /// Time that requests held slots, by server.
    pub busy: BTreeMap<ServerName, Duration>,
}

impl AddAssign<&Tally> for Tally {
    fn add_assign(&mut self, other: &Tally) {
        self.total += other.total;
        self.failed += other.failed;
        self.slow += other.slow;
        self.closed += other.closed;
        self.watched += other.watched;
        self.moved += other.moved;
        for (server, time) in &other.busy {
            *self.busy.entry(server.clone()).or_default() += *time;
        }
    }
}

impl Tally {
    /// Adds what another instance counted over the same time. Requests add up;
    /// a move is one move, however many instances saw it.
    ///
    /// ```
    /// use citron_core::slo::Tally;
    /// let mut tally = Tally { total: 5, moved: 2, ..Tally::default() };
    /// tally.merge(&Tally { total: 7, moved: 2, ..Tally::default() });
    /// assert_eq!((tally.total, tally.moved), (12, 2));
    /// ```
    pub fn merge(&mut self, other: &Tally) {
        let moved = self.moved.max(other.moved);
        *self += other;
        self.moved = moved;
    }

    /// Load of the busiest server over the mean; `None` if nothing ran.
    ///
    /// ```
    /// use {citron_core::slo::Tally, std::time::Duration};
    /// let busy = [("one", 30), ("two", 10)];
    /// let busy = busy.map(|(name, seconds)| (name.parse().unwrap(), Duration::from_secs(seconds)));
    /// let tally = Tally { busy: busy.into(), ..Tally::default() };
    /// assert_eq!(tally.imbalance(), Some(1.5));
    /// ```
    pub fn imbalance(&self) -> Option<f64> {
        let most = self.busy.values().max()?.as_secs_f64();
        let sum: Duration = self.busy.values().sum();
        let mean = sum.as_secs_f64() / self.busy.len() as f64;
        (mean > 0.0).then_some(most / mean)
    }

    /// The share of time and keys that could not be reached, 0 to 1.
    pub fn closed_share(&self) -> f64 {
        if self.watched.is_zero() {
            return 0.0;
        }
        self.closed.as_secs_f64() / self.watched.as_secs_f64()
    }
}
