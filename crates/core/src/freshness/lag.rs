//! Delay before a lagging table is fetched from another instance.

use {crate::time::Time, std::time::Duration};

/// Timer of how long each of `N` tables has lagged behind another instance's copy.
///
/// An instance that will receive the change anyway waits for a grace period before it
/// fetches the table.
///
/// ```
/// use {citron_core::{freshness::LagTimer, time::Time}, std::time::Duration};
/// let at = |millis: u64| Time::from_micros(millis * 1_000);
/// let mut lag = LagTimer::<1>::new(Duration::from_millis(250));
/// assert!(!lag.should_fetch(0, true, at(100)));
/// assert!(lag.should_fetch(0, true, at(360)));
/// lag.caught_up(0);
/// assert!(lag.should_fetch(0, false, at(400)));
/// ```
#[derive(Debug)]
pub struct LagTimer<const N: usize> {
    grace: Duration,
    lagging_since: [Option<Time>; N],
}

impl<const N: usize> LagTimer<N> {
    /// A timer with this grace period.
    pub fn new(grace: Duration) -> Self {
        Self {
            grace,
            lagging_since: [None; N],
        }
    }

    /// Whether to fetch a table now, given that another instance has a newer one. With
    /// `expects_update`, the table is fetched only after the grace period.
    pub fn should_fetch(&mut self, table: usize, expects_update: bool, now: Time) -> bool {
        let since = *self.lagging_since[table].get_or_insert(now);
        !expects_update || now - since > self.grace
    }

    /// Resets the timer of a table that has applied changes.
    pub fn caught_up(&mut self, table: usize) {
        self.lagging_since[table] = None;
    }
}
